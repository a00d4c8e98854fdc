"""A voter's records in a folder of its own. Blocks on the disk; `group_commit` does that in a thread.

- `voter`: whose it is, written once by `create_store`, never replaced. A voter without it does not start: one that lost
  its disk and began anew under its old name could vote twice in a term.
- `log.N`: a segment. Its head says how many bytes of records it began with, in one piece; those that follow were added.
  Each record is its length, a CRC32C over length and bytes, and the bytes. A new segment is written beside, synced,
  renamed, and its folder synced, before the old one goes.
- `mark`: how many bytes of the segment were synced, written after each sync, itself not synced. It tells damage from a
  torn end: bytes up to the mark were acknowledged, and a record there that does not fit its sum means that the voter
  has forgotten something; what is beyond was acknowledged to nobody, and is cut off.

After a write or a sync that failed nothing more is written: what the disk holds is not known until it is read anew.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import re
import struct
from collections.abc import Iterator, Sequence
from pathlib import Path

import google_crc32c
import msgspec

from badgerbend.consensus.log import Log, PersistentState
from badgerbend.consensus.messages import MalformedMessageError, Record, Snapshot, decode_record, encode
from badgerbend.disk import write_all, write_atomically
from badgerbend.wal.errors import (
    REPLACE_VOTER,
    StoreDamagedError,
    StoreExistsError,
    StoreLockedError,
    StoreMissingError,
    StoreVersionError,
)

MAGIC = b"bbvote\r\n"
VERSION = 1
HEAD = struct.Struct(">8sHQI")  # magic, version, bytes it began with, CRC of these
RECORD = struct.Struct(">II")
MARK = struct.Struct(">QQI")  # segment, bytes synced, CRC of these
MAX_RECORD_BYTES = 64 << 20
SEGMENT = re.compile(r"log\.([1-9][0-9]{0,17})").fullmatch


class StoreIdentity(msgspec.Struct, frozen=True):
    """Whose a store is. voters: those that the fleet began with."""

    name: str
    voters: tuple[str, ...]
    version: int = VERSION


def create_store(folder: Path, name: str, voters: Sequence[str]) -> None:
    """A new voter's store: for one that begins a fleet, all `voters`; for one that joins, none. Raises StoreError where
    one is there already, OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise StoreExistsError(folder)
    _segment(folder, 1, [Snapshot(0, 0, tuple(voters), b"")])
    write_atomically(folder / "voter", msgspec.json.encode(StoreIdentity(name, tuple(voters))) + b"\n")


class Store:
    """An open store; only one process has it. Raises StoreError, OSError."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.broken: str | None = None  # why nothing more is written
        self.identity = read_identity(folder)
        self._lock = os.open(folder / "voter", os.O_RDONLY)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as err:
            os.close(self._lock)
            raise StoreLockedError(folder) from err
        try:
            self.segment_number, self.persistent_state, good = read_store(folder)
        except BaseException:
            os.close(self._lock)
            raise
        self._sum = PersistentState(log=Log())  # a copy of its own: `kept` is its owner's to change
        for record in self.persistent_state.records():
            self._sum.replay(record)
        self._file = os.open(folder / f"log.{self.segment_number}", os.O_RDWR)
        os.ftruncate(self._file, good)
        os.fsync(self._file)
        self.length = os.lseek(self._file, 0, os.SEEK_END)
        self._mark = os.open(folder / "mark", os.O_WRONLY | os.O_CREAT, 0o600)
        self._set_mark()
        for path in folder.glob("log.*"):
            if path.name != f"log.{self.segment_number}":
                path.unlink()  # an older one, or one half written when a crash came

    def append(self, records: Sequence[Record]) -> None:
        """Writes and syncs all of these as one; once it returns they are kept. Raises OSError, and from then on always:
        what reached the disk is not known."""
        self._whole()
        data = b"".join(_framed(encode(record)) for record in records)
        try:
            write_all(self._file, data)
            os.fdatasync(self._file)
        except OSError as err:
            self.broken = f"{self.folder}/log.{self.segment_number}: {err.strerror}"
            raise
        self.length += len(data)
        self._set_mark()
        for record in records:
            self._sum.replay(record)

    def compact(self) -> None:
        """A new segment with the fewest records that say the same takes the old one's place. Raises OSError, as
        `append`: which of the two a next start would find is not known then."""
        self._whole()
        try:
            path = _segment(self.folder, self.segment_number + 1, self._sum.records())
            file = os.open(path, os.O_RDWR)
        except OSError as err:
            self.broken = f"{self.folder}/log.{self.segment_number + 1}: {err.strerror}"
            raise
        os.close(self._file)
        old = self.folder / f"log.{self.segment_number}"
        self.segment_number, self._file = self.segment_number + 1, file
        self.length = os.lseek(file, 0, os.SEEK_END)
        self._set_mark()
        old.unlink(missing_ok=True)

    def close(self) -> None:
        for handle in (self._file, self._mark, self._lock):
            with contextlib.suppress(OSError):
                os.close(handle)

    def _whole(self) -> None:
        if self.broken is not None:
            raise OSError(f"nothing more is written after {self.broken}")

    def _set_mark(self) -> None:
        body = struct.pack(">QQ", self.segment_number, self.length)
        with contextlib.suppress(OSError):  # only tells damage from a torn end
            os.pwrite(self._mark, body + struct.pack(">I", google_crc32c.value(body)), 0)


def read_store(folder: Path) -> tuple[int, PersistentState, int]:
    """The newest segment's number, what it says, and how many of its bytes are good. Changes nothing.

    Raises StoreError, OSError.
    """
    read_identity(folder)
    numbers = [int(found[1]) for path in folder.iterdir() if (found := SEGMENT(path.name))]
    if not numbers:
        raise StoreMissingError(folder, "no log.N in it", REPLACE_VOTER)
    number = max(numbers)
    path = folder / f"log.{number}"
    data = path.read_bytes()
    if len(data) < HEAD.size:
        raise StoreDamagedError(path, f"{len(data)} bytes, too few for its head")
    magic, version, began, crc = HEAD.unpack_from(data)
    if magic != MAGIC or crc != google_crc32c.value(data[: HEAD.size - 4]):
        raise StoreDamagedError(path, "its head is damaged")
    if version != VERSION:
        raise StoreVersionError(path, version, VERSION)
    sure = max(HEAD.size + began, _marked(folder, number))
    kept, at = PersistentState(log=Log()), HEAD.size
    for at, record in _records(data):
        if record is None:
            break
        try:
            kept.replay(decode_record(record))
        except (MalformedMessageError, ValueError) as err:
            raise StoreDamagedError(path, f"the record before byte {at} cannot be: {err}") from err
    if at < sure:
        raise StoreDamagedError(path, f"damaged at byte {at} of {sure} that were kept for good")
    return number, kept, at


def _records(data: bytes) -> Iterator[tuple[int, bytes | None]]:
    """Each record, with where it ends; last, None with where the good ones end."""
    at = HEAD.size
    while len(data) - at >= RECORD.size:
        size, crc = RECORD.unpack_from(data, at)
        end = at + RECORD.size + size
        if not 0 < size <= MAX_RECORD_BYTES or end > len(data):
            break
        record = data[at + RECORD.size : end]
        if crc != _sum(size, record):
            break
        at = end
        yield at, record
    yield at, None


def _sum(size: int, record: bytes) -> int:
    return int(google_crc32c.extend(google_crc32c.value(struct.pack(">I", size)), record))


def _framed(record: bytes) -> bytes:
    return RECORD.pack(len(record), _sum(len(record), record)) + record


def read_identity(folder: Path) -> StoreIdentity:
    """Whose store it is. Raises StoreError."""
    path = folder / "voter"
    try:
        owner = msgspec.json.decode(path.read_bytes(), type=StoreIdentity)
    except FileNotFoundError as err:
        raise StoreMissingError(path, "not there", "a new voter's store is made by badgerbend voters create") from err
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise StoreDamagedError(path, f"damaged ({err})") from err
    if owner.version != VERSION:
        raise StoreVersionError(path, owner.version, VERSION)
    return owner


def _marked(folder: Path, number: int) -> int:
    """Bytes of this segment that are known to have been synced; 0 where nothing is known."""
    try:
        data = (folder / "mark").read_bytes()
    except FileNotFoundError:
        return 0
    if len(data) != MARK.size:
        return 0
    segment, length, crc = MARK.unpack(data)
    return length if segment == number and crc == google_crc32c.value(data[:-4]) else 0


def _segment(folder: Path, number: int, records: Sequence[Record]) -> Path:
    body = b"".join(_framed(encode(record)) for record in records)
    head = HEAD.pack(MAGIC, VERSION, len(body), 0)[:-4]
    path = folder / f"log.{number}"
    write_atomically(path, head + struct.pack(">I", google_crc32c.value(head)) + body)
    return path
