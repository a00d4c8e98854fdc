"""Recent event rates, derived from sliding windows of event times."""

from __future__ import annotations

from collections import deque
from math import inf

from badgerbend import api
from badgerbend.decisions.timing import REFRESH_INTERVAL_MS, TICK_MS

WINDOW_MS = 10_000.0
"""Window of the events and samples that estimates are derived from, and so the time in which they adapt to a change."""


class EventWindow:
    """The times of recent events of one kind, in milliseconds."""

    __slots__ = ("_retention_ms", "_times_ms")

    def __init__(self, retention_ms: float) -> None:
        self._retention_ms = retention_ms
        self._times_ms: deque[float] = deque()

    def __len__(self) -> int:
        return len(self._times_ms)

    def add(self, now_ms: float) -> None:
        """Records an event."""
        times = self._times_ms
        oldest = now_ms - self._retention_ms
        while times and times[0] < oldest:
            times.popleft()
        times.append(now_ms)

    def count(self, now_ms: float, window_ms: float) -> int:
        """The number of events in the window. Older events are dropped: a kind must always use the same window."""
        times = self._times_ms
        oldest = now_ms - window_ms
        while times and times[0] < oldest:
            times.popleft()
        return len(times)


class TrafficRates:
    """Recent queries, parts, attempts and retries at this broker."""

    def __init__(self, settings: api.Settings) -> None:
        self._retention_ms = max(WINDOW_MS, settings.retry_budget_window_ms or 0.0) + TICK_MS
        self._began_ms = inf
        self.queries = EventWindow(self._retention_ms)
        self.accepted = EventWindow(self._retention_ms)  # queries and parts, the base of the retry budget
        self.attempts = EventWindow(self._retention_ms)
        self.retries = EventWindow(self._retention_ms)
        self.tenants: dict[int, EventWindow] = {}

    def begin(self, now_ms: float) -> None:
        """Records that the broker is running; the first call sets the start of all rates."""
        self._began_ms = min(self._began_ms, now_ms)

    def tenant(self, tenant: int) -> EventWindow:
        """The recent queries of a tenant."""
        window = self.tenants.get(tenant)
        if window is None:
            window = self.tenants[tenant] = EventWindow(self._retention_ms)
        return window

    def per_ms(self, events: EventWindow, now_ms: float) -> float:
        """Events per millisecond over the window, or over the time since the broker started if that is shorter."""
        return events.count(now_ms, WINDOW_MS) / max(min(WINDOW_MS, now_ms - self._began_ms), REFRESH_INTERVAL_MS)
