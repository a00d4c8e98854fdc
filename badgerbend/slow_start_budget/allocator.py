"""The allocator's side of the slow-start budget: it grants other brokers the rate that a broker leaves unused."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgerbend.leases.messages import BudgetDemand, BudgetGrant, BudgetReply, BudgetRequest
from badgerbend.slow_start_budget.fair_share import RateDemand, fair_rate
from badgerbend.slow_start_budget.resources import ResourceKey
from badgerbend.slow_start_budget.timing import BudgetTiming


@dataclass(frozen=True, slots=True)
class IssuedGrant:
    """A granted rate in parts per millisecond, and when it was granted by the allocator's clock."""

    rate: float
    issued_ms: float


@dataclass(slots=True)
class BrokerAllocation(RateDemand):
    """The allocator's state for one broker and one resource. grants: by the number of the broker's request."""

    acknowledged_request: int = 0
    last_request: int = 0
    last_request_ms: float = -math.inf
    grants: dict[int, IssuedGrant] = field(default_factory=dict)

    def update(self, now_ms: float, request_number: int, demand: BudgetDemand) -> None:
        """Updates the demand from a new request, and drops the grants that the acknowledged one has superseded."""
        self.own_rate = demand.own_rate
        self.demand_rate = demand.demand_rate
        self.acknowledged_request = demand.acknowledged_request
        self.last_request = request_number
        self.last_request_ms = now_ms
        if demand.acknowledged_request in self.grants:
            self.grants = {
                number: grant for number, grant in self.grants.items() if number >= demand.acknowledged_request
            }


class BudgetAllocator:
    """The allocations of all brokers, by resource. Times are in milliseconds of the allocator's own clock."""

    def __init__(self, name: str, duty: str, timing: BudgetTiming) -> None:
        self.name = name
        self.duty = duty
        self.timing = timing
        self.allocations: dict[ResourceKey, dict[str, BrokerAllocation]] = {}
        self.leader_since_ms = math.inf  # when this broker began to allocate; infinite while it does not
        self.last_sweep_ms = -math.inf
        self.grants_issued = 0

    def start(self, now_ms: float) -> None:
        """Starts allocating, without knowledge of the grants of the previous allocator."""
        self.allocations = {}
        self.leader_since_ms = now_ms

    def stop(self) -> None:
        """Stops allocating, when this broker loses the lease."""
        self.allocations = {}
        self.leader_since_ms = math.inf

    def handle_request(self, now_ms: float, epoch: int, request: BudgetRequest) -> BudgetReply | None:
        """Returns the reply to a broker's request, to be sent at once, or None if nothing is granted.

        Nothing is granted while grants of the previous allocator may still be in force.
        """
        self._sweep(now_ms)
        grants = list[BudgetGrant]()
        for demand in request.demands:
            key = ResourceKey(demand.resource, demand.started_ms)
            initial = BrokerAllocation(demand.own_rate, demand.demand_rate)
            allocation = self.allocations.setdefault(key, {}).setdefault(request.source, initial)
            if request.seq <= allocation.last_request:
                continue  # duplicated or reordered: a second grant for it might be in force along with the first
            allocation.update(now_ms, request.seq, demand)
            if now_ms >= self.leader_since_ms + self.timing.allocator_grant_ms:
                grants.append(self._grant(now_ms, key, request))
        self.grants_issued += len(grants)
        if not grants:
            return None
        return BudgetReply(self.name, self.duty, epoch, request.seq, tuple(grants))

    def max_usable_rate(self, now_ms: float, allocation: BrokerAllocation) -> float:
        """Returns the highest rate that a broker may use at any time during a grant that is issued now."""
        live_rate = self._max_live_rate(now_ms, allocation)
        acknowledged = allocation.grants.get(allocation.acknowledged_request)
        if acknowledged is None or not self._is_capped(now_ms, acknowledged):
            return max(live_rate, allocation.own_rate)
        # The broker may have applied any grant since the acknowledged one.
        capped_rate = max(
            grant.rate for number, grant in allocation.grants.items() if number >= allocation.acknowledged_request
        )
        return max(live_rate, min(capped_rate, allocation.own_rate))

    def _max_live_rate(self, now_ms: float, allocation: BrokerAllocation) -> float:
        """Returns the largest of the grants that may be in force at a broker."""
        oldest_ms = self.timing.allocator_grant_ms
        rates = [grant.rate for grant in allocation.grants.values() if now_ms < grant.issued_ms + oldest_ms]
        return max(rates, default=0.0)

    def _is_capped(self, now_ms: float, acknowledged: IssuedGrant) -> bool:
        """Returns whether the broker stays capped for the duration of a grant that is issued now.

        A capped broker does not exceed its last grant, even if that has expired.
        """
        grant_end_ms = now_ms + self.timing.allocator_grant_ms
        return grant_end_ms <= acknowledged.issued_ms + self.timing.allocator_cap_ms

    def _grant(self, now_ms: float, key: ResourceKey, request: BudgetRequest) -> BudgetGrant:
        """Grants a broker its fair rate, limited to what the other brokers leave free now."""
        allocations = self.allocations[key]
        free_rate = sum(allocation.own_rate for allocation in allocations.values())
        free_rate -= sum(
            self.max_usable_rate(now_ms, allocation)
            for broker, allocation in allocations.items()
            if broker != request.source
        )
        rate = max(min(fair_rate(allocations, request.source), free_rate), 0.0)
        allocations[request.source].grants[request.seq] = IssuedGrant(rate, now_ms)
        return BudgetGrant(key.name, key.started_ms, rate)

    def _sweep(self, now_ms: float) -> None:
        """Drops expired grants, and brokers that no longer send requests and have returned to their own rates."""
        if now_ms < self.last_sweep_ms + self.timing.grant_ms:
            return
        self.last_sweep_ms = now_ms
        for key, allocations in list(self.allocations.items()):
            for broker, allocation in list(allocations.items()):
                self._drop_ended_grants(now_ms, allocation)
                silent = now_ms > allocation.last_request_ms + self.timing.allocator_cap_ms
                if silent and not allocation.grants:
                    del allocations[broker]
            if not allocations:
                del self.allocations[key]

    def _drop_ended_grants(self, now_ms: float, allocation: BrokerAllocation) -> None:
        cap_ms = self.timing.allocator_cap_ms
        allocation.grants = {
            number: grant for number, grant in allocation.grants.items() if now_ms < grant.issued_ms + cap_ms
        }
