"""Preference among sites by locality: the decisions' `api.SitePreference`, made of the other modules here."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from badgerbend import api
from badgerbend.sites.admission import QueryAdmission
from badgerbend.sites.availability import SiteState
from badgerbend.sites.own_site_load import OwnSiteLoad
from badgerbend.sites.policy import SitePolicy
from badgerbend.sites.preconnect import Preconnector
from badgerbend.sites.rate_limits import SiteRateLimits
from badgerbend.sites.replica_filter import ReplicaFilter
from badgerbend.sites.site import Site, SiteTable
from badgerbend.sites.state_tracker import SiteStateTracker

UPDATE_INTERVAL_MS = 100.0  # of states and limits; short beside an ejection and a step of a ramp


class LocalityPreference:
    """One broker's preference. `seed` gives it random numbers of its own."""

    def __init__(self, policy: SitePolicy, seed: int) -> None:
        self.policy = policy
        self.table = SiteTable(policy, seed)
        self.own_load = OwnSiteLoad(self.table)
        self.states = SiteStateTracker(self.table)
        self.limits = SiteRateLimits(self.table)
        self.admission = QueryAdmission(self.table, self.own_load)
        self.replica_filter = ReplicaFilter(self.table, self.own_load, random.Random(seed))
        self.preconnector = Preconnector(self.table)
        self._next_update_ms = -math.inf

    @property
    def own(self) -> Site:
        """The broker's own site."""
        return self.table.own

    @property
    def sites(self) -> list[Site]:
        """All sites, in the order of the policy."""
        return self.table.sites

    def use_slow_start_budget(self, budget: api.SlowStartBudget | None) -> None:
        """Lets brokers share out by demand what a recovering site may get."""
        self.limits.slow_start_budget = budget

    # -- events

    def observe(self, now_ms: float, events: Sequence[api.Event]) -> None:
        """Takes note of all that happened, before any decision on it."""
        self.table.now_ms = now_ms
        for event in events:
            match event:
                case api.AttemptCompleted():
                    self._attempt_completed(event)
                case api.EndpointUpdate():
                    self._endpoints_updated(event)
        if now_ms >= self._next_update_ms:
            self._next_update_ms = now_ms + UPDATE_INTERVAL_MS
            self._update()

    def _attempt_completed(self, event: api.AttemptCompleted) -> None:
        attempt = (event.part, event.attempt)
        site = self.table.site_of(event.node)
        if site is None or attempt not in site.health.in_flight:  # its server was moved or removed since
            site = next((s for s in self.table.sites if attempt in s.health.in_flight), None)
        if site is None:
            return
        utilization = self._reported_utilization(event.report)
        site.health.record_completed(self.table.now_ms, attempt, event.outcome, utilization)
        site.successes += event.outcome == api.Outcome.OK

    def _reported_utilization(self, report: tuple[float, ...]) -> float | None:
        index = self.policy.utilization_index
        if index is None or len(report) <= index or not math.isfinite(report[index]):
            return None
        return report[index]

    def _endpoints_updated(self, update: api.EndpointUpdate) -> None:
        if update.endpoints:
            self.table.list_updated_ms = self.table.now_ms
        for server in self.table.inventory.apply(self.table.now_ms, update):
            site = self.table.site_of(server.id)
            if site is not None:
                site.health.failing_servers.pop(server.id, None)
                site.preconnected.discard(server.id)
        self.table.update_capacity()
        self._update_states()

    def _update(self) -> None:
        for site in self.table.sites:
            site.health.fail_overdue_attempts(self.table.now_ms)
            site.health.sample(self.table.now_ms)
        self.table.update_capacity()
        self.own_load.update()
        self._update_states()

    def _update_states(self) -> None:
        self.states.update()
        self._update_limits()

    def _update_limits(self) -> None:
        self.limits.update()

    # -- questions of the decisions

    def admits(self, query: api.Query, over_quota: bool, fewest: int) -> bool:
        """Whether a query is admitted; fewest: how many of its parts make a complete answer."""
        return self.admission.admits(query, over_quota, fewest)

    def allows_surplus(self) -> bool:
        """Whether parts beyond the fewest may be sent now."""
        return self.admission.allows_surplus()

    def rank(self, shard: int) -> int:
        """How near the nearest site is that a part of this shard may go to now: greater is nearer, 0 for none."""
        return self.table.rank(shard)

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        """Those of a shard's servers that a part may go to now; none: it must wait. See `ReplicaFilter`."""
        return self.replica_filter.eligible(shard, nodes, safe)

    def site_rate(self, node: int) -> float:
        """A warm server's share of the rate at which this broker may send to its site, in parts a millisecond; 0 where
        no limit holds there."""
        site = self.table.site_of(node) or self.own
        if site.is_own and site.state is SiteState.ACTIVE:
            return 0.0
        if not site.capacity:
            return 0.0
        return site.bucket.rate / (site.capacity / self.policy.server_rate)

    def attempt_sent(self, part: int, attempt: int, node: int) -> None:
        """An attempt was sent to a server."""
        self.replica_filter.attempt_sent(part, attempt, node)

    # -- operators

    def set_drained(self, now_ms: float, site: Site, drained: bool) -> None:
        """Moves a site's work to other sites, or lets it come back."""
        self.states.set_drained(now_ms, site, drained)
