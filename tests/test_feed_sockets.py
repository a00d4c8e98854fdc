"""The feed over loopback sockets, in one process: a relay, followers, and what lies between them."""

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

TIMEOUT_S = 20.0  # a wait that takes so long has failed
QUICK = FollowerTuning(start_jitter=0.0, backoff_base=0.02, backoff_max=0.1)


class Owner:
    """Puts changes in force in a dict, and wakes those who wait for a revision."""

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

    async def reaches(self, revision):
        await self.until(lambda owner: owner.revisions and owner.revisions[-1] >= revision)


class Fleet:
    """A control machine without agreement, its relay's socket, and followers."""

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
        """Have the server wake those who wait for a state of the relay each time that it has carried out actions."""

        def process_and_wake():
            process_actions()
            self.changed.set()

        replace_attribute(self.server, "process_actions", process_and_wake)

    async def until(self, condition):
        """Wait until the relay fulfils a condition: each event of a connection may change its state."""
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


def test_followers_over_sockets_get_content_changes_and_report_what_is_in_force():
    async def scene():
        async with Fleet() as fleet:
            fleet.publish(*[change(f"node/{i}", "ready" * 10) for i in range(2000)])
            found = [fleet.follower(f"f{i}") for i in range(20)]
            for _, owner in found:
                await owner.reaches(1)
            fleet.publish(change("node/7", None), change("node/8", "draining"))
            for client, owner in found:
                await owner.reaches(2)
                assert owner.content == dict(fleet.control.machine.log.content.items())
                assert client.follower.log.checkpoint == fleet.control.machine.log.checkpoint
            await fleet.until(lambda relay: relay.summary().applied == 20)

    asyncio.run(scene())


@pytest.mark.parametrize("turns", range(8))
def test_a_connection_that_is_accepted_while_the_relay_stops_does_not_stay(turns):
    async def scene():
        async with Fleet() as fleet:
            with socket.socket() as late:
                late.setblocking(False)
                late.connect_ex(("127.0.0.1", fleet.port))
                for _ in range(turns):
                    await asyncio.sleep(0)
                await fleet.server.stop()
                for _ in range(20):
                    await asyncio.sleep(0)
                assert not fleet.server.connections

    asyncio.run(scene())


def test_a_configuration_that_a_broker_cannot_use_is_reported_until_a_later_one_is_usable():
    async def scene():
        async with Fleet() as fleet:
            _, owner = fleet.follower("f")
            held = {"bad": False}

            def unusable(changes):
                for one in changes:
                    held["bad"] = one.value == b"bad"
                return "line 3: field `port`" if held["bad"] else ""

            replace_attribute(owner, "unusable", unusable)
            fleet.publish(change("configuration/a", "bad"))
            await fleet.until(lambda relay: relay.summary().rejected)
            (laggard,) = fleet.relay.summary().laggards
            assert (laggard.rejected_revision, laggard.reason) == (1, "line 3: field `port`")
            fleet.publish(change("configuration/a", "good"))
            await fleet.until(lambda relay: not relay.summary().rejected)

    asyncio.run(scene())


def test_an_owner_that_fails_ends_its_follower_and_the_failure_is_raised_in_the_loop():
    async def scene():
        raised = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: raised.append(context["exception"]))
        async with Fleet() as fleet:
            client, owner = fleet.follower("f")
            replace_attribute(owner, "unusable", lambda changes: 1 // 0)
            fleet.publish(change("a", "1"))
            await owner.reaches(1)
            await fleet.until(lambda relay: not relay.sessions)
            assert [type(error) for error in raised] == [ZeroDivisionError]
            assert client.follower.status.applied_revision == 0
            assert client.follower.phase is FollowerPhase.STOPPED

    asyncio.run(scene())
