"""A broker that follows the feed, over loopback. A configuration takes effect between two turns of its event loop."""

import asyncio
import gc
import itertools
import subprocess
import sys
import weakref
from collections import Counter

import msgspec
import pytest

from badgerbend import api
from badgerbend.broker import Broker
from badgerbend.config.feed import Feed, RelayEndpoint
from badgerbend.config.fleet import Site, Sites
from badgerbend.config.settings import Snapshot
from badgerbend.feed.log import Retention
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed_service.relay import RelayServer
from badgerbend.feed_subscription.public_key import PublicKeyError, read_public_key
from badgerbend.feed_subscription.subscription import WAITING_FOR_CAPACITY
from badgerbend.generations import manager
from badgerbend.publication_validation.changes import validate_change
from tests.feed_harness import SIGNER, Control, change
from tests.replacing import replaced
from tests.sockets import EXAMPLE, BrokerFixture, run, until

KEY = "configuration/broker"
BROKER_FORMS = ("(listen (port 8080))", '(discovery (port 8500) (service "rates"))')  # each broker has its own
PUBLISHED = EXAMPLE.read_text()
for form in BROKER_FORMS:
    assert form in PUBLISHED
    PUBLISHED = replaced(PUBLISHED, form, "")
FULL_QUOTE = "(class full-quote (aim-ms 1000) (deadline-ms 3000))"
assert FULL_QUOTE in PUBLISHED
QUERY = "{ fullQuote(blocks: [1], amount: 5) { id } }"
SLOW_PART_MS = 600.0
CONFIGURATION_CHANGES = 20
CLIENTS = 8


def configuration(full_quote=FULL_QUOTE, *forms):
    """Return a published configuration with another class for full quotes, and with additional forms."""
    text = replaced(PUBLISHED, FULL_QUOTE, full_quote)
    return text.rstrip().removesuffix(")") + "\n" + "\n".join(forms) + ")\n"


def with_deadline(deadline_ms, *forms):
    aim_ms = min(deadline_ms, 1000)
    return configuration(f"(class full-quote (aim-ms {aim_ms}) (deadline-ms {deadline_ms}))", *forms)


class FeedStage(BrokerFixture):
    """A world, and a broker that follows the feed of a relay. listed: the feed also delivers the list of servers."""

    def __init__(self, tmp_path, listed=False, retention=Retention(), **changes):  # noqa: B008 - frozen
        super().__init__(broker=self._broker, **changes)
        self.listed = listed
        self.key_file = tmp_path / "feed.pub"
        self.key_file.write_text(SIGNER.public_key().hex() + "\n")
        self.control = Control(retention, check=validate_change)
        self.control.grant()
        self.relay = Relay("relay-1", self.control.machine.log, RelayTuning())

    async def __aenter__(self):
        self.relay_server = RelayServer(self.relay)
        port = await self.relay_server.start("127.0.0.1", 0)
        address = RelayEndpoint("relay-1", "north", f"127.0.0.1:{port}")
        self.changes["feed"] = Feed(str(self.key_file), "north", (address,), list=self.listed)
        await super().__aenter__()
        await until(lambda: self.relay.summary().followers)
        return self

    async def __aexit__(self, *error):
        await super().__aexit__(*error)
        await self.relay_server.stop()

    def _broker(self, settings, graph):
        """Create the broker, after the world has started: its servers are published before the broker follows."""
        if self.listed:
            self.publish_changes(*[change(f"node/{name}", self.row(name)) for name in self.world.registry.entries])
        return Broker(settings, graph)

    def row(self, name, **fields):
        """Return a server's row in the feed."""
        listed = self.world.registry.entries[name]
        location = {"address": f"127.0.0.1:{listed.port}", "cell": listed.cell, "zone": listed.zone}
        return msgspec.json.encode({**location, "started": listed.started, **fields}).decode()

    @property
    def generations(self):
        return self.broker.generations

    def publish(self, text):
        """Publish a configuration; return its revision."""
        return self.publish_changes(change(KEY, text))

    def publish_changes(self, *changes):
        assert self.control.publish(self.relay_server.clock(), *changes) == ()
        self.relay_server.log_advanced()
        return self.control.machine.log.revision

    async def put_in_force(self, text):
        """Publish a configuration and wait until the broker has it in force."""
        revision = self.publish(text)
        await until(lambda: self.broker.feed_subscription.active_configuration.current.revision == revision)

    def slow_down(self, part_ms):
        for server in self.world.servers.values():
            server.machine.model.part_ms = part_ms

    def count_ends(self):
        """Return the number of ended queries by outcome, and of faults by kind."""
        samples = [sample for metric in self.broker.metrics.registry.collect() for sample in metric.samples]
        ended = Counter()
        faults = Counter()
        for sample in samples:
            if sample.name == "badgerbend_queries_total":
                ended[sample.labels["how"]] += int(sample.value)
            elif sample.name == "badgerbend_troubles_total":
                faults[sample.labels["kind"]] += int(sample.value)
        return +ended, +faults


def test_a_query_in_flight_ends_under_its_configuration_and_the_next_one_uses_the_new(tmp_path):
    async def main():
        async with FeedStage(tmp_path) as stage:
            stage.slow_down(SLOW_PART_MS)
            before = stage.generations.current
            first = asyncio.ensure_future(stage.client.query(QUERY))
            await until(lambda: before.driver.queries)
            forms = ("(tenant a (quota-per-s 7))", "(tenant b (quota-per-s 8))")
            await stage.put_in_force(replaced(with_deadline(300, *forms), "(need 0.75)", "(need 0.9)"))
            newest = stage.generations.current
            assert newest is not before
            assert stage.generations.draining == [before]
            assert before.driver.queries
            assert [tenant.quota_per_s for tenant in newest.driver.module.settings.tenants] == [7.0, 8.0]
            assert [one.complete_weight for one in newest.driver.module.settings.classes][1] == 0.9
            # The new configuration has tenants, and this query names none.
            assert (await stage.client.query(QUERY))[0] == 403
            loop = asyncio.get_running_loop()
            began = loop.time()
            _, answer, _ = await stage.client.query(QUERY, badgerbend_tenant="b")
            assert answer["errors"]
            assert loop.time() - began < SLOW_PART_MS / 1000.0
            status, answer, _ = await first
            assert status == 200
            assert len(answer["data"]["fullQuote"]) == 4
            await until(lambda: not stage.generations.draining)
            _, faults = stage.count_ends()
            assert not faults

    run(main)


def test_no_query_is_lost_or_answered_twice_during_many_configuration_changes_under_load(tmp_path):
    async def main():
        async with FeedStage(tmp_path) as stage:
            answered = Counter()
            finished = asyncio.Event()
            rates = itertools.count()
            stage.slow_down(10.0)

            async def reads(block):
                while not finished.is_set():
                    status, answer, _ = await stage.client.query(
                        f"{{ fullQuote(blocks: [{block}], amount: 5) {{ id }} }}"
                    )
                    assert status == 200, answer
                    assert "errors" not in answer, answer
                    assert [row["id"] for row in answer["data"]["fullQuote"]] == [f"{block}:{i}" for i in range(4)]
                    answered["read"] += 1

            async def writes(block):
                while not finished.is_set():
                    rate = next(rates)
                    one = f'"{block}:{rate}"'
                    other = f'"{block}:{rate}x"'
                    text = (
                        f"mutation {{ a: signLease(block: {block}, rate: {one}) {{ rate }} "
                        f"b: signLease(block: {block}, rate: {other}) {{ rate }} }}"
                    )
                    status, answer, _ = await stage.client.query(text)
                    assert status == 200, answer
                    assert answer["data"]["a"]["rate"] == f"{block}:{rate}", answer
                    assert answer["data"]["b"]["rate"] == f"{block}:{rate}x"
                    answered["write"] += 1

            load = [asyncio.ensure_future(reads(i)) for i in range(CLIENTS)]
            load += [asyncio.ensure_future(writes(i)) for i in range(CLIENTS, CLIENTS + 2)]
            max_live = 0
            for number in range(CONFIGURATION_CHANGES):
                goal = answered.total() + CLIENTS
                await until(lambda goal=goal: answered.total() >= goal or any(one.done() for one in load))
                await stage.put_in_force(with_deadline(3000 + number))
                max_live = max(max_live, len(stage.generations.live))
                assert stage.generations.current.settings.class_[0].deadline_ms == 3000 + number
            finished.set()
            await asyncio.gather(*load)
            await until(lambda: not stage.generations.draining)
            ended, faults = stage.count_ends()
            assert ended == Counter(answered=answered["read"] + 2 * answered["write"])
            assert not faults
            signed = Counter(part["query"] for run in stage.seen("ran") if run["write"] for part in run["parts"])
            assert len(signed) == 2 * answered["write"]
            assert set(signed.values()) == {1}
            assert max_live > 1

    run(main)


def test_an_earlier_generation_is_closed_after_its_last_query(tmp_path):
    async def main():
        async with FeedStage(tmp_path) as stage:
            stage.slow_down(SLOW_PART_MS)
            await stage.put_in_force(with_deadline(2900))
            earlier = weakref.ref(stage.generations.current)
            call = stage.client.ask(QUERY, None, {}, lambda reply: None)
            await until(lambda: stage.generations.current.driver.queries)
            await stage.put_in_force(with_deadline(2800))
            assert stage.generations.draining == [earlier()]
            call.abort()  # the client disconnects
            await until(lambda: not stage.generations.draining)
            await until(lambda: gc.collect() is not None and earlier() is None)

    run(main)


def test_a_generation_drains_until_attempts_that_outlive_their_query_have_ended(tmp_path):
    async def main():
        changes = {"attempts": {"cancel": False}}
        async with FeedStage(tmp_path, **changes) as stage:
            stage.slow_down(SLOW_PART_MS)
            before = stage.generations.current
            call = stage.client.ask(QUERY, None, {}, lambda reply: None)
            await until(lambda: stage.seen("ran"))
            await stage.put_in_force(with_deadline(2900))
            call.abort()
            await until(lambda: not before.driver.queries)
            assert stage.generations.draining == [before]
            await until(lambda: stage.seen("answered"))
            await until(lambda: not stage.generations.draining)

    run(main)


def test_a_new_generation_starts_with_the_list_and_observations_and_both_generations_receive_updates(tmp_path):
    async def main():
        async with FeedStage(tmp_path) as stage:
            for number in range(60):
                await stage.client.query(f"{{ fullQuote(blocks: [{number % 24}], amount: 5) {{ id }} }}")
            before = stage.generations.current
            await until(lambda: before.driver.module.latency.typical_ms > 0.0)
            known = {one.node: one.response_time_ms for one in before.driver.observations().nodes}
            typical_ms = before.driver.module.latency.typical_ms
            assert known
            for deadline_ms in (2900, 2800, 2700):  # in quick succession: each passes the observations on
                await stage.put_in_force(with_deadline(deadline_ms))
            newest = stage.generations.current
            await until(lambda: newest.driver.module.endpoints.servers)
            ready = {server.id for server in newest.driver.module.endpoints.servers.values() if server.ready}
            assert ready == set(stage.broker.directory.addresses)
            assert len(ready) == 12
            assert {one.node: one.response_time_ms for one in newest.driver.observations().nodes} == known
            assert newest.driver.module.latency.typical_ms == pytest.approx(typical_ms, rel=0.5)
            stage.slow_down(SLOW_PART_MS)
            first = asyncio.ensure_future(stage.client.query(QUERY))
            await until(lambda: newest.driver.queries)
            await stage.put_in_force(with_deadline(2600))
            crashed = next(iter(stage.world.servers))
            stage.world.crash(crashed)
            modules = [one.driver.module for one in stage.generations.live]
            await until(
                lambda: all(
                    sum(server.ready for server in module.endpoints.servers.values()) == 11 for module in modules
                )
            )
            assert len(modules) == 2
            await first

    run(main)


def test_peer_learning_continues_with_the_current_generation(tmp_path):
    async def main():
        async with FeedStage(tmp_path, snapshot=Snapshot(str(tmp_path / "seen"))) as stage:
            for number in range(24):
                await stage.client.query(f"{{ fullQuote(blocks: [{number}], amount: 5) {{ id }} }}")
            exchange = stage.broker.knowledge_exchange
            seen = exchange.own_record()
            assert seen.servers
            await stage.put_in_force(with_deadline(2900))
            newest = stage.generations.current
            assert exchange.driver is newest.driver
            assert newest.answer_observer.knowledge_exchange is exchange
            assert {one.name for one in exchange.own_record().servers} == {one.name for one in seen.servers}

    run(main)


def test_generations_share_the_preference_among_sites(tmp_path):
    async def main():
        sites = Sites((Site("north", (0,), 1), Site("south", (1,), 0)), 1000.0)
        async with FeedStage(tmp_path, sites=sites) as stage:
            stage.slow_down(SLOW_PART_MS)
            preference = stage.broker.site_service.preference
            first = asyncio.ensure_future(stage.client.query(QUERY))
            await until(lambda: stage.generations.current.driver.queries)
            await stage.put_in_force(replaced(PUBLISHED, "(free 5)", "(free 6)"))
            earlier, newest = stage.generations.draining[0], stage.generations.current
            assert newest.driver.module.sites is earlier.driver.module.sites is preference
            next_one = asyncio.ensure_future(stage.client.query(QUERY))
            await until(lambda: newest.driver.queries)
            # Ids of parts are unique across generations.
            assert not set(earlier.driver._query_of_part) & set(newest.driver._query_of_part)
            for status, answer, _ in await asyncio.gather(first, next_one):
                assert status == 200
                assert len(answer["data"]["fullQuote"]) == 4
            await until(lambda: not stage.generations.draining and newest.idle)
            assert not any(site.health.in_flight for site in preference.sites)
            stage.publish(with_deadline(2900))  # rejected: the preference among sites depends on the classes
            await until(lambda: stage.relay.summary().rejected)
            assert "broker > class: cannot change" in stage.relay.summary().laggards[0].reason

    run(main)


def test_a_new_generation_follows_a_list_that_is_polled(tmp_path):
    async def main():
        async with FeedStage(tmp_path, discovery={"mode": "ask"}) as stage:
            await stage.put_in_force(with_deadline(2900))
            newest = stage.generations.current.driver.module
            await until(lambda: sum(server.ready for server in newest.endpoints.servers.values()) == 12)
            stage.world.crash(next(iter(stage.world.servers)))
            await until(lambda: sum(server.ready for server in newest.endpoints.servers.values()) == 11)

    run(main)


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ("(cells 12)", "(cells 13)", f"{KEY}:5:3: broker > layout: cannot change while the broker runs"),
        ("(layout", "(listen (port 1)) (layout", f"{KEY}:5:3: broker > listen: cannot change while the broker runs"),
        ("(field signLease", "(field signLoan", f"{KEY}: schema: root field Mutation.signLease has no (field"),
    ],
)
def test_a_configuration_that_a_broker_cannot_use_leaves_the_current_one_in_force_and_is_reported(
    tmp_path, old, new, reason
):
    async def main():
        async with FeedStage(tmp_path) as stage:
            assert old in PUBLISHED
            before = stage.generations.current
            revision = stage.publish(replaced(PUBLISHED, old, new))
            await until(lambda: stage.relay.summary().rejected)
            (laggard,) = stage.relay.summary().laggards
            assert (laggard.name, laggard.rejected_revision) == ("broker-0", revision)
            assert laggard.reason.startswith(reason), laggard.reason
            assert stage.generations.live == (before,)
            assert (await stage.client.query(QUERY))[0] == 200
            await stage.put_in_force(with_deadline(2900))
            assert stage.generations.current is not before
            await until(lambda: stage.relay.summary().rejected == 0 and stage.relay.summary().applied == 1)

    run(main)


def test_a_configuration_waits_while_too_many_earlier_generations_still_have_queries(tmp_path, monkeypatch):
    monkeypatch.setattr(manager, "MAX_GENERATIONS", 2)

    async def main():
        async with FeedStage(tmp_path) as stage:
            stage.slow_down(2 * SLOW_PART_MS)
            first = asyncio.ensure_future(stage.client.query(QUERY))
            await until(lambda: stage.generations.current.driver.queries)
            await stage.put_in_force(with_deadline(2900))
            stage.publish(with_deadline(2800))
            stage.publish(with_deadline(2700))
            await until(lambda: stage.relay.summary().rejected)
            assert stage.relay.summary().laggards[0].reason == WAITING_FOR_CAPACITY
            assert len(stage.generations.live) == 2
            assert stage.generations.current.settings.class_[0].deadline_ms == 2900
            assert (await first)[0] == 200
            await until(lambda: stage.generations.current.settings.class_[0].deadline_ms == 2700)
            await until(lambda: stage.relay.summary().rejected == 0)

    run(main)


def test_an_unchanged_or_removed_configuration_starts_no_generation(tmp_path):
    async def main():
        async with FeedStage(tmp_path) as stage:
            before = stage.generations.current
            await stage.put_in_force(PUBLISHED)
            assert stage.generations.current is before
            stage.publish(None)
            await until(lambda: stage.broker.feed_subscription.client.follower.status.applied_revision == 2)
            assert stage.generations.live == (before,)

    run(main)


def states_by_name(broker):
    """Return the state of each server on the broker's list, by name."""
    return {name: known.endpoint.state for name, known in broker.directory.servers.items()}


def test_the_list_of_servers_comes_from_the_feed_instead_of_consul(tmp_path):
    async def main():
        async with FeedStage(tmp_path, listed=True) as stage:
            assert len(states_by_name(stage.broker)) == 12
            assert (await fetch_ready(stage)) == 200
            for block in range(24):
                status, answer, _ = await stage.client.query(f"{{ fullQuote(blocks: [{block}], amount: 5) {{ id }} }}")
                assert status == 200
                assert len(answer["data"]["fullQuote"]) == 4
            drained, removed = list(stage.world.servers)[:2]
            stage.publish_changes(change(f"node/{drained}", stage.row(drained, state="draining")))
            await until(lambda: states_by_name(stage.broker)[drained] == api.EndpointState.DRAINING)
            stage.publish_changes(change(f"node/{removed}", None))
            await until(lambda: removed not in states_by_name(stage.broker))
            module = stage.generations.current.driver.module
            await until(lambda: sum(server.ready for server in module.endpoints.servers.values()) == 10)
            stage.records.clear()
            await stage.put_in_force(with_deadline(2900))  # a new generation begins with the feed's list
            for block in range(24):
                assert (await stage.client.query(f"{{ fullQuote(blocks: [{block}], amount: 5) {{ id }} }}"))[0] == 200
            assert not {record["server"] for record in stage.seen("arrive")} & {drained, removed}
            assert not stage.seen("told")  # the stand-in for Consul was never polled
            stage.relay_server.mark_current(stage.relay_server.clock())
            await until(lambda: stage.broker.feed_subscription.age_s < 60.0)  # after the relay's next heartbeat
            stage.broker._update_gauges()
            assert stage.broker.metrics.list_age._value.get() < 60.0

    run(main)


async def fetch_ready(stage):
    reader, writer = await asyncio.open_connection("127.0.0.1", stage.port)
    writer.write(b"GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
    head = await reader.readline()
    writer.close()
    return int(head.split()[1])


def test_a_drain_takes_precedence_over_a_snapshot_of_earlier_content_in_transfer(tmp_path):
    async def main():
        slow = RelayTuning(snapshot_bytes_per_second=32 * 1024, snapshot_burst_bytes=1)
        async with FeedStage(tmp_path, listed=True, retention=Retention(publications=1)) as stage:
            drained = next(iter(stage.world.servers))
            others = [change(f"node/x{i}", stage.row(drained, zone=200, cell=i % 12, kind=i)) for i in range(3000)]
            stage.publish_changes(*others)
            relay = Relay("relay-2", stage.control.machine.log, slow)
            server = RelayServer(relay)
            port = await server.start("127.0.0.1", 0)
            feed = Feed(
                str(stage.key_file), "north", (RelayEndpoint("relay-2", "north", f"127.0.0.1:{port}"),), list=True
            )
            graph = stage.broker.front.subgraph
            other = Broker(msgspec.structs.replace(stage.settings, feed=feed), graph)
            try:
                await other.start()
                await until(lambda: relay.snapshots_started)
                assert not other.directory.servers
                stage.publish_changes(change(f"node/{drained}", stage.row(drained, state="draining")))
                server.log_advanced()
                await until(lambda: other.directory.servers)
                await until(
                    lambda: (
                        other.feed_subscription.client.follower.status.applied_revision
                        == stage.control.machine.log.revision
                    )
                )
                await until(lambda: states_by_name(other)[drained] == api.EndpointState.DRAINING)
                number = other.directory.servers[drained].endpoint.node
                servers = other.driver.module.endpoints.servers
                await until(lambda: sum(server.ready for server in servers.values()) == len(states_by_name(other)) - 1)
                assert number not in servers or not servers[number].ready
            finally:
                await other.stop()
                await server.stop()

    run(main)


def test_a_public_key_is_read_or_rejected(tmp_path):
    file = tmp_path / "key"
    file.write_text(SIGNER.public_key().hex() + "\n")
    assert read_public_key(file) == SIGNER.public_key()
    for text, message in (
        ("zz", "is not hexadecimal"),
        ("00ff", "has 2 bytes and not 32"),
        ("\u00e9", "not hexadecimal"),
    ):
        file.write_text(text)
        with pytest.raises(PublicKeyError, match=message):
            read_public_key(file)


def test_without_a_feed_form_no_module_of_the_feed_is_imported_or_started():
    code = """
import asyncio, sys
import badgerbend.cli, badgerbend.process
from badgerbend.broker import Broker, read_subgraph
from badgerbend.config.reading import load
import msgspec, pathlib
path = pathlib.Path(sys.argv[1])
async def main():
    base = load(path)
    listen = msgspec.structs.replace(base.listen, port=0)
    settings = msgspec.structs.replace(base, listen=listen)
    broker = Broker(settings, read_subgraph(settings, path))
    await broker.start()
    assert broker.feed_subscription is None
    await broker.stop()
asyncio.run(main())
print(*sys.modules)
"""
    command = [sys.executable, "-c", code, str(EXAMPLE)]
    loaded = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
    assert "badgerbend.broker" in loaded
    assert "badgerbend.generations.manager" in loaded
    feeds = (
        "badgerbend.feed",
        "badgerbend.feed_service",
        "badgerbend.feed_subscription",
        "badgerbend.publication_validation",
    )
    assert not [name for name in loaded if name.startswith(feeds)]


def test_a_feed_whose_key_cannot_be_read_stops_the_start(tmp_path):
    async def main():
        async with BrokerFixture() as stage:
            feed = Feed("none.pub", "north", (RelayEndpoint("relay-1", "north", "127.0.0.1:1"),))
            with pytest.raises(FileNotFoundError):
                Broker(msgspec.structs.replace(stage.settings, feed=feed), stage.broker.front.subgraph, tmp_path)

    run(main)
