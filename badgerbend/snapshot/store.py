"""The snapshot file: one record with a checksum and a version. It is replaced atomically (`disk.write_atomically`).

Layout: magic (8 bytes), version (2), length of the body (8), xxh3-128 of the body (16), body. The body is a record in
MessagePack together with the wall-clock time at which it was written. Reading it adds the time since then to all ages.
If the wall clock was set back in the meantime, the snapshot is rejected, because its age is unknown.
"""

from __future__ import annotations

import contextlib
import struct
from pathlib import Path

import msgspec
import xxhash

from badgerbend.knowledge.record import KnowledgeRecord, RecordError, aged, decode, encode

MAGIC = b"bbknow\r\n"
VERSION = 1
HEADER = struct.Struct(">8sHQ16s")
MAX_SNAPSHOT_BYTES = 2_000_000
MAX_SNAPSHOT_AGE_S = 1e9


class SnapshotError(Exception):
    """The file is not a usable snapshot. reason: why not."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class SnapshotBody(msgspec.Struct):
    """The body of a snapshot file: the wall-clock time in seconds at which it was written, and the encoded record."""

    written_s: float
    record: bytes


def encode_snapshot(record: KnowledgeRecord, unix_s: float) -> bytes:
    """Return the bytes of a snapshot file. unix_s: the current wall-clock time in seconds."""
    body = msgspec.msgpack.encode(SnapshotBody(unix_s, encode(record)))
    return HEADER.pack(MAGIC, VERSION, len(body), xxhash.xxh3_128_digest(body)) + body


def decode_snapshot(data: bytes, unix_s: float) -> KnowledgeRecord:
    """Return the record in a snapshot file, with its ages as of now. Raises SnapshotError.

    unix_s: the current wall-clock time in seconds.
    """
    try:
        body = msgspec.msgpack.decode(_checked_body(data), type=SnapshotBody)
        record = decode(body.record)
    except (msgspec.MsgspecError, RecordError) as err:
        raise SnapshotError(str(err)) from err
    age_s = unix_s - body.written_s
    if not 0 <= age_s < MAX_SNAPSHOT_AGE_S:
        raise SnapshotError("age out of range: the wall clock may have been set back since it was written")
    return aged(record, age_s * 1000.0)


def read_snapshot(path: Path, unix_s: float) -> KnowledgeRecord:
    """Read a snapshot file, and remove the temporary file that a crash may have left.

    Raises SnapshotError for anything but a complete snapshot, and FileNotFoundError if there is no file.
    """
    with contextlib.suppress(FileNotFoundError):
        path.with_name(path.name + ".new").unlink()  # the temporary file of `write_atomically`
    try:
        size_bytes = path.stat().st_size
        if size_bytes > MAX_SNAPSHOT_BYTES:
            raise SnapshotError(f"too large: {size_bytes} bytes; the limit is {MAX_SNAPSHOT_BYTES} bytes")
        data = path.read_bytes()
    except FileNotFoundError:
        raise
    except OSError as err:
        raise SnapshotError(str(err)) from err
    return decode_snapshot(data, unix_s)


def _checked_body(data: bytes) -> bytes:
    """Check the header of a snapshot file and return its body. Raises SnapshotError."""
    if len(data) < HEADER.size:
        raise SnapshotError(f"{len(data)} bytes are too few for a header of {HEADER.size}")
    magic, version, length, digest = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a snapshot file of a broker")
    if version != VERSION:
        raise SnapshotError(f"format version {version}; this broker reads version {VERSION}")
    body = data[HEADER.size :]
    if len(body) != length:
        raise SnapshotError(f"the body has {len(body)} bytes instead of the {length} in the header")
    if xxhash.xxh3_128_digest(body) != digest:
        raise SnapshotError("the checksum of the body does not match")
    return body
