"""What the list says, by site and by the cells that hold a shard: who is there, how warm, and what room that makes.

Sums are kept as lines come in, so that a look at a site costs no walk over thousands of servers: only those that are
cold or failing are counted one by one.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from badgerbend import api
from badgerbend.sites.rules import Rules

REMEMBER_MS = 600_000.0  # a server that left the list counts as missing so long, then as taken away


@dataclass(slots=True)
class Server:
    """A server. gone_ms: when it stopped to be ready, where it is not."""

    id: int
    site: int
    cell: int
    size: float
    started_ms: float
    ready: bool
    gone_ms: float = 0.0


class Fleet:
    """Servers by number, and by site and cell. Sites are places in `rules.sites`; -1 is a zone of no site."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.zones = {zone: i for i, site in enumerate(rules.sites) for zone in site.zones}
        self.servers: dict[int, Server] = {}
        self.cells: dict[tuple[int, int], dict[int, Server]] = {}  # by site and cell
        self.known = [0.0 for _ in rules.sites]  # size of all servers, there or remembered
        self.there = [0.0 for _ in rules.sites]  # size of those that are ready
        self.count = [0 for _ in rules.sites]  # and their number: sums of sizes leave a rest by rounding
        self.cold: list[dict[int, Server]] = [{} for _ in rules.sites]  # ready ones that started of late
        self.missing: dict[int, Server] = {}

    # -- News of the list.
    def view(self, now_ms: float, view: api.EndpointUpdate) -> list[Server]:
        """Takes news; returns the servers that have started anew by it."""
        if view.kind == api.UpdateKind.FAILED:
            return []
        anew: list[Server] = []
        for line in view.endpoints:
            self._line(now_ms, line, anew)
        if view.kind != api.UpdateKind.DELTA:
            named = {line.node for line in view.endpoints}
            for server in [s for s in self.servers.values() if s.ready and s.id not in named]:
                self._set(now_ms, server, False, server.size, server.started_ms)
        for server in [s for s in self.missing.values() if now_ms - s.gone_ms > REMEMBER_MS]:
            self._drop(now_ms, server)
        return anew

    def _line(self, now_ms: float, line: api.Endpoint, anew: list[Server]) -> None:
        ready, site = line.state == api.EndpointState.READY, self.zones.get(line.zone, -1)
        server = self.servers.get(line.node)
        if server is not None and (server.site, server.cell) != (site, line.cell):
            self._drop(now_ms, server)
            server = None
        if server is None:
            server = self.servers[line.node] = Server(line.node, site, line.cell, 0.0, line.started_ms, False, now_ms)
            self.missing[server.id] = server
            if site >= 0:
                self.cells.setdefault((site, line.cell), {})[line.node] = server
        elif line.started_ms > server.started_ms:
            anew.append(server)
        self._set(now_ms, server, ready, line.size, line.started_ms)

    def _set(self, now_ms: float, server: Server, ready: bool, size: float, started_ms: float) -> None:
        if server.site >= 0:
            self.known[server.site] += size - server.size
            self.there[server.site] += size * ready - server.size * server.ready
            self.count[server.site] += ready - server.ready
        if server.ready and not ready:
            server.gone_ms = now_ms
        server.ready, server.size, server.started_ms = ready, size, started_ms
        if ready:
            self.missing.pop(server.id, None)
        else:
            self.missing[server.id] = server
        if server.site >= 0:
            self.cold[server.site].pop(server.id, None)
            if ready and self.warmth(now_ms, server) < 1.0:
                self.cold[server.site][server.id] = server

    def _drop(self, now_ms: float, server: Server) -> None:
        self._set(now_ms, server, False, 0.0, server.started_ms)
        del self.servers[server.id], self.missing[server.id]
        if server.site >= 0:
            del self.cells[server.site, server.cell][server.id]

    # -- What it says.
    def listed(self, site: int) -> bool:
        """Whether the list has a ready server there."""
        return self.count[site] > 0

    def ready(self, site: int) -> list[Server]:
        return [s for s in self.servers.values() if s.site == site and s.ready]

    def holders(self, site: int, shard: int) -> Iterable[Server]:
        """The servers of a shard at a site, ready or remembered."""
        for i in range(self.rules.reach):
            yield from self.cells.get((site, (shard + i) % self.rules.cells), {}).values()

    def sound(self, site: int, shard: int, failing: Container[int]) -> float:
        """The share of a shard's holders at a site, by size, that can be asked: 0 where it never had any."""
        sound = known = 0.0
        for server in self.holders(site, shard):
            known += server.size
            sound += server.size * (server.ready and server.id not in failing)
        return sound / known if known else 0.0

    def warmth(self, now_ms: float, server: Server) -> float:
        """The share of its capacity that a server can give since its start."""
        r = self.rules
        if not server.started_ms:
            return 1.0
        age = max(now_ms - server.started_ms, 0.0) / max(r.cold_ms, 1.0)
        return min(1.0, r.cold_from + (1.0 - r.cold_from) * age)

    def room(self, now_ms: float, site: int, failing: Iterable[int]) -> tuple[float, float]:
        """Parts a millisecond that a site can serve now, and could with all its servers there and warm."""
        now = self.there[site]
        for server in list(self.cold[site].values()):
            warmth = self.warmth(now_ms, server)
            if warmth >= 1.0:
                del self.cold[site][server.id]
            else:
                now -= server.size * (1.0 - warmth)
        for node in failing:
            failed = self.servers.get(node)
            if failed is not None and failed.ready and failed.site == site:
                now -= failed.size * self.warmth(now_ms, failed)
        return max(now, 0.0) * self.rules.server_pace, self.known[site] * self.rules.server_pace
