"""A voter's store: a folder of its own with its identity, the newest segment of its log, and the mark.

All calls block on the disk; `group_commit` makes them in a thread. Once a write or a sync has failed, nothing more is
written: the contents of the disk are unknown until they are read again at the next start.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import Record, Snapshot
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.disk import write_all
from badgerbend.wal.errors import (
    REPLACE_VOTER,
    StoreExistsError,
    StoreLockedError,
    StoreMissingError,
    StoreStoppedError,
)
from badgerbend.wal.identity import StoreIdentity, identity_path, read_identity, write_identity
from badgerbend.wal.mark import SyncMark, read_mark
from badgerbend.wal.segments import frame_record, read_segment, segment_numbers, segment_path, write_segment


class StoreContents(NamedTuple):
    """The contents of a store. valid_bytes: the length of its newest segment up to the last complete record."""

    segment_number: int
    persistent_state: PersistentState
    valid_bytes: int


def create_store(folder: Path, name: str, voters: Sequence[str]) -> None:
    """Create the store of a new voter. Raises StoreExistsError, OSError.

    voters: the initial voters if the voter starts a new group; empty if it joins an existing one.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise StoreExistsError(folder)
    write_segment(folder, 1, [Snapshot(0, 0, tuple(voters), b"")])
    write_identity(folder, StoreIdentity(name, tuple(voters)))


def read_store(folder: Path) -> StoreContents:
    """Read a store without changing it. Raises StoreError, OSError."""
    read_identity(folder)
    numbers = segment_numbers(folder)
    if not numbers:
        raise StoreMissingError(folder, "no log.N file in this folder", REPLACE_VOTER)
    number = max(numbers)
    state, valid_bytes = read_segment(segment_path(folder, number), read_mark(folder, number))
    return StoreContents(number, state, valid_bytes)


class Store:
    """An open store, locked against other processes. Opening it may raise StoreError or OSError.

    persistent_state: the state read when the store was opened; the caller may change it. segment_number, segment_bytes:
    the number and the size of the segment that is being written.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.identity = read_identity(folder)
        self._stopped: StoreStoppedError | None = None
        self._lock = _lock(folder)
        try:
            contents = read_store(folder)
        except BaseException:
            os.close(self._lock)
            raise
        self.persistent_state = contents.persistent_state
        self.segment_number = contents.segment_number
        self._written_state = _copy(contents.persistent_state)
        self._file = os.open(self._segment_path, os.O_RDWR)
        os.ftruncate(self._file, contents.valid_bytes)
        os.fsync(self._file)
        self.segment_bytes = os.lseek(self._file, 0, os.SEEK_END)
        self._mark = SyncMark(folder)
        self._mark.set(self.segment_number, self.segment_bytes)
        self._remove_other_segments()

    def append(self, records: Sequence[Record]) -> None:
        """Write and sync records together; they are on disk once this returns.

        Raises OSError. After a failure every call raises, because it is unknown which bytes reached the disk.
        """
        self._check_not_stopped()
        data = b"".join(frame_record(record) for record in records)
        try:
            write_all(self._file, data)
            os.fdatasync(self._file)
        except OSError as err:
            self._stopped = StoreStoppedError(self._segment_path, err)
            raise
        self.segment_bytes += len(data)
        self._mark.set(self.segment_number, self.segment_bytes)
        for record in records:
            self._written_state.replay(record)

    def compact(self) -> None:
        """Replace the segment by a new one with the fewest records that replay to the same state.

        Raises OSError. After a failure every call raises, because it is unknown which segment the next start will find.
        """
        self._check_not_stopped()
        number = self.segment_number + 1
        try:
            path = write_segment(self.folder, number, self._written_state.records())
            file = os.open(path, os.O_RDWR)
        except OSError as err:
            self._stopped = StoreStoppedError(segment_path(self.folder, number), err)
            raise
        old_path = self._segment_path
        os.close(self._file)
        self._file = file
        self.segment_number = number
        self.segment_bytes = os.lseek(file, 0, os.SEEK_END)
        self._mark.set(self.segment_number, self.segment_bytes)
        old_path.unlink(missing_ok=True)

    def close(self) -> None:
        """Close all files and release the lock."""
        with contextlib.suppress(OSError):
            os.close(self._file)
        self._mark.close()
        with contextlib.suppress(OSError):
            os.close(self._lock)

    @property
    def _segment_path(self) -> Path:
        return segment_path(self.folder, self.segment_number)

    def _check_not_stopped(self) -> None:
        if self._stopped is not None:
            raise self._stopped

    def _remove_other_segments(self) -> None:
        """Remove older segments, and the temporary file of a segment that a crash interrupted."""
        for path in self.folder.glob("log.*"):
            if path.name != self._segment_path.name:
                path.unlink()


def _lock(folder: Path) -> int:
    """Lock the identity file, so that no other process can open the store; return its file descriptor."""
    lock = os.open(identity_path(folder), os.O_RDONLY)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as err:
        os.close(lock)
        raise StoreLockedError(folder) from err
    return lock


def _copy(state: PersistentState) -> PersistentState:
    copy = PersistentState(log=Log())
    for record in state.records():
        copy.replay(record)
    return copy
