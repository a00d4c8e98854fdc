"""The list of servers: reading it in slices, invalid rows, and outages of its service."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend import api
from badgerbend.broker import Broker
from badgerbend.discovery import directory as directory_module
from badgerbend.discovery.consul_rows import consul_directory
from badgerbend.discovery.directory import SLICE_SIZE, ListError, ListReader, decode_rows
from badgerbend.standin.registry import Entry
from tests.replacing import replace_attribute
from tests.sockets import BrokerFixture, run, until

READY, DRAINING, REMOVED = api.EndpointState.READY, api.EndpointState.DRAINING, api.EndpointState.REMOVED


def rows(*entries):
    return decode_rows(encoded(*entries))


def encoded(*entries):
    return msgspec.json.encode([e.as_json() if isinstance(e, Entry) else e for e in entries])


def test_a_server_keeps_its_number_and_a_restart_counts_from_when_it_was_noticed():
    directory = consul_directory(12)
    update, _ = directory.read(rows(Entry("a", 1000, 3, 1, 50.0), Entry("b", 1001, 4, 0, 0.0)), 10_000.0, 53.0)
    a, b = update.endpoints
    assert (a.node, a.cell, a.zone, a.started_ms, a.state) == (1, 3, 1, 7000.0, READY)
    assert b.started_ms == 0.0
    update, _ = directory.read(rows(Entry("b", 1001, 4, 0, 0.0), Entry("a", 1000, 3, 1, 60.0)), 20_000.0, 99_999.0)
    assert [(x.node, x.started_ms) for x in update.endpoints] == [(2, 0.0), (1, 20_000.0)]
    update, _ = directory.read(rows(Entry("a", 1000, 3, 1, 60.0)), 30_000.0, 0.0)
    assert update.endpoints[0].started_ms == 20_000.0
    assert 2 not in directory.addresses


def rows_of(count, state="ready", started=0.0):
    return rows(*(Entry(f"s{i}", 1000 + i, i % 12, i % 2, started, state) for i in range(count)))


def test_a_long_list_is_read_and_published_in_slices_with_changes_only():
    directory = consul_directory(12)
    directory.read(rows_of(1000), 0.0, 0.0)
    reader = ListReader(directory, rows_of(1000, "draining"), 1.0, 1.0)
    assert len(list(reader.read_slices())) == 1000 / SLICE_SIZE
    assert directory.servers["s0"].endpoint.state == READY  # nothing is applied before the list is complete
    reader.apply()
    views = list(reader.updates())
    assert all(v.kind == api.UpdateKind.DELTA and len(v.endpoints) <= SLICE_SIZE for v in views)
    assert sum(len(v.endpoints) for v in views) == 1000
    again = ListReader(directory, rows_of(990, "draining"), 2.0, 2.0)
    list(again.read_slices())
    again.apply()
    (update,) = again.updates()
    assert sorted(x.node for x in update.endpoints) == list(range(991, 1001))
    assert {x.state for x in update.endpoints} == {REMOVED}
    same = ListReader(directory, rows_of(990, "draining"), 3.0, 3.0)
    list(same.read_slices())
    same.apply()
    assert list(same.updates()) == [api.EndpointUpdate(api.UpdateKind.DELTA, ())]  # received, but unchanged


def test_after_an_interrupted_publication_the_next_update_is_full():
    directory = consul_directory(12)
    directory.read(rows_of(1000), 0.0, 0.0)
    reader = ListReader(directory, rows_of(1000, "gone"), 1.0, 1.0)
    list(reader.read_slices())
    reader.apply()
    next(reader.updates())
    after = ListReader(directory, rows_of(1000, "gone"), 2.0, 2.0)
    list(after.read_slices())
    after.apply()
    (update,) = after.updates()
    assert update.kind == api.UpdateKind.FULL
    assert len(update.endpoints) == 1000


def test_queries_are_served_while_thousands_of_servers_are_added():
    """The list grows by 3000 rows in one answer: the aggregator receives them all in slices, and no query fails."""

    async def main():
        async with BrokerFixture(count=24) as stage:
            registry = stage.world.registry
            sizes = []
            update_endpoints = stage.broker.driver.update_endpoints

            def record(update):
                sizes.append(len(update.endpoints))
                update_endpoints(update)

            replace_attribute(stage.broker.driver, "update_endpoints", record)
            for i in range(3000):
                registry.entries[f"x{i}"] = Entry(f"x{i}", 9, i % 12, 1, 0.0, "gone")
            registry.changed()
            answers = []
            while sum(sizes) < 3000:
                answers.append(await stage.client.query("{ fullQuote(blocks: [1, 2], amount: 9000) { id } }"))
            assert answers
            assert all("errors" not in a for _, a, _ in answers)
            assert max(sizes) <= SLICE_SIZE
            assert sum(1 for n in stage.broker.driver.module.endpoints.servers.values() if n.ready) == 24

    run(main)


def test_a_remote_clock_that_is_ahead_gives_no_negative_age():
    update, _ = consul_directory(12).read(rows(Entry("a", 1000, 3, 1, 500.0)), 10_000.0, 100.0)
    assert update.endpoints[0].started_ms == 10_000.0


def test_states_follow_from_checks():
    warn, crit = Entry("w", 1, 0, 0, 0.0, "draining"), Entry("c", 2, 0, 0, 0.0, "gone")
    kept = Entry("m", 3, 0, 0, 0.0).as_json()
    kept["Checks"].append({"CheckID": "_service_maintenance:m", "Status": "critical"})
    update, _ = consul_directory(4).read(rows(warn, crit, kept), 0.0, 0.0)
    assert [x.state for x in update.endpoints] == [DRAINING, REMOVED, DRAINING]


@pytest.mark.parametrize("body", [b"", b"{", b"{}", b"[]", b"[1,2]", b"null", b"\xff", b"[" * 50_000])
def test_an_answer_that_is_not_a_list_is_an_error(body):
    directory = consul_directory(4)
    directory.read(rows(Entry("a", 1000, 3, 0, 0.0)), 0.0, 0.0)
    with pytest.raises(ListError):
        directory.read(decode_rows(body), 1.0, 1.0)
    assert directory.addresses == {1: ("127.0.0.1", 1000)}


@pytest.mark.parametrize(
    "change",
    [
        {"Port": 0},
        {"Port": 70_000},
        {"Port": "80"},
        {"Port": True},
        {"ID": ""},
        {"ID": 5},
        {"Address": 5},
        {"Meta": None},
        {"Meta": {"cell": "99"}},
        {"Meta": {"cell": "x"}},
        {"Meta": {"cell": "1", "size": "-1"}},
        {"Meta": {"cell": "1", "started": "nan"}},
        {"Meta": {"cell": "1", "zone": "999"}},
        {"ID": "good"},
    ],
)
def test_an_invalid_row_is_rejected_and_reported(change):
    bad = Entry("bad", 1001, 2, 0, 0.0).as_json()
    bad["Service"].update(change)
    update, errors = consul_directory(4).read(rows(Entry("good", 1000, 3, 0, 0.0), bad), 0.0, 0.0)
    assert [x.cell for x in update.endpoints] == [3]
    assert len(errors) == 1
    assert "line 1" in errors[0]


json = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.sampled_from(["Service", "ID", "Port", "Meta", "cell", "Checks", "Status", "Node"]), x)
    ),
)


@given(st.lists(json, max_size=4))
def test_arbitrary_json_is_read_or_rejected(json_rows):
    try:
        update, _ = consul_directory(4).read(decode_rows(msgspec.json.encode(json_rows)), 0.0, 0.0)
    except ListError:
        return
    assert all(isinstance(x, api.Endpoint) for x in update.endpoints)


QUOTE = "{ fullQuote(blocks: [1], amount: 5) { id } }"


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_changes_arrive_and_an_outage_of_the_list_loses_nothing(mode):
    async def main():
        async with BrokerFixture(discovery={"mode": mode, "must_ask_ms": 800.0}) as s:
            node = next(n for n, name in s.broker.directory.names.items() if name == "rates-1")
            module = s.broker.driver.module
            await until(lambda: node in module.endpoints.servers and module.endpoints.servers[node].ready)
            s.world.drain("rates-1")
            await until(lambda: node not in module.endpoints.servers or not module.endpoints.servers[node].ready)
            s.world.registry.set_down(True)
            await until(lambda: s.broker.watch.failures >= 2)
            _, answer, _ = await s.client.query(QUOTE)
            assert len(answer["data"]["fullQuote"]) == 4
            await s.world.restart("rates-1")
            s.world.registry.set_down(False)
            await until(lambda: node in module.endpoints.servers and module.endpoints.servers[node].ready)
            s.world.registry.extra = [None, {"Service": 3}]
            s.world.registry.changed()
            await until(lambda: s.broker.watch.version == s.world.registry.index)
            assert len(s.broker.directory.addresses) == 12

    run(main)


def test_an_emptied_list_does_not_stop_service():
    async def main():
        async with BrokerFixture() as s:
            s.world.registry.entries.clear()
            s.world.registry.changed()
            await until(lambda: s.broker.watch.failures)
            _, answer, _ = await s.client.query(QUOTE)
            assert len(answer["data"]["fullQuote"]) == 4

    run(main)


def test_a_broker_started_during_an_outage_of_the_list_recovers():
    async def main():
        async with BrokerFixture() as s:
            s.world.registry.set_down(True)
            other = Broker(s.settings, s.broker.front.subgraph)
            await other.start()
            await until(lambda: other.watch.failures)
            assert other.watch.refreshed_at is None
            s.world.registry.set_down(False)
            await until(lambda: other.watch.refreshed_at is not None)
            await other.stop()

    run(main)


def parse_plain_row(row):
    """Parses rows of a list that states all fields, including that a server was removed."""
    return directory_module.Entry(
        row["id"], ("127.0.0.1", row["port"]), row["cell"], STATES[row["state"]], 0, 0, 0, 1.0
    )


STATES = {"ready": READY, "draining": DRAINING, "gone": REMOVED}
ROWS = st.fixed_dictionaries(
    {
        "id": st.sampled_from([f"s{i}" for i in range(6)]),
        "port": st.integers(1, 3),
        "cell": st.integers(0, 2),
        "state": st.sampled_from(sorted(STATES)),
    }
)


@given(st.lists(st.lists(ROWS, max_size=4, unique_by=lambda row: row["id"]), max_size=8))
def test_applied_changes_give_the_same_directory_as_a_rebuild(batches):
    directory = directory_module.Directory(3, parse_plain_row)
    directory.read(decode_rows(msgspec.json.encode([{"id": "s0", "port": 1, "cell": 0, "state": "ready"}])), 0.0, 0.0)
    expected = {"s0": ("127.0.0.1", 1)}
    for batch in batches:
        reader = ListReader(directory, decode_rows(msgspec.json.encode(batch)), 1.0, 1.0, is_complete=False)
        list(reader.read_slices())
        reader.apply()
        list(reader.updates())
        for row in batch:
            expected[row["id"]] = ("127.0.0.1", row["port"])
            if row["state"] == "gone":
                del expected[row["id"]]
        assert {name: known.address for name, known in directory.servers.items()} == expected
        numbers = {known.endpoint.node: name for name, known in directory.servers.items()}
        assert directory.names == numbers
        assert directory.addresses == {number: expected[name] for number, name in numbers.items()}
