"""Max-min fair division of the rate that some brokers leave unused among those that need more. Pure."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(slots=True)
class RateDemand:
    """A broker's own rate for a resource and the rate that it would use, in parts a millisecond."""

    own_rate: float
    demand_rate: float


@dataclass(frozen=True, slots=True)
class _WaterLevel:
    """level: what everybody gets who wants at least so much more. left: the spare rate that nobody wants."""

    level: float
    left: float


def fair_rate(demands: Mapping[str, RateDemand], broker: str) -> float:
    """A broker's fair part of the sum of all own rates, in parts a millisecond.

    It gets its demand as far as its own rate covers it. What brokers leave unused is divided max-min fairly among
    those that want more. What is left after that goes back in proportion to what each left unused, so that a broker
    whose traffic comes a moment later has its rate ready.
    """
    spare = sum(max(demand.own_rate - demand.demand_rate, 0.0) for demand in demands.values())
    excess = [max(demand.demand_rate - demand.own_rate, 0.0) for demand in demands.values()]
    water = _water_level(excess, spare)
    own = demands[broker]
    if own.demand_rate >= own.own_rate:
        return own.own_rate + min(own.demand_rate - own.own_rate, water.level)
    used_fraction = (spare - water.left) / spare
    return own.own_rate - (own.own_rate - own.demand_rate) * used_fraction


def _water_level(wanted: Sequence[float], spare: float) -> _WaterLevel:
    level = 0.0
    left = spare
    ascending = sorted(wanted)
    for index, rate in enumerate(ascending):
        remaining = len(ascending) - index
        step = min(rate - level, left / remaining)
        level += step
        left -= step * remaining
    return _WaterLevel(level, left)
