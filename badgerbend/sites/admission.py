"""Admission of queries: those that cannot be answered, or exceed the available capacity, are rejected at once."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from badgerbend import api
from badgerbend.sites.availability import SiteState
from badgerbend.sites.own_site_load import OwnSiteLoad
from badgerbend.sites.priority_admission import PriorityAdmission, PriorityBand
from badgerbend.sites.site import SiteTable

RATE_SAFETY_FACTOR = 0.95  # fraction of the rates to other sites that is allotted; the rest is for retries and chance
WEIGHT_TOLERANCE = 1e-4  # accepted shortfall in a sum of parts' weights


class RejectionReason(StrEnum):
    """Why a query was rejected. The values appear on status pages and in metric labels, as part of their interface."""

    NO_SITE = "no site holds it"
    SPILL_LIMIT = "spill limit"


class Rejection(NamedTuple):
    """The key by which rejected queries are counted."""

    reason: RejectionReason
    class_index: int
    tenant: int


class QueryAdmission:
    """Admits or rejects queries, and counts the rejected ones."""

    def __init__(self, table: SiteTable, own_load: OwnSiteLoad) -> None:
        self.table = table
        self.own_load = own_load
        self.priorities = PriorityAdmission()
        self.rejections: Counter[Rejection] = Counter()

    def admits(self, query: api.Query, over_quota: bool, fewest_parts: int) -> bool:
        """Whether a query is admitted. fewest_parts: the least number of its parts that make a complete answer."""
        query_class = self.table.policy.classes[query.class_index]
        if not self._can_be_answered(query, query_class):
            self._count_rejection(query, RejectionReason.NO_SITE)
            return False
        now_ms = self.table.now_ms
        band = PriorityBand(query.class_index, over_quota)
        weight = query_class.priority_weight * (self.table.policy.over_quota_weight if over_quota else 1.0)
        self.priorities.record_demand(now_ms, band, weight, fewest_parts, len(query.parts))
        self.table.demand.add(now_ms, fewest_parts)
        if self.own_load.serves_all or self._serves_trial(query, query_class):
            return True
        if self.priorities.admit(now_ms, band, self._capacity()):
            return True
        self._count_rejection(query, RejectionReason.SPILL_LIMIT)
        return False

    def allows_surplus(self) -> bool:
        """Whether parts beyond the least number that is needed may be sent now."""
        return self.own_load.serves_all or self.priorities.surplus_fits(self.table.now_ms, self._capacity())

    def _can_be_answered(self, query: api.Query, query_class: api.QueryClass) -> bool:
        reachable = sum(part.weight for part in query.parts if self.table.rank(part.shard))
        return reachable >= min(query_class.minimum_weight, query_class.complete_weight) - WEIGHT_TOLERANCE

    def _serves_trial(self, query: api.Query, query_class: api.QueryClass) -> bool:
        """Whether a query can be used for a trial; if all were rejected, a site on trial would receive no parts."""
        if query_class.effect != "safe":
            return False
        shard = query.parts[0].shard
        return any(site.state is SiteState.TRIAL and self.table.accepts(site, shard) for site in self.table.sites)

    def _capacity(self) -> float:
        """The rate, in parts per millisecond, at which this broker may send to all sites together, trials excluded."""
        table = self.table
        own_active = table.own.state is SiteState.ACTIVE
        capacity = 0.0
        if own_active:
            capacity = self.own_load.servable_share * table.demand.rate(table.now_ms)
        for site in table.sites:
            unlimited = site.is_own and own_active
            if site.state is not SiteState.TRIAL and not unlimited:
                capacity += site.bucket.rate * RATE_SAFETY_FACTOR
        return capacity

    def _count_rejection(self, query: api.Query, reason: RejectionReason) -> None:
        self.rejections[Rejection(reason, query.class_index, query.tenant)] += 1
