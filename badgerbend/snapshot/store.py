"""One file that survives a crash at any point (`disk.write_atomically`).

Layout: magic (8 bytes), version (2), length of the body (8), xxh3-128 of the body (16), body. The body is a record in
MessagePack with the wall-clock time of writing; a record that comes back is as old as its absence. A wall clock that
went back makes it stale instead of fresh.
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
HEAD = struct.Struct(">8sHQ16s")
MAX_SNAPSHOT_BYTES = 2_000_000


class SnapshotError(Exception):
    """The file is no snapshot that can be used; the text says why."""


class SnapshotBody(msgspec.Struct):
    """The content of a snapshot file: when it was written, in seconds of the wall clock, and the encoded record."""

    written_s: float
    record: bytes


def encode_snapshot(record: KnowledgeRecord, unix_s: float) -> bytes:
    """The file's bytes."""
    body = msgspec.msgpack.encode(SnapshotBody(unix_s, encode(record)))
    return HEAD.pack(MAGIC, VERSION, len(body), xxhash.xxh3_128_digest(body)) + body


def decode_snapshot(data: bytes, unix_s: float) -> KnowledgeRecord:
    """The record, as old as it is now. Raises BadSnapshot."""
    if len(data) < HEAD.size:
        raise SnapshotError(f"{len(data)} bytes are too few")
    magic, version, length, digest = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise SnapshotError("not a snapshot of a broker")
    if version != VERSION:
        raise SnapshotError(f"version {version}; this broker reads {VERSION}")
    body = data[HEAD.size :]
    if len(body) != length:
        raise SnapshotError(f"{len(body)} bytes of {length}")
    if xxhash.xxh3_128_digest(body) != digest:
        raise SnapshotError("its check sum does not fit")
    try:
        found = msgspec.msgpack.decode(body, type=SnapshotBody)
        record = decode(found.record)
    except (msgspec.MsgspecError, RecordError) as err:
        raise SnapshotError(str(err)) from err
    absent_s = unix_s - found.written_s
    if not 0 <= absent_s < 1e9:
        raise SnapshotError("written in the future: the clock has gone back")
    return aged(record, absent_s * 1000.0)


def read_snapshot(path: Path, unix_s: float) -> KnowledgeRecord:
    """Raises BadSnapshot for anything but a whole snapshot, FileNotFoundError where there is none."""
    with contextlib.suppress(FileNotFoundError):
        path.with_name(path.name + ".new").unlink()  # what a crash left half written
    try:
        if path.stat().st_size > MAX_SNAPSHOT_BYTES:
            raise SnapshotError("too large")
        data = path.read_bytes()
    except FileNotFoundError:
        raise
    except OSError as err:
        raise SnapshotError(str(err)) from err
    return decode_snapshot(data, unix_s)
