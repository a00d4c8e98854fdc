"""What this broker has seen of a site: outcomes, times, load. Counts fade: a minute ago does not outvote now."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgerbend.api import Outcome

HALF_MS = 1000.0  # evidence counts half after this: some hundred answers at any pace worth a preference
LOAD_HALF_MS = 1000.0  # load and own pace are read over one and the same window; see `limit`
FORGET_MS = 5000.0  # a server that failed counts as failing so long, unless it answers
FEW = 4.0  # less than so many outcomes say nothing of a site
MISSING = 10.0  # an attempt out for so many usual times is as good as lost
MISSING_LEAST_MS = 150.0  # but no sooner: a pause of a server is no loss of a site
MISSING_FIRST_MS = 500.0  # while no usual time is known


class Fading:
    """A sum whose items count half after `half_ms`."""

    __slots__ = ("at", "half_ms", "value")

    def __init__(self, half_ms: float) -> None:
        self.half_ms, self.value, self.at = half_ms, 0.0, -math.inf

    def add(self, now_ms: float, amount: float) -> None:
        self.value = self.read(now_ms) + amount
        self.at = max(now_ms, self.at)

    def read(self, now_ms: float) -> float:
        if not self.value or now_ms <= self.at:
            return self.value
        return float(self.value * 2.0 ** -((now_ms - self.at) / self.half_ms))

    def pace(self, now_ms: float) -> float:
        """A millisecond, as a steady stream would have it."""
        return self.read(now_ms) * math.log(2.0) / self.half_ms


@dataclass(slots=True)
class Out:
    """An attempt under way."""

    node: int
    sent_ms: float
    missed: bool = False


@dataclass(slots=True)
class Evidence:
    """Of one site. Every sending is told by `sent`, every end by `ended`."""

    good: Fading = field(default_factory=lambda: Fading(HALF_MS))
    bad: Fading = field(default_factory=lambda: Fading(HALF_MS))
    times: Fading = field(default_factory=lambda: Fading(HALF_MS))
    load: Fading = field(default_factory=lambda: Fading(LOAD_HALF_MS))
    looks: Fading = field(default_factory=lambda: Fading(LOAD_HALF_MS))
    loads: list[float] = field(default_factory=list)  # reported since the last look
    last_load: float | None = None
    sends: Fading = field(default_factory=lambda: Fading(LOAD_HALF_MS))
    out: dict[tuple[int, int], Out] = field(default_factory=dict)
    failing: dict[int, float] = field(default_factory=dict)  # servers whose last end was bad, and when
    in_a_row: int = 0  # good ends since the last bad one
    usual_ms: float = 0.0  # slow mean of what a part takes there

    def sent(self, now_ms: float, key: tuple[int, int], node: int) -> None:
        self.sends.add(now_ms, 1.0)
        self.out[key] = Out(node, now_ms)

    def ended(
        self, now_ms: float, key: tuple[int, int], outcome: Outcome, load: float | None, missing_ms: float
    ) -> None:
        out = self.out.pop(key, None)
        if out is None:
            return
        took = now_ms - out.sent_ms
        if outcome == Outcome.OK:
            self._good(now_ms, out, took)
        elif outcome == Outcome.REJECTED:  # alive, and has no room
            self.loads.append(1.0)
        elif outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            if outcome == Outcome.CANCELLED and took > missing_ms and not out.missed:
                self._bad(now_ms, out.node)
        elif not out.missed:
            self._bad(now_ms, out.node)
        if load is not None and outcome == Outcome.OK:
            self.loads.append(min(max(load, 0.0), 1.0))

    def _good(self, now_ms: float, out: Out, took: float) -> None:
        if out.missed:  # late, but there
            self.bad.add(now_ms, -min(1.0, self.bad.read(now_ms)))
        self.good.add(now_ms, 1.0)
        self.times.add(now_ms, took)
        self.usual_ms += (took - self.usual_ms) * (0.02 if self.usual_ms else 1.0)
        self.failing.pop(out.node, None)
        self.in_a_row += 1

    def _bad(self, now_ms: float, node: int) -> None:
        self.bad.add(now_ms, 1.0)
        self.failing[node] = now_ms
        self.in_a_row = 0

    def look(self, now_ms: float) -> None:
        """Closes a stretch of time of equal length: each counts alike in the load, however many reports came in it.

        By reports alone a jump of work would show in the load at once and in the pace only later, and the limit,
        which weighs one against the other, would swing.
        """
        for node in [n for n, at in self.failing.items() if now_ms - at > FORGET_MS]:
            del self.failing[node]  # it is not asked any more: nothing would clear it
        if self.loads:
            self.last_load = sum(self.loads) / len(self.loads)
            self.loads.clear()
        if self.last_load is not None:
            self.load.add(now_ms, self.last_load)
            self.looks.add(now_ms, 1.0)

    def refused_connection(self, now_ms: float, node: int) -> None:
        """A connection opened ahead did not come about."""
        self._bad(now_ms, node)

    def miss(self, now_ms: float, missing_ms: float) -> None:
        """Counts attempts that are out for too long: a site that swallows all sends no word of it."""
        for out in self.out.values():
            if now_ms - out.sent_ms <= missing_ms:
                break  # in the order of their sending
            if not out.missed:
                out.missed = True
                self._bad(now_ms, out.node)

    def forget(self) -> None:
        """What was seen belongs to a time that is over; loads and what is out stay."""
        for fading in (self.good, self.bad, self.times):
            fading.value = 0.0
        self.in_a_row = 0

    def success(self, now_ms: float) -> float | None:
        """The share of recent ends that were good; None where there are too few."""
        good, bad = self.good.read(now_ms), self.bad.read(now_ms)
        return good / (good + bad) if good + bad >= FEW else None

    def took_ms(self, now_ms: float) -> float | None:
        good = self.good.read(now_ms)
        return self.times.read(now_ms) / good if good >= FEW else None

    def used(self, now_ms: float) -> float | None:
        """The share of its capacity in use by everyone's work, as its servers report it."""
        looks = self.looks.read(now_ms)
        return self.load.read(now_ms) / looks if looks >= 1.0 else None


def missing_ms(usual_ms: float) -> float:
    """The age at which an attempt counts as lost."""
    return max(MISSING * usual_ms, MISSING_LEAST_MS) if usual_ms else MISSING_FIRST_MS
