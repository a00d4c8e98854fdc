"""Scale benchmark of the seven control machines, by number of followers, over TCP.

All seven machines vote and each runs a relay. Voters, publishing lease, publisher and relays are the product's own
code; the followers only record what they apply. Everything runs on loopback, where there is no delay between regions.
At the end the leading machine is killed, and the time is measured until a change submitted to the next publisher is in
force at all followers.
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
from scale.feed_figures import MEGABYTE, SizeFigures, cpu_seconds
from scale.feed_fleet import INITIAL_BATCH_SIZE, RELAY_REGIONS, Fleet
from scale.feed_messages import (
    Address,
    ControlStatus,
    GetStatus,
    Listening,
    Measured,
    Publish,
    Published,
    StartVoter,
    VoterAddress,
)
from scale.feed_process import Child
from scale.feed_scenarios import LOAD_TIMEOUT_S, SETTLE_TIMEOUT_S, Plan
from scale.feed_times import in_force_times
from scale.feed_voters import NOT_PUBLISHED
from scale.figures import Figure, Kind, Part
from scale.planned_fleet import BROKERS

POLL_S = 0.02
PUBLISHER_TIMEOUT_S = 60.0


class NoPublisherError(Exception):
    """No control machine acquired the publishing lease within the time that the benchmark allows."""


class VotingFleet(Fleet):
    """A fleet whose seven relays are control machines that vote."""

    relay_role = "voter"

    def __init__(self, followers: int, plan: Plan, seed: int, folder: Path) -> None:
        super().__init__(followers, plan.processes, plan.nodes, seed)
        self.folder = folder

    async def publisher(self) -> Child:
        """Returns the machine that publishes. Raises NoPublisherError."""
        deadline = time.monotonic() + PUBLISHER_TIMEOUT_S
        while time.monotonic() < deadline:
            for relay in self.relays:
                if (await relay.call(GetStatus(), ControlStatus)).publishes:
                    return relay
            await asyncio.sleep(POLL_S)
        raise NoPublisherError(f"no control machine became the publisher within {PUBLISHER_TIMEOUT_S:g} s")

    async def leader(self) -> Child:
        """Returns the machine whose voter leads, or the publisher if no voter reports that it leads."""
        for relay in self.relays:
            if (await relay.call(GetStatus(), ControlStatus)).leads:
                return relay
        return await self.publisher()

    async def publish(self, changes: Sequence[Change], forget: bool = False) -> Published:
        """Publishes changes, and submits them again if the lease ended before they were committed."""
        published = Published(NOT_PUBLISHED, 0.0, b"")
        while published.revision == NOT_PUBLISHED:
            published = await (await self.publisher()).call(Publish(tuple(changes)), Published)
        self.newest = published
        return published

    async def kill(self, relay: Child) -> None:
        """Kills the process of a control machine; the other machines continue."""
        self.relays.remove(relay)
        self.children.remove(relay)
        await relay.kill()

    async def _start_relays(self) -> None:
        names = [f"control-{index}" for index in range(1, len(self.relays) + 1)]
        voters = tuple(VoterAddress(name, free_port(socket.SOCK_DGRAM)) for name in names)
        commands = [StartVoter(voter.name, str(self.folder / voter.name), voters) for voter in voters]
        calls = [relay.call(command, Listening) for relay, command in zip(self.relays, commands, strict=True)]
        for voter, region, listening in zip(voters, RELAY_REGIONS, await asyncio.gather(*calls), strict=True):
            self._direct.append(Address(voter.name, region, listening.ports[0]))
        self._disturbed = self._direct
        initial = list(self.changes.initial())
        for at in range(0, len(initial), INITIAL_BATCH_SIZE):
            await self.publish(initial[at : at + INITIAL_BATCH_SIZE])


class ControlScenarios:
    """The scenarios of one size: its fleet and the figures measured so far."""

    def __init__(self, fleet: VotingFleet, plan: Plan) -> None:
        self.fleet, self.plan = fleet, plan
        self.figures = SizeFigures(fleet.followers)

    async def run(self) -> None:
        await self.fleet.wait_until_all_in_force(LOAD_TIMEOUT_S)
        await asyncio.sleep(self.plan.settle)
        await self.steady("quiet", self.plan.quiet, self.plan.quiet_pause)
        await self.steady("ten times", self.plan.busy, self.plan.busy_pause)
        await self.leader_lost()
        at_newest = await self.fleet.count_in_force(self.fleet.newest.revision)
        self.figures.add("end", "followers at the newest revision", "", at_newest, Kind.LOOPBACK)
        self.figures.add("end", "followers with an equal digest", "", await self.fleet.count_equal(), Kind.LOOPBACK)

    async def steady(self, scenario: str, count: int, pause: float) -> None:
        """Publishes single changes at a constant rate."""
        before = await self._measure()
        leader = self.fleet.relays.index(await self.fleet.leader())
        began = time.monotonic()
        published = []
        for index in range(count):
            await asyncio.sleep(max(began + index * pause - time.monotonic(), 0.0))
            published.append(await self.fleet.publish([self.fleet.changes.next()]))
        await asyncio.sleep(max(began + count * pause - time.monotonic(), 0.0))
        await self.fleet.wait_until_all_in_force(SETTLE_TIMEOUT_S)
        after = await self._measure()
        await self._add_times(scenario, published)
        self._add_processor(scenario, before, after, leader)

    async def leader_lost(self) -> None:
        """Kills the machine whose voter leads, and publishes a change as soon as there is a publisher again."""
        killed_at = time.monotonic()
        await self.fleet.kill(await self.fleet.leader())
        published = await self.fleet.publish([self.fleet.changes.next()])
        await self.fleet.wait_until_all_in_force(LOAD_TIMEOUT_S)
        self.figures.add("leader killed", "until a change is taken", "s", published.at - killed_at, Kind.LOOPBACK)
        await self._add_times("leader killed", [Published(published.revision, killed_at, published.digest)])

    async def _add_times(self, scenario: str, published: Sequence[Published]) -> None:
        followers = await self.fleet.collect(published[0].revision, published[-1].revision)
        self.figures.add_times(scenario, "", in_force_times(published, followers, lambda follower: True))
        self.figures.add_times(
            scenario, "apart", in_force_times(published, followers, lambda follower: follower.is_uncrowded)
        )

    async def _measure(self) -> list[Measured]:
        return list(await asyncio.gather(*(relay.measure() for relay in self.fleet.relays)))

    def _add_processor(self, scenario: str, before: list[Measured], after: list[Measured], leader: int) -> None:
        """Adds the processor use of the leading machine and of the others, in percent of a core, and their memory."""
        percent_per_s = 100.0 / (after[0].at - before[0].at)
        usage = [cpu_s * percent_per_s for cpu_s in cpu_seconds(before, after)]
        others = [value for index, value in enumerate(usage) if index != leader]
        largest = max(process.resident for process in after) / MEGABYTE
        for quantity, unit, value, kind in (
            ("processor, leading machine", "% of a core", usage[leader], Kind.LOOPBACK),
            ("processor, the others, most", "% of a core", max(others), Kind.LOOPBACK),
            ("processor, the others, least", "% of a core", min(others), Kind.LOOPBACK),
            ("memory of a control machine, most", "MB", largest, Kind.MEASURED),
        ):
            self.figures.add(scenario, quantity, unit, value, kind)


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    """Returns all figures, one size after the other."""
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
            return [_as_control_figure(figure) for figure in scenarios.figures.figures]


def _as_control_figure(figure: Figure) -> Figure:
    """Returns the figure under this part's name: `SizeFigures` labels its figures as those of the feed."""
    return Figure("control", figure.scenario, figure.quantity, figure.unit, figure.size, figure.value, figure.kind)


PART = Part("control", "followers", FULL_SIZES, SMALL_SIZES, BROKERS, measure)
