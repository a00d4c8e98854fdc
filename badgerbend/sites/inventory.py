"""The servers of each site and cell, from the endpoint list: which are ready, how warm they are, and their capacity.

Sums by site are updated with each changed endpoint, so that computing a site's capacity does not iterate over thousands
of servers, but only over those that are warming up or failing.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import dataclass

from badgerbend import api
from badgerbend.sites.policy import SitePolicy

UNREADY_MEMORY_MS = 600_000.0  # a server that is not ready counts towards the full capacity for this long
NO_SITE = -1  # the site index of a server whose zone belongs to no site


@dataclass(slots=True)
class SiteServer:
    """A server of the endpoint list. unready_since_ms: when it stopped being ready, while it is not."""

    id: int
    site: int  # index in the policy's sites, or NO_SITE
    cell: int
    size: float
    started_ms: float  # 0 if it started long ago
    ready: bool
    unready_since_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class SiteCapacity:
    """The rate that a site can serve, in parts per millisecond. full: with all of its known servers ready and warm."""

    available: float
    full: float


class SiteInventory:
    """All known servers, with sums by site. Sites are identified by their index in `policy.sites`."""

    def __init__(self, policy: SitePolicy) -> None:
        self.policy = policy
        self.site_of_zone = {zone: index for index, site in enumerate(policy.sites) for zone in site.zones}
        self.servers: dict[int, SiteServer] = {}
        self.cells: dict[tuple[int, int], dict[int, SiteServer]] = {}  # by site and cell
        self.total_size = [0.0 for _ in policy.sites]  # of all known servers
        self.ready_size = [0.0 for _ in policy.sites]
        self.ready_count = [0 for _ in policy.sites]  # separate, because rounding leaves a remainder in sums of sizes
        self.warming_up: list[dict[int, SiteServer]] = [{} for _ in policy.sites]
        self.unready: dict[int, SiteServer] = {}

    # -- updates of the endpoint list

    def apply(self, now_ms: float, update: api.EndpointUpdate) -> list[SiteServer]:
        """Applies an update; returns the servers that have restarted according to it."""
        if update.kind == api.UpdateKind.FAILED:
            return []
        restarted: list[SiteServer] = []
        for endpoint in update.endpoints:
            server = self._apply_endpoint(now_ms, endpoint)
            if server is not None:
                restarted.append(server)
        if update.kind != api.UpdateKind.DELTA:
            self._mark_unlisted(now_ms, {endpoint.node for endpoint in update.endpoints})
        expired = [s for s in self.unready.values() if now_ms - s.unready_since_ms > UNREADY_MEMORY_MS]
        for unready in expired:
            self._remove(now_ms, unready)
        return restarted

    def _mark_unlisted(self, now_ms: float, listed_nodes: set[int]) -> None:
        unlisted = [s for s in self.servers.values() if s.ready and s.id not in listed_nodes]
        for server in unlisted:
            self._update_server(now_ms, server, False, server.size, server.started_ms)

    def _apply_endpoint(self, now_ms: float, endpoint: api.Endpoint) -> SiteServer | None:
        """Applies a changed endpoint; returns its server if it was already known and has restarted."""
        site = self.site_of_zone.get(endpoint.zone, NO_SITE)
        server = self.servers.get(endpoint.node)
        if server is not None and (server.site, server.cell) != (site, endpoint.cell):
            self._remove(now_ms, server)
            server = None
        restarted = server is not None and endpoint.started_ms > server.started_ms
        if server is None:
            server = self._add(now_ms, endpoint, site)
        ready = endpoint.state == api.EndpointState.READY
        self._update_server(now_ms, server, ready, endpoint.size, endpoint.started_ms)
        return server if restarted else None

    def _add(self, now_ms: float, endpoint: api.Endpoint, site: int) -> SiteServer:
        server = SiteServer(endpoint.node, site, endpoint.cell, 0.0, endpoint.started_ms, False, now_ms)
        self.servers[server.id] = server
        self.unready[server.id] = server
        if site != NO_SITE:
            self.cells.setdefault((site, endpoint.cell), {})[server.id] = server
        return server

    def _update_server(self, now_ms: float, server: SiteServer, ready: bool, size: float, started_ms: float) -> None:
        if server.site != NO_SITE:
            self.total_size[server.site] += size - server.size
            self.ready_size[server.site] += size * ready - server.size * server.ready
            self.ready_count[server.site] += ready - server.ready
        if server.ready and not ready:
            server.unready_since_ms = now_ms
        server.ready = ready
        server.size = size
        server.started_ms = started_ms
        if ready:
            self.unready.pop(server.id, None)
        else:
            self.unready[server.id] = server
        if server.site != NO_SITE:
            self.warming_up[server.site].pop(server.id, None)
            if ready and self.warmth(now_ms, server) < 1.0:
                self.warming_up[server.site][server.id] = server

    def _remove(self, now_ms: float, server: SiteServer) -> None:
        self._update_server(now_ms, server, False, 0.0, server.started_ms)
        del self.servers[server.id]
        del self.unready[server.id]
        if server.site != NO_SITE:
            del self.cells[server.site, server.cell][server.id]

    # -- queries

    def site_of(self, node: int) -> int:
        """The index of a server's site; NO_SITE if it belongs to none or the server is unknown."""
        server = self.servers.get(node)
        return server.site if server is not None else NO_SITE

    def has_ready_servers(self, site: int) -> bool:
        """Whether the endpoint list contains a ready server at a site."""
        return self.ready_count[site] > 0

    def ready_servers(self, site: int) -> list[SiteServer]:
        """The ready servers of a site."""
        return [s for s in self.servers.values() if s.site == site and s.ready]

    def replicas(self, site: int, shard: int) -> Iterable[SiteServer]:
        """The servers of a site that serve a shard, ready or not."""
        for offset in range(self.policy.cells_per_shard):
            yield from self.cells.get((site, (shard + offset) % self.policy.cell_count), {}).values()

    def healthy_fraction(self, site: int, shard: int, failing: Container[int]) -> float:
        """The fraction, by size, of a shard's replicas at a site that are ready and not failing; 0 without replicas."""
        healthy = 0.0
        total = 0.0
        for server in self.replicas(site, shard):
            total += server.size
            healthy += server.size * (server.ready and server.id not in failing)
        return healthy / total if total else 0.0

    def warmth(self, now_ms: float, server: SiteServer) -> float:
        """The fraction of its capacity that a server provides during slow start; 1 after it."""
        if not server.started_ms:
            return 1.0
        policy = self.policy
        elapsed = max(now_ms - server.started_ms, 0.0) / max(policy.slow_start_ms, 1.0)
        return min(1.0, policy.slow_start_from + (1.0 - policy.slow_start_from) * elapsed)

    def capacity(self, now_ms: float, site: int, failing: Iterable[int]) -> SiteCapacity:
        """The capacity of a site now and with all servers. failing: listed servers that provide no capacity now."""
        available = self.ready_size[site]
        for server in list(self.warming_up[site].values()):
            warmth = self.warmth(now_ms, server)
            if warmth >= 1.0:
                del self.warming_up[site][server.id]
            else:
                available -= server.size * (1.0 - warmth)
        for node in failing:
            failed = self.servers.get(node)
            if failed is not None and failed.ready and failed.site == site:
                available -= failed.size * self.warmth(now_ms, failed)
        rate = self.policy.server_rate
        return SiteCapacity(max(available, 0.0) * rate, self.total_size[site] * rate)
