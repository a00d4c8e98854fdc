"""The scenarios of the feed at one size, each of which adds its figures."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from scale.feed_content import CHANGES_PER_SECOND
from scale.feed_figures import (
    MEGABYTE,
    SizeFigures,
    connection_attempts,
    cpu_seconds,
    max_resident_mb,
    received,
    rejected,
)
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
STALL_PROBABILITY = 0.05  # of the chunks that pass the proxy
RESET_INTERVAL_S = 10.0  # mean time until a connection is reset
LOAD_TIMEOUT_S = 100.0
SETTLE_TIMEOUT_S = 40.0


@dataclass(frozen=True, slots=True)
class Plan:
    """How long the scenarios of a size take: numbers of publications, and seconds between their submissions.

    settle: seconds after the start, so that followers have sent their first status by then.
    """

    nodes: int
    processes: Processes
    settle: float
    quiet: int
    quiet_pause: float
    busy: int
    busy_pause: float
    cut_s: float


FULL = Plan(13_000, Processes(4, 4), 1.5, 9, 1.0 / CHANGES_PER_SECOND, 45, 0.1 / CHANGES_PER_SECOND, 12.0)
SMALL = Plan(1_000, Processes(1, 1), 0.2, 7, 0.15, 7, 0.1, 0.5)


class Scenarios:
    """The scenarios of one size: its fleet and the figures measured so far."""

    def __init__(self, fleet: Fleet, plan: Plan) -> None:
        self.fleet, self.plan = fleet, plan
        self.figures = SizeFigures(fleet.followers)

    async def run(self) -> None:
        """Runs all scenarios, one after the other."""
        await self.load()
        await self.steady("quiet", self.plan.quiet, self.plan.quiet_pause)
        await self.steady("ten times", self.plan.busy, self.plan.busy_pause)
        await self.stalls_and_resets()
        await self.zone_returns()
        await self.region_cut()
        await self.end()

    # -- scenarios
    async def load(self) -> None:
        """All followers start at the same time with empty replicas."""
        began = time.monotonic()
        await self.fleet.wait_until_all_in_force(LOAD_TIMEOUT_S)
        self.figures.add("start", "until all have a snapshot", "s", time.monotonic() - began, Kind.LOOPBACK)
        await asyncio.sleep(self.plan.settle)
        before, after = self.fleet.empty, await self.fleet.measure()
        assert before is not None
        self.figures.add(
            "start",
            "connections tried a follower",
            "",
            connection_attempts(after) / self.fleet.followers,
            Kind.LOOPBACK,
        )
        grown = sum(
            later.resident - earlier.resident for earlier, later in zip(before.followers, after.followers, strict=True)
        )
        followers = self.fleet.followers
        self.figures.add("start", "memory a follower, values shared", "MB", grown / followers / MEGABYTE, Kind.MEASURED)
        self.figures.add("start", "bytes a follower received", "bytes", received(after) / followers, Kind.MEASURED)
        self.figures.add_processor("start", before, after)

    async def steady(self, scenario: str, count: int, pause: float) -> None:
        """Publishes at a constant rate."""
        before = await self.fleet.measure()
        published = await self._publish_at_rate(count, pause)
        await self.fleet.wait_until_all_in_force(SETTLE_TIMEOUT_S)
        after = await self.fleet.measure()
        await self._add_times(scenario, published)
        self.figures.add_traffic(scenario, count, before, after)
        self.figures.add_processor(scenario, before, after)

    async def stalls_and_resets(self) -> None:
        """Connections of one zone's followers stall and are reset."""
        before = await self.fleet.measure()
        await self.fleet.disturb(Disturb(LOSSY, STALL_PROBABILITY, RESET_INTERVAL_S))
        published = await self._publish_at_rate(self.plan.busy, self.plan.busy_pause)
        await self.fleet.disturb(Disturb(LOSSY))
        await self.fleet.wait_until_all_in_force(SETTLE_TIMEOUT_S)
        after = await self.fleet.measure()
        await self._add_times("stalls and resets", published, "behind the proxy", _disturbed)
        await self._add_times("stalls and resets", published, "others", lambda follower: not _disturbed(follower))
        attempts = (connection_attempts(after) - connection_attempts(before)) / self._followers_in_zone()
        self.figures.add("stalls and resets", "connections tried, behind the proxy", "", attempts, Kind.LOOPBACK)
        self.figures.add(
            "stalls and resets", "rejected by followers", "", rejected(after) - rejected(before), Kind.LOOPBACK
        )

    async def zone_returns(self) -> None:
        """All followers of a zone return with empty replicas, while the rows of all nodes of a zone change."""
        await self.fleet.stop_zone(LOST_ZONE)
        before = await self.fleet.measure()
        returned_at = time.monotonic()
        _, published = await asyncio.gather(
            self.fleet.return_zone(LOST_ZONE), self.fleet.publish(self.fleet.changes.zone_lost())
        )
        await self.fleet.wait_until_all_in_force(LOAD_TIMEOUT_S)
        after = await self.fleet.measure()
        await self._add_times("zone back", [published], "others", lambda follower: not _lost(follower))
        await self._add_return_times(returned_at, published)
        loaded = sum(process.received[LOST_ZONE] for process in after.followers)
        self.figures.add(
            "zone back",
            "bytes a returned follower received",
            "bytes",
            loaded / self._followers_in_zone(),
            Kind.MEASURED,
        )
        snapshots = sum(relay.snapshots for relay in after.relays) - sum(relay.snapshots for relay in before.relays)
        self.figures.add(
            "zone back", "snapshots a returned follower", "", snapshots / self._followers_in_zone(), Kind.LOOPBACK
        )
        spent_ms = 1000.0 * sum(cpu_seconds(before.followers, after.followers))
        self.figures.add("zone back", "processor, a follower", "ms", spent_ms / self.fleet.followers, Kind.LOOPBACK)
        self.figures.add_processor("zone back", before, after)

    async def region_cut(self) -> None:
        """A region's relays receive nothing from the publisher for a while; its followers stay connected to them."""
        await self.fleet.disturb(Disturb(CUTTABLE, cut=True))
        count = max(round(self.plan.cut_s / self.plan.busy_pause), 1)
        published = await self._publish_at_rate(count, self.plan.busy_pause)
        followers = await self.fleet.collect(published[0].revision, published[0].revision)
        reached = await self.fleet.count_in_force(self.fleet.newest.revision)
        healed_at = await self.fleet.disturb(Disturb(CUTTABLE))
        await self.fleet.wait_until_all_in_force(SETTLE_TIMEOUT_S)
        await self._add_times("region cut", published, "others", lambda follower: not _cut_off(follower))
        await self._add_times_from(healed_at, "region cut", published[-1:], "from healing", _cut_off)
        for quantity, value in (
            ("followers of relays cut off", sum(map(_cut_off, followers))),
            ("followers that had the newest before healing", reached),
            (
                "followers at a relay of another region",
                sum(follower.region != follower.relay_region for follower in followers),
            ),
        ):
            self.figures.add("region cut", quantity, "", value, Kind.LOOPBACK)

    async def end(self) -> None:
        """Checks that one more publication reaches all followers and that all replicas are equal."""
        await self.fleet.publish([self.fleet.changes.next()])
        await self.fleet.wait_until_all_in_force(SETTLE_TIMEOUT_S)
        measured = await self.fleet.measure()
        followers = self.fleet.followers
        at_newest = await self.fleet.count_in_force(self.fleet.newest.revision)
        self.figures.add("end", "followers at the newest revision", "", at_newest, Kind.LOOPBACK)
        self.figures.add("end", "followers with an equal digest", "", await self.fleet.count_equal(), Kind.LOOPBACK)
        self.figures.add("end", "memory of a relay, most", "MB", max_resident_mb(measured.relays), Kind.MEASURED)
        peak = sum(process.peak for process in measured.followers) / followers
        self.figures.add("end", "peak memory of follower processes / followers", "MB", peak / MEGABYTE, Kind.MEASURED)

    # -- parts of scenarios
    async def _publish_at_rate(self, count: int, pause: float) -> list[Published]:
        """Publishes a number of single changes at a constant rate."""
        published = []
        began = time.monotonic()
        for index in range(count):
            await asyncio.sleep(max(began + index * pause - time.monotonic(), 0.0))
            published.append(await self.fleet.publish([self.fleet.changes.next()]))
        await asyncio.sleep(max(began + count * pause - time.monotonic(), 0.0))
        return published

    async def _add_times(
        self,
        scenario: str,
        published: Sequence[Published],
        group: str = "",
        selects: Callable[[InForce], bool] = lambda follower: True,
    ) -> None:
        """Adds the times of the selected followers, and of those among them in uncrowded processes."""
        followers = await self.fleet.collect(published[0].revision, published[-1].revision)
        self.figures.add_times(scenario, group, in_force_times(published, followers, selects))
        apart = in_force_times(published, followers, lambda follower: follower.is_uncrowded and selects(follower))
        self.figures.add_times(scenario, f"{group}, apart" if group else "apart", apart)

    async def _add_times_from(
        self,
        began: float,
        scenario: str,
        published: Sequence[Published],
        group: str,
        selects: Callable[[InForce], bool],
    ) -> None:
        """Adds times as `_add_times` does, but counted from another time than the submission."""
        shifted = [Published(publication.revision, began, publication.digest) for publication in published]
        await self._add_times(scenario, shifted, group, selects)

    async def _add_return_times(self, returned_at: float, published: Published) -> None:
        """Adds the times until the returned followers have their first content, and the newest."""
        first = [Published(1, returned_at, b"")]
        loaded = in_force_times(first, await self.fleet.collect(1, 1), _lost)
        self.figures.add("zone back", "until half have a snapshot", "s", loaded.median, Kind.LOOPBACK)
        self.figures.add("zone back", "until all have a snapshot", "s", loaded.longest, Kind.LOOPBACK)
        await self._add_times_from(returned_at, "zone back", [published], "returned", _lost)

    def _followers_in_zone(self) -> int:
        """Returns the number of followers in the lost zone."""
        return len(range(LOST_ZONE, self.fleet.followers, len(ZONE_REGIONS)))


def _disturbed(follower: InForce) -> bool:
    return follower.zone == DISTURBED_ZONE


def _lost(follower: InForce) -> bool:
    return follower.zone == LOST_ZONE


def _cut_off(follower: InForce) -> bool:
    """Returns whether the follower's relay is cut off; a follower may use a relay of another region."""
    return follower.relay_region == CUT_REGION
