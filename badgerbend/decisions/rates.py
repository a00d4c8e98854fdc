"""How often things happened lately: sliding windows of event times, and rates derived from them."""

from __future__ import annotations

from collections import deque
from math import inf

from badgerbend import api
from badgerbend.decisions.timing import REFRESH_INTERVAL_MS, TICK_MS

WINDOW_MS = 10_000.0
"""Age limit of what rates and latencies are derived from: after a shift, what was before it is forgotten this soon."""


class EventWindow:
    """The times of recent events of one kind, in milliseconds."""

    __slots__ = ("_retention_ms", "_times_ms")

    def __init__(self, retention_ms: float) -> None:
        self._retention_ms = retention_ms
        self._times_ms: deque[float] = deque()

    def __len__(self) -> int:
        return len(self._times_ms)

    def add(self, now_ms: float) -> None:
        """Counts one event."""
        times = self._times_ms
        oldest = now_ms - self._retention_ms
        while times and times[0] < oldest:
            times.popleft()
        times.append(now_ms)

    def count(self, now_ms: float, window_ms: float) -> int:
        """The number of events in the window. Older ones are dropped: each kind is counted over one window alone."""
        times = self._times_ms
        oldest = now_ms - window_ms
        while times and times[0] < oldest:
            times.popleft()
        return len(times)


class TrafficRates:
    """Counts of queries, parts, attempts and retries at this broker."""

    def __init__(self, settings: api.Settings) -> None:
        self._retention_ms = max(WINDOW_MS, settings.retry_budget_window_ms or 0.0) + TICK_MS
        self._began_ms = inf
        self.queries = EventWindow(self._retention_ms)
        self.accepted = EventWindow(self._retention_ms)  # queries and parts, which the retry budget is a share of
        self.attempts = EventWindow(self._retention_ms)
        self.retries = EventWindow(self._retention_ms)
        self.tenants: dict[int, EventWindow] = {}

    def begin(self, now_ms: float) -> None:
        """Notes that the broker was running at this time."""
        self._began_ms = min(self._began_ms, now_ms)

    def tenant(self, tenant: int) -> EventWindow:
        """The queries of one tenant."""
        window = self.tenants.get(tenant)
        if window is None:
            window = self.tenants[tenant] = EventWindow(self._retention_ms)
        return window

    def per_ms(self, events: EventWindow, now_ms: float) -> float:
        """Events a millisecond, over the window or the shorter time since the broker began."""
        return events.count(now_ms, WINDOW_MS) / max(min(WINDOW_MS, now_ms - self._began_ms), REFRESH_INTERVAL_MS)
