"""The process of a relay, which either runs beside publisher and log or follows the relay there and serves its log."""

from __future__ import annotations

import asyncio
import time

from badgerbend.feed.errors import FeedError
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import FollowerTuning, RelayAddress
from badgerbend.feed.log import Retention
from badgerbend.feed.messages import Change
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed_service.follower import FollowerClient
from badgerbend.feed_service.relay import RelayServer
from scale.feed_control import VERIFIER, Control
from scale.feed_messages import (
    Address,
    Command,
    Listening,
    Measure,
    Measured,
    Publish,
    Published,
    Reply,
    StartControl,
    StartRelay,
)
from scale.feed_usage import peak_bytes, resident_bytes

HOST = "127.0.0.1"
CONFIRM_INTERVAL_S = 0.25
# In this benchmark only six relays have an upstream, and each has one. No burst of connections needs to be spread out,
# so they retry soon.
UPSTREAM_TUNING = FollowerTuning(start_jitter=0.0, backoff_max=1.0)


def relay_address(address: Address) -> RelayAddress:
    return RelayAddress(address.name, address.region, HOST, address.port)


class UpstreamOwner:
    """Notifies the relay's server of changes from upstream."""

    def __init__(self, server: RelayServer) -> None:
        self.server = server
        self.rejections = 0

    def install(self, revision: int, changes: tuple[Change, ...]) -> str:
        self.server.log_advanced()
        return ""

    def rejected(self, relay: str, error: FeedError) -> None:
        self.rejections += 1


class RelayWorker:
    """Executes the commands for a relay."""

    def __init__(self) -> None:
        self.control: Control | None = None
        self.upstream: FollowerClient | None = None
        self.upstream_owner: UpstreamOwner | None = None
        self.server: RelayServer | None = None
        self._confirming: asyncio.Task[None] | None = None

    async def handle(self, command: Command) -> Reply:
        match command:
            case StartControl():
                self.control = Control(Retention(publications=command.retained))
                return await self._listen(Relay(command.name, self.control.log, RelayTuning()))
            case StartRelay():
                return await self._start_relay(command)
            case Publish():
                return await self._publish(command)
            case Measure():
                return self._measure()
        raise ValueError(type(command).__name__)

    async def _listen(self, relay: Relay) -> Listening:
        self.server = RelayServer(relay)
        port = await self.server.start(HOST, 0)
        self._confirming = asyncio.create_task(self._confirm_age())
        return Listening((port,))

    async def _start_relay(self, command: StartRelay) -> Listening:
        upstream = [relay_address(command.upstream)]
        follower = Follower(
            command.name, command.region, upstream, VERIFIER, UPSTREAM_TUNING, command.seed, Retention()
        )
        listening = await self._listen(Relay(command.name, follower.log, RelayTuning()))
        assert self.server is not None
        self.upstream_owner = UpstreamOwner(self.server)
        self.upstream = FollowerClient(follower, self.upstream_owner)
        self.upstream.start()
        return listening

    async def _confirm_age(self) -> None:
        """Periodically tells the relay's server how old the log may be."""
        assert self.server is not None
        while True:
            now = time.monotonic()
            age = 0.0 if self.upstream is None else self.upstream.follower.age_s(now)
            self.server.mark_current(now - age)
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    async def _publish(self, command: Publish) -> Published:
        assert self.control is not None
        assert self.server is not None
        control, publisher = self.control, self.control.publisher
        submitted_at = time.monotonic()
        control.submit(submitted_at, command.changes)
        while publisher.next_at != float("inf"):
            await asyncio.sleep(max(publisher.next_at - time.monotonic(), 0.0))
            if control.apply_due_commands(time.monotonic()):
                self.server.log_advanced()
        if command.forget:
            control.restart_from_dump()
        return Published(control.log.revision, submitted_at, control.log.content.digest())

    def _measure(self) -> Measured:
        return Measured(
            time.monotonic(),
            time.process_time(),
            0.0 if self.control is None else self.control.cpu_s,
            resident_bytes(),
            peak_bytes(),
            snapshots=0 if self.server is None else self.server.relay.snapshots_started,
            rejected=0 if self.upstream_owner is None else self.upstream_owner.rejections,
        )
