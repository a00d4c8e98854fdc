"""The processes of the feed on this machine: publisher and log with the first relay, six relays, proxy and followers.

Regions and zones are those of the planned fleet: three regions with 3, 3 and 2 zones, and 3, 2 and 2 relays.
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
DISTURBED_ZONE = 3  # its followers connect to their relays through the proxy
CUT_REGION = "south"  # its relays connect to the publisher's relay through the proxy
LOSSY, CUTTABLE = "followers", "upstream"  # groups of the proxy's links
RETAINED = 4096  # publications that the publisher's log retains
INITIAL_BATCH_SIZE = 1_500  # rows in one publication of the initial content
POLL_S = 0.1
assert len(ZONE_REGIONS) == ZONES


@dataclass(frozen=True, slots=True)
class Processes:
    """Numbers of follower processes.

    uncrowded: with few followers, which do not wait for hundreds of others. crowded: with all other followers.
    """

    uncrowded: int
    crowded: int


class NotInForceError(Exception):
    """Not all followers had a revision in force within the time that the benchmark allows."""


@dataclass(frozen=True, slots=True)
class FleetMeasured:
    """Measurements of all processes at one time, in the order in which they were started."""

    relays: tuple[Measured, ...]
    proxy: Measured
    followers: tuple[Measured, ...]


class Fleet:
    """All processes of one size. It is an asynchronous context manager, which ends them at its exit."""

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

    # -- used by scenarios
    async def publish(self, changes: Sequence[Change], forget: bool = False) -> Published:
        self.newest = await self.relays[0].call(Publish(tuple(changes), forget), Published)
        return self.newest

    async def disturb(self, command: Disturb) -> float:
        """Disturbs the links of a group. Returns when the disturbance began."""
        return (await self.proxy.call(command, Done)).at

    async def stop_zone(self, zone: int) -> None:
        await asyncio.gather(*(child.call(StopZone(zone), Done) for child in self.follower_processes))

    async def return_zone(self, zone: int) -> None:
        """Restarts the followers of a zone with empty replicas."""
        await asyncio.gather(*(child.call(ReturnZone(zone, True), Done) for child in self.follower_processes))

    async def count_in_force(self, revision: int) -> int:
        """Returns how many followers have the revision in force."""
        replies = await asyncio.gather(*(child.call(Count(revision), Counted) for child in self.follower_processes))
        return sum(reply.count for reply in replies)

    async def wait_until_all_in_force(self, within_s: float) -> None:
        """Waits until all followers have the newest revision in force. Raises NotInForceError."""
        deadline = time.monotonic() + within_s
        while (count := await self.count_in_force(self.newest.revision)) < self.followers:
            if time.monotonic() > deadline:
                raise NotInForceError(
                    f"only {count} of {self.followers} followers have revision {self.newest.revision} in force"
                )
            await asyncio.sleep(POLL_S)

    async def collect(self, first: int, last: int) -> list[InForce]:
        """Returns when each follower put the revisions of this range in force."""
        replies = await asyncio.gather(
            *(child.call(Collect(first, last), Collected) for child in self.follower_processes)
        )
        return [times for reply in replies for times in reply.followers]

    async def count_equal(self) -> int:
        """Returns how many followers have the publisher's content in their replica and in force."""
        audit = Audit(self.newest.revision, self.newest.digest)
        replies = await asyncio.gather(*(child.call(audit, Counted) for child in self.follower_processes))
        return sum(reply.count for reply in replies)

    async def measure(self) -> FleetMeasured:
        replies = await asyncio.gather(*(child.measure() for child in self.children))
        relays = len(self.relays)
        return FleetMeasured(tuple(replies[:relays]), replies[relays], tuple(replies[relays + 1 :]))

    # -- starting and ending processes
    async def _start(self) -> None:
        roles = (
            [self.relay_role] * len(RELAY_REGIONS)
            + ["proxy"]
            + ["followers"] * (self.processes.uncrowded + self.processes.crowded)
        )
        self.children += await asyncio.gather(*(Child.start(role) for role in roles))
        relays = len(RELAY_REGIONS)
        self.relays, self.proxy = self.children[:relays], self.children[relays]
        self.follower_processes = self.children[relays + 1 :]
        await self._start_relays()
        await self._start_followers()

    async def _start_relays(self) -> None:
        """Starts the first relay with its content, then those that follow it."""
        first = await self.relays[0].call(StartControl("relay-1", RETAINED), Listening)
        self._direct = [Address("relay-1", RELAY_REGIONS[0], first.ports[0])]
        for batch in _batches(list(self.changes.initial()), INITIAL_BATCH_SIZE):
            await self.publish(batch)
        await self.publish([self.changes.next()], forget=True)
        proxy_port = (await self.proxy.call(OpenProxy(CUTTABLE, (self._direct[0],)), Listening)).ports[0]
        for index, region in enumerate(RELAY_REGIONS[1:], start=1):
            port = proxy_port if region == CUT_REGION else self._direct[0].port
            upstream = Address("relay-1", RELAY_REGIONS[0], port)
            command = StartRelay(f"relay-{index + 1}", region, upstream, self.seed + index)
            listening = await self.relays[index].call(command, Listening)
            self._direct.append(Address(command.name, region, listening.ports[0]))
        opened = await self.proxy.call(OpenProxy(LOSSY, tuple(self._direct)), Listening)
        ports = opened.ports
        self._disturbed = [Address(a.name, a.region, port) for a, port in zip(self._direct, ports, strict=True)]

    async def _start_followers(self) -> None:
        self.empty = await self.measure()
        starts = []
        for index, child in enumerate(self.follower_processes):
            specs = tuple(
                self._spec(number) for number in range(self.followers) if self._process_index(number) == index
            )
            starts.append(child.call(StartFollowers(specs, self.seed + index), Done))
        await asyncio.gather(*starts)

    def _process_index(self, number: int) -> int:
        """Returns the process of a follower.

        The first followers fill the uncrowded processes, with one follower of each zone in each process; the others are
        spread over the crowded ones.
        """
        if self._is_uncrowded(number):
            return number // ZONES
        return self.processes.uncrowded + number // ZONES % self.processes.crowded

    def _is_uncrowded(self, number: int) -> bool:
        return number < self.processes.uncrowded * ZONES

    def _spec(self, number: int) -> FollowerSpec:
        zone = number % ZONES
        relays = self._disturbed if zone == DISTURBED_ZONE else self._direct
        return FollowerSpec(f"broker-{number:04d}", ZONE_REGIONS[zone], zone, self._is_uncrowded(number), tuple(relays))

    async def _end(self) -> None:
        await asyncio.gather(*(child.end() for child in self.children))


def _batches(changes: Sequence[Change], size: int) -> Iterator[Sequence[Change]]:
    for at in range(0, len(changes), size):
        yield changes[at : at + size]
