"""How much of its work a broker's own site keeps while it is used: by its utilization, its latency and its replicas."""

from __future__ import annotations

from badgerbend.sites.availability import SiteState
from badgerbend.sites.site import SiteTable

NEARLY_ALL = 0.95  # a servable share above this counts as all of the work
FULL_UTILIZATION = 0.97  # an own site used beyond this gets no more than it can serve, if no other has capacity
SATURATED_UTILIZATION = 0.98  # beyond this the utilization does not tell the overload: settings bound the work
DAMPING = 0.05  # of the way to the share that would fit, each update: slower than utilization is read, or it oscillates
OVERLOAD_DAMPING = 4 * DAMPING  # on the way down, to shed load soon
MIN_RETAINED_SHARE = 0.05  # what an own site keeps in any case, or nothing would show that it has recovered
SLOW_FACTOR = 3.0  # an own site with more than this multiple of another's latency gives up work in proportion
USUAL_UTILIZATION_WEIGHT = 0.01  # weight of an update in the usual utilization
COMPLETE_CAPACITY = 0.9  # with this fraction of its full capacity a site shows its usual utilization
MIN_REPRESENTATIVE_SHARE = 0.5  # and while it keeps more than this of the work


class OwnSiteLoad:
    """The shares, 0 to 1, of its work that the own site keeps."""

    def __init__(self, table: SiteTable) -> None:
        self.table = table
        self.utilization_share = 1.0  # by its utilization
        self.latency_share = 1.0  # by its latency, beside that of other sites
        self.servable_share = 1.0  # what it can serve at all of the work that no other site takes
        self.usual_utilization: float | None = None  # with all its servers and all its work

    @property
    def serves_all(self) -> bool:
        """Whether the own site can serve all work, so that nothing need be rejected."""
        return self.table.own.state is SiteState.ACTIVE and self.servable_share > NEARLY_ALL

    def retained_share(self, shard: int) -> float:
        """The share of a shard's parts that stay, while the site is active."""
        observed = 1.0 - self.table.policy.observation_share
        return min(self.utilization_share, self.latency_share, self._replica_share(shard), observed)

    def _replica_share(self, shard: int) -> float:
        """What the healthy replicas of a shard can carry of its usual work, up to the target utilization."""
        healthy = self.table.healthy_fraction(self.table.own, shard)
        if not self.usual_utilization:
            return healthy
        return min(1.0, healthy * self.table.policy.target_utilization / self.usual_utilization)

    def update(self) -> None:
        """Moves the shares a small step; they begin anew after an outage, from which a site recovers by its ramp."""
        utilization = self.table.own.health.utilization(self.table.now_ms)
        if utilization:
            self._update_utilization_share(utilization)
            self._update_usual_utilization(utilization)
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
        others = [s.health.usual_latency_ms for s in self.table.others if s.accepts_work and s.health.usual_latency_ms]
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

    def _update_usual_utilization(self, utilization: float) -> None:
        table = self.table
        own = table.own
        sent = sum(site.health.sent.rate(table.now_ms) for site in table.sites)
        own_fraction = own.health.sent.rate(table.now_ms) / sent if sent else 1.0
        complete = own.full_capacity and own.capacity >= COMPLETE_CAPACITY * own.full_capacity
        if own.state is not SiteState.ACTIVE or not complete or own_fraction <= MIN_REPRESENTATIVE_SHARE:
            return
        usual = utilization * own.capacity / own.full_capacity / own_fraction
        if self.usual_utilization is None:
            self.usual_utilization = usual
        else:
            self.usual_utilization += (usual - self.usual_utilization) * USUAL_UTILIZATION_WEIGHT
