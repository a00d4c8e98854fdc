"""When an event loop was last known to have read all that its sockets had received.

A loop that is stalled, or a process that is stopped, reads late. The kernel tells when the last bytes were received
(`receive_delay`), not when those before them were.
"""

from __future__ import annotations

import asyncio

INTERVAL_S = 0.02


class AwakeTimes:
    """Notes the time at intervals.

    last_at: what is read now was received after this time. It is the note before the latest, since the loop has looked
    for input between the two.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.last_at = self._latest_at = loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Notes the time now and at each interval."""
        self.last_at, self._latest_at = self._latest_at, self.loop.time()
        self._timer = self.loop.call_later(INTERVAL_S, self.start)

    def stop(self) -> None:
        """Ends the timer."""
        if self._timer is not None:
            self._timer.cancel()
