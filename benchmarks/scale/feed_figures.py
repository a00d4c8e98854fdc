"""Figures of one size, made of what its processes measured before and after a scenario."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from scale.feed_fleet import FleetMeasured
from scale.feed_messages import Measured
from scale.feed_times import Times
from scale.figures import Figure, Kind

MEGABYTE = 1_048_576


class SizeFigures:
    """The figures of one size so far."""

    def __init__(self, followers: int) -> None:
        self.followers = followers
        self.found: list[Figure] = []

    def add(self, scenario: str, quantity: str, unit: str, value: float, kind: Kind) -> None:
        self.found.append(Figure("feed", scenario, quantity, unit, self.followers, value, kind))

    def times(self, scenario: str, which: str, times: Times) -> None:
        """Of no followers there are none."""
        if not times.seconds:
            return
        label = f"in force, {which}" if which else "in force"
        for name, value in (("median", times.median), ("99 in 100", times.quantile(0.99)), ("all", times.longest)):
            self.add(scenario, f"{label}, {name}", "s", value, Kind.LOOPBACK)

    def traffic(self, scenario: str, publications: int, before: FleetMeasured, after: FleetMeasured) -> None:
        """Bytes without the heads of TCP and IP."""
        seconds = _seconds(before, after)
        taken = (received(after) - received(before)) / self.followers
        given = (_sent(after) - _sent(before)) / self.followers
        self.add(scenario, "a follower received", "bytes/s", taken / seconds, Kind.MEASURED)
        self.add(scenario, "a follower sent", "bytes/s", given / seconds, Kind.MEASURED)
        self.add(scenario, "received a publication", "bytes", taken / publications, Kind.MEASURED)

    def processor(self, scenario: str, before: FleetMeasured, after: FleetMeasured) -> None:
        """Percent of a core."""
        share = 100.0 / _seconds(before, after)
        follower = sum(spent(before.followers, after.followers)) / self.followers
        self.add(scenario, "processor, a follower", "% of a core", follower * share, Kind.LOOPBACK)
        for place, relay in enumerate(spent(before.relays, after.relays), start=1):
            self.add(scenario, f"processor, relay {place}", "% of a core", relay * share, Kind.LOOPBACK)
        publisher = after.relays[0].publisher_cpu_s - before.relays[0].publisher_cpu_s
        self.add(scenario, "processor, publisher and log", "% of a core", publisher * share, Kind.LOOPBACK)


def spent(before: Sequence[Measured], after: Sequence[Measured]) -> Iterator[float]:
    """Seconds of processor time, process by process."""
    for then, now in zip(before, after, strict=True):
        yield now.cpu_s - then.cpu_s


def received(measured: FleetMeasured) -> int:
    """Bytes, all followers."""
    return sum(sum(process.received) for process in measured.followers)


def rejected(measured: FleetMeasured) -> int:
    """Messages that followers did not use."""
    return sum(process.rejected for process in measured.followers)


def tried(measured: FleetMeasured) -> int:
    """Connections that followers have tried."""
    return sum(process.attempts for process in measured.followers)


def most_memory(measured: Sequence[Measured]) -> float:
    """Of the largest process, in MB."""
    return max(process.resident for process in measured) / MEGABYTE


def _sent(measured: FleetMeasured) -> int:
    return sum(sum(process.sent) for process in measured.followers)


def _seconds(before: FleetMeasured, after: FleetMeasured) -> float:
    return after.followers[0].at - before.followers[0].at
