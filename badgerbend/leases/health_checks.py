"""Probing as a duty: one broker asks after the servers that others doubt, and tells those what it found. Pure.

Without a holder nothing is probed, and each broker goes on by its own outcomes, as it does anyway. What a prober says
can bar no server: it is taken in the place of own sight only where there is none.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from badgerbend import api
from badgerbend.leases.messages import MAX_SERVERS, ProbeReport, ProbeResult, SuspicionReport

SLOW_FACTOR = 3.0  # so many times the middle of all servers' times is doubted
SUSPICION_TTL_S = 5.0  # a doubt that is not said again counts so long
MAX_SUBSCRIBERS = 4096


def suspected_servers(known: api.Observations, names: dict[int, str]) -> list[str]:
    """The servers that a broker has found dead or far slower than the others itself, the worst first."""
    times = sorted(s.time_ms for s in known.nodes)
    middle = times[len(times) // 2] if times else 0.0
    bad = [s for s in known.nodes if s.node in names and (s.dead or s.time_ms > SLOW_FACTOR * middle)]
    return [names[s.node] for s in sorted(bad, key=lambda s: (not s.dead, -s.time_ms, s.node))]


@dataclass(slots=True)
class _Suspect:
    subscribers: dict[str, float] = field(default_factory=dict)  # where to tell, and until when that one wants to know
    checked_at: float = float("-inf")
    in_flight: bool = False


class HealthChecker:
    """The lease holder's side: it checks each suspected server at one interval, however many brokers suspect it.

    interval_s: time between two checks of one server. max_in_flight: checks of all servers that may run at once.
    """

    def __init__(self, duty: str, name: str, interval_s: float, max_in_flight: int) -> None:
        self.duty, self.name, self.interval_s, self.max_in_flight = duty, name, interval_s, max_in_flight
        self.servers: dict[str, _Suspect] = {}
        self.checks_started = 0

    def receive_suspicions(self, now: float, report: SuspicionReport, address: str) -> None:
        """Another broker's word; address: where it is told."""
        for server in report.servers:
            one = self.servers.setdefault(server, _Suspect())
            if len(one.subscribers) < MAX_SUBSCRIBERS or address in one.subscribers:
                one.subscribers[address] = now + SUSPICION_TTL_S

    def start_due_checks(self, now: float) -> list[str]:
        """Servers to be asked now; `finish_check` is owed for each."""
        out, in_flight = list[str](), sum(one.in_flight for one in self.servers.values())
        for server, one in sorted(self.servers.items(), key=lambda row: row[1].checked_at):
            one.subscribers = {address: until for address, until in one.subscribers.items() if until > now}
            if not one.subscribers and not one.in_flight:
                del self.servers[server]
            elif self._may_check(now, one) and in_flight + len(out) < self.max_in_flight:
                one.in_flight, one.checked_at = True, now
                out.append(server)
        self.checks_started += len(out)
        return out

    def _may_check(self, now: float, suspect: _Suspect) -> bool:
        return not suspect.in_flight and now - suspect.checked_at >= self.interval_s

    def finish_check(
        self, now: float, epoch: int, server: str, succeeded: bool, latency_ms: float
    ) -> list[tuple[str, ProbeReport]]:
        """What to tell, and whom: those who doubt that server."""
        one = self.servers.get(server)
        if one is None or not one.in_flight:
            return []
        one.in_flight = False
        row = ProbeResult(server, succeeded, latency_ms, max(now - one.checked_at, 0.0) * 1000.0)
        return [(address, ProbeReport(self.name, self.duty, epoch, (row,))) for address in one.subscribers]

    def clear(self) -> None:
        """No longer the holder: all is forgotten, and who doubts will say so to the next."""
        self.servers = {}


def suspicion_report(servers: Sequence[str], name: str, duty: str) -> SuspicionReport:
    """As many as one datagram names, the worst."""
    return SuspicionReport(name, duty, tuple(servers[:MAX_SERVERS]))


def observations_of(report: ProbeReport, numbers: dict[str, int]) -> api.Observations:
    """What a finding tells the decisions, for where they have no sight of their own."""
    rows = [row for row in report.results if row.server in numbers]
    seen = (api.EndpointObservation(numbers[row.server], row.latency_ms, row.age_ms, not row.succeeded) for row in rows)
    return api.Observations(tuple(seen), ())
