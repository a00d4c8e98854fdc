"""Timers of the lease service on the asyncio event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class RepeatingTimer:
    """Calls a function repeatedly until the timer is cancelled.

    next_delay_s: called before each call of the function; returns the time until the one after it, so that each delay
    can have its own jitter.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, callback: Callable[[], None], next_delay_s: Callable[[], float]
    ) -> None:
        self._loop = loop
        self._callback = callback
        self._next_delay_s = next_delay_s
        self._handle: asyncio.TimerHandle | None = None

    def start(self, first_delay_s: float) -> None:
        """Schedules the first call."""
        self._handle = self._loop.call_later(first_delay_s, self._run)

    def cancel(self) -> None:
        """Cancels all further calls."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _run(self) -> None:
        self._handle = self._loop.call_later(self._next_delay_s(), self._run)
        self._callback()
