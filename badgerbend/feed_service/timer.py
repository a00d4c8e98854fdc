"""A timer on an asyncio event loop for a state machine that knows when it next has something to do."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

Clock = Callable[[], float]  # monotonic time in seconds
monotonic: Clock = time.monotonic


class Timer:
    """Calls `on_due` once at the most recently scheduled time. Created and used on one running event loop."""

    def __init__(self, clock: Clock, on_due: Callable[[], None]) -> None:
        self.clock = clock
        self.on_due = on_due
        self.loop = asyncio.get_running_loop()
        self._due_at = math.inf
        self._handle: asyncio.TimerHandle | None = None

    def schedule(self, due_at: float) -> None:
        """Replace the scheduled time, which is in seconds of `clock`. Infinity schedules nothing."""
        if due_at == self._due_at and self._handle is not None:
            return
        self.cancel()
        self._due_at = due_at
        if not math.isinf(due_at):
            self._handle = self.loop.call_later(max(due_at - self.clock(), 0.0), self._run)

    def cancel(self) -> None:
        """Cancel the scheduled call, if there is one."""
        if self._handle is not None:
            self._handle.cancel()
        self._clear()

    def _clear(self) -> None:
        self._handle = None
        self._due_at = math.inf

    def _run(self) -> None:
        self._clear()
        self.on_due()
