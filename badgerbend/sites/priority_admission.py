"""Admission by priority while there is not capacity for all queries: those worth least per part are shed first.

Demand is counted by band: a class of queries, within or beyond its tenant's quota. The priority of a band is the
weight of its class, times the configured factor for work beyond a quota, divided by the parts that its queries need.
Capacity goes to bands in the order of their priority. The band that fits only in part is admitted at that share, by a
running count instead of at random, so that it is smooth. Surplus parts, beyond the fewest that answer a query, are
shed first: they are sent only where the fewest parts of all queries leave capacity.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from badgerbend.sites.decaying import DecayingSum

DEMAND_HALF_LIFE_MS = 2000.0  # long enough for a steady share, short enough to follow the load
PRIORITY_WEIGHT = 0.1  # weight of one more query in a band's mean priority


class PriorityBand(NamedTuple):
    """Queries that are admitted alike."""

    class_index: int
    over_quota: bool


def _demand() -> DecayingSum:
    return DecayingSum(DEMAND_HALF_LIFE_MS)


@dataclass(slots=True)
class _BandDemand:
    """priority: the mean weight per part; fewest_parts, all_parts: asked for, without and with surplus parts."""

    priority: float = 0.0
    fewest_parts: DecayingSum = field(default_factory=_demand)
    all_parts: DecayingSum = field(default_factory=_demand)
    credit: float = 0.0  # one more query is admitted when it reaches 1


class PriorityAdmission:
    """The demand of each band, and which queries are admitted."""

    def __init__(self) -> None:
        self.bands: dict[PriorityBand, _BandDemand] = {}

    def record_demand(
        self, now_ms: float, band: PriorityBand, weight: float, fewest_parts: int, all_parts: int
    ) -> None:
        """A query has arrived, to be admitted or not. weight: what it earns when it is answered."""
        demand = self.bands.setdefault(band, _BandDemand())
        change = weight / max(fewest_parts, 1) - demand.priority
        demand.priority += change * (PRIORITY_WEIGHT if demand.priority else 1.0)
        demand.fewest_parts.add(now_ms, fewest_parts)
        demand.all_parts.add(now_ms, all_parts)

    def admitted_share(self, now_ms: float, band: PriorityBand, capacity: float) -> float:
        """The share, 0 to 1, of a band's demand that fits after all bands of a higher priority.

        capacity: parts a millisecond for all bands.
        """
        own = self.bands[band]
        remaining = capacity
        for other, demand in self.bands.items():
            if other != band and (demand.priority, other) > (own.priority, band):
                remaining -= demand.fewest_parts.rate(now_ms)
        rate = own.fewest_parts.rate(now_ms)
        return min(max(remaining / rate, 0.0), 1.0) if rate else 1.0

    def admit(self, now_ms: float, band: PriorityBand, capacity: float) -> bool:
        """Whether one more query of a band, already counted by `record_demand`, is admitted."""
        demand = self.bands[band]
        demand.credit += self.admitted_share(now_ms, band, capacity)
        if demand.credit < 1.0:
            return False
        demand.credit -= 1.0
        return True

    def surplus_fits(self, now_ms: float, capacity: float) -> bool:
        """Whether all demand fits with its surplus parts."""
        return sum(demand.all_parts.rate(now_ms) for demand in self.bands.values()) <= capacity
