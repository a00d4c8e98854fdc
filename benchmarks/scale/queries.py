"""What one query costs a warm broker, by its number of parts and by the part of its path.

The module's step and the driver around it: in simulated time, on lists of three forms. The bytes: the product's
protocols without sockets. The whole: over loopback sockets, with nodes and client in another process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from statistics import median

from scale.figures import Figure, Kind, Part
from scale.planned_fleet import NODES
from scale.processor import collector_of_a_broker
from scale.query_bytes import BytesCost, QueryBytes
from scale.query_load import Counts, Fleet, QueryLoad
from scale.query_sockets import measured
from scale.target import PARTS, QUERIES_PER_BROKER_S, REACH


@dataclass(frozen=True, slots=True)
class Plan:
    """What is run in simulated time: the lists, how long before it counts, how long each count takes, how many."""

    fleets: tuple[Fleet, ...]
    warm_ms: int  # past a second the module knows how long answers take
    counted_ms: int
    repeats: int


FULL = (8, 32, 96, 210)
SMALL = (2, 4, 8)
FULL_PLAN = Plan(
    fleets=(
        Fleet(1_000, 250, REACH),
        Fleet(NODES, 3_250, REACH),  # as many holders a shard on a longer list
        Fleet(NODES, 250, REACH),  # as many cells
    ),
    warm_ms=1_100,
    counted_ms=300,
    repeats=3,
)
SMALL_PLAN = Plan(
    fleets=(Fleet(100, 25, REACH), Fleet(400, 100, REACH), Fleet(400, 25, REACH)),
    warm_ms=200,
    counted_ms=100,
    repeats=3,
)
WARM_QUERIES, COUNTED_QUERIES = 20, 101
MICROSECONDS = 1e6


def _figure(scenario: str, quantity: str, unit: str, size: int, value: float, kind: Kind) -> Figure:
    return Figure("queries", scenario, quantity, unit, size, value, kind)


def decided(plan: Plan, fleet: Fleet, parts: int, seed: int) -> Iterator[Figure]:
    """The module and the driver, at one broker's share of the queries."""
    load = QueryLoad(fleet, parts, seed)
    load.run(plan.warm_ms)
    runs = [load.run(plan.counted_ms) for _ in range(plan.repeats)]
    scenario = f"{fleet.nodes:,} nodes, {fleet.holders} holders a shard"
    step = median(run.step_s / run.queries for run in runs)
    driver = median(run.driver_s / run.queries for run in runs)
    cores = (step + driver) * QUERIES_PER_BROKER_S
    longest = 1000.0 * median(run.longest_s for run in runs)
    yield _figure(scenario, "module's step", "µs a query", parts, step * MICROSECONDS, Kind.MEASURED)
    yield _figure(scenario, "driver around it", "µs a query", parts, driver * MICROSECONDS, Kind.MEASURED)
    yield _figure(scenario, "both, at a broker's share of queries", "cores", parts, cores, Kind.MEASURED)
    yield _figure(scenario, "longest turn", "ms", parts, longest, Kind.MEASURED)
    yield from _counted(scenario, parts, load.finish())


def _counted(scenario: str, parts: int, total: Counts) -> Iterator[Figure]:
    """Counts over the whole of a load, its first second and its end with it."""
    counts = {
        ("sends", "a query"): total.sends,
        ("answers of nodes", "a query"): total.ends,
        ("steps", "a query"): total.steps,
        ("answered whole", "of queries"): total.whole,
        ("refused or failed", "of queries"): total.not_answered,
    }
    for (quantity, unit), count in counts.items():
        yield _figure(scenario, quantity, unit, parts, count / total.queries, Kind.SIMULATED)


async def _bytes_costs(parts: int) -> list[BytesCost]:
    one = QueryBytes(parts, parts)
    for number in range(WARM_QUERIES):
        one.query(number)
    return [one.query(WARM_QUERIES + number) for number in range(COUNTED_QUERIES)]


def as_bytes(parts: int) -> Iterator[Figure]:
    """Encoding and decoding, without sockets."""
    costs = asyncio.run(_bytes_costs(parts))
    seconds = {
        "HTTP request read, checked and answered": median(cost.http_s for cost in costs),
        "frames through their channels": median(cost.channel_s for cost in costs),
        "frames, the codec alone": median(cost.codec_s for cost in costs),
    }
    for quantity, value in seconds.items():
        yield _figure("bytes alone", quantity, "µs a query", parts, value * MICROSECONDS, Kind.MEASURED)
    last = costs[-1]
    yield _figure("bytes alone", "from and to the client", "bytes a query", parts, last.client_bytes, Kind.MEASURED)
    yield _figure("bytes alone", "from and to the nodes", "bytes a query", parts, last.node_bytes, Kind.MEASURED)


def over_sockets(parts: int) -> Iterator[Figure]:
    """The whole service, its kernel time with it."""
    scenario, costs = "loopback, 4 nodes a part", measured(parts)
    cpu_s = median(cost.cpu_s / cost.served.queries for cost in costs)
    queries = sum(cost.served.queries for cost in costs)
    seen, whole = sum(cost.served.parts for cost in costs), sum(cost.served.whole for cost in costs)
    opened = sum(cost.opened for cost in costs)
    yield _figure(scenario, "whole broker", "µs a query", parts, cpu_s * MICROSECONDS, Kind.LOOPBACK)
    cores = cpu_s * QUERIES_PER_BROKER_S
    yield _figure(scenario, "whole broker, at its share of queries", "cores", parts, cores, Kind.LOOPBACK)
    yield _figure(scenario, "connections opened", "a query", parts, opened / queries, Kind.LOOPBACK)
    yield _figure(scenario, "parts that nodes saw", "a query", parts, seen / queries, Kind.LOOPBACK)
    yield _figure(scenario, "answered whole", "of queries", parts, whole / queries, Kind.LOOPBACK)


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """All figures at each size; the small sizes go with small lists. seed: of the simulated load, and of the module."""
    plan = SMALL_PLAN if max(sizes) <= max(SMALL) else FULL_PLAN
    with collector_of_a_broker():
        found = [figure for fleet in plan.fleets for size in sizes for figure in decided(plan, fleet, size, seed)]
        found += [figure for size in sizes for figure in as_bytes(size)]
        return found + [figure for size in sizes for figure in over_sockets(size)]


PART = Part("queries", "parts of a query", full=FULL, small=SMALL, target=PARTS, measure=measure)
