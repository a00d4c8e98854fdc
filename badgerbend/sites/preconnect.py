"""Opens connections in advance to the servers of a recovering site, so that the first parts need not wait for them."""

from __future__ import annotations

from badgerbend.sites.availability import SiteState
from badgerbend.sites.site import SiteTable
from badgerbend.sites.token_bucket import TokenBucket


class Preconnector:
    """Chooses the servers to connect to, at a limited rate."""

    def __init__(self, table: SiteTable) -> None:
        self.table = table
        self._bucket = TokenBucket()

    def servers_due(self, now_ms: float) -> list[int]:
        """The servers of sites on trial or recovering to which a connection should be opened now."""
        self._bucket.set_rate(now_ms, self.table.policy.connection_rate)
        due: list[int] = []
        for site in self.table.sites:
            if site.state not in (SiteState.TRIAL, SiteState.RECOVERING):
                continue
            for server in self.table.inventory.ready_servers(site.index):
                if server.id not in site.preconnected and self._bucket.available(now_ms) >= 1.0:
                    self._bucket.take(now_ms)
                    site.preconnected.add(server.id)
                    due.append(server.id)
        return due

    def record_result(self, now_ms: float, node: int, connected: bool) -> None:
        """Records the result of opening a connection. Only failures count: a connection alone does not prove health."""
        site = self.table.site_of(node)
        if site is not None and not connected:
            site.health.record_connection_failure(now_ms, node)
