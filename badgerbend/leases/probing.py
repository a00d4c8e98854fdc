"""Probing as a duty: one broker asks after the servers that others doubt, and tells those what it found. Pure.

Without a holder nothing is probed, and each broker goes on by its own outcomes, as it does anyway. What a prober says
can bar no server: it is taken in the place of own sight only where there is none.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from badgerbend import api
from badgerbend.leases.messages import MAX_SERVERS, ProbeReport, ProbeResult, SuspicionReport

SLOW = 3.0  # so many times the middle of all servers' times is doubted
DOUBTED_S = 5.0  # a doubt that is not said again counts so long
ASKERS_MOST = 4096


def doubted(known: api.Observations, names: dict[int, str]) -> list[str]:
    """The servers that a broker has found dead or far slower than the others itself, the worst first."""
    times = sorted(s.time_ms for s in known.nodes)
    middle = times[len(times) // 2] if times else 0.0
    bad = [s for s in known.nodes if s.node in names and (s.dead or s.time_ms > SLOW * middle)]
    return [names[s.node] for s in sorted(bad, key=lambda s: (not s.dead, -s.time_ms, s.node))]


@dataclass(slots=True)
class _Doubted:
    askers: dict[str, float] = field(default_factory=dict)  # where to tell, and until when that one wants to know
    asked_at: float = float("-inf")
    flying: bool = False


class Prober:
    """The holder's side. every_s: each doubted server is asked so often, however many doubt it; most: at once."""

    def __init__(self, duty: str, name: str, every_s: float, most: int) -> None:
        self.duty, self.name, self.every_s, self.most = duty, name, every_s, most
        self.servers: dict[str, _Doubted] = {}
        self.probes = 0

    def doubt(self, now: float, doubt: SuspicionReport, at: str) -> None:
        """Another broker's word; at: where it is told."""
        for server in doubt.servers:
            one = self.servers.setdefault(server, _Doubted())
            if len(one.askers) < ASKERS_MOST or at in one.askers:
                one.askers[at] = now + DOUBTED_S

    def due(self, now: float) -> list[str]:
        """Servers to be asked now; `found` is owed for each."""
        out, flying = list[str](), sum(one.flying for one in self.servers.values())
        for server, one in sorted(self.servers.items(), key=lambda row: row[1].asked_at):
            one.askers = {at: until for at, until in one.askers.items() if until > now}
            if not one.askers and not one.flying:
                del self.servers[server]
            elif not one.flying and now - one.asked_at >= self.every_s and flying + len(out) < self.most:
                one.flying, one.asked_at = True, now
                out.append(server)
        self.probes += len(out)
        return out

    def found(self, now: float, epoch: int, server: str, served: bool, took_ms: float) -> list[tuple[str, ProbeReport]]:
        """What to tell, and whom: those who doubt that server."""
        one = self.servers.get(server)
        if one is None or not one.flying:
            return []
        one.flying = False
        row = ProbeResult(server, served, took_ms, max(now - one.asked_at, 0.0) * 1000.0)
        return [(at, ProbeReport(self.name, self.duty, epoch, (row,))) for at in one.askers]

    def stop(self) -> None:
        """No longer the holder: all is forgotten, and who doubts will say so to the next."""
        self.servers = {}


def said(doubts: Sequence[str], name: str, duty: str) -> SuspicionReport:
    """As many as one datagram names, the worst."""
    return SuspicionReport(name, duty, tuple(doubts[:MAX_SERVERS]))


def learned(found: ProbeReport, numbers: dict[str, int]) -> api.Observations:
    """What a finding tells the decisions, for where they have no sight of their own."""
    rows = [row for row in found.rows if row.server in numbers]
    seen = (api.EndpointObservation(numbers[row.server], row.took_ms, row.age_ms, not row.served) for row in rows)
    return api.Observations(tuple(seen), ())
