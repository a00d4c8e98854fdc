"""Timers of the membership protocol: typed, in a queue, fired by the caller's clock."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass
from itertools import count


@dataclass(frozen=True, slots=True)
class DirectProbeTimeout:
    """A probed member has not answered directly; others are asked to ping it. seq: of the ping."""

    seq: int


@dataclass(frozen=True, slots=True)
class ProbeTimeout:
    """A probe ends without an answer. seq: of the ping."""

    seq: int


@dataclass(frozen=True, slots=True)
class IndirectProbeTimeout:
    """A probe on another member's behalf ends without an answer. seq: of the ping."""

    seq: int


@dataclass(frozen=True, slots=True)
class SuspicionTimeout:
    """A suspicion may have timed out; it has not if its deadline was set anew. name: of the member."""

    name: str


Timer = DirectProbeTimeout | ProbeTimeout | IndirectProbeTimeout | SuspicionTimeout


class TimerQueue:
    """Timers by the time at which they are due; at equal times in the order in which they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = count()

    @property
    def next_at(self) -> float:
        """When the first timer is due; infinity if there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def set(self, at: float, timer: Timer) -> None:
        """Set a timer."""
        heapq.heappush(self._heap, (at, next(self._order), timer))

    def pop_due(self, now: float) -> Timer | None:
        """Remove and return the first timer if it is due."""
        if self.next_at > now:
            return None
        return heapq.heappop(self._heap)[2]
