"""One moving wake-up on an asyncio loop, for a core that says when it has something to do."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

Clock = Callable[[], float]
monotonic: Clock = time.monotonic


class Timer:
    """Calls `due` at the time last asked for."""

    def __init__(self, clock: Clock, due: Callable[[], None]) -> None:
        self.clock, self.due = clock, due
        self.loop = asyncio.get_running_loop()
        self._at = math.inf
        self._handle: asyncio.TimerHandle | None = None

    def schedule(self, at: float) -> None:
        """The next time; infinite for none."""
        if at == self._at and self._handle is not None:
            return
        self.cancel()
        self._at = at
        if not math.isinf(at):
            self._handle = self.loop.call_later(max(at - self.clock(), 0.0), self._run)

    def cancel(self) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle, self._at = None, math.inf

    def _run(self) -> None:
        self._handle, self._at = None, math.inf
        self.due()
