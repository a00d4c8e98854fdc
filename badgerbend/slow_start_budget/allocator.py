"""The allocator's side of the slow-start budget: it grants rate that one broker leaves unused to others. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from badgerbend.leases.messages import BudgetDemand, BudgetGrant, BudgetReply, BudgetRequest
from badgerbend.slow_start_budget.fair_share import RateDemand, fair_rate
from badgerbend.slow_start_budget.resources import ResourceKey
from badgerbend.slow_start_budget.timing import BudgetTiming


@dataclass(frozen=True, slots=True)
class IssuedGrant:
    """A rate in parts a millisecond, and when it was granted, by the allocator's clock."""

    rate: float
    issued_ms: float


@dataclass(slots=True)
class BrokerAllocation(RateDemand):
    """What the allocator knows of one broker and one resource. grants: by the number of the broker's request."""

    acknowledged_request: int = 0
    last_request: int = 0
    last_request_ms: float = -math.inf
    grants: dict[int, IssuedGrant] = field(default_factory=dict)

    def update(self, now_ms: float, request_number: int, demand: BudgetDemand) -> None:
        """Takes what a new request reports; grants before the acknowledged one are no longer in force."""
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
    """The allocations of all brokers, by resource. Times are milliseconds of the allocator's own clock."""

    def __init__(self, name: str, duty: str, timing: BudgetTiming) -> None:
        self.name = name
        self.duty = duty
        self.timing = timing
        self.allocations: dict[ResourceKey, dict[str, BrokerAllocation]] = {}
        self.leader_since_ms = math.inf
        self.last_sweep_ms = -math.inf
        self.grants_issued = 0

    def start(self, now_ms: float) -> None:
        """This broker became the leader: what its predecessor granted is not known."""
        self.allocations = {}
        self.leader_since_ms = now_ms

    def stop(self) -> None:
        """This broker is no longer the leader."""
        self.allocations = {}
        self.leader_since_ms = math.inf

    def handle_request(self, now_ms: float, epoch: int, request: BudgetRequest) -> BudgetReply | None:
        """The reply to a broker's request, to be sent at once; None while grants of a predecessor may be in force."""
        self._sweep(now_ms)
        grants = list[BudgetGrant]()
        for demand in request.demands:
            key = ResourceKey(demand.resource, demand.started_ms)
            initial = BrokerAllocation(demand.own_rate, demand.demand_rate)
            allocation = self.allocations.setdefault(key, {}).setdefault(request.source, initial)
            if request.seq <= allocation.last_request:
                continue  # a duplicate or overtaken: a second grant for it might be in force beside the first
            allocation.update(now_ms, request.seq, demand)
            if now_ms >= self.leader_since_ms + self.timing.allocator_grant_ms:
                grants.append(self._grant(now_ms, key, request))
        self.grants_issued += len(grants)
        if not grants:
            return None
        return BudgetReply(self.name, self.duty, epoch, request.seq, tuple(grants))

    def max_usable_rate(self, now_ms: float, allocation: BrokerAllocation) -> float:
        """The most that a broker may use at any time while a grant issued now lasts."""
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
        """The largest of the grants that may be in force at a broker."""
        oldest_ms = self.timing.allocator_grant_ms
        rates = [grant.rate for grant in allocation.grants.values() if now_ms < grant.issued_ms + oldest_ms]
        return max(rates, default=0.0)

    def _is_capped(self, now_ms: float, acknowledged: IssuedGrant) -> bool:
        """Whether the broker stays below its own rate for as long as a grant issued now lasts."""
        grant_end_ms = now_ms + self.timing.allocator_grant_ms
        return grant_end_ms <= acknowledged.issued_ms + self.timing.allocator_cap_ms

    def _grant(self, now_ms: float, key: ResourceKey, request: BudgetRequest) -> BudgetGrant:
        """Grants a broker its fair rate, as far as the others leave it now."""
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
        """Forgets grants that are over, and brokers that request no more: they are back at their own rates."""
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
