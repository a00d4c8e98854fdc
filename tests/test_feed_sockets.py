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
from tests.feed_stage import VERIFIER, Control, change
from tests.replacing import replace_attribute

LONGEST_S = 20.0  # a wait that takes so long has failed
QUICK = FollowerTuning(start_jitter=0.0, backoff_base=0.02, backoff_max=0.1)


class Owner:
    """Puts changes in force in a dict, and tells who waits for a revision."""

    def __init__(self):
        self.held, self.revisions, self.errors = {}, [], []
        self.news = asyncio.Event()
        self.unusable = lambda changes: ""

    def install(self, revision, changes):
        for one in changes:
            if one.value is None:
                self.held.pop(one.key, None)
            else:
                self.held[one.key] = one.value
        self.revisions.append(revision)
        self.news.set()
        return self.unusable(changes)

    def rejected(self, relay, error):
        self.errors.append((relay, type(error).__name__))
        self.news.set()

    async def until(self, condition):
        async with asyncio.timeout(LONGEST_S):
            while not condition(self):
                self.news.clear()
                await self.news.wait()

    async def reaches(self, revision):
        await self.until(lambda owner: owner.revisions and owner.revisions[-1] >= revision)


class Fleet:
    """A control machine without agreement, its relay's socket, and followers."""

    def __init__(self, retention=Retention(), tuning=RelayTuning()):  # noqa: B008 - frozen
        self.control = Control(retention)
        self.control.grant()
        self.relay = Relay("relay-1", self.control.machine.log, tuning)
        self.server, self.clients, self.port = None, [], 0

    async def __aenter__(self):
        self.server = RelayServer(self.relay)
        self.port = await self.server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        for client in self.clients:
            client.stop()
        await self.server.stop()

    def publish(self, *changes):
        problems = self.control.publish(self.server.clock(), *changes)
        self.server.published()
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
                assert owner.held == dict(fleet.control.machine.log.content.items())
                assert client.follower.log.checkpoint == fleet.control.machine.log.checkpoint
            async with asyncio.timeout(LONGEST_S):
                while fleet.relay.summary().applied < 20:
                    await asyncio.sleep(0.05)

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
            async with asyncio.timeout(LONGEST_S):
                while not fleet.relay.summary().rejected:
                    await asyncio.sleep(0.05)
            (laggard,) = fleet.relay.summary().laggards
            assert (laggard.rejected_revision, laggard.reason) == (1, "line 3: field `port`")
            fleet.publish(change("configuration/a", "good"))
            async with asyncio.timeout(LONGEST_S):
                while fleet.relay.summary().rejected:
                    await asyncio.sleep(0.05)

    asyncio.run(scene())


def test_an_owner_that_fails_ends_its_follower_and_the_failure_is_told():
    async def scene():
        told = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: told.append(context["exception"]))
        async with Fleet() as fleet:
            client, owner = fleet.follower("f")
            replace_attribute(owner, "unusable", lambda changes: 1 // 0)
            fleet.publish(change("a", "1"))
            await owner.reaches(1)
            async with asyncio.timeout(LONGEST_S):
                while fleet.relay.sessions:
                    await asyncio.sleep(0.01)
            assert [type(error) for error in told] == [ZeroDivisionError]
            assert client.follower.status.applied_revision == 0 and client.follower.phase is FollowerPhase.STOPPED

    asyncio.run(scene())
