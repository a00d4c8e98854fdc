"""Scenarios of the feed at one size: each gives its figures."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from scale.feed_content import CHANGES_A_SECOND
from scale.feed_figures import MEGABYTE, SizeFigures, most_memory, received, rejected, spent, tried
from scale.feed_fleet import (
    CUT_REGION,
    CUTTABLE,
    DISTURBED_ZONE,
    LOSSY,
    ZONE_REGIONS,
    Fleet,
    Processes,
)
from scale.feed_messages import Disturb, InForce, Published
from scale.feed_times import in_force_times
from scale.figures import Kind

LOST_ZONE = 1
STALL_SHARE = 0.05  # of chunks that pass the proxy
RESET_EVERY_S = 10.0  # a connection, on average
LOAD_WITHIN_S = 100.0
SETTLE_WITHIN_S = 40.0


@dataclass(frozen=True, slots=True)
class Plan:
    """How long a size's scenarios take. Publications are counted; pauses lie between their submissions, in seconds.

    settle: after the start, so that followers' first statuses are sent by then.
    """

    nodes: int
    processes: Processes
    settle: float
    quiet: int
    quiet_pause: float
    busy: int
    busy_pause: float
    cut_s: float


FULL = Plan(13_000, Processes(4, 4), 1.5, 9, 1.0 / CHANGES_A_SECOND, 45, 0.1 / CHANGES_A_SECOND, 12.0)
SMALL = Plan(1_000, Processes(1, 1), 0.2, 7, 0.15, 7, 0.1, 0.5)


class Scenarios:
    """One size's fleet and the figures found so far."""

    def __init__(self, fleet: Fleet, plan: Plan) -> None:
        self.fleet, self.plan = fleet, plan
        self.figures = SizeFigures(fleet.followers)

    async def run(self) -> None:
        """All scenarios, one after the other."""
        await self.load()
        await self.steady("quiet", self.plan.quiet, self.plan.quiet_pause)
        await self.steady("ten times", self.plan.busy, self.plan.busy_pause)
        await self.lossy()
        await self.zone()
        await self.region()
        await self.end()

    # -- scenarios
    async def load(self) -> None:
        """All followers start at once with empty replicas."""
        began = time.monotonic()
        await self.fleet.all_in_force(LOAD_WITHIN_S)
        self.figures.add("start", "until all have a snapshot", "s", time.monotonic() - began, Kind.LOOPBACK)
        await asyncio.sleep(self.plan.settle)
        before, after = self.fleet.empty, await self.fleet.measured()
        assert before is not None
        self.figures.add(
            "start", "connections tried a follower", "", tried(after) / self.fleet.followers, Kind.LOOPBACK
        )
        grown = sum(now.resident - then.resident for then, now in zip(before.followers, after.followers, strict=True))
        followers = self.fleet.followers
        self.figures.add("start", "memory a follower, values shared", "MB", grown / followers / MEGABYTE, Kind.MEASURED)
        self.figures.add("start", "bytes a follower received", "bytes", received(after) / followers, Kind.MEASURED)
        self.figures.processor("start", before, after)

    async def steady(self, scenario: str, count: int, pause: float) -> None:
        """Publications at an even pace."""
        before = await self.fleet.measured()
        published = await self._publications(count, pause)
        await self.fleet.all_in_force(SETTLE_WITHIN_S)
        after = await self.fleet.measured()
        await self._times(scenario, published)
        self.figures.traffic(scenario, count, before, after)
        self.figures.processor(scenario, before, after)

    async def lossy(self) -> None:
        """A zone's followers behind streams that stall and are reset."""
        before = await self.fleet.measured()
        await self.fleet.disturb(Disturb(LOSSY, STALL_SHARE, RESET_EVERY_S))
        published = await self._publications(self.plan.busy, self.plan.busy_pause)
        await self.fleet.disturb(Disturb(LOSSY))
        await self.fleet.all_in_force(SETTLE_WITHIN_S)
        after = await self.fleet.measured()
        await self._times("stalls and resets", published, "behind the proxy", _disturbed)
        await self._times("stalls and resets", published, "others", lambda one: not _disturbed(one))
        attempts = (tried(after) - tried(before)) / self._in_zone()
        self.figures.add("stalls and resets", "connections tried, behind the proxy", "", attempts, Kind.LOOPBACK)
        self.figures.add(
            "stalls and resets", "rejected by followers", "", rejected(after) - rejected(before), Kind.LOOPBACK
        )

    async def zone(self) -> None:
        """A zone's followers come back empty at once, while the rows of all nodes of a zone change at once."""
        await self.fleet.stop_zone(LOST_ZONE)
        before = await self.fleet.measured()
        returned_at = time.monotonic()
        _, published = await asyncio.gather(
            self.fleet.return_zone(LOST_ZONE), self.fleet.publish(self.fleet.changes.zone_lost())
        )
        await self.fleet.all_in_force(LOAD_WITHIN_S)
        after = await self.fleet.measured()
        await self._times("zone back", [published], "others", lambda one: not _lost(one))
        await self._return_times(returned_at, published)
        loaded = sum(process.received[LOST_ZONE] for process in after.followers)
        self.figures.add(
            "zone back", "bytes a returned follower received", "bytes", loaded / self._in_zone(), Kind.MEASURED
        )
        snapshots = sum(relay.snapshots for relay in after.relays) - sum(relay.snapshots for relay in before.relays)
        self.figures.add("zone back", "snapshots a returned follower", "", snapshots / self._in_zone(), Kind.LOOPBACK)
        spent_ms = 1000.0 * sum(spent(before.followers, after.followers))
        self.figures.add("zone back", "processor, a follower", "ms", spent_ms / self.fleet.followers, Kind.LOOPBACK)
        self.figures.processor("zone back", before, after)

    async def region(self) -> None:
        """A region's relays hear nothing from the publisher for a while; its followers stay connected to them."""
        await self.fleet.disturb(Disturb(CUTTABLE, cut=True))
        count = max(round(self.plan.cut_s / self.plan.busy_pause), 1)
        published = await self._publications(count, self.plan.busy_pause)
        followers = await self.fleet.collected(published[0].revision, published[0].revision)
        reached = await self.fleet.in_force(self.fleet.newest.revision)
        healed_at = await self.fleet.disturb(Disturb(CUTTABLE))
        await self.fleet.all_in_force(SETTLE_WITHIN_S)
        await self._times("region cut", published, "others", lambda one: not _cut_off(one))
        await self._times_from(healed_at, "region cut", published[-1:], "from healing", _cut_off)
        for quantity, value in (
            ("followers of relays cut off", sum(map(_cut_off, followers))),
            ("followers that had the newest before healing", reached),
            ("followers at a relay of another region", sum(one.region != one.relay_region for one in followers)),
        ):
            self.figures.add("region cut", quantity, "", value, Kind.LOOPBACK)

    async def end(self) -> None:
        """One more publication reaches all, and all replicas are equal."""
        await self.fleet.publish([self.fleet.changes.next()])
        await self.fleet.all_in_force(SETTLE_WITHIN_S)
        measured = await self.fleet.measured()
        followers = self.fleet.followers
        at_newest = await self.fleet.in_force(self.fleet.newest.revision)
        self.figures.add("end", "followers at the newest revision", "", at_newest, Kind.LOOPBACK)
        self.figures.add("end", "followers with an equal digest", "", await self.fleet.equal(), Kind.LOOPBACK)
        self.figures.add("end", "memory of a relay, most", "MB", most_memory(measured.relays), Kind.MEASURED)
        peak = sum(process.peak for process in measured.followers) / followers
        self.figures.add("end", "peak memory of follower processes / followers", "MB", peak / MEGABYTE, Kind.MEASURED)

    # -- parts of scenarios
    async def _publications(self, count: int, pause: float) -> list[Published]:
        """So many publications of one change, submitted at an even pace."""
        published = []
        began = time.monotonic()
        for place in range(count):
            await asyncio.sleep(max(began + place * pause - time.monotonic(), 0.0))
            published.append(await self.fleet.publish([self.fleet.changes.next()]))
        await asyncio.sleep(max(began + count * pause - time.monotonic(), 0.0))
        return published

    async def _times(
        self,
        scenario: str,
        published: Sequence[Published],
        which: str = "",
        counts: Callable[[InForce], bool] = lambda one: True,
    ) -> None:
        """Of all followers that count, and of those among them that are apart."""
        followers = await self.fleet.collected(published[0].revision, published[-1].revision)
        self.figures.times(scenario, which, in_force_times(published, followers, counts))
        apart = in_force_times(published, followers, lambda one: one.apart and counts(one))
        self.figures.times(scenario, f"{which}, apart" if which else "apart", apart)

    async def _times_from(
        self, began: float, scenario: str, published: Sequence[Published], which: str, counts: Callable[[InForce], bool]
    ) -> None:
        """As `_times`, counted from another moment."""
        moved = [Published(one.revision, began, one.digest) for one in published]
        await self._times(scenario, moved, which, counts)

    async def _return_times(self, returned_at: float, published: Published) -> None:
        """Until the followers that returned have their first content, and the newest."""
        first = [Published(1, returned_at, b"")]
        loaded = in_force_times(first, await self.fleet.collected(1, 1), _lost)
        self.figures.add("zone back", "until half have a snapshot", "s", loaded.median, Kind.LOOPBACK)
        self.figures.add("zone back", "until all have a snapshot", "s", loaded.longest, Kind.LOOPBACK)
        await self._times_from(returned_at, "zone back", [published], "returned", _lost)

    def _in_zone(self) -> int:
        """Followers of one zone."""
        return len(range(LOST_ZONE, self.fleet.followers, len(ZONE_REGIONS)))


def _disturbed(follower: InForce) -> bool:
    return follower.zone == DISTURBED_ZONE


def _lost(follower: InForce) -> bool:
    return follower.zone == LOST_ZONE


def _cut_off(follower: InForce) -> bool:
    """Its relay is: a follower may use another region's."""
    return follower.relay_region == CUT_REGION
