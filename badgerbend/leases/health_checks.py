"""Health checks as a duty: one broker checks the servers that others suspect, and reports the results to them.

While the duty has no holder no server is checked, and each broker relies on the outcomes of its own requests,
which always take precedence over reports. This is safe because a report cannot eject a server: a broker uses it only
for servers of which it has no observations of its own.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from badgerbend import api
from badgerbend.leases.messages import MAX_SERVERS, ProbeReport, ProbeResult, SuspicionReport

SLOW_FACTOR = 3.0  # a server is suspected if its response time is above this multiple of the median
SUSPICION_TTL_S = 5.0  # a suspicion expires after this time if it is not reported again
MAX_SUBSCRIBERS = 4096  # brokers notified of the checks of one server; more than any fleet has


def suspected_servers(observed: api.Observations, names: dict[int, str]) -> list[str]:
    """Returns the servers that a broker itself observed to be down or far slower than the others, the worst first.

    names: the names of the servers by number. A server without a name is left out.
    """
    times_ms = sorted(server.response_time_ms for server in observed.nodes)
    median_ms = times_ms[len(times_ms) // 2] if times_ms else 0.0
    suspects = [
        server
        for server in observed.nodes
        if server.node in names and (server.is_down or server.response_time_ms > SLOW_FACTOR * median_ms)
    ]
    suspects.sort(key=lambda server: (not server.is_down, -server.response_time_ms, server.node))
    return [names[server.node] for server in suspects]


def suspicion_report(servers: Sequence[str], name: str, duty: str) -> SuspicionReport:
    """Builds a broker's report. servers: the suspected servers, the worst first; the report names the first of them."""
    return SuspicionReport(name, duty, tuple(servers[:MAX_SERVERS]))


def observations_of(report: ProbeReport, numbers: dict[str, int]) -> api.Observations:
    """Converts a report to an event for the decisions. numbers: of known servers by name; others are left out."""
    observed = tuple(
        api.EndpointObservation(numbers[result.server], result.latency_ms, result.age_ms, not result.succeeded)
        for result in report.results
        if result.server in numbers
    )
    return api.Observations(observed, ())


@dataclass(slots=True)
class SuspectedServer:
    """A server that at least one broker suspects. Times are in seconds of the checker's clock."""

    subscribers: dict[str, float] = field(default_factory=dict)  # the brokers' addresses, and when each expires
    check_started_at: float = -math.inf
    check_in_flight: bool = False

    def drop_expired_subscribers(self, now: float) -> None:
        """Removes the brokers that did not report their suspicion again."""
        self.subscribers = {address: until for address, until in self.subscribers.items() if until > now}


class OutboundReport(NamedTuple):
    """A report and the address of the broker to send it to."""

    address: str
    report: ProbeReport


class HealthChecker:
    """The lease holder's side: schedules the checks of suspected servers and builds the reports on their results.

    Each server is checked at the same interval however many brokers suspect it. name: of this broker. interval_s: time
    between two checks of one server. max_in_flight: limit on concurrent checks, over all servers. Times are in seconds
    of this broker's clock.
    """

    def __init__(self, duty: str, name: str, interval_s: float, max_in_flight: int) -> None:
        self.duty = duty
        self.name = name
        self.interval_s = interval_s
        self.max_in_flight = max_in_flight
        self.servers: dict[str, SuspectedServer] = {}
        self.checks_started = 0

    def receive_suspicions(self, now: float, report: SuspicionReport, address: str) -> None:
        """Records a broker's report. address: where to send that broker the results of the checks."""
        for name in report.servers:
            server = self.servers.setdefault(name, SuspectedServer())
            if len(server.subscribers) < MAX_SUBSCRIBERS or address in server.subscribers:
                server.subscribers[address] = now + SUSPICION_TTL_S

    def start_due_checks(self, now: float) -> list[str]:
        """Returns the servers to check now. The caller must call `finish_check` for each of them."""
        due: list[str] = []
        in_flight = sum(server.check_in_flight for server in self.servers.values())
        for name, server in sorted(self.servers.items(), key=lambda item: item[1].check_started_at):
            server.drop_expired_subscribers(now)
            if server.check_in_flight:
                continue
            if not server.subscribers:
                del self.servers[name]
            elif now - server.check_started_at >= self.interval_s and in_flight + len(due) < self.max_in_flight:
                server.check_in_flight = True
                server.check_started_at = now
                due.append(name)
        self.checks_started += len(due)
        return due

    def finish_check(
        self, now: float, epoch: int, name: str, succeeded: bool, latency_ms: float
    ) -> list[OutboundReport]:
        """Ends a server's check and returns the reports to send, one for each broker that suspects the server.

        epoch: of the lease under which the reports are sent. A check that was not in flight leads to no report.
        """
        server = self.servers.get(name)
        if server is None or not server.check_in_flight:
            return []
        server.check_in_flight = False
        age_ms = max(now - server.check_started_at, 0.0) * 1000.0
        report = ProbeReport(
            self.name, self.duty, epoch, (ProbeResult(name, succeeded=succeeded, latency_ms=latency_ms, age_ms=age_ms),)
        )
        return [OutboundReport(address, report) for address in server.subscribers]

    def clear(self) -> None:
        """Removes all suspicions when this broker loses the lease. Brokers report them again to the next holder."""
        self.servers = {}
