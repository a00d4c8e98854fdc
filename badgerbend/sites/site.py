"""What one broker knows of each site, and the questions about sites that several decisions share."""

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

SITE_SEED_FACTOR = 31  # gives each site of a broker random numbers of its own


@dataclass(slots=True)
class Site:
    """One site, and what this broker may send there."""

    index: int  # in the policy's sites
    name: str
    tier: LocalityTier
    local_brokers: int  # brokers that stand there
    availability: SiteAvailability
    drain: SiteDrain
    health: SiteHealth = field(default_factory=SiteHealth)
    bucket: TokenBucket = field(default_factory=TokenBucket)
    spilled: DecayingSum = field(default_factory=lambda: DecayingSum(LOAD_HALF_LIFE_MS))  # parts sent within the limit
    capacity: float = 0.0  # parts a millisecond that it can serve, as of the last update
    full_capacity: float = 0.0  # and could, with all its servers ready and warm
    successes: float = 0.0  # so far
    preconnected: set[int] = field(default_factory=set)  # servers to which a connection was opened in advance

    @property
    def is_own(self) -> bool:
        """Whether the broker stands at this site."""
        return self.tier is LocalityTier.OWN

    @property
    def state(self) -> SiteState:
        """Whether the site is used, ejected, on trial or recovering."""
        return self.availability.state

    @property
    def accepts_work(self) -> bool:
        """Whether usual work may go there, at whatever share."""
        drained = self.drain.drained and not self.is_own  # the own site keeps what fits nowhere else
        return self.state in (SiteState.ACTIVE, SiteState.RECOVERING) and not drained


class SiteTable:
    """All sites as one broker knows them. `now_ms` is the time of the last event."""

    def __init__(self, policy: SitePolicy, seed: int) -> None:
        self.policy = policy
        self.inventory = SiteInventory(policy)
        self.sites = [_new_site(policy, index, seed * SITE_SEED_FACTOR + index) for index in range(len(policy.sites))]
        self.own = next(site for site in self.sites if site.is_own)
        self.others = sorted((site for site in self.sites if not site.is_own), key=lambda site: site.tier)
        self.demand = DecayingSum(LOAD_HALF_LIFE_MS)  # the fewest parts that queries need
        self.now_ms = 0.0
        self.list_updated_ms: float | None = None  # when the endpoint list last named servers
        self._healthy_fractions: dict[tuple[int, int], float] = {}  # by site and cell, until the next update

    def site_of(self, node: int) -> Site | None:
        """The site of a server; None where its zone belongs to no site, or it is not known."""
        index = self.inventory.site_of(node)
        return self.sites[index] if index != NO_SITE else None

    def find(self, name: str) -> Site | None:
        """The site of a name, or None."""
        return next((site for site in self.sites if site.name == name), None)

    def update_capacity(self) -> None:
        """Reads all capacities anew from the inventory and the servers' health."""
        self._healthy_fractions.clear()
        for site in self.sites:
            capacity = self.inventory.capacity(self.now_ms, site.index, site.health.failing_servers)
            site.capacity = capacity.available
            site.full_capacity = capacity.full

    def healthy_fraction(self, site: Site, shard: int) -> float:
        """The fraction of a shard's replicas at a site that can be used."""
        key = (site.index, shard % self.policy.cell_count)
        if key not in self._healthy_fractions:
            fraction = self.inventory.healthy_fraction(site.index, shard, site.health.failing_servers)
            self._healthy_fractions[key] = fraction
        return self._healthy_fractions[key]

    def has_replicas(self, site: Site, shard: int) -> bool:
        """Whether a shard is held at a site, by servers that are ready or not."""
        return any(True for _ in self.inventory.replicas(site.index, shard))

    def accepts(self, site: Site, shard: int) -> bool:
        """Whether a part of this shard may go to a site now."""
        if site.state is SiteState.TRIAL:
            return site.bucket.available(self.now_ms) >= 1.0 and self._has_ready_replica(site, shard)
        return site.accepts_work and self._has_ready_replica(site, shard)

    def _has_ready_replica(self, site: Site, shard: int) -> bool:
        return any(server.ready for server in self.inventory.replicas(site.index, shard))

    def rank(self, shard: int) -> int:
        """How near the nearest site is that accepts a part of this shard: greater is nearer, 0 for none."""
        ranks = (LocalityTier.FAR + 1 - site.tier for site in self.sites if self.accepts(site, shard))
        return max(ranks, default=0)


def _new_site(policy: SitePolicy, index: int, seed: int) -> Site:
    spec = policy.sites[index]
    rng = random.Random(seed)
    return Site(index, spec.name, spec.tier, spec.brokers, SiteAvailability(policy, rng), SiteDrain(policy, rng))
