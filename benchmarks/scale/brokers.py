"""Scale benchmark of what brokers cost each other, membership excepted, by number of brokers.

It covers the records of observations that brokers exchange, duties and their voters, the slow-start budget, and which
of the product's limits each size exceeds. The number of nodes per broker is that of the planned fleet.
"""

from __future__ import annotations

from collections.abc import Sequence

from scale import duties, limits, records, slow_start_budget
from scale.figures import Figure, Part
from scale.planned_fleet import BROKERS, nodes_for


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    return [figure for size in sizes for figure in at_size(size, seed)]


def at_size(brokers: int, seed: int) -> list[Figure]:
    nodes = nodes_for(brokers)
    results = records.figures(brokers, nodes)
    results += duties.figures(brokers, seed)
    results += slow_start_budget.figures(brokers)
    return results + limits.figures(brokers, nodes)


# At 64 brokers the three regions have more candidates than the 48 places for frequent ones, so some send seldom.
PART = Part("brokers", "brokers", (64, 256, 1024, BROKERS), (8, 16, 32, 64), BROKERS, measure)
