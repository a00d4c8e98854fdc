"""Updates the states of all sites from their health and from the endpoint list."""

from __future__ import annotations

from typing import NamedTuple

from badgerbend.sites.availability import SiteObservation, SiteState
from badgerbend.sites.site import Site, SiteTable


class SiteChange(NamedTuple):
    """A state change of a site, to be logged for operators."""

    site: str
    description: str


class SiteStateTracker:
    """Updates the states of all sites. `changes` is cleared by the caller that logs them."""

    def __init__(self, table: SiteTable) -> None:
        self.table = table
        self.changes: list[SiteChange] = []

    def update(self) -> None:
        """Evaluates the state of every site, and performs the steps of drains that are due."""
        for site in self.table.sites:
            self._update_site(site)

    def set_drained(self, now_ms: float, site: Site, drained: bool) -> None:
        """Drains a site on behalf of an operator, or returns it to service."""
        site.drain.set_drained(now_ms, drained)
        self.changes.append(SiteChange(site.name, "drained by operator" if drained else "returned by operator"))

    def _update_site(self, site: Site) -> None:
        table = self.table
        ready = table.inventory.has_ready_servers(site.index) or table.list_updated_ms is None
        success_rate = site.health.success_rate(table.now_ms)
        failing = success_rate is not None and success_rate < table.policy.ejection_threshold
        if failing and not self._has_healthy_alternative(site):
            success_rate = None  # ejection would only reject what the site may still answer
        observed = SiteObservation(ready, success_rate, site.health.consecutive_successes, site.successes)
        if site.availability.update(table.now_ms, observed):
            if site.state in (SiteState.EJECTED, SiteState.TRIAL):
                site.health.reset_outcomes()
            site.preconnected.clear()
            self.changes.append(SiteChange(site.name, site.state.value))
        site.drain.update(table.now_ms)

    def _has_healthy_alternative(self, site: Site) -> bool:
        return any(other is not site and self._is_healthy(other) for other in self.table.sites)

    def _is_healthy(self, site: Site) -> bool:
        success_rate = site.health.success_rate(self.table.now_ms)
        succeeds = success_rate is None or success_rate >= self.table.policy.ejection_threshold
        return succeeds and site.accepts_work and self.table.inventory.has_ready_servers(site.index)
