"""What a broker's list of nodes costs, in both forms of list: bytes, processor time, memory.

Each quantity is of the product's own code: `Target.read`, `ListReader`, `Aggregator.step`. Bytes are those of the
answers' bodies. No socket is opened. An answer costs the module more than its telling: the first query after it finds
the holders of shards anew, which stands as a quantity of its own.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass
from statistics import median

from badgerbend.net.client import Reply
from scale.figures import Figure, Kind, Part
from scale.list_memory import MEGABYTE, memory_of
from scale.list_reading import ApplyCost, Reader
from scale.list_rows import FORMS, ListForm, Node, nodes_of, with_drain_toggled
from scale.planned_fleet import CONFIGURATIONS_PER_DAY, DAY_S, FAILURES_PER_DAY, NODES, RESTARTS_PER_DAY, ZONES
from scale.processor import collector_of_a_broker

NODES_PER_CELL = 4  # with a reach of three cells: twelve holders a shard, at each size
REPEATS = 5
ROWS_READ = 2_000  # a smaller list is read oftener, up to MOST_REPEATS
MOST_REPEATS = 11

# The ordinary day of the fleet to come. A node that is restarted or replaced changes its state four times: it drains,
# is gone, starts, is ready. A change of configuration changes one row. A machine that fails takes one node with it,
# whose return counts among the replaced ones.
STATES_PER_RESTART = 4
CHANGES_PER_DAY = RESTARTS_PER_DAY * STATES_PER_RESTART + CONFIGURATIONS_PER_DAY + FAILURES_PER_DAY
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S


@dataclass(frozen=True, slots=True)
class Cost:
    """The middle of several answers of one kind, and the bytes of the largest: a state's word may be short or long.

    query_ms: the step on the first query after it.
    """

    body_bytes: int
    read_ms: float
    tell_ms: float
    query_ms: float
    rows_told: int


def cells_of(size: int) -> int:
    """Cells of a fleet of so many nodes."""
    return size // NODES_PER_CELL


def first_list(form: ListForm, nodes: Sequence[Node]) -> Cost:
    """The whole list, to brokers that know nothing yet."""
    reply = form.whole(nodes, 1)
    return _cost([_taken(Reader(form, cells_of(len(nodes))), reply) for _ in range(_repeats(len(nodes)))])


def change(form: ListForm, nodes: Sequence[Node], places: Collection[int]) -> Cost:
    """The rows at these places change at once; one broker hears of it again and again."""
    reader, now = Reader(form, cells_of(len(nodes))), list(nodes)
    reader.apply(form.whole(now, 1))
    reader.query_ms()
    found = []
    for version in range(2, 2 + _repeats(len(nodes))):
        now = with_drain_toggled(now, places)
        found.append(_taken(reader, form.change(now, places, version)))
    return _cost(found)


def quiet_query_ms(form: ListForm, nodes: Sequence[Node]) -> float:
    """The step on a query while the list does not change."""
    reader = Reader(form, cells_of(len(nodes)))
    reader.apply(form.whole(nodes, 1))
    for _ in range(_repeats(len(nodes))):
        reader.query_ms()
    return median(reader.query_ms() for _ in range(MOST_REPEATS))


def _taken(reader: Reader, reply: Reply) -> tuple[ApplyCost, float]:
    taken = reader.apply(reply)
    return taken, reader.query_ms()


def _cost(found: Sequence[tuple[ApplyCost, float]]) -> Cost:
    return Cost(
        max(taken.body_bytes for taken, _ in found),
        median(taken.read_ms for taken, _ in found),
        median(taken.tell_ms for taken, _ in found),
        median(query_ms for _, query_ms in found),
        found[-1][0].rows_told,
    )


def _repeats(rows: int) -> int:
    return min(max(REPEATS, ROWS_READ // rows), MOST_REPEATS)


def _costs(scenario: str, size: int, cost: Cost) -> Iterator[Figure]:
    yield _figure(scenario, "answer", "bytes", size, cost.body_bytes)
    yield _figure(scenario, "read and put in force", "ms", size, cost.read_ms)
    yield _figure(scenario, "told to the module", "ms", size, cost.tell_ms)
    yield _figure(scenario, "step on the next query", "ms", size, cost.query_ms)
    yield _figure(scenario, "rows told to the module", "rows", size, cost.rows_told)


def _figure(scenario: str, quantity: str, unit: str, size: int, value: float) -> Figure:
    return Figure("lists", scenario, quantity, unit, size, value, Kind.MEASURED)


def _of_a_form(form: ListForm, size: int) -> Iterator[Figure]:
    nodes = nodes_of(size, cells_of(size))
    whole, one = first_list(form, nodes), change(form, nodes, [0])
    zone = change(form, nodes, range(0, size, ZONES))
    memory = memory_of(form, nodes, cells_of(size))
    yield from _costs(f"{form.name}: whole", size, whole)
    yield _figure(f"{form.name}: whole", "answer, of the most that is read", "%", size, _percent(whole, form))
    yield _figure(f"{form.name}: whole", "resident memory once taken", "MB", size, memory.resident / MEGABYTE)
    yield _figure(f"{form.name}: whole", "peak memory of the next whole list", "MB", size, memory.peak / MEGABYTE)
    yield from _costs(f"{form.name}: one row", size, one)
    yield from _costs(f"{form.name}: a zone", size, zone)
    yield _figure(f"{form.name}: quiet", "step on the next query", "ms", size, quiet_query_ms(form, nodes))
    day = f"{form.name}: ordinary day"
    yield _figure(day, "answers to a broker", "bytes/s", size, CHANGES_PER_S * one.body_bytes)
    busy_ms = one.read_ms + one.tell_ms + one.query_ms
    yield _figure(day, "processor, of a core", "%", size, CHANGES_PER_S * busy_ms / 10.0)


def _percent(whole: Cost, form: ListForm) -> float:
    return 100.0 * whole.body_bytes / form.max_bytes


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """Figures of both forms at each size. Nothing here is left to chance: the seed changes nothing."""
    with collector_of_a_broker():
        return [figure for form in FORMS for size in sizes for figure in _of_a_form(form, size)]


PART = Part("lists", "nodes", full=(1_000, 4_000, 13_000), small=(100, 200, 400), target=NODES, measure=measure)
