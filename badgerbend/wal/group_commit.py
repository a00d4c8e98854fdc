"""Group commit: a thread writes and syncs together all records that accumulate while the disk is busy.

After each group, the event loop receives the number of the last record on disk. A failure is reported once, and nothing
is written after it.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

from badgerbend.consensus.messages import Record, Snapshot
from badgerbend.consensus.ready import SequencedRecord
from badgerbend.wal.store import Store

T = TypeVar("T")


class Group(NamedTuple):
    """Records to write together. is_last: the writer is being closed, so no group follows."""

    records: list[SequencedRecord]
    is_last: bool


class GroupCommitWriter:
    """Writes records to a store in a thread of its own.

    on_persisted: called on the loop with the number of a record once it and all records before it are on disk.
    on_failed: called once on the loop, with the error message. sync_count, record_count: the number of groups synced,
    and of the records in them.
    """

    def __init__(
        self,
        store: Store,
        loop: asyncio.AbstractEventLoop,
        on_persisted: Callable[[int], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self.store = store
        self.loop = loop
        self.on_persisted = on_persisted
        self.on_failed = on_failed
        self.sync_count = 0
        self.record_count = 0
        self._queue: queue.SimpleQueue[Sequence[SequencedRecord] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="voter's disk", daemon=True)
        self._thread.start()

    def write(self, records: Sequence[SequencedRecord]) -> None:
        """Queue records to be written in this order."""
        self._queue.put(list(records))

    def close(self) -> None:
        """Write the remaining records, end the thread, and close the store."""
        self._queue.put(None)
        self._thread.join()
        self.store.close()

    def _run(self) -> None:
        """Write groups until the writer is closed or the disk fails. This and the methods below run in the thread."""
        is_last = False
        while not is_last:
            records, is_last = self._next_group()
            if not records:
                continue
            try:
                self._persist([record for _, record in records])
            except OSError as err:
                self._notify(self.on_failed, str(err))
                return
            self.sync_count += 1
            self.record_count += len(records)
            self._notify(self.on_persisted, records[-1].sequence)

    def _next_group(self) -> Group:
        """Wait for records, and return all that are queued."""
        records: list[SequencedRecord] = []
        is_last = False
        while True:
            queued = self._queue.get()
            if queued is None:
                is_last = True
            else:
                records += queued
            if self._queue.empty():
                return Group(records, is_last)

    def _persist(self, records: list[Record]) -> None:
        """Write and sync records. A snapshot supersedes most earlier records, so it starts a new segment."""
        self.store.append(records)
        if any(isinstance(record, Snapshot) for record in records):
            self.store.compact()

    def _notify(self, callback: Callable[[T], None], value: T) -> None:
        try:
            self.loop.call_soon_threadsafe(callback, value)
        except RuntimeError:  # the loop was closed before the thread ended
            return
