"""Scale test of the feed: publisher, log, seven relays and hollow followers, in processes of this machine over TCP.

By followers. What it leaves out: agreement among voters (the log has one machine), and what a broker does beside its
replica. Hundreds of followers share a process: times at 1,900 hold what they wait for each other there, which a fleet's
brokers do not. So 32 followers, four of each zone, are apart in processes of eight; the relays they use serve all the
others too. Bytes are those of TCP's payload.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from scale.feed_content import ROW_CHANGES_A_DAY
from scale.feed_figures import MEGABYTE
from scale.feed_fleet import Fleet
from scale.feed_scenarios import FULL, SMALL, Plan, Scenarios
from scale.feed_single_follower import Alone, alone
from scale.feed_whole_list import WholeList, whole_list
from scale.figures import Figure, Kind, Part
from scale.planned_fleet import BROKERS, DAY_S

FULL_SIZES, SMALL_SIZES = (100, 400, 1_900), (8, 16, 32)
ROW_CHANGES_A_SECOND = ROW_CHANGES_A_DAY / DAY_S


def plan_for(size: int) -> Plan:
    """Sizes of CI are short of nodes and of time."""
    return SMALL if size <= max(SMALL_SIZES) else FULL


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """All figures, size after size."""
    figures: list[Figure] = []
    plan = plan_for(max(sizes))
    one, today = asyncio.run(alone(plan.nodes, seed)), whole_list(plan.nodes)
    for size in sizes:
        figures += asyncio.run(_scenarios(size, plan, seed))
        figures += _alone_figures(one, size)
        figures += _today_figures(today, size)
    return figures


async def _scenarios(size: int, plan: Plan, seed: int) -> list[Figure]:
    async with Fleet(size, plan.processes, plan.nodes, seed) as fleet:
        scenarios = Scenarios(fleet, plan)
        await scenarios.run()
        return scenarios.figures.found


def _alone_figures(one: Alone, size: int) -> list[Figure]:
    """The same at each size: what a follower takes does not depend on how many there are."""

    def figure(quantity: str, unit: str, value: float, kind: Kind = Kind.MEASURED) -> Figure:
        return Figure("feed", "alone", quantity, unit, size, value, kind)

    return [
        figure("memory of a replica", "MB", one.resident / MEGABYTE),
        figure("peak, first snapshot", "MB", one.first_peak / MEGABYTE),
        figure("peak, snapshot over a replica", "MB", one.again_peak / MEGABYTE),
        figure("processor, first snapshot", "ms", one.first_cpu_s * 1000.0),
        figure("first snapshot", "bytes", one.received),
    ]


def _today_figures(today: WholeList, size: int) -> list[Figure]:
    """One read is measured; a second of it is that read at the ordinary day's rate."""

    def figure(quantity: str, unit: str, value: float, kind: Kind = Kind.EXTRAPOLATED) -> Figure:
        return Figure("feed", "today, whole lists", quantity, unit, size, value, kind)

    return [
        figure("one read", "bytes", today.body_bytes, Kind.MEASURED),
        figure("one read, processor", "ms", today.cpu_s * 1000.0, Kind.MEASURED),
        figure("a broker received", "bytes/s", today.body_bytes * ROW_CHANGES_A_SECOND),
        figure("processor, a broker", "% of a core", today.cpu_s * ROW_CHANGES_A_SECOND * 100.0),
        figure("servers sent, all brokers", "MB/s", today.body_bytes * ROW_CHANGES_A_SECOND * size / 1e6),
    ]


PART = Part("feed", "followers", FULL_SIZES, SMALL_SIZES, BROKERS, measure)
