"""The list of servers: late, gone, stale, lying."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend import api
from badgerbend.broker import Broker
from badgerbend.discovery import directory as directory_module
from badgerbend.discovery.consul_rows import consul_directory
from badgerbend.discovery.directory import SLICE, ListError, ListReader, decode_rows
from badgerbend.standin.registry import Entry
from tests.replacing import replace_attribute
from tests.sockets import BrokerFixture, run, until

READY, DRAINING, GONE = api.EndpointState.READY, api.EndpointState.DRAINING, api.EndpointState.REMOVED


def rows(*entries):
    return decode_rows(encoded(*entries))


def encoded(*entries):
    return msgspec.json.encode([e.as_json() if isinstance(e, Entry) else e for e in entries])


def test_a_server_keeps_its_number_and_a_restart_counts_from_when_it_was_seen():
    directory = consul_directory(12)
    view, _ = directory.read(rows(Entry("a", 1000, 3, 1, 50.0), Entry("b", 1001, 4, 0, 0.0)), 10_000.0, 53.0)
    a, b = view.endpoints
    assert (a.node, a.cell, a.zone, a.started_ms, a.state) == (1, 3, 1, 7000.0, READY)
    assert b.started_ms == 0.0
    view, _ = directory.read(rows(Entry("b", 1001, 4, 0, 0.0), Entry("a", 1000, 3, 1, 60.0)), 20_000.0, 99_999.0)
    assert [(x.node, x.started_ms) for x in view.endpoints] == [(2, 0.0), (1, 20_000.0)]
    view, _ = directory.read(rows(Entry("a", 1000, 3, 1, 60.0)), 30_000.0, 0.0)
    assert view.endpoints[0].started_ms == 20_000.0
    assert 2 not in directory.addresses


def many(count, state="ready", started=0.0):
    return rows(*(Entry(f"s{i}", 1000 + i, i % 12, i % 2, started, state) for i in range(count)))


def test_a_long_list_is_read_and_told_in_slices_and_only_what_changed():
    directory = consul_directory(12)
    directory.read(many(1000), 0.0, 0.0)
    reading = ListReader(directory, many(1000, "draining"), 1.0, 1.0)
    assert len(list(reading.read_slices())) == 1000 / SLICE
    assert directory.servers["s0"].endpoint.state == READY  # not before it is whole
    reading.apply()
    views = list(reading.updates())
    assert all(v.kind == api.UpdateKind.DELTA and len(v.endpoints) <= SLICE for v in views)
    assert sum(len(v.endpoints) for v in views) == 1000
    again = ListReader(directory, many(990, "draining"), 2.0, 2.0)
    list(again.read_slices())
    again.apply()
    (view,) = again.updates()
    assert sorted(x.node for x in view.endpoints) == list(range(991, 1001))
    assert {x.state for x in view.endpoints} == {GONE}
    same = ListReader(directory, many(990, "draining"), 3.0, 3.0)
    list(same.read_slices())
    same.apply()
    assert list(same.updates()) == [api.EndpointUpdate(api.UpdateKind.DELTA, ())]  # heard, and nothing new


def test_a_list_left_half_told_is_told_whole_the_next_time():
    directory = consul_directory(12)
    directory.read(many(1000), 0.0, 0.0)
    reading = ListReader(directory, many(1000, "gone"), 1.0, 1.0)
    list(reading.read_slices())
    reading.apply()
    next(reading.updates())
    after = ListReader(directory, many(1000, "gone"), 2.0, 2.0)
    list(after.read_slices())
    after.apply()
    (view,) = after.updates()
    assert view.kind == api.UpdateKind.FULL
    assert len(view.endpoints) == 1000


def test_thousands_of_servers_change_while_queries_are_served():
    """The list grows to 3000 lines in one answer: the module has them all, and nothing was lost over it."""

    async def main():
        async with BrokerFixture(count=24) as stage:
            registry = stage.world.registry
            sizes = []
            tell = stage.broker.driver.update_endpoints

            def view(told):
                sizes.append(len(told.endpoints))
                tell(told)

            replace_attribute(stage.broker.driver, "update_endpoints", view)
            for i in range(3000):
                registry.entries[f"x{i}"] = Entry(f"x{i}", 9, i % 12, 1, 0.0, "gone")
            registry.changed()
            answers = []
            while sum(sizes) < 3000:
                answers.append(await stage.client.query("{ fullQuote(blocks: [1, 2], amount: 9000) { id } }"))
            assert answers
            assert all("errors" not in a for _, a, _ in answers)
            assert max(sizes) <= SLICE
            assert sum(1 for n in stage.broker.driver.module.endpoints.servers.values() if n.ready) == 24

    run(main)


def test_a_clock_ahead_of_ours_makes_no_server_older_than_new():
    view, _ = consul_directory(12).read(rows(Entry("a", 1000, 3, 1, 500.0)), 10_000.0, 100.0)
    assert view.endpoints[0].started_ms == 10_000.0


def test_states():
    warn, crit = Entry("w", 1, 0, 0, 0.0, "draining"), Entry("c", 2, 0, 0, 0.0, "gone")
    kept = Entry("m", 3, 0, 0, 0.0).as_json()
    kept["Checks"].append({"CheckID": "_service_maintenance:m", "Status": "critical"})
    view, _ = consul_directory(4).read(rows(warn, crit, kept), 0.0, 0.0)
    assert [x.state for x in view.endpoints] == [DRAINING, GONE, DRAINING]


@pytest.mark.parametrize("body", [b"", b"{", b"{}", b"[]", b"[1,2]", b"null", b"\xff", b"[" * 50_000])
def test_what_is_no_list_is_an_error_and_not_news(body):
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
def test_an_absurd_line_is_left_out_and_named(change):
    bad = Entry("bad", 1001, 2, 0, 0.0).as_json()
    bad["Service"].update(change)
    view, wrong = consul_directory(4).read(rows(Entry("good", 1000, 3, 0, 0.0), bad), 0.0, 0.0)
    assert [x.cell for x in view.endpoints] == [3]
    assert len(wrong) == 1
    assert "line 1" in wrong[0]


json = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.sampled_from(["Service", "ID", "Port", "Meta", "cell", "Checks", "Status", "Node"]), x)
    ),
)


@given(st.lists(json, max_size=4))
def test_any_json_is_read_or_refused(rows_):
    try:
        view, _ = consul_directory(4).read(decode_rows(msgspec.json.encode(rows_)), 0.0, 0.0)
    except ListError:
        return
    assert all(isinstance(x, api.Endpoint) for x in view.endpoints)


QUOTE = "{ fullQuote(blocks: [1], amount: 5) { id } }"


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_news_arrive_and_an_outage_of_the_list_loses_nothing(mode):
    async def main():
        async with BrokerFixture(discovery={"mode": mode, "must_ask_ms": 800.0}) as s:
            node = next(n for n, name in s.broker.directory.names.items() if name == "rates-1")
            module = s.broker.driver.module
            await until(lambda: node in module.endpoints.servers and module.endpoints.servers[node].ready)
            s.world.drain("rates-1")
            await until(lambda: node not in module.endpoints.servers or not module.endpoints.servers[node].ready)
            s.world.registry.cut(True)
            await until(lambda: s.broker.watch.failures >= 2)
            _, answer, _ = await s.client.query(QUOTE)
            assert len(answer["data"]["fullQuote"]) == 4
            await s.world.restart("rates-1")
            s.world.registry.cut(False)
            await until(lambda: node in module.endpoints.servers and module.endpoints.servers[node].ready)
            s.world.registry.extra = [None, {"Service": 3}]
            s.world.registry.changed()
            await until(lambda: s.broker.watch.index == s.world.registry.index)
            assert len(s.broker.directory.addresses) == 12

    run(main)


def test_a_list_emptied_by_mistake_stops_no_service():
    async def main():
        async with BrokerFixture() as s:
            s.world.registry.entries.clear()
            s.world.registry.changed()
            await until(lambda: s.broker.watch.failures)
            _, answer, _ = await s.client.query(QUOTE)
            assert len(answer["data"]["fullQuote"]) == 4

    run(main)


def test_a_broker_started_before_its_list_serves_once_it_is_there():
    async def main():
        async with BrokerFixture() as s:
            s.world.registry.cut(True)
            other = Broker(s.settings, s.broker.front.subgraph)
            await other.start()
            await until(lambda: other.watch.failures)
            assert other.watch.refreshed_at is None
            s.world.registry.cut(False)
            await until(lambda: other.watch.refreshed_at is not None)
            await other.stop()

    run(main)


def plain_row(row):
    """A list's form that says everything, also that a server is gone."""
    return directory_module.Entry(
        row["id"], ("127.0.0.1", row["port"]), row["cell"], READY_OR[row["state"]], 0, 0, 0, 1.0
    )


READY_OR = {"ready": READY, "draining": DRAINING, "gone": GONE}
ROW = st.fixed_dictionaries(
    {
        "id": st.sampled_from([f"s{i}" for i in range(6)]),
        "port": st.integers(1, 3),
        "cell": st.integers(0, 2),
        "state": st.sampled_from(sorted(READY_OR)),
    }
)


@given(st.lists(st.lists(ROW, max_size=4, unique_by=lambda row: row["id"]), max_size=8))
def test_changes_leave_the_directory_as_a_rebuilt_one_would_be(batches):
    directory = directory_module.Directory(3, plain_row)
    directory.read(decode_rows(msgspec.json.encode([{"id": "s0", "port": 1, "cell": 0, "state": "ready"}])), 0.0, 0.0)
    expected = {"s0": ("127.0.0.1", 1)}
    for batch in batches:
        reading = ListReader(directory, decode_rows(msgspec.json.encode(batch)), 1.0, 1.0, whole=False)
        list(reading.read_slices())
        reading.apply()
        list(reading.updates())
        for row in batch:
            expected[row["id"]] = ("127.0.0.1", row["port"])
            if row["state"] == "gone":
                del expected[row["id"]]
        assert {name: known.address for name, known in directory.servers.items()} == expected
        numbers = {known.endpoint.node: name for name, known in directory.servers.items()}
        assert directory.names == numbers
        assert directory.addresses == {number: expected[name] for number, name in numbers.items()}
