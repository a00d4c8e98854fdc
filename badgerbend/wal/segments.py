"""The files `log.N`: writing and reading segments of records.

The header of a segment contains the number of bytes of its initial records, which were synced before the file was given
its name. The records after them were appended. A record consists of its length, a CRC32C of length and content, and the
content. The newest segment is complete in itself; an older one is only left if a crash prevented its removal.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

import google_crc32c

from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import MalformedMessageError, Record, decode_record, encode
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.disk import write_atomically
from badgerbend.wal.errors import StoreDamagedError, StoreVersionError

MAGIC = b"bbvote\r\n"
FORMAT_VERSION = 1
CHECKSUM = struct.Struct(">I")
HEADER = struct.Struct(">8sHQI")  # magic, version, bytes of the initial records, checksum of these fields
RECORD_LENGTH = struct.Struct(">I")
RECORD_HEADER = struct.Struct(">II")  # length, checksum of length and content
MAX_RECORD_BYTES = 64 << 20

_parse_segment_name = re.compile(r"log\.([1-9][0-9]{0,17})").fullmatch


class Frame(NamedTuple):
    """A record in a segment. end: the offset of the first byte after it."""

    content: bytes
    end: int


class SegmentContents(NamedTuple):
    """The contents of a segment. valid_bytes: its length up to the end of the last complete record."""

    persistent_state: PersistentState
    valid_bytes: int


def checksum(data: bytes) -> int:
    """Return the CRC32C of some bytes."""
    return int(google_crc32c.value(data))


def segment_path(folder: Path, number: int) -> Path:
    """Return the path of a segment."""
    return folder / f"log.{number}"


def segment_numbers(folder: Path) -> list[int]:
    """Return the numbers of all segments in a folder, in no particular order. Raises OSError."""
    names = (_parse_segment_name(path.name) for path in folder.iterdir())
    return [int(name[1]) for name in names if name]


def write_segment(folder: Path, number: int, records: Sequence[Record]) -> Path:
    """Write and sync a new segment completely or not at all. Raises OSError."""
    body = b"".join(frame_record(record) for record in records)
    header = HEADER.pack(MAGIC, FORMAT_VERSION, len(body), 0)[: -CHECKSUM.size]
    path = segment_path(folder, number)
    write_atomically(path, header + CHECKSUM.pack(checksum(header)) + body)
    return path


def frame_record(record: Record) -> bytes:
    """Return a record as the bytes that a segment contains."""
    content = encode(record)
    return RECORD_HEADER.pack(len(content), _record_checksum(content)) + content


def read_segment(path: Path, acknowledged_bytes: int) -> SegmentContents:
    """Read a segment without changing it. Raises StoreError, OSError.

    acknowledged_bytes: the number of its bytes that are known to be synced. Damage within them is an error. A torn
    record after them was never acknowledged and is ignored.
    """
    data = path.read_bytes()
    acknowledged_bytes = max(HEADER.size + _read_header(path, data), acknowledged_bytes)
    state = PersistentState(log=Log())
    valid_bytes = HEADER.size
    for frame in _valid_frames(data):
        valid_bytes = frame.end
        try:
            state.replay(decode_record(frame.content))
        except (MalformedMessageError, ValueError) as err:
            raise StoreDamagedError(path, f"the record that ends at byte {frame.end} is invalid: {err}") from err
    if valid_bytes < acknowledged_bytes:
        problem = f"damaged at byte {valid_bytes} of {acknowledged_bytes} that were acknowledged"
        raise StoreDamagedError(path, problem)
    return SegmentContents(state, valid_bytes)


def _read_header(path: Path, data: bytes) -> int:
    """Check the header and return the number of bytes of the initial records."""
    if len(data) < HEADER.size:
        raise StoreDamagedError(path, f"{len(data)} bytes are too few for the header")
    magic, version, initial_bytes, found_checksum = HEADER.unpack_from(data)
    if magic != MAGIC or found_checksum != checksum(data[: HEADER.size - CHECKSUM.size]):
        raise StoreDamagedError(path, "the header is damaged")
    if version != FORMAT_VERSION:
        raise StoreVersionError(path, version, FORMAT_VERSION)
    return int(initial_bytes)


def _valid_frames(data: bytes) -> Iterator[Frame]:
    """Yield the records of a segment up to the first one that is incomplete or has a wrong checksum."""
    offset = HEADER.size
    while len(data) - offset >= RECORD_HEADER.size:
        length, found_checksum = RECORD_HEADER.unpack_from(data, offset)
        begin = offset + RECORD_HEADER.size
        end = begin + length
        if not 0 < length <= MAX_RECORD_BYTES or end > len(data):
            return
        content = data[begin:end]
        if found_checksum != _record_checksum(content):
            return
        yield Frame(content, end)
        offset = end


def _record_checksum(content: bytes) -> int:
    return int(google_crc32c.extend(checksum(RECORD_LENGTH.pack(len(content))), content))
