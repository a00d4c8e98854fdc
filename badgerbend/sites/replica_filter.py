"""Selects the servers of a shard to which a part may be sent, by their sites.

A part normally goes to the broker's own site. It goes elsewhere if its shard has no healthy replica there or the site
is ejected. A fraction of the parts also goes elsewhere while the own site is too busy or too slow for all of its
traffic, or recovers from an outage. A part that spills over takes a token from the limit of its target site; near sites
come before far ones. If no limit has a token left, the part stays at the own site if that is active, since other sites
are only preferred; otherwise it waits.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple, assert_never

from badgerbend.sites.availability import SiteState
from badgerbend.sites.inventory import NO_SITE
from badgerbend.sites.own_site_load import OwnSiteLoad
from badgerbend.sites.policy import LocalityTier
from badgerbend.sites.site import Site, SiteTable

TRIAL_PRECEDENCE = LocalityTier.OWN  # a site on trial comes before all sites except the own one


class _Candidate(NamedTuple):
    """A site to which a part may spill over, ordered by preference: by tier, then by the most tokens."""

    precedence: int
    negative_tokens: float
    site_index: int


class ReplicaFilter:
    """Filters servers by site, and charges each attempt to the rate limit under which it was allowed."""

    def __init__(self, table: SiteTable, own_load: OwnSiteLoad, rng: random.Random) -> None:
        self.table = table
        self.own_load = own_load
        self.rng = rng
        self._charged_site: Site | None = None  # the site whose limit the last selected part is charged to

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        """The servers of a shard to which a part may be sent now; if empty, the part must wait.

        safe: whether the part may be lost, or executed twice, without harm. The next `attempt_sent` is charged to the
        limit that was used here last.
        """
        self._charged_site = None
        own = self.table.own
        nodes_by_site = self._group_by_site(nodes)
        own_nodes = nodes_by_site.get(own.index, [])
        if own_nodes and self._stays_at_own_site(shard, safe):
            return own_nodes
        target = self._spill_target(nodes_by_site, shard, safe)
        if target is not None:
            self._charged_site = target if self._is_spill(shard) else None
            return nodes_by_site[target.index]
        if own_nodes and own.state is SiteState.ACTIVE:
            return own_nodes
        return nodes_by_site.get(NO_SITE, [])

    def attempt_sent(self, part: int, attempt: int, node: int) -> None:
        """Records that an attempt was sent to a server."""
        site = self.table.site_of(node)
        if site is None:
            return
        charged_site = self._charged_site
        self._charged_site = None
        now_ms = self.table.now_ms
        site.health.record_sent(now_ms, (part, attempt), node)
        if charged_site is site:
            site.bucket.take(now_ms)
            if not site.is_own:
                site.spilled.add(now_ms, 1.0)

    def _group_by_site(self, nodes: Sequence[int]) -> dict[int, list[int]]:
        nodes_by_site: dict[int, list[int]] = {}
        for node in nodes:
            nodes_by_site.setdefault(self.table.inventory.site_of(node), []).append(node)
        return nodes_by_site

    def _is_spill(self, shard: int) -> bool:
        """Whether a part at another site counts as spill-over: only if the own site has replicas of its shard."""
        return self.table.has_replicas(self.table.own, shard)

    def _stays_at_own_site(self, shard: int, safe: bool) -> bool:
        """Whether a part whose shard has replicas at the own site goes there."""
        own = self.table.own
        retained_share = own.drain.retained_share
        if retained_share < 1.0 and self.rng.random() >= retained_share:
            return False
        match own.state:
            case SiteState.ACTIVE:
                return self.rng.random() < self.own_load.retained_share(shard)
            case SiteState.EJECTED:
                return False
            case SiteState.TRIAL | SiteState.RECOVERING:
                may_try = safe or own.state is SiteState.RECOVERING
                if own.bucket.available(self.table.now_ms) < 1.0 or not may_try:
                    return False
                self._charged_site = own
                return True
            case _ as never:
                assert_never(never)

    def _spill_target(self, nodes_by_site: dict[int, list[int]], shard: int, safe: bool) -> Site | None:
        """The preferred other site: one on trial, then by tier, then by most tokens. Spill-over needs a token."""
        is_spill = self._is_spill(shard)
        candidates: list[_Candidate] = []
        for site in self.table.others:
            if site.index not in nodes_by_site:
                continue
            tokens = site.bucket.available(self.table.now_ms)
            if site.state is SiteState.TRIAL:
                if tokens >= 1.0 and safe:
                    candidates.append(_Candidate(TRIAL_PRECEDENCE, -tokens, site.index))
            elif site.accepts_work and (tokens >= 1.0 or not is_spill):
                candidates.append(_Candidate(site.tier, -tokens, site.index))
        return self.table.sites[min(candidates).site_index] if candidates else None
