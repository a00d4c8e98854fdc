"""The driver's time on an asyncio loop: one handle for the next turn, moved only when an earlier one is asked for."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


def now_ms() -> float:
    """Milliseconds on a clock that does not go backwards; the loop's own counts whole ones."""
    return time.monotonic() * 1000.0


class LoopSchedule:
    """`Schedule` on a loop. `turn` is the driver's, set once it exists."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.turn: Callable[[], None] = lambda: None
        self._soon = self._closed = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    def now_ms(self) -> float:
        return now_ms()

    def close(self) -> None:
        """No turn comes any more."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()

    def wake(self, at_ms: float | None) -> None:
        if self._closed:
            return
        if at_ms is None:
            if not self._soon:
                self._soon = True
                self.loop.call_soon(self._run)
        elif at_ms < self._timer_at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = at_ms
            self._timer = self.loop.call_later(max(at_ms - self.now_ms(), 0.0) / 1000.0, self._run_timer)

    def _run_timer(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        if not self._soon:
            self.turn()

    def _run(self) -> None:
        self._soon = False
        if not self._closed:
            self.turn()
