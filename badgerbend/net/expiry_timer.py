"""The timer for the earliest time at which a request that waits on a connection has to be refused."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

EXPIRY_MARGIN_S = 0.005  # between the refusal of a request that waits and the end of its client's time


class ExpiryTimer:
    """Calls back a margin before the earliest time that was set."""

    __slots__ = ("_at", "_callback", "_loop", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
        self._loop, self._callback = loop, callback
        self._timer: asyncio.TimerHandle | None = None
        self._at = math.inf

    def set_earliest(self, at: float) -> None:
        """Moves the timer to an earlier time; a later one changes nothing."""
        if at < self._at:
            self.cancel()
            self._at = at
            self._timer = self._loop.call_at(at - EXPIRY_MARGIN_S, self._run)

    def cancel(self) -> None:
        """Ends the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _run(self) -> None:
        self._timer, self._at = None, math.inf
        self._callback()
