"""The broker's own snapshot file, which is read at startup and written periodically and at shutdown."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from badgerbend.config.settings import Snapshot
from badgerbend.disk import write_atomically
from badgerbend.knowledge.record import KnowledgeRecord
from badgerbend.log import get_logger
from badgerbend.snapshot.store import SnapshotError, encode_snapshot, read_snapshot


class OwnSnapshot:
    """Saves this broker's record in a file. Errors are logged and never make the broker fail."""

    def __init__(self, settings: Snapshot, record: Callable[[], KnowledgeRecord]) -> None:
        self._path = Path(settings.file)
        self._interval_s = settings.every_ms / 1000.0
        self._record = record
        self._log = get_logger(part="learning")
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._write_in_progress: asyncio.Future[None] | None = None

    def restore(self) -> KnowledgeRecord | None:
        """Read the record of the previous run; None if there is none that can be used."""
        try:
            return read_snapshot(self._path, time.time())
        except FileNotFoundError:
            self._log.info("no snapshot file yet", file=str(self._path))
        except SnapshotError as err:
            self._log.warning("snapshot not used", file=str(self._path), why=str(err))
        return None

    def start(self) -> None:
        """Start to write periodically."""
        self._timer = self._loop.call_later(self._interval_s, self._write_periodically)

    def stop(self) -> None:
        """Stop writing periodically."""
        if self._timer is not None:
            self._timer.cancel()

    async def write_last(self) -> None:
        """Write the record a last time, after any write in progress. Blocks the event loop while it writes."""
        if self._write_in_progress is not None:
            await asyncio.wait([self._write_in_progress])
        self._write(encode_snapshot(self._record(), time.time()))

    def _write_periodically(self) -> None:
        # At most one write is in progress, so that a slow disk only delays the next write.
        if self._write_in_progress is None or self._write_in_progress.done():
            data = encode_snapshot(self._record(), time.time())
            self._write_in_progress = self._loop.run_in_executor(None, self._write, data)
        self.start()

    def _write(self, data: bytes) -> None:
        try:
            write_atomically(self._path, data)
        except OSError as err:
            self._log.warning("snapshot not written", file=str(self._path), why=str(err))
