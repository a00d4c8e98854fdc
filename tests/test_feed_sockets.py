"""A relay and followers of the feed in one process, over loopback sockets."""

import asyncio
import socket

import pytest

from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import FollowerPhase, FollowerTuning, RelayAddress
from badgerbend.feed.log import Retention
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed_service.follower import FollowerClient
from badgerbend.feed_service.relay import RelayServer
from tests.feed_harness import VERIFIER, Control, change
from tests.replacing import replace_attribute

TIMEOUT_S = 20.0  # a wait fails after this time
QUICK = FollowerTuning(start_jitter=0.0, backoff_base=0.02, backoff_max=0.1)


class Owner:
    """Applies changes to a dict and wakes the tasks that wait for a revision."""

    def __init__(self):
        self.content = {}
        self.revisions = []
        self.errors = []
        self.changed = asyncio.Event()
        self.unusable = lambda changes: ""

    def install(self, revision, changes):
        for one in changes:
            if one.value is None:
                self.content.pop(one.key, None)
            else:
                self.content[one.key] = one.value
        self.revisions.append(revision)
        self.changed.set()
        return self.unusable(changes)

    def rejected(self, relay, error):
        self.errors.append((relay, type(error)))
        self.changed.set()

    async def until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition(self):
                self.changed.clear()
                await self.changed.wait()

    async def until_revision(self, revision):
        await self.until(lambda owner: owner.revisions and owner.revisions[-1] >= revision)


class RelayFixture:
    """A control machine without consensus, its relay with a server socket, and followers."""

    def __init__(self, retention=Retention(), tuning=RelayTuning()):  # noqa: B008 - frozen
        self.control = Control(retention)
        self.control.grant()
        self.relay = Relay("relay-1", self.control.machine.log, tuning)
        self.server = None
        self.changed = asyncio.Event()
        self.clients = []
        self.port = 0

    async def __aenter__(self):
        self.server = RelayServer(self.relay)
        self._wake_waiters_after(self.server.process_actions)
        self.port = await self.server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        for client in self.clients:
            client.stop()
        await self.server.stop()

    def _wake_waiters_after(self, process_actions):
        """Wake the tasks that wait for a state of the relay each time that the server has carried out actions."""

        def process_and_wake():
            process_actions()
            self.changed.set()

        replace_attribute(self.server, "process_actions", process_and_wake)

    async def until(self, condition):
        """Wait until the relay fulfils a condition, which is checked after each event of a connection."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition(self.relay):
                self.changed.clear()
                await self.changed.wait()

    def publish(self, *changes):
        problems = self.control.publish(self.server.clock(), *changes)
        self.server.log_advanced()
        return problems

    def follower(self, name, *relays, tuning=QUICK):
        owner = Owner()
        addresses = relays or (RelayAddress("relay-1", "north", "127.0.0.1", self.port),)
        client = FollowerClient(Follower(name, "north", addresses, VERIFIER, tuning, len(self.clients)), owner)
        self.clients.append(client)
        client.start()
        return client, owner


def test_followers_over_sockets_receive_content_and_changes_and_report_what_is_in_force():
    async def scenario():
        async with RelayFixture() as fixture:
            fixture.publish(*[change(f"node/{i}", "ready" * 10) for i in range(2000)])
            followers = [fixture.follower(f"f{i}") for i in range(20)]
            for _, owner in followers:
                await owner.until_revision(1)
            fixture.publish(change("node/7", None), change("node/8", "draining"))
            for client, owner in followers:
                await owner.until_revision(2)
                assert owner.content == dict(fixture.control.machine.log.content.items())
                assert client.follower.log.checkpoint == fixture.control.machine.log.checkpoint
            await fixture.until(lambda relay: relay.summary().applied == 20)

    asyncio.run(scenario())


@pytest.mark.parametrize("loop_turns", range(8))
def test_a_connection_that_is_accepted_while_the_relay_stops_is_closed(loop_turns):
    async def scenario():
        async with RelayFixture() as fixture:
            with socket.socket() as client:
                client.setblocking(False)
                client.connect_ex(("127.0.0.1", fixture.port))
                for _ in range(loop_turns):
                    await asyncio.sleep(0)
                await fixture.server.stop()
                for _ in range(20):
                    await asyncio.sleep(0)
                assert not fixture.server.connections

    asyncio.run(scenario())


def test_a_configuration_that_a_broker_cannot_use_is_reported_until_a_later_one_is_usable():
    async def scenario():
        async with RelayFixture() as fixture:
            _, owner = fixture.follower("f")
            state = {"bad": False}

            def unusable(changes):
                for one in changes:
                    state["bad"] = one.value == b"bad"
                return "line 3: field `port`" if state["bad"] else ""

            replace_attribute(owner, "unusable", unusable)
            fixture.publish(change("configuration/a", "bad"))
            await fixture.until(lambda relay: relay.summary().rejected)
            (laggard,) = fixture.relay.summary().laggards
            assert (laggard.rejected_revision, laggard.reason) == (1, "line 3: field `port`")
            fixture.publish(change("configuration/a", "good"))
            await fixture.until(lambda relay: not relay.summary().rejected)

    asyncio.run(scenario())


def test_an_owner_that_fails_ends_its_follower_and_the_failure_is_raised_in_the_loop():
    async def scenario():
        raised = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context["exception"]))
        async with RelayFixture() as fixture:
            client, owner = fixture.follower("f")
            replace_attribute(owner, "unusable", lambda changes: 1 // 0)
            fixture.publish(change("a", "1"))
            await owner.until_revision(1)
            await fixture.until(lambda relay: not relay.sessions)
            assert [type(error) for error in raised] == [ZeroDivisionError]
            assert client.follower.status.applied_revision == 0
            assert client.follower.phase is FollowerPhase.STOPPED

    asyncio.run(scenario())
