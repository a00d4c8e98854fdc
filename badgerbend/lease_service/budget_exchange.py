"""One broker's part in sharing the slow-start budget: its requests, and the allocator while it holds the lease.

The budget limits the rates at which the brokers send parts to servers that are warming up and to sites that recover.
The holder of the lease on the slow-start duty runs the allocator, which grants each broker its share. The holder
requests its own share from that allocator like any other broker.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from badgerbend import api
from badgerbend.config.settings import Settings
from badgerbend.discovery.directory import Directory
from badgerbend.leases.messages import BudgetReply, BudgetRequest
from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.slow_start_budget.resources import ResourceKey
from badgerbend.slow_start_budget.timing import BudgetTiming

SLOW_START_DUTY = "cold"  # on the wire; one duty for the whole fleet, since brokers of all sites may send to a server
REQUESTS_PER_GRANT = 4.0  # requests during one grant, so that three of them may be lost


def broker_name(settings: Settings) -> str:
    """Returns a broker's name among the candidates and voters."""
    return f"broker-{settings.identity.index}"


def create_broker_budget(settings: Settings) -> BrokerBudget | None:
    """Creates the budget that a broker's decisions use, or returns None if the settings do not share the budget."""
    duties = settings.duties
    if duties is None or not duties.dealing:
        return None
    timing = BudgetTiming(duties.slice_ms, duties.clock_rate)
    return BrokerBudget(broker_name(settings), SLOW_START_DUTY, timing, incarnation=int(time.time() * 1000))


class BudgetExchange:
    """The budget and the allocator of one broker, independent of the socket."""

    def __init__(
        self, broker_budget: BrokerBudget, directory: Directory, slow_start_ms: float, now_ms: Callable[[], float]
    ) -> None:
        """slow_start_ms: how long a server warms up. now_ms: the decisions' clock, which times the broker's grants."""
        self.broker_budget = broker_budget
        self.directory = directory
        self.slow_start_ms = slow_start_ms
        self.now_ms = now_ms
        self.allocator = BudgetAllocator(broker_budget.name, SLOW_START_DUTY, broker_budget.timing)
        self.epoch = 0  # of the lease under which this broker allocates; 0 if it does not
        self.unanswered_requests = 0  # consecutive rounds of requests since the last reply was applied

    @property
    def request_interval_s(self) -> float:
        """The interval between requests, before jitter."""
        return self.broker_budget.timing.grant_ms / 1000.0 / REQUESTS_PER_GRANT

    def create_requests(self) -> list[BudgetRequest]:
        """Returns the requests to send to the allocator now; none if nothing is warming up."""
        now_ms = self.now_ms()
        self.broker_budget.update_warming_servers(now_ms, self._warming_servers(now_ms))
        requests = self.broker_budget.create_requests(now_ms)
        self.unanswered_requests = self.unanswered_requests + 1 if requests else 0
        return requests

    def _warming_servers(self, now_ms: float) -> dict[int, ResourceKey]:
        return {
            known.number: ResourceKey(name, known.started)
            for name, known in self.directory.servers.items()
            if known.endpoint.state == api.EndpointState.READY
            and known.started_ms
            and now_ms - known.started_ms < self.slow_start_ms
        }

    def handle_request(self, clock_ms: float, epoch: int | None, request: BudgetRequest) -> BudgetReply | None:
        """Returns the reply to a broker's request, or None.

        clock_ms: time of the leases' clock. epoch: of the lease under which this broker may allocate now, or None.
        """
        if request.duty != SLOW_START_DUTY:
            return None
        if epoch is None:
            self.stop_allocating()
            return None
        if epoch != self.epoch:
            self.epoch = epoch
            self.allocator.start(clock_ms)
        return self.allocator.handle_request(clock_ms, epoch, request)

    def stop_allocating(self) -> None:
        """Stops the allocator, since this broker does not hold the lease."""
        if self.epoch:
            self.epoch = 0
            self.allocator.stop()

    def apply_reply(self, reply: BudgetReply) -> None:
        """Applies the grants of a reply that fencing admitted."""
        self.unanswered_requests = 0
        self.broker_budget.apply_reply(self.now_ms(), reply)
