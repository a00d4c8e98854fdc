"""Which of a shard's servers a part may go to, by the site at which they stand.

A part goes to the broker's own site. It goes elsewhere where its shard has no healthy replica there, where the site is
ejected, and, by a share, where the site is too busy or too slow for all of its work or recovers from an outage. What
spills over takes a token of the limit of its target; near sites come before far ones. Where no limit has a token left,
a part stays at its own site if that is active at all, for it is only preferred elsewhere; otherwise it waits.
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

TRIAL_PRECEDENCE = LocalityTier.OWN  # a site on trial comes before every other site but the own one


class _Candidate(NamedTuple):
    """A site to spill to, in the order of preference: by tier, then by the most tokens."""

    precedence: int
    negative_tokens: float
    site_index: int


class ReplicaFilter:
    """Filters servers by site, and charges what is sent to the limit it was let through by."""

    def __init__(self, table: SiteTable, own_load: OwnSiteLoad, rng: random.Random) -> None:
        self.table = table
        self.own_load = own_load
        self.rng = rng
        self._charged_site: Site | None = None  # whose limit the part placed last takes a token of

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        """Those of a shard's servers that a part may go to now; none: it must wait.

        safe: it may be lost, or run twice, without harm. `attempt_sent` refers to what was returned last.
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
        """An attempt was sent to a server."""
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
        """Whether a shard's work belongs to the own site: one never held there belongs where it is held."""
        return self.table.has_replicas(self.table.own, shard)

    def _stays_at_own_site(self, shard: int, safe: bool) -> bool:
        """Whether a part with replicas at the own site goes there."""
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
        """The site with a token that comes first: one on trial, then by tier, then the one with the most tokens."""
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
