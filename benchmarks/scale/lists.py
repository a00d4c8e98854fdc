"""Scale benchmark of a broker's list of nodes, in both forms of list: bytes, processor time and memory.

Each quantity is a cost of the product's own code: `Target.read`, `ListReader`, `Aggregator.step`. Bytes are those of
the bodies of answers. No socket is opened. An answer costs the aggregator more than the processing of its updates: the
first query after it has to determine the holders of shards again, which is reported as a separate quantity.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass
from statistics import median

from badgerbend.net.calls import Reply
from scale.figures import Figure, Kind, Part
from scale.list_memory import MEGABYTE, memory_of
from scale.list_reading import ApplyCost, BrokerList
from scale.list_rows import FORMS, ListForm, Node, make_nodes, with_drain_toggled
from scale.planned_fleet import CONFIGURATIONS_PER_DAY, DAY_S, FAILURES_PER_DAY, NODES, RESTARTS_PER_DAY, ZONES
from scale.processor import broker_gc_settings

NODES_PER_CELL = 4  # with a reach of three cells this gives twelve holders per shard at each size
REPEATS = 5
TOTAL_ROWS_READ = 2_000  # a smaller list is read more often, up to MAX_REPEATS
MAX_REPEATS = 11

# An ordinary day of the planned fleet. A node that is restarted or replaced changes its state four times: draining,
# gone, starting, ready. A change of configuration changes one row. A machine that fails removes one node, whose return
# is counted among the replacements.
STATE_CHANGES_PER_RESTART = 4
CHANGES_PER_DAY = RESTARTS_PER_DAY * STATE_CHANGES_PER_RESTART + CONFIGURATIONS_PER_DAY + FAILURES_PER_DAY
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S


@dataclass(frozen=True, slots=True)
class Cost:
    """The median cost of several answers of one kind.

    body_bytes: of the largest, since the words for states differ in length. query_ms: of the step on the first query
    after the answer.
    """

    body_bytes: int
    read_ms: float
    publish_ms: float
    query_ms: float
    rows_published: int


def cell_count(size: int) -> int:
    """Returns the number of cells in a fleet with this number of nodes."""
    return size // NODES_PER_CELL


def first_list(form: ListForm, nodes: Sequence[Node]) -> Cost:
    """Measures the complete list at brokers that have no list yet."""
    reply = form.whole(nodes, 1)
    return _cost([_apply(BrokerList(form, cell_count(len(nodes))), reply) for _ in range(_repeats(len(nodes)))])


def change(form: ListForm, nodes: Sequence[Node], indices: Collection[int]) -> Cost:
    """Measures, at one broker, repeated answers in which the rows at these indices change together."""
    broker_list, now = BrokerList(form, cell_count(len(nodes))), list(nodes)
    broker_list.apply(form.whole(now, 1))
    broker_list.query_ms()
    costs = []
    for version in range(2, 2 + _repeats(len(nodes))):
        now = with_drain_toggled(now, indices)
        costs.append(_apply(broker_list, form.change(now, indices, version)))
    return _cost(costs)


def quiet_query_ms(form: ListForm, nodes: Sequence[Node]) -> float:
    """Measures the step on a query while the list does not change."""
    broker_list = BrokerList(form, cell_count(len(nodes)))
    broker_list.apply(form.whole(nodes, 1))
    for _ in range(_repeats(len(nodes))):
        broker_list.query_ms()
    return median(broker_list.query_ms() for _ in range(MAX_REPEATS))


def _apply(broker_list: BrokerList, reply: Reply) -> tuple[ApplyCost, float]:
    cost = broker_list.apply(reply)
    return cost, broker_list.query_ms()


def _cost(costs: Sequence[tuple[ApplyCost, float]]) -> Cost:
    return Cost(
        max(cost.body_bytes for cost, _ in costs),
        median(cost.read_ms for cost, _ in costs),
        median(cost.publish_ms for cost, _ in costs),
        median(query_ms for _, query_ms in costs),
        costs[-1][0].rows_published,
    )


def _repeats(rows: int) -> int:
    return min(max(REPEATS, TOTAL_ROWS_READ // rows), MAX_REPEATS)


def _cost_figures(scenario: str, size: int, cost: Cost) -> Iterator[Figure]:
    yield _figure(scenario, "answer", "bytes", size, cost.body_bytes)
    yield _figure(scenario, "read and put in force", "ms", size, cost.read_ms)
    yield _figure(scenario, "told to the module", "ms", size, cost.publish_ms)
    yield _figure(scenario, "step on the next query", "ms", size, cost.query_ms)
    yield _figure(scenario, "rows told to the module", "rows", size, cost.rows_published)


def _figure(scenario: str, quantity: str, unit: str, size: int, value: float) -> Figure:
    return Figure("lists", scenario, quantity, unit, size, value, Kind.MEASURED)


def _form_figures(form: ListForm, size: int) -> Iterator[Figure]:
    nodes = make_nodes(size, cell_count(size))
    whole, one = first_list(form, nodes), change(form, nodes, [0])
    zone = change(form, nodes, range(0, size, ZONES))
    memory = memory_of(form, nodes, cell_count(size))
    yield from _cost_figures(f"{form.name}: whole", size, whole)
    yield _figure(
        f"{form.name}: whole", "answer, of the most that is read", "%", size, _percent_of_max_bytes(whole, form)
    )
    yield _figure(f"{form.name}: whole", "resident memory once taken", "MB", size, memory.resident / MEGABYTE)
    yield _figure(f"{form.name}: whole", "peak memory of the next whole list", "MB", size, memory.peak / MEGABYTE)
    yield from _cost_figures(f"{form.name}: one row", size, one)
    yield from _cost_figures(f"{form.name}: a zone", size, zone)
    yield _figure(f"{form.name}: quiet", "step on the next query", "ms", size, quiet_query_ms(form, nodes))
    day = f"{form.name}: ordinary day"
    yield _figure(day, "answers to a broker", "bytes/s", size, CHANGES_PER_S * one.body_bytes)
    processing_ms = one.read_ms + one.publish_ms + one.query_ms
    yield _figure(day, "processor, of a core", "%", size, CHANGES_PER_S * processing_ms / 10.0)


def _percent_of_max_bytes(whole: Cost, form: ListForm) -> float:
    return 100.0 * whole.body_bytes / form.max_bytes


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """Returns the figures of both forms at each size. Nothing is random, so the seed has no effect."""
    with broker_gc_settings():
        return [figure for form in FORMS for size in sizes for figure in _form_figures(form, size)]


PART = Part("lists", "nodes", full=(1_000, 4_000, 13_000), small=(100, 200, 400), target=NODES, measure=measure)
