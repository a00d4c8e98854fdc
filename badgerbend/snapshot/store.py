"""The snapshot file: one record, checksummed and versioned. It is replaced atomically (`disk.write_atomically`).

Layout: magic (8 bytes), version (2), length of the body (8), xxh3-128 of the body (16), body. The body is a record in
MessagePack with the wall-clock time of writing. When it is read, all ages grow by the time since then. If the wall
clock was set back meanwhile, the snapshot is rejected, since its age is unknown.
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
MAX_ABSENCE_S = 1e9


class SnapshotError(Exception):
    """The file is not a snapshot that can be used. reason: why."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class SnapshotBody(msgspec.Struct):
    """The content of a snapshot file: when it was written, in seconds of the wall clock, and the encoded record."""

    written_s: float
    record: bytes


def encode_snapshot(record: KnowledgeRecord, unix_s: float) -> bytes:
    """Return the bytes of a snapshot file. unix_s: the wall clock's time now, in seconds."""
    body = msgspec.msgpack.encode(SnapshotBody(unix_s, encode(record)))
    return HEADER.pack(MAGIC, VERSION, len(body), xxhash.xxh3_128_digest(body)) + body


def decode_snapshot(data: bytes, unix_s: float) -> KnowledgeRecord:
    """Return the record of a snapshot file, with the ages it has now. Raises SnapshotError.

    unix_s: the wall clock's time now, in seconds.
    """
    try:
        body = msgspec.msgpack.decode(_checked_body(data), type=SnapshotBody)
        record = decode(body.record)
    except (msgspec.MsgspecError, RecordError) as err:
        raise SnapshotError(str(err)) from err
    absence_s = unix_s - body.written_s
    if not 0 <= absence_s < MAX_ABSENCE_S:
        raise SnapshotError("written in the future: the clock has gone back")
    return aged(record, absence_s * 1000.0)


def read_snapshot(path: Path, unix_s: float) -> KnowledgeRecord:
    """Read a snapshot file; remove what a crash may have left beside it.

    Raises SnapshotError for anything but a complete snapshot, FileNotFoundError if there is no file.
    """
    with contextlib.suppress(FileNotFoundError):
        path.with_name(path.name + ".new").unlink()  # the temporary file of `write_atomically`
    try:
        size_bytes = path.stat().st_size
        if size_bytes > MAX_SNAPSHOT_BYTES:
            raise SnapshotError(f"too large: {size_bytes} bytes; at most {MAX_SNAPSHOT_BYTES} are read")
        data = path.read_bytes()
    except FileNotFoundError:
        raise
    except OSError as err:
        raise SnapshotError(str(err)) from err
    return decode_snapshot(data, unix_s)


def _checked_body(data: bytes) -> bytes:
    """Return the body of a snapshot file after a check of its header. Raises SnapshotError."""
    if len(data) < HEADER.size:
        raise SnapshotError(f"{len(data)} bytes are fewer than the header of {HEADER.size}")
    magic, version, length, digest = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a snapshot of a broker")
    if version != VERSION:
        raise SnapshotError(f"version {version}; this broker reads {VERSION}")
    body = data[HEADER.size :]
    if len(body) != length:
        raise SnapshotError(f"a body of {len(body)} bytes, {length} are stated")
    if xxhash.xxh3_128_digest(body) != digest:
        raise SnapshotError("the checksum does not match")
    return body
