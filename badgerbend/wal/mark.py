"""The file `mark`: the high-water mark of a segment, that is the number of its bytes that were synced.

The file is written after each sync and is not synced itself. It distinguishes damage from a torn write at the end of
the segment. Bytes before the mark were acknowledged, so a record there with a wrong checksum means that the voter has
forgotten a promise. Bytes after the mark were never acknowledged.
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
    """The open mark file of a store. Opening it may raise OSError."""

    def __init__(self, folder: Path) -> None:
        self._file = os.open(folder / "mark", os.O_WRONLY | os.O_CREAT, 0o600)

    def set(self, segment_number: int, synced_bytes: int) -> None:
        """Record how many bytes of a segment are synced. Failures are ignored: a store is readable without a mark."""
        body = MARK_BODY.pack(segment_number, synced_bytes)
        with contextlib.suppress(OSError):
            os.pwrite(self._file, body + CHECKSUM.pack(checksum(body)), 0)

    def close(self) -> None:
        """Close the file."""
        with contextlib.suppress(OSError):
            os.close(self._file)


def read_mark(folder: Path, segment_number: int) -> int:
    """Return the number of bytes of a segment that are known to be synced, or 0 if unknown. Raises OSError."""
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
