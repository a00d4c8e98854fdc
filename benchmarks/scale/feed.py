"""Scale benchmark of the feed, by number of followers: publisher, log, seven relays and followers, over TCP.

All processes run on this machine. Left out are the agreement among voters (the log is on one machine) and what a broker
does besides keeping its replica. Hundreds of followers share a process, so the times at 1,900 followers include waiting
for each other, which the brokers of a fleet do not do. Therefore 32 followers, four of each zone, run in uncrowded
processes of eight; the relays that they use also serve all the others. Bytes are those of the TCP payload.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from scale.feed_content import ROW_CHANGES_PER_DAY
from scale.feed_figures import MEGABYTE
from scale.feed_fleet import Fleet
from scale.feed_scenarios import FULL, SMALL, Plan, Scenarios
from scale.feed_single_follower import SingleFollowerCost, single_follower_cost
from scale.feed_whole_list import WholeListCost, read_whole_list
from scale.figures import Figure, Kind, Part
from scale.planned_fleet import BROKERS, DAY_S

FULL_SIZES, SMALL_SIZES = (100, 400, 1_900), (8, 16, 32)
ROW_CHANGES_PER_SECOND = ROW_CHANGES_PER_DAY / DAY_S


def plan_for(size: int) -> Plan:
    """Returns the plan for a run whose largest size is this; the sizes of CI get few nodes and short scenarios."""
    return SMALL if size <= max(SMALL_SIZES) else FULL


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """Returns all figures, one size after the other."""
    figures: list[Figure] = []
    plan = plan_for(max(sizes))
    single, whole = asyncio.run(single_follower_cost(plan.nodes, seed)), read_whole_list(plan.nodes)
    for size in sizes:
        figures += asyncio.run(_scenarios(size, plan, seed))
        figures += _single_follower_figures(single, size)
        figures += _whole_list_figures(whole, size)
    return figures


async def _scenarios(size: int, plan: Plan, seed: int) -> list[Figure]:
    async with Fleet(size, plan.processes, plan.nodes, seed) as fleet:
        scenarios = Scenarios(fleet, plan)
        await scenarios.run()
        return scenarios.figures.figures


def _single_follower_figures(cost: SingleFollowerCost, size: int) -> list[Figure]:
    """Returns the same values at each size: the cost of one follower does not depend on how many there are."""

    def figure(quantity: str, unit: str, value: float, kind: Kind = Kind.MEASURED) -> Figure:
        return Figure("feed", "alone", quantity, unit, size, value, kind)

    return [
        figure("memory of a replica", "MB", cost.resident / MEGABYTE),
        figure("peak, first snapshot", "MB", cost.snapshot_peak / MEGABYTE),
        figure("peak, snapshot over a replica", "MB", cost.resnapshot_peak / MEGABYTE),
        figure("processor, first snapshot", "ms", cost.snapshot_cpu_s * 1000.0),
        figure("first snapshot", "bytes", cost.received),
    ]


def _whole_list_figures(cost: WholeListCost, size: int) -> list[Figure]:
    """Returns the cost of one read, as measured, and extrapolations to the rate of changes on an ordinary day."""

    def figure(quantity: str, unit: str, value: float, kind: Kind = Kind.EXTRAPOLATED) -> Figure:
        return Figure("feed", "today, whole lists", quantity, unit, size, value, kind)

    return [
        figure("one read", "bytes", cost.body_bytes, Kind.MEASURED),
        figure("one read, processor", "ms", cost.cpu_s * 1000.0, Kind.MEASURED),
        figure("a broker received", "bytes/s", cost.body_bytes * ROW_CHANGES_PER_SECOND),
        figure("processor, a broker", "% of a core", cost.cpu_s * ROW_CHANGES_PER_SECOND * 100.0),
        figure("servers sent, all brokers", "MB/s", cost.body_bytes * ROW_CHANGES_PER_SECOND * size / 1e6),
    ]


PART = Part("feed", "followers", FULL_SIZES, SMALL_SIZES, BROKERS, measure)
