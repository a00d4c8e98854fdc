"""The driver's schedule on an asyncio event loop: one timer for the next turn, moved only for an earlier turn."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


def now_ms() -> float:
    """Returns milliseconds of the monotonic clock; the time of an event loop may count whole milliseconds only."""
    return time.monotonic() * 1000.0


class LoopSchedule:
    """The `Schedule` on an event loop. turn: set to the driver's `turn` once the driver exists."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.turn: Callable[[], None] = lambda: None
        self._turn_scheduled = self._closed = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    def now_ms(self) -> float:
        return now_ms()

    def close(self) -> None:
        """Prevents all further turns."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def wake(self, at_ms: float | None) -> None:
        if self._closed:
            return
        if at_ms is None:
            if not self._turn_scheduled:
                self._turn_scheduled = True
                self.loop.call_soon(self._run)
        elif at_ms < self._timer_at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = at_ms
            self._timer = self.loop.call_later(max(at_ms - self.now_ms(), 0.0) / 1000.0, self._run_timer)

    def _run_timer(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        if not self._turn_scheduled:
            self.turn()

    def _run(self) -> None:
        self._turn_scheduled = False
        if not self._closed:
            self.turn()
