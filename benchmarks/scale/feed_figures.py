"""Figures of one size, calculated from what its processes measured before and after a scenario."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from scale.feed_fleet import FleetMeasured
from scale.feed_messages import Measured
from scale.feed_times import Times
from scale.figures import Figure, Kind

MEGABYTE = 1_048_576


class SizeFigures:
    """Collects the figures of one size."""

    def __init__(self, followers: int) -> None:
        self.followers = followers
        self.figures: list[Figure] = []

    def add(self, scenario: str, quantity: str, unit: str, value: float, kind: Kind) -> None:
        self.figures.append(Figure("feed", scenario, quantity, unit, self.followers, value, kind))

    def add_times(self, scenario: str, group: str, times: Times) -> None:
        """Adds the times until publications were in force; nothing if there were no followers to measure."""
        if not times.seconds:
            return
        label = f"in force, {group}" if group else "in force"
        for name, value in (("median", times.median), ("99 in 100", times.quantile(0.99)), ("all", times.longest)):
            self.add(scenario, f"{label}, {name}", "s", value, Kind.LOOPBACK)

    def add_traffic(self, scenario: str, publications: int, before: FleetMeasured, after: FleetMeasured) -> None:
        """Adds the bytes that followers received and sent, without TCP and IP headers."""
        seconds = _seconds(before, after)
        received_bytes = (received(after) - received(before)) / self.followers
        sent_bytes = (_sent(after) - _sent(before)) / self.followers
        self.add(scenario, "a follower received", "bytes/s", received_bytes / seconds, Kind.MEASURED)
        self.add(scenario, "a follower sent", "bytes/s", sent_bytes / seconds, Kind.MEASURED)
        self.add(scenario, "received a publication", "bytes", received_bytes / publications, Kind.MEASURED)

    def add_processor(self, scenario: str, before: FleetMeasured, after: FleetMeasured) -> None:
        """Adds the processor use of followers, relays and publisher, in percent of a core."""
        percent_per_s = 100.0 / _seconds(before, after)
        follower = sum(cpu_seconds(before.followers, after.followers)) / self.followers
        self.add(scenario, "processor, a follower", "% of a core", follower * percent_per_s, Kind.LOOPBACK)
        for number, relay in enumerate(cpu_seconds(before.relays, after.relays), start=1):
            self.add(scenario, f"processor, relay {number}", "% of a core", relay * percent_per_s, Kind.LOOPBACK)
        publisher = after.relays[0].publisher_cpu_s - before.relays[0].publisher_cpu_s
        self.add(scenario, "processor, publisher and log", "% of a core", publisher * percent_per_s, Kind.LOOPBACK)


def cpu_seconds(before: Sequence[Measured], after: Sequence[Measured]) -> Iterator[float]:
    """Yields the seconds of processor time used by each process."""
    for earlier, later in zip(before, after, strict=True):
        yield later.cpu_s - earlier.cpu_s


def received(measured: FleetMeasured) -> int:
    """Returns the bytes that all followers received."""
    return sum(sum(process.received) for process in measured.followers)


def rejected(measured: FleetMeasured) -> int:
    """Returns the messages that followers rejected."""
    return sum(process.rejected for process in measured.followers)


def connection_attempts(measured: FleetMeasured) -> int:
    """Returns the connection attempts of all followers."""
    return sum(process.attempts for process in measured.followers)


def max_resident_mb(measured: Sequence[Measured]) -> float:
    """Returns the resident memory of the largest process, in MB."""
    return max(process.resident for process in measured) / MEGABYTE


def _sent(measured: FleetMeasured) -> int:
    return sum(sum(process.sent) for process in measured.followers)


def _seconds(before: FleetMeasured, after: FleetMeasured) -> float:
    return after.followers[0].at - before.followers[0].at
