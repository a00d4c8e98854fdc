"""The state that one broker keeps of each site, with queries that several decisions share."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from badgerbend.sites.availability import SiteAvailability, SiteState
from badgerbend.sites.decaying import DecayingSum
from badgerbend.sites.drain import SiteDrain
from badgerbend.sites.health import LOAD_HALF_LIFE_MS, SiteHealth
from badgerbend.sites.inventory import NO_SITE, SiteInventory
from badgerbend.sites.policy import LocalityTier, SitePolicy
from badgerbend.sites.token_bucket import TokenBucket

SITE_SEED_FACTOR = 31  # so that each site of a broker has its own sequence of random numbers


@dataclass(slots=True)
class Site:
    """One site, with the limits on what this broker may send there."""

    index: int  # in the sites of the policy
    name: str
    tier: LocalityTier
    local_brokers: int  # the number of brokers at this site
    availability: SiteAvailability
    drain: SiteDrain
    health: SiteHealth = field(default_factory=SiteHealth)
    bucket: TokenBucket = field(default_factory=TokenBucket)
    spilled: DecayingSum = field(default_factory=lambda: DecayingSum(LOAD_HALF_LIFE_MS))  # parts charged to the limit
    capacity: float = 0.0  # parts per millisecond that it could serve at the last update
    full_capacity: float = 0.0  # the same with all of its servers ready and warm
    successes: float = 0.0  # total so far
    preconnected: set[int] = field(default_factory=set)  # servers to which a connection was opened in advance

    @property
    def is_own(self) -> bool:
        """Whether the broker is at this site."""
        return self.tier is LocalityTier.OWN

    @property
    def state(self) -> SiteState:
        """Whether the site is active, ejected, on trial or recovering."""
        return self.availability.state

    @property
    def accepts_work(self) -> bool:
        """Whether normal traffic may go there, at any share."""
        drained = self.drain.drained and not self.is_own  # a drained own site still serves what fits nowhere else
        return self.state in (SiteState.ACTIVE, SiteState.RECOVERING) and not drained


class SiteTable:
    """All sites as one broker observes them. `now_ms` is the time of the last event."""

    def __init__(self, policy: SitePolicy, seed: int) -> None:
        self.policy = policy
        self.inventory = SiteInventory(policy)
        self.sites = [_new_site(policy, index, seed * SITE_SEED_FACTOR + index) for index in range(len(policy.sites))]
        self.own = next(site for site in self.sites if site.is_own)
        self.others = sorted((site for site in self.sites if not site.is_own), key=lambda site: site.tier)
        self.demand = DecayingSum(LOAD_HALF_LIFE_MS)  # parts that queries need, without surplus parts
        self.now_ms = 0.0
        self.list_updated_ms: float | None = None  # when an endpoint list update last contained servers
        self._healthy_fractions: dict[tuple[int, int], float] = {}  # by site and cell, until the next update

    def site_of(self, node: int) -> Site | None:
        """The site of a server; None if its zone belongs to no site or the server is unknown."""
        index = self.inventory.site_of(node)
        return self.sites[index] if index != NO_SITE else None

    def find(self, name: str) -> Site | None:
        """The site with a name, or None."""
        return next((site for site in self.sites if site.name == name), None)

    def update_capacity(self) -> None:
        """Recomputes all capacities from the inventory and the health of servers."""
        self._healthy_fractions.clear()
        for site in self.sites:
            capacity = self.inventory.capacity(self.now_ms, site.index, site.health.failing_servers)
            site.capacity = capacity.available
            site.full_capacity = capacity.full

    def healthy_fraction(self, site: Site, shard: int) -> float:
        """The fraction of a shard's replicas at a site that are ready and not failing."""
        key = (site.index, shard % self.policy.cell_count)
        if key not in self._healthy_fractions:
            fraction = self.inventory.healthy_fraction(site.index, shard, site.health.failing_servers)
            self._healthy_fractions[key] = fraction
        return self._healthy_fractions[key]

    def has_replicas(self, site: Site, shard: int) -> bool:
        """Whether a shard has replicas at a site, ready or not."""
        return any(True for _ in self.inventory.replicas(site.index, shard))

    def accepts(self, site: Site, shard: int) -> bool:
        """Whether a part of this shard may be sent to a site now."""
        if site.state is SiteState.TRIAL:
            return site.bucket.available(self.now_ms) >= 1.0 and self._has_ready_replica(site, shard)
        return site.accepts_work and self._has_ready_replica(site, shard)

    def _has_ready_replica(self, site: Site, shard: int) -> bool:
        return any(server.ready for server in self.inventory.replicas(site.index, shard))

    def rank(self, shard: int) -> int:
        """The proximity of the nearest site that accepts a part of this shard: greater is nearer, 0 means none."""
        ranks = (LocalityTier.FAR + 1 - site.tier for site in self.sites if self.accepts(site, shard))
        return max(ranks, default=0)


def _new_site(policy: SitePolicy, index: int, seed: int) -> Site:
    spec = policy.sites[index]
    rng = random.Random(seed)
    return Site(index, spec.name, spec.tier, spec.brokers, SiteAvailability(policy, rng), SiteDrain(policy, rng))
