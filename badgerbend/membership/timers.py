"""The timers of the membership protocol, in a queue that is driven by the caller's clock."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from itertools import count


@dataclass(frozen=True, slots=True)
class DirectProbeTimeout:
    """The time for a direct ack is over; other members are asked to ping. seq: the number of the ping."""

    seq: int


@dataclass(frozen=True, slots=True)
class ProbeTimeout:
    """The time for a probe is over. seq: the sequence number of the ping."""

    seq: int


@dataclass(frozen=True, slots=True)
class IndirectProbeTimeout:
    """The time for a probe on behalf of another member is over. seq: the sequence number of the ping."""

    seq: int


@dataclass(frozen=True, slots=True)
class SuspicionTimeout:
    """A suspicion may have timed out, unless its deadline has changed. name: the name of the member."""

    name: str


Timer = DirectProbeTimeout | ProbeTimeout | IndirectProbeTimeout | SuspicionTimeout


class TimerQueue:
    """Timers ordered by the time at which they are due, and at equal times by the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = count()

    @property
    def next_at(self) -> float:
        """The time at which the first timer is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def set(self, at: float, timer: Timer) -> None:
        """Set a timer."""
        heapq.heappush(self._heap, (at, next(self._order), timer))

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the first timer if it is due."""
        if self.next_at > now:
            return None
        return heapq.heappop(self._heap)[2]
