"""The store's thread: whatever has gathered while the disk was busy goes to it as one write and one sync.

The loop is told of each with the number of its last record. After a failure the loop is told once, and nothing more.
"""

from __future__ import annotations

import asyncio
import queue
import threading
from collections.abc import Callable, Sequence

from badgerbend.consensus.messages import Record, Snapshot
from badgerbend.wal.store import Store


class GroupCommitWriter:
    """Persists records in a thread of its own.

    on_persisted: called on the loop with a record's number once it and all before it are on disk.
    on_failed: called on the loop with what went wrong, once.
    """

    def __init__(
        self,
        store: Store,
        loop: asyncio.AbstractEventLoop,
        on_persisted: Callable[[int], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self.store, self.loop = store, loop
        self.on_persisted, self.on_failed = on_persisted, on_failed
        self.sync_count = 0
        self.record_count = 0
        self._queue: queue.SimpleQueue[list[tuple[int, Record]] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="voter's disk", daemon=True)
        self._thread.start()

    def write(self, records: Sequence[tuple[int, Record]]) -> None:
        """Records in their order, with their numbers."""
        self._queue.put(list(records))

    def close(self) -> None:
        """Writes what is left, and ends."""
        self._queue.put(None)
        self._thread.join()
        self.store.close()

    # -- the thread's
    def _run(self) -> None:
        ending = False
        while not ending:
            taken = self._queue.get()
            rows = list[tuple[int, Record]]()
            while True:
                ending = ending or taken is None
                rows += taken or ()
                if self._queue.empty():
                    break
                taken = self._queue.get()
            if not rows:
                continue
            try:
                self._keep([record for _, record in rows])
            except OSError as err:
                self._tell(self.on_failed, str(err))
                return
            self.sync_count += 1
            self.record_count += len(rows)
            self._tell(self.on_persisted, rows[-1][0])

    def _keep(self, records: list[Record]) -> None:
        """A snapshot makes most of what came before it needless: a new segment takes its place."""
        self.store.append(records)
        if any(isinstance(record, Snapshot) for record in records):
            self.store.compact()

    def _tell(self, what: Callable[..., None], value: object) -> None:
        try:
            self.loop.call_soon_threadsafe(what, value)
        except RuntimeError:  # the loop has ended before the thread
            return
