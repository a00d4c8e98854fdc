"""The scale tests of lists and queries at small sizes: counts and slopes, which do not depend on the machine's load."""

import asyncio
import itertools
import sys
from functools import cache
from pathlib import Path

import pytest

sys.path.append(str(Path(__file__).parent.parent / "benchmarks"))

from scale import lists, queries
from scale.figures import fitted
from scale.list_memory import MEGABYTE, memory_of
from scale.list_reading import BrokerList
from scale.list_rows import FORMS, ConsulForm, MembersForm, make_nodes, with_drain_toggled
from scale.planned_fleet import BROKERS, ZONES
from scale.query_bytes import QueryBytes
from scale.query_load import Fleet, QueryLoad
from scale.target import PARTS, QUERIES_PER_BROKER_S, QUERIES_PER_S

from badgerbend.frames.channel import DELAYED_MS

SEED = 1
LIST_SIZES, QUERY_SIZES = lists.PART.small, queries.PART.small
FORM_NAMES = [form.name for form in FORMS]
MAX_SECOND_COPIES = 1.25  # over loopback, answers are late on a busy machine, and late parts are sent again


@cache
def figures(part):
    return part.measure(part.small, SEED)


def by_size(part, scenario, quantity):
    """Returns the figures of one quantity; there must be one for each size."""
    found = [f for f in figures(part) if (f.scenario, f.quantity) == (scenario, quantity)]
    assert [f.size for f in found] == list(part.small)
    return found


def values(part, scenario, quantity):
    return [f.value for f in by_size(part, scenario, quantity)]


def simulated_scenarios():
    return [f"{fleet.nodes:,} nodes, {fleet.holders} holders a shard" for fleet in queries.SMALL_PLAN.fleets]


# -- lists
@pytest.mark.parametrize("form", FORM_NAMES)
def test_a_full_list_grows_linearly_with_the_nodes(form):
    line = fitted(by_size(lists.PART, f"{form}: whole", "answer"))
    assert line.determination > 0.99
    assert line.slope * LIST_SIZES[-1] == pytest.approx(line.at(LIST_SIZES[-1]), rel=0.02)  # hardly any constant part


def test_a_consul_row_is_larger_than_a_row_of_the_members_form():
    consul, members = (fitted(by_size(lists.PART, f"{form}: whole", "answer")) for form in ("consul", "members"))
    assert consul.slope > 4 * members.slope > 0


def test_consul_sends_the_full_list_when_one_row_changes():
    full, one = (values(lists.PART, f"consul: {what}", "answer") for what in ("whole", "one row"))
    assert one == pytest.approx(full, rel=0.01)


def test_the_members_delta_for_one_row_does_not_grow_with_the_nodes():
    one = values(lists.PART, "members: one row", "answer")
    assert max(one) - min(one) <= 4  # numbers in it have more digits
    assert max(one) < 400


def test_the_members_delta_for_a_zone_grows_with_the_zone():
    zone = fitted(by_size(lists.PART, "members: a zone", "answer"))
    full = fitted(by_size(lists.PART, "members: whole", "answer"))
    assert zone.determination > 0.99
    assert zone.slope == pytest.approx(full.slope / ZONES, rel=0.1)


@pytest.mark.parametrize("form", FORM_NAMES)
def test_the_module_receives_only_the_rows_that_changed(form):
    quantity = "rows told to the module"
    assert values(lists.PART, f"{form}: whole", quantity) == list(LIST_SIZES)
    assert values(lists.PART, f"{form}: one row", quantity) == [1] * len(LIST_SIZES)
    assert values(lists.PART, f"{form}: a zone", quantity) == [-(-size // ZONES) for size in LIST_SIZES]


@pytest.mark.parametrize("form", FORM_NAMES)
def test_the_bytes_of_a_day_are_its_changes_times_the_size_of_an_answer(form):
    day, one = (
        values(lists.PART, f"{form}: {what}", q)
        for what, q in (("ordinary day", "answers to a broker"), ("one row", "answer"))
    )
    assert lists.CHANGES_PER_DAY == 5_100 * 4 + 3_200 + 28
    assert day == pytest.approx([size * lists.CHANGES_PER_DAY / 86_400 for size in one])


@pytest.mark.parametrize("form", FORM_NAMES)
def test_memory_of_a_list_grows_and_its_peak_includes_the_resident_memory(form):
    resident = values(lists.PART, f"{form}: whole", "resident memory once taken")
    peak = values(lists.PART, f"{form}: whole", "peak memory of the next whole list")
    assert resident[-1] > resident[0] >= 0
    assert all(highest >= retained for highest, retained in zip(peak, resident, strict=True))


def test_memory_of_a_list_excludes_the_memory_of_the_measuring_process():
    ballast = b"x" * 100 * MEGABYTE
    memory = memory_of(MembersForm(), make_nodes(200, 50), 50)
    assert 0 < memory.peak < len(ballast) / 4


@pytest.mark.parametrize("form", FORMS, ids=FORM_NAMES)
def test_the_list_that_is_read_equals_the_list_that_was_sent(form):
    nodes = make_nodes(40, 10)
    broker_list = BrokerList(form, 10)
    broker_list.apply(form.whole(nodes, 1))
    changed = with_drain_toggled(nodes, [3, 7])
    broker_list.apply(form.change(changed, [3, 7], 2))
    states = {name: known.endpoint.state.name for name, known in broker_list.directory.servers.items()}
    assert states == {node.name: "DRAINING" if node.draining else "READY" for node in changed}
    assert sum(state == "DRAINING" for state in states.values()) == 2


def test_an_answer_without_changes_is_rejected_as_a_measurement():
    for form in (ConsulForm(), MembersForm()):
        broker_list = BrokerList(form, 10)
        broker_list.apply(form.whole(make_nodes(40, 10), 1))
        with pytest.raises(ValueError, match="without news"):
            broker_list.apply(form.change(make_nodes(40, 10), [], 1))


# -- queries
@pytest.mark.parametrize("scenario", simulated_scenarios())
def test_each_part_is_sent_once_and_answered_once(scenario):
    assert values(queries.PART, scenario, "sends") == list(QUERY_SIZES)
    assert values(queries.PART, scenario, "answers of nodes") == list(QUERY_SIZES)
    assert values(queries.PART, scenario, "answered whole") == [1.0] * len(QUERY_SIZES)
    assert values(queries.PART, scenario, "refused or failed") == [0.0] * len(QUERY_SIZES)


@pytest.mark.parametrize("scenario", simulated_scenarios())
def test_a_query_of_more_parts_takes_more_steps_but_fewer_than_one_for_each_part(scenario):
    steps = values(queries.PART, scenario, "steps")
    assert steps == sorted(steps)
    assert steps[0] >= 2
    assert steps[-1] < QUERY_SIZES[-1]  # answers that arrive in one millisecond share a step


def test_repeated_attempts_are_counted_as_sends():
    load = QueryLoad(Fleet(100, 25, 3), 4, SEED, lost=lambda number: number == 0)
    load.run(20)
    total = load.finish()
    assert total.sends > 4 * total.queries
    assert total.ends == total.sends


def test_a_load_has_the_query_rate_of_one_broker():
    load = QueryLoad(Fleet(100, 25, 3), 2, SEED)
    counts = load.run(200)
    assert QUERIES_PER_S / BROKERS == QUERIES_PER_BROKER_S
    assert counts.queries == pytest.approx(0.2 * QUERIES_PER_BROKER_S, abs=1)


def test_the_same_seed_gives_the_same_counts():
    def counts(seed):
        load = QueryLoad(Fleet(100, 25, 3), 4, seed)
        load.run(100)
        total = load.finish()
        return total.queries, total.sends, total.steps

    assert counts(1) == counts(1)


def test_a_query_is_measured_even_if_its_calls_are_written_late(monkeypatch):
    # On a busy machine a call may be written later than `DELAYED_MS` after its decision. The channel then asks its
    # owner whether the attempt is still wanted, and the stand-in for the owner lacked that method.
    async def measure():
        load = QueryBytes(2, 4)
        monkeypatch.setattr(load.owner, "now_ms", itertools.count(0.0, 2.0 * DELAYED_MS).__next__)
        return load.query(0)

    assert asyncio.run(measure()).node_bytes > 0


@pytest.mark.parametrize("side", ["from and to the client", "from and to the nodes"])
def test_bytes_of_a_query_grow_linearly_with_its_parts(side):
    line = fitted(by_size(queries.PART, "bytes alone", side))
    assert line.determination > 0.99
    assert line.slope > 100


def test_over_sockets_nodes_receive_every_part_and_every_query_is_answered_completely():
    scenario = "loopback, 4 nodes a part"
    assert values(queries.PART, scenario, "answered whole") == [1.0] * len(QUERY_SIZES)
    for size, seen in zip(QUERY_SIZES, values(queries.PART, scenario, "parts that nodes saw"), strict=True):
        assert size <= seen <= MAX_SECOND_COPIES * size


def test_the_full_sizes_reach_the_planned_fleet():
    assert lists.PART.full[-1] == lists.PART.target == 13_000
    assert queries.PART.full[-1] == queries.PART.target == PARTS == 210
    assert max(fleet.nodes for fleet in queries.FULL_PLAN.fleets) == 13_000
