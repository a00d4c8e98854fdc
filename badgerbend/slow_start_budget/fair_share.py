"""Max-min fair division of the rate that some brokers leave unused among those that need more."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class RateDemand:
    """A broker's own rate for a resource and the rate that it would use, in parts per millisecond."""

    own_rate: float
    demand_rate: float


@dataclass(frozen=True, slots=True)
class _WaterLevel:
    """The result of water-filling.

    level: the most that any broker gets in addition to its own rate. unclaimed: the spare rate that no broker needs.
    """

    level: float
    unclaimed: float


def fair_rate(demands: Mapping[str, RateDemand], broker: str) -> float:
    """Returns a broker's fair fraction of the sum of all own rates, in parts per millisecond.

    A broker gets its demand as far as its own rate covers it. The rate that brokers leave unused is divided max-min
    fairly among those that need more. What remains after that goes back to the brokers that left it unused, in
    proportion, so that a broker whose traffic arrives a moment later can use its rate at once.
    """
    spare = sum(max(demand.own_rate - demand.demand_rate, 0.0) for demand in demands.values())
    excess = [max(demand.demand_rate - demand.own_rate, 0.0) for demand in demands.values()]
    water = _water_level(excess, spare)
    own = demands[broker]
    if own.demand_rate >= own.own_rate:
        return own.own_rate + min(own.demand_rate - own.own_rate, water.level)
    used_fraction = (spare - water.unclaimed) / spare
    return own.own_rate - (own.own_rate - own.demand_rate) * used_fraction


def _water_level(excess: Sequence[float], spare: float) -> _WaterLevel:
    level = 0.0
    unclaimed = spare
    ascending = sorted(excess)
    for index, rate in enumerate(ascending):
        remaining = len(ascending) - index
        step = min(rate - level, unclaimed / remaining)
        level += step
        unclaimed -= step * remaining
    return _WaterLevel(level, unclaimed)
