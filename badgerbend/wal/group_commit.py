"""Group commit: records that gather while the disk is busy are written and synced together, in a thread.

The event loop is notified of each group with the number of its last record. After a failure it is notified once, and
nothing more is written.
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
    """Records to be written together. is_last: the writer is being closed."""

    records: list[SequencedRecord]
    is_last: bool


class GroupCommitWriter:
    """Writes records to a store in a thread of its own.

    on_persisted: called on the loop with a record's number once it and all before it are on disk. on_failed: called on
    the loop with what went wrong, once. sync_count, record_count: how many syncs there were, of how many records.
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
        """Have records written, in their order."""
        self._queue.put(list(records))

    def close(self) -> None:
        """Write what is left, end the thread, and close the store."""
        self._queue.put(None)
        self._thread.join()
        self.store.close()

    def _run(self) -> None:
        """Write groups until the writer is closed or the disk fails. This and all below runs in the thread."""
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
        """Wait for records, and return all that are there."""
        records: list[SequencedRecord] = []
        is_last = False
        while True:
            gathered = self._queue.get()
            if gathered is None:
                is_last = True
            else:
                records += gathered
            if self._queue.empty():
                return Group(records, is_last)

    def _persist(self, records: list[Record]) -> None:
        """Write and sync records. A snapshot supersedes most of what was written before: it starts a new segment."""
        self.store.append(records)
        if any(isinstance(record, Snapshot) for record in records):
            self.store.compact()

    def _notify(self, callback: Callable[[T], None], value: T) -> None:
        try:
            self.loop.call_soon_threadsafe(callback, value)
        except RuntimeError:  # the loop was closed before the thread ended
            return
