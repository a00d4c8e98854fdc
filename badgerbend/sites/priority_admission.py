"""Admission by priority while capacity does not suffice for all queries: the least weight per part is shed first.

Demand is counted by band: a class of queries, within or beyond its tenant's quota. The priority of a band is the
weight of its class, multiplied by the configured factor if beyond the quota, and divided by the number of parts that
its queries need. Capacity is allotted to bands in the order of their priority. A band for which only some capacity
remains is admitted at that share, by an accumulated credit instead of at random, so that admission is smooth. Surplus
parts, beyond the least number that answers a query, are shed before any query: they are sent only if the needed parts
of all queries leave capacity.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from badgerbend.sites.decaying import DecayingSum

DEMAND_HALF_LIFE_MS = 2000.0  # long enough for a steady share, and short enough to follow the load
PRIORITY_WEIGHT = 0.1  # weight of each query in the moving average of its band's priority


class PriorityBand(NamedTuple):
    """A group of queries that are admitted with the same priority."""

    class_index: int
    over_quota: bool


def _new_demand_sum() -> DecayingSum:
    return DecayingSum(DEMAND_HALF_LIFE_MS)


@dataclass(slots=True)
class _BandDemand:
    """The demand of one band.

    priority: the mean weight per part; fewest_parts, all_parts: the demand in parts, without and with surplus parts.
    """

    priority: float = 0.0
    fewest_parts: DecayingSum = field(default_factory=_new_demand_sum)
    all_parts: DecayingSum = field(default_factory=_new_demand_sum)
    credit: float = 0.0  # a query is admitted when this reaches 1


class PriorityAdmission:
    """Tracks the demand of each band, and decides which queries are admitted."""

    def __init__(self) -> None:
        self.bands: dict[PriorityBand, _BandDemand] = {}

    def record_demand(
        self, now_ms: float, band: PriorityBand, weight: float, fewest_parts: int, all_parts: int
    ) -> None:
        """Counts a query that has arrived, whether or not it is admitted. weight: its value if it is answered."""
        demand = self.bands.setdefault(band, _BandDemand())
        change = weight / max(fewest_parts, 1) - demand.priority
        demand.priority += change * (PRIORITY_WEIGHT if demand.priority else 1.0)
        demand.fewest_parts.add(now_ms, fewest_parts)
        demand.all_parts.add(now_ms, all_parts)

    def admitted_share(self, now_ms: float, band: PriorityBand, capacity: float) -> float:
        """The share, 0 to 1, of a band's demand that fits into what bands of a higher priority leave.

        capacity: that of all bands, in parts per millisecond.
        """
        own = self.bands[band]
        remaining = capacity
        for other, demand in self.bands.items():
            if other != band and (demand.priority, other) > (own.priority, band):
                remaining -= demand.fewest_parts.rate(now_ms)
        rate = own.fewest_parts.rate(now_ms)
        return min(max(remaining / rate, 0.0), 1.0) if rate else 1.0

    def admit(self, now_ms: float, band: PriorityBand, capacity: float) -> bool:
        """Whether a query of a band, which `record_demand` has already counted, is admitted."""
        demand = self.bands[band]
        demand.credit += self.admitted_share(now_ms, band, capacity)
        if demand.credit < 1.0:
            return False
        demand.credit -= 1.0
        return True

    def surplus_fits(self, now_ms: float, capacity: float) -> bool:
        """Whether all demand fits, including its surplus parts."""
        return sum(demand.all_parts.rate(now_ms) for demand in self.bands.values()) <= capacity
