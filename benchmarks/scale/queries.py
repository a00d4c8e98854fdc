"""Scale benchmark of one query at a warmed-up broker, by its number of parts, in three measurements.

The aggregator's step and the driver around it are measured in simulated time, on lists of three shapes. Encoding and
decoding are measured with the product's protocols, without sockets. The complete broker is measured over loopback
sockets, with nodes and client in another process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from statistics import median

from scale.figures import Figure, Kind, Part
from scale.planned_fleet import NODES
from scale.processor import broker_gc_settings
from scale.query_bytes import BytesCost, QueryBytes
from scale.query_load import Counts, Fleet, QueryLoad
from scale.query_sockets import measure_service
from scale.target import PARTS, QUERIES_PER_BROKER_S, REACH


@dataclass(frozen=True, slots=True)
class Plan:
    """What is run in simulated time: the lists, the warm-up, and the length and number of the measured runs."""

    fleets: tuple[Fleet, ...]
    warm_up_ms: int  # after one second the aggregator has estimates of response times
    measured_ms: int
    repeats: int


FULL = (8, 32, 96, 210)
SMALL = (2, 4, 8)
FULL_PLAN = Plan(
    fleets=(
        Fleet(1_000, 250, REACH),
        Fleet(NODES, 3_250, REACH),  # as many holders per shard, on a longer list
        Fleet(NODES, 250, REACH),  # as many cells, and more holders per shard
    ),
    warm_up_ms=1_100,
    measured_ms=300,
    repeats=3,
)
SMALL_PLAN = Plan(
    fleets=(Fleet(100, 25, REACH), Fleet(400, 100, REACH), Fleet(400, 25, REACH)),
    warm_up_ms=200,
    measured_ms=100,
    repeats=3,
)
WARM_UP_QUERIES, MEASURED_QUERIES = 20, 101
MICROSECONDS = 1e6


def _figure(scenario: str, quantity: str, unit: str, size: int, value: float, kind: Kind) -> Figure:
    return Figure("queries", scenario, quantity, unit, size, value, kind)


def decision_figures(plan: Plan, fleet: Fleet, parts: int, seed: int) -> Iterator[Figure]:
    """Measures the aggregator and the driver at one broker's share of the queries."""
    load = QueryLoad(fleet, parts, seed)
    load.run(plan.warm_up_ms)
    runs = [load.run(plan.measured_ms) for _ in range(plan.repeats)]
    scenario = f"{fleet.nodes:,} nodes, {fleet.holders} holders a shard"
    step = median(run.step_s / run.queries for run in runs)
    driver = median(run.driver_s / run.queries for run in runs)
    cores = (step + driver) * QUERIES_PER_BROKER_S
    longest = 1000.0 * median(run.longest_s for run in runs)
    yield _figure(scenario, "module's step", "µs a query", parts, step * MICROSECONDS, Kind.MEASURED)
    yield _figure(scenario, "driver around it", "µs a query", parts, driver * MICROSECONDS, Kind.MEASURED)
    yield _figure(scenario, "both, at a broker's share of queries", "cores", parts, cores, Kind.MEASURED)
    yield _figure(scenario, "longest turn", "ms", parts, longest, Kind.MEASURED)
    yield from _count_figures(scenario, parts, load.finish())


def _count_figures(scenario: str, parts: int, total: Counts) -> Iterator[Figure]:
    """Yields counts over the whole load, including its warm-up and its end."""
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
    connections = QueryBytes(parts, parts)
    for number in range(WARM_UP_QUERIES):
        connections.query(number)
    return [connections.query(WARM_UP_QUERIES + number) for number in range(MEASURED_QUERIES)]


def codec_figures(parts: int) -> Iterator[Figure]:
    """Measures encoding and decoding, without sockets."""
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


def socket_figures(parts: int) -> Iterator[Figure]:
    """Measures the complete service, including its kernel time."""
    scenario, costs = "loopback, 4 nodes a part", measure_service(parts)
    cpu_s = median(cost.cpu_s / cost.served.queries for cost in costs)
    queries = sum(cost.served.queries for cost in costs)
    parts_seen, whole = sum(cost.served.parts for cost in costs), sum(cost.served.whole for cost in costs)
    opened = sum(cost.opened for cost in costs)
    yield _figure(scenario, "whole broker", "µs a query", parts, cpu_s * MICROSECONDS, Kind.LOOPBACK)
    cores = cpu_s * QUERIES_PER_BROKER_S
    yield _figure(scenario, "whole broker, at its share of queries", "cores", parts, cores, Kind.LOOPBACK)
    yield _figure(scenario, "connections opened", "a query", parts, opened / queries, Kind.LOOPBACK)
    yield _figure(scenario, "parts that nodes saw", "a query", parts, parts_seen / queries, Kind.LOOPBACK)
    yield _figure(scenario, "answered whole", "of queries", parts, whole / queries, Kind.LOOPBACK)


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """Returns all figures at each size; small sizes use small lists. seed: of the simulated load and the aggregator."""
    plan = SMALL_PLAN if max(sizes) <= max(SMALL) else FULL_PLAN
    with broker_gc_settings():
        results = [
            figure for fleet in plan.fleets for size in sizes for figure in decision_figures(plan, fleet, size, seed)
        ]
        results += [figure for size in sizes for figure in codec_figures(size)]
        return results + [figure for size in sizes for figure in socket_figures(size)]


PART = Part("queries", "parts of a query", full=FULL, small=SMALL, target=PARTS, measure=measure)
