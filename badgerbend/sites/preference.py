"""Preference among sites by locality: implements `api.SitePreference` by means of the other modules here."""

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

UPDATE_INTERVAL_MS = 100.0  # of states and limits; short compared with an ejection and a step of a ramp


class LocalityPreference:
    """The preference of one broker. Brokers need different seeds, so that they do not act in lockstep."""

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
        """Sets the budget by which brokers divide the rate to a recovering site according to demand."""
        self.limits.slow_start_budget = budget

    # -- events

    def observe(self, now_ms: float, events: Sequence[api.Event]) -> None:
        """Processes the events of a step, before any decision is made about them."""
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
        if site is None or attempt not in site.health.in_flight:  # the server has moved or was removed since
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

    # -- queries from the decisions

    def admits(self, query: api.Query, over_quota: bool, fewest: int) -> bool:
        """Whether a query is admitted. fewest: the least number of its parts that make a complete answer."""
        return self.admission.admits(query, over_quota, fewest)

    def allows_surplus(self) -> bool:
        """Whether parts beyond the least number that is needed may be sent now."""
        return self.admission.allows_surplus()

    def rank(self, shard: int) -> int:
        """The proximity of the nearest site that accepts a part of this shard now: greater is nearer, 0 means none."""
        return self.table.rank(shard)

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        """The servers of a shard to which a part may be sent now; if empty, it must wait. See `ReplicaFilter`."""
        return self.replica_filter.eligible(shard, nodes, safe)

    def site_rate(self, node: int) -> float:
        """A warm server's share of the rate at which this broker may send to its site, in parts per millisecond.

        0 means that the site has no limit.
        """
        site = self.table.site_of(node) or self.own
        if site.is_own and site.state is SiteState.ACTIVE:
            return 0.0
        if not site.capacity:
            return 0.0
        return site.bucket.rate / (site.capacity / self.policy.server_rate)

    def attempt_sent(self, part: int, attempt: int, node: int) -> None:
        """Records that an attempt was sent to a server."""
        self.replica_filter.attempt_sent(part, attempt, node)

    # -- operators

    def set_drained(self, now_ms: float, site: Site, drained: bool) -> None:
        """Drains a site, so that its traffic moves to other sites, or returns it to service."""
        self.states.set_drained(now_ms, site, drained)
