"""What brokers cost each other beside membership, by brokers: records of what they have seen, duties, voters; and which
of the product's limits a size breaks. Nodes grow with brokers as in the fleet to come."""

from __future__ import annotations

from collections.abc import Sequence

from scale import duties, limits, records, slow_start_budget
from scale.figures import Figure, Part
from scale.planned_fleet import BROKERS, nodes_beside


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    return [figure for size in sizes for figure in at_size(size, seed)]


def at_size(brokers: int, seed: int) -> list[Figure]:
    nodes = nodes_beside(brokers)
    found = records.figures(brokers, nodes)
    found += duties.figures(brokers, seed)
    found += slow_start_budget.figures(brokers)
    return found + limits.figures(brokers, nodes)


# At 64 some brokers are heard seldom: three regions have 48 places for those heard often.
PART = Part("brokers", "brokers", (64, 256, 1024, BROKERS), (8, 16, 32, 64), BROKERS, measure)
