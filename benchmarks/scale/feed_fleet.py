"""The feed's processes on this machine: publisher and log with the first relay, six relays, a proxy, and followers.

Regions and zones are those of the fleet to come: three regions with 3, 3 and 2 zones, and 3, 2 and 2 relays.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from types import TracebackType

from badgerbend.feed.messages import Change
from scale.feed_content import ContentChanges
from scale.feed_messages import (
    Address,
    Audit,
    Collect,
    Collected,
    Count,
    Counted,
    Disturb,
    Done,
    FollowerSpec,
    InForce,
    Listening,
    Measured,
    OpenProxy,
    Publish,
    Published,
    ReturnZone,
    StartControl,
    StartFollowers,
    StartRelay,
    StopZone,
)
from scale.feed_process import Child
from scale.planned_fleet import ZONES

REGIONS = ("north", "east", "south")
RELAY_REGIONS = ("north", "north", "north", "east", "east", "south", "south")
ZONE_REGIONS = ("north", "north", "north", "east", "east", "east", "south", "south")
DISTURBED_ZONE = 3  # its followers reach their relays through the proxy
CUT_REGION = "south"  # its relays reach the publisher's through the proxy
LOSSY, CUTTABLE = "followers", "upstream"  # groups of the proxy's links
RETAINED = 4096  # publications that the publisher's log keeps
FIRST_CHANGES_AT_ONCE = 1_500  # rows in one publication of the first content
POLL_S = 0.1
assert len(ZONE_REGIONS) == ZONES


@dataclass(frozen=True, slots=True)
class Processes:
    """Of followers. apart: of few followers, whose work does not wait for hundreds of others; crowded: of the rest."""

    apart: int
    crowded: int


class NotInTime(Exception):
    """Followers have not got a revision within the time that the test allows."""


@dataclass(frozen=True, slots=True)
class FleetMeasured:
    """All processes at one time, in the order of their starts."""

    relays: tuple[Measured, ...]
    proxy: Measured
    followers: tuple[Measured, ...]


class Fleet:
    """All processes of one size. Use it as an asynchronous context manager: they end with it."""

    relay_role = "relay"

    def __init__(self, followers: int, processes: Processes, nodes: int, seed: int) -> None:
        self.followers, self.processes, self.seed = followers, processes, seed
        self.changes = ContentChanges(nodes, seed)
        self.newest = Published(0, 0.0, b"")
        self.children: list[Child] = []
        self.relays: list[Child] = []
        self.follower_processes: list[Child] = []
        self._direct: list[Address] = []
        self._disturbed: list[Address] = []
        self.empty: FleetMeasured | None = None  # before the followers have content

    async def __aenter__(self) -> Fleet:
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, kind: type | None, error: BaseException | None, trace: TracebackType | None) -> None:
        await self._end()

    # -- what scenarios do
    async def publish(self, changes: Sequence[Change], forget: bool = False) -> Published:
        self.newest = await self.relays[0].ask(Publish(tuple(changes), forget), Published)
        return self.newest

    async def disturb(self, disturbed: Disturb) -> float:
        """When it began."""
        return (await self.proxy.ask(disturbed, Done)).at

    async def stop_zone(self, zone: int) -> None:
        await asyncio.gather(*(child.ask(StopZone(zone), Done) for child in self.follower_processes))

    async def return_zone(self, zone: int) -> None:
        """Its followers come back with empty replicas."""
        await asyncio.gather(*(child.ask(ReturnZone(zone, True), Done) for child in self.follower_processes))

    async def in_force(self, revision: int) -> int:
        """Followers that have the revision in force."""
        counted = await asyncio.gather(*(child.ask(Count(revision), Counted) for child in self.follower_processes))
        return sum(one.count for one in counted)

    async def all_in_force(self, within_s: float) -> None:
        """Waits until all followers have the newest revision in force. Raises NotInTime."""
        ends = time.monotonic() + within_s
        while (count := await self.in_force(self.newest.revision)) < self.followers:
            if time.monotonic() > ends:
                raise NotInTime(f"{count} of {self.followers} followers at revision {self.newest.revision}")
            await asyncio.sleep(POLL_S)

    async def collected(self, first: int, last: int) -> list[InForce]:
        """When each follower put the revisions of this range in force."""
        found = await asyncio.gather(*(child.ask(Collect(first, last), Collected) for child in self.follower_processes))
        return [one for part in found for one in part.followers]

    async def equal(self) -> int:
        """Followers whose replica and content in force are the publisher's."""
        audit = Audit(self.newest.revision, self.newest.digest)
        counted = await asyncio.gather(*(child.ask(audit, Counted) for child in self.follower_processes))
        return sum(one.count for one in counted)

    async def measured(self) -> FleetMeasured:
        found = await asyncio.gather(*(child.measure() for child in self.children))
        relays = len(self.relays)
        return FleetMeasured(tuple(found[:relays]), found[relays], tuple(found[relays + 1 :]))

    # -- inside
    async def _start(self) -> None:
        roles = (
            [self.relay_role] * len(RELAY_REGIONS)
            + ["proxy"]
            + ["followers"] * (self.processes.apart + self.processes.crowded)
        )
        self.children += await asyncio.gather(*(Child.start(role) for role in roles))
        relays = len(RELAY_REGIONS)
        self.relays, self.proxy = self.children[:relays], self.children[relays]
        self.follower_processes = self.children[relays + 1 :]
        await self._start_relays()
        await self._start_followers()

    async def _start_relays(self) -> None:
        """The first one with its content, then those that follow it."""
        first = await self.relays[0].ask(StartControl("relay-1", RETAINED), Listening)
        self._direct = [Address("relay-1", RELAY_REGIONS[0], first.ports[0])]
        for some in _slices(list(self.changes.first()), FIRST_CHANGES_AT_ONCE):
            await self.publish(some)
        await self.publish([self.changes.next()], forget=True)
        through = (await self.proxy.ask(OpenProxy(CUTTABLE, (self._direct[0],)), Listening)).ports[0]
        for place, region in enumerate(RELAY_REGIONS[1:], start=1):
            port = through if region == CUT_REGION else self._direct[0].port
            upstream = Address("relay-1", RELAY_REGIONS[0], port)
            command = StartRelay(f"relay-{place + 1}", region, upstream, self.seed + place)
            listening = await self.relays[place].ask(command, Listening)
            self._direct.append(Address(command.name, region, listening.ports[0]))
        opened = await self.proxy.ask(OpenProxy(LOSSY, tuple(self._direct)), Listening)
        ports = opened.ports
        self._disturbed = [Address(a.name, a.region, port) for a, port in zip(self._direct, ports, strict=True)]

    async def _start_followers(self) -> None:
        self.empty = await self.measured()
        starts = []
        for place, child in enumerate(self.follower_processes):
            specs = tuple(self._spec(number) for number in range(self.followers) if self._process_of(number) == place)
            starts.append(child.ask(StartFollowers(specs, self.seed + place), Done))
        await asyncio.gather(*starts)

    def _process_of(self, number: int) -> int:
        """First come the processes of few, one follower of each zone in each; the rest is spread over the others."""
        if self._apart(number):
            return number // ZONES
        return self.processes.apart + number // ZONES % self.processes.crowded

    def _apart(self, number: int) -> bool:
        return number < self.processes.apart * ZONES

    def _spec(self, number: int) -> FollowerSpec:
        zone = number % ZONES
        relays = self._disturbed if zone == DISTURBED_ZONE else self._direct
        return FollowerSpec(f"broker-{number:04d}", ZONE_REGIONS[zone], zone, self._apart(number), tuple(relays))

    async def _end(self) -> None:
        await asyncio.gather(*(child.end() for child in self.children))


def _slices(changes: Sequence[Change], size: int) -> Iterator[Sequence[Change]]:
    for at in range(0, len(changes), size):
        yield changes[at : at + size]
