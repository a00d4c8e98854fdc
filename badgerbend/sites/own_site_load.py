"""How much of its traffic the own site keeps while it is active: by its utilization, its latency and its replicas."""

from __future__ import annotations

from badgerbend.sites.availability import SiteState
from badgerbend.sites.site import SiteTable

SERVES_ALL_THRESHOLD = 0.95  # a servable share above this counts as all of the traffic
FULL_UTILIZATION = 0.97  # beyond this, the own site gets only what it can serve, even if no other site has capacity
SATURATED_UTILIZATION = 0.98  # beyond this, utilization does not show the overload; settings bound the share
# Fraction of the way to the fitting share that each update covers. Shares must change more slowly than the measured
# utilization, or they oscillate.
DAMPING = 0.05
OVERLOAD_DAMPING = 4 * DAMPING  # for decreases of the servable share, so that load is shed soon
MIN_RETAINED_SHARE = 0.05  # what the own site always keeps; without traffic nothing would show that it has recovered
SLOW_FACTOR = 3.0  # with more than this multiple of another site's latency, the own site gives up traffic in proportion
TYPICAL_UTILIZATION_WEIGHT = 0.01  # weight of an update in the moving average of the utilization
FULL_CAPACITY_THRESHOLD = 0.9  # the typical utilization is updated only with this fraction of the full capacity or more
MIN_REPRESENTATIVE_SHARE = 0.5  # and only while the site keeps more than this share of the traffic


class OwnSiteLoad:
    """The shares of its traffic that the own site keeps, 0 to 1."""

    def __init__(self, table: SiteTable) -> None:
        self.table = table
        self.utilization_share = 1.0  # limit by its utilization
        self.latency_share = 1.0  # limit by its latency relative to that of other sites
        self.servable_share = 1.0  # the share that it can serve of the traffic that no other site accepts
        self.typical_utilization: float | None = None  # with all of its servers and all of its traffic

    @property
    def serves_all(self) -> bool:
        """Whether the own site can serve all of its traffic, so that no query has to be rejected."""
        return self.table.own.state is SiteState.ACTIVE and self.servable_share > SERVES_ALL_THRESHOLD

    def retained_share(self, shard: int) -> float:
        """The share of a shard's parts that stay at the own site while it is active."""
        observed = 1.0 - self.table.policy.observation_share
        return min(self.utilization_share, self.latency_share, self._replica_share(shard), observed)

    def _replica_share(self, shard: int) -> float:
        """The share of a shard's normal traffic that its healthy replicas can serve within the target utilization."""
        healthy = self.table.healthy_fraction(self.table.own, shard)
        if not self.typical_utilization:
            return healthy
        return min(1.0, healthy * self.table.policy.target_utilization / self.typical_utilization)

    def update(self) -> None:
        """Adjusts the shares by a small step, or resets them while the site is not active: it recovers by its ramp."""
        utilization = self.table.own.health.utilization(self.table.now_ms)
        if utilization:
            self._update_utilization_share(utilization)
            self._update_typical_utilization(utilization)
            self._update_servable_share(utilization)
        self._update_latency_share()
        if self.table.own.state is not SiteState.ACTIVE:
            self.utilization_share = 1.0
            self.latency_share = 1.0
            self.servable_share = 1.0

    def _update_utilization_share(self, utilization: float) -> None:
        target = self.table.policy.target_utilization
        fitting = min(1.0, max(self.utilization_share * target / utilization, MIN_RETAINED_SHARE))
        self.utilization_share += (fitting - self.utilization_share) * DAMPING

    def _update_latency_share(self) -> None:
        others = [
            s.health.typical_latency_ms for s in self.table.others if s.accepts_work and s.health.typical_latency_ms
        ]
        latency_ms = self.table.own.health.mean_latency_ms(self.table.now_ms)
        if others and latency_ms:
            fitting = min(1.0, max(SLOW_FACTOR * min(others) / latency_ms, MIN_RETAINED_SHARE))
            self.latency_share += (fitting - self.latency_share) * DAMPING

    def _update_servable_share(self, utilization: float) -> None:
        own = self.table.own
        servable = min(1.0, max(self.servable_share * FULL_UTILIZATION / utilization, MIN_RETAINED_SHARE))
        demand = self.table.demand.rate(self.table.now_ms)
        if utilization > SATURATED_UTILIZATION and demand:
            bound = FULL_UTILIZATION * own.capacity / own.local_brokers / demand
            servable = min(servable, max(bound, MIN_RETAINED_SHARE))
        damping = DAMPING if servable > self.servable_share else OVERLOAD_DAMPING
        self.servable_share += (servable - self.servable_share) * damping

    def _update_typical_utilization(self, utilization: float) -> None:
        table = self.table
        own = table.own
        sent = sum(site.health.sent.rate(table.now_ms) for site in table.sites)
        own_fraction = own.health.sent.rate(table.now_ms) / sent if sent else 1.0
        has_full_capacity = own.full_capacity and own.capacity >= FULL_CAPACITY_THRESHOLD * own.full_capacity
        if own.state is not SiteState.ACTIVE or not has_full_capacity or own_fraction <= MIN_REPRESENTATIVE_SHARE:
            return
        typical = utilization * own.capacity / own.full_capacity / own_fraction
        if self.typical_utilization is None:
            self.typical_utilization = typical
        else:
            self.typical_utilization += (typical - self.typical_utilization) * TYPICAL_UTILIZATION_WEIGHT
