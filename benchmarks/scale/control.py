"""Scale test of the seven control machines: votes, the lease, publisher and relays, before hollow followers over TCP.

By followers. All seven vote, each has a relay; everything is the product's own, on loopback, where the ways between
regions take no time. The leader's voter is killed at the end: until a change submitted as soon as anybody publishes
again is in force everywhere.
"""

from __future__ import annotations

import asyncio
import socket
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from badgerbend.feed.messages import Change
from badgerbend.standin.fault_proxy import free_port
from scale.feed import FULL_SIZES, SMALL_SIZES, plan_for
from scale.feed_figures import MEGABYTE, SizeFigures, spent
from scale.feed_fleet import FIRST_CHANGES_AT_ONCE, RELAY_REGIONS, Fleet
from scale.feed_messages import (
    Address,
    Listening,
    Measured,
    Publish,
    Published,
    Stand,
    Standing,
    StartVoter,
    VoterAddress,
)
from scale.feed_process import Child
from scale.feed_scenarios import LOAD_WITHIN_S, SETTLE_WITHIN_S, Plan
from scale.feed_times import in_force_times
from scale.feed_voters import NOT_PUBLISHED
from scale.figures import Figure, Kind, Part
from scale.fleetsize import BROKERS

LOOK_S = 0.02
PUBLISHES_WITHIN_S = 60.0


class NobodyPublishes(Exception):
    """No control machine has got the lease on publishing within the time that the test allows."""


class VotingFleet(Fleet):
    """A fleet whose seven relays are control machines with votes."""

    relay_role = "voter"

    def __init__(self, followers: int, plan: Plan, seed: int, folder: Path) -> None:
        super().__init__(followers, plan.processes, plan.nodes, seed)
        self.folder = folder

    async def publisher(self) -> Child:
        """The machine that publishes. Raises NobodyPublishes."""
        ends = time.monotonic() + PUBLISHES_WITHIN_S
        while time.monotonic() < ends:
            for relay in self.relays:
                if (await relay.ask(Stand(), Standing)).publishes:
                    return relay
            await asyncio.sleep(LOOK_S)
        raise NobodyPublishes(f"in {PUBLISHES_WITHIN_S:g} s")

    async def leader(self) -> Child:
        """The machine whose voter leads; the publisher where none says so now."""
        for relay in self.relays:
            if (await relay.ask(Stand(), Standing)).leads:
                return relay
        return await self.publisher()

    async def publish(self, changes: Sequence[Change], forget: bool = False) -> Published:
        """Submitted again where the lease ended before the changes stood in the agreed log."""
        published = Published(NOT_PUBLISHED, 0.0, b"")
        while published.revision == NOT_PUBLISHED:
            published = await (await self.publisher()).ask(Publish(tuple(changes)), Published)
        self.newest = published
        return published

    async def kill(self, relay: Child) -> None:
        """Ends a control machine at once; what is left goes on."""
        self.relays.remove(relay)
        self.children.remove(relay)
        await relay.kill()

    async def _start_relays(self) -> None:
        names = [f"control-{place}" for place in range(1, len(self.relays) + 1)]
        voters = tuple(VoterAddress(name, free_port(socket.SOCK_DGRAM)) for name in names)
        commands = [StartVoter(voter.name, str(self.folder / voter.name), voters) for voter in voters]
        asked = [relay.ask(command, Listening) for relay, command in zip(self.relays, commands, strict=True)]
        for voter, region, listening in zip(voters, RELAY_REGIONS, await asyncio.gather(*asked), strict=True):
            self._direct.append(Address(voter.name, region, listening.ports[0]))
        self._disturbed = self._direct
        first = list(self.changes.first())
        for at in range(0, len(first), FIRST_CHANGES_AT_ONCE):
            await self.publish(first[at : at + FIRST_CHANGES_AT_ONCE])


class ControlScenarios:
    """One size's fleet and the figures found so far."""

    def __init__(self, fleet: VotingFleet, plan: Plan) -> None:
        self.fleet, self.plan = fleet, plan
        self.figures = SizeFigures(fleet.followers)

    async def run(self) -> None:
        await self.fleet.all_in_force(LOAD_WITHIN_S)
        await asyncio.sleep(self.plan.settle)
        await self.steady("quiet", self.plan.quiet, self.plan.quiet_pause)
        await self.steady("ten times", self.plan.busy, self.plan.busy_pause)
        await self.leader_lost()
        at_newest = await self.fleet.in_force(self.fleet.newest.revision)
        self.figures.add("end", "followers at the newest revision", "", at_newest, Kind.LOOPBACK)
        self.figures.add("end", "followers with an equal digest", "", await self.fleet.equal(), Kind.LOOPBACK)

    async def steady(self, scenario: str, count: int, pause: float) -> None:
        """Publications of one change at an even pace."""
        before = await self._measured()
        leader = self.fleet.relays.index(await self.fleet.leader())
        began = time.monotonic()
        published = []
        for place in range(count):
            await asyncio.sleep(max(began + place * pause - time.monotonic(), 0.0))
            published.append(await self.fleet.publish([self.fleet.changes.next()]))
        await asyncio.sleep(max(began + count * pause - time.monotonic(), 0.0))
        await self.fleet.all_in_force(SETTLE_WITHIN_S)
        after = await self._measured()
        await self._times(scenario, published)
        self._processor(scenario, before, after, leader)

    async def leader_lost(self) -> None:
        """The machine whose voter leads is killed; a change follows as soon as there is a publisher."""
        killed_at = time.monotonic()
        await self.fleet.kill(await self.fleet.leader())
        published = await self.fleet.publish([self.fleet.changes.next()])
        await self.fleet.all_in_force(LOAD_WITHIN_S)
        self.figures.add("leader killed", "until a change is taken", "s", published.at - killed_at, Kind.LOOPBACK)
        await self._times("leader killed", [Published(published.revision, killed_at, published.digest)])

    async def _times(self, scenario: str, published: Sequence[Published]) -> None:
        followers = await self.fleet.collected(published[0].revision, published[-1].revision)
        self.figures.times(scenario, "", in_force_times(published, followers, lambda one: True))
        self.figures.times(scenario, "apart", in_force_times(published, followers, lambda one: one.apart))

    async def _measured(self) -> list[Measured]:
        return list(await asyncio.gather(*(relay.measure() for relay in self.fleet.relays)))

    def _processor(self, scenario: str, before: list[Measured], after: list[Measured], leader: int) -> None:
        """Percent of a core of the leading machine and of the others, and their memory."""
        share = 100.0 / (after[0].at - before[0].at)
        used = [cpu_s * share for cpu_s in spent(before, after)]
        others = [value for place, value in enumerate(used) if place != leader]
        largest = max(one.resident for one in after) / MEGABYTE
        for quantity, unit, value, kind in (
            ("processor, leading machine", "% of a core", used[leader], Kind.LOOPBACK),
            ("processor, the others, most", "% of a core", max(others), Kind.LOOPBACK),
            ("processor, the others, least", "% of a core", min(others), Kind.LOOPBACK),
            ("memory of a control machine, most", "MB", largest, Kind.MEASURED),
        ):
            self.figures.add(scenario, quantity, unit, value, kind)


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """All figures, size after size."""
    plan = plan_for(max(sizes))
    figures: list[Figure] = []
    for size in sizes:
        figures += asyncio.run(_scenarios(size, plan, seed))
    return figures


async def _scenarios(size: int, plan: Plan, seed: int) -> list[Figure]:
    with tempfile.TemporaryDirectory() as folder:
        async with VotingFleet(size, plan, seed, Path(folder)) as fleet:
            scenarios = ControlScenarios(fleet, plan)
            await scenarios.run()
            return [_renamed(figure) for figure in scenarios.figures.found]


def _renamed(figure: Figure) -> Figure:
    """The figures' books are those of the feed's part."""
    return Figure("control", figure.scenario, figure.quantity, figure.unit, figure.size, figure.value, figure.kind)


PART = Part("control", "followers", FULL_SIZES, SMALL_SIZES, BROKERS, measure)
