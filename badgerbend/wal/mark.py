"""The file `mark`: how many bytes of the segment were synced.

It is written after each sync and is itself not synced. It tells damage from a torn end: bytes before the mark were
acknowledged, and a record there that does not fit its checksum means that the voter has forgotten a promise; what is
beyond was acknowledged to nobody.
"""

from __future__ import annotations

import contextlib
import os
import struct
from pathlib import Path

from badgerbend.wal.segments import CHECKSUM, checksum

MARK = struct.Struct(">QQI")  # segment, bytes synced, checksum of these
MARK_BODY = struct.Struct(">QQ")


class SyncMark:
    """The open mark of a store. Raises OSError where it cannot be opened."""

    def __init__(self, folder: Path) -> None:
        self._file = os.open(folder / "mark", os.O_WRONLY | os.O_CREAT, 0o600)

    def set(self, segment_number: int, synced_bytes: int) -> None:
        """State how many bytes of a segment are synced. A failure is ignored: the mark is not needed to read."""
        body = MARK_BODY.pack(segment_number, synced_bytes)
        with contextlib.suppress(OSError):
            os.pwrite(self._file, body + CHECKSUM.pack(checksum(body)), 0)

    def close(self) -> None:
        """Close the file."""
        with contextlib.suppress(OSError):
            os.close(self._file)


def read_mark(folder: Path, segment_number: int) -> int:
    """Return how many bytes of this segment are known to have been synced; 0 where nothing is known. Raises OSError."""
    try:
        data = (folder / "mark").read_bytes()
    except FileNotFoundError:
        return 0
    if len(data) != MARK.size:
        return 0
    marked_segment, synced_bytes, found_checksum = MARK.unpack(data)
    if marked_segment != segment_number or found_checksum != checksum(data[: MARK_BODY.size]):
        return 0
    return int(synced_bytes)
