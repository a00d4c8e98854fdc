"""A broker's side of the slow-start budget: it reports its demand and determines which rates it may use."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from badgerbend.leases.messages import MAX_SERVERS, BudgetDemand, BudgetReply, BudgetRequest
from badgerbend.slow_start_budget.resources import ResourceKey
from badgerbend.slow_start_budget.timing import BudgetTiming

MAX_REQUESTS = 8  # sent at once, each in one datagram: the 128 resources whose demand differs most from the own rate
# 1,048,576 numbers for each incarnation. Four requests a second use 345,600 a day; that is the rate with the default
# grant of one second and one datagram at a time. After the last number follow those of the next incarnation.
REQUEST_NUMBER_BITS = 20
MAX_COUNTED_PARTS = 4096  # per server between two requests; further parts do not count as demand
MIN_RATE_MULTIPLIER = 1e-6  # smaller multipliers, by which demand is divided, count as this


@dataclass(slots=True)
class ResourceBudget:
    """One broker's state of a resource: a server that is warming up, or a site that recovers.

    Rates are in parts per millisecond; those of a server are converted to the rates of a server that is fully warm.
    Times are in milliseconds of the broker's clock. The demand for a server is counted in parts since the last request;
    the demand for a site is a rate. own_rate: the rate that the broker uses without a grant.
    """

    key: ResourceKey
    own_rate: float = 0.0
    demand_parts: float = 0.0
    demand_rate: float = 0.0
    demand_since_ms: float = 0.0
    counted_parts: set[int] = field(default_factory=set)
    granted_rate: float = 0.0
    granted_until_ms: float = -math.inf
    capped_until_ms: float = -math.inf  # until then the rate does not exceed the last grant, even if that has expired
    granted_request: int = 0  # the number of the request that the last grant answers

    def acknowledged_request(self, now_ms: float) -> int:
        """Returns the number of the request whose grant still binds the broker; 0 for none."""
        return self.granted_request if now_ms < self.capped_until_ms else 0


class BrokerBudget:
    """One broker's budget: the `api.SlowStartBudget` that its decisions use.

    Times are in milliseconds of the decisions' clock.
    """

    def __init__(self, name: str, duty: str, timing: BudgetTiming, incarnation: int) -> None:
        """incarnation: greater than that of any earlier process of this name, such as the start time in ms."""
        self.name = name
        self.duty = duty
        self.timing = timing
        self.servers: dict[int, ResourceBudget] = {}
        self.sites: dict[str, ResourceBudget] = {}
        self.request_times: dict[int, float] = {}  # by number of the request
        self.grants_applied = 0
        self._last_request = incarnation << REQUEST_NUMBER_BITS  # replies to earlier incarnations match no request

    # -- called by the decisions

    def server_rate(
        self, now_ms: float, node: int, own_rate: float, rate_multiplier: float, part: int, replica_count: int
    ) -> float:
        """See `api.SlowStartBudget`."""
        server = self.servers.get(node)
        if server is None:
            return own_rate
        if part not in server.counted_parts and len(server.counted_parts) < MAX_COUNTED_PARTS:
            server.counted_parts.add(part)
            server.demand_parts += 1.0 / (max(replica_count, 1) * max(rate_multiplier, MIN_RATE_MULTIPLIER))
        return self._usable_rate(server, now_ms, own_rate)

    def recovering_site_rate(self, now_ms: float, name: str, own_rate: float, demand_rate: float) -> float:
        """See `api.SlowStartBudget`."""
        resource_name = f"site {name}"
        site = self.sites.setdefault(resource_name, ResourceBudget(ResourceKey(resource_name, 0.0)))
        site.demand_rate = demand_rate
        return self._usable_rate(site, now_ms, own_rate)

    def _usable_rate(self, resource: ResourceBudget, now_ms: float, own_rate: float) -> float:
        resource.own_rate = own_rate
        if now_ms < resource.granted_until_ms:
            return resource.granted_rate
        if now_ms < resource.capped_until_ms:
            return min(resource.granted_rate, own_rate)
        return own_rate

    # -- requests and replies

    def update_warming_servers(self, now_ms: float, warming: Mapping[int, ResourceKey]) -> None:
        """Sets which servers are warming up, by number. Grants for an earlier start of a server are dropped."""
        for number, key in warming.items():
            server = self.servers.get(number)
            if server is None or server.key != key:
                self.servers[number] = ResourceBudget(key, demand_since_ms=now_ms)
        # A server that is still capped is kept: it may be listed again, and the allocator relies on the cap.
        warmed_up = [n for n, server in self.servers.items() if n not in warming and now_ms >= server.capped_until_ms]
        for number in warmed_up:
            del self.servers[number]

    def create_requests(self, now_ms: float) -> list[BudgetRequest]:
        """Returns the requests to send to the allocator now; none if no server is warming up and no site recovers.

        Resources without demand are reported too, since their unused rate can be granted to other brokers.
        """
        demands = self._server_demands(now_ms) + self._site_demands(now_ms)
        demands.sort(key=lambda demand: (-abs(demand.demand_rate - demand.own_rate), demand.resource))
        requests = list[BudgetRequest]()
        for first in range(0, min(len(demands), MAX_REQUESTS * MAX_SERVERS), MAX_SERVERS):
            self._last_request += 1
            self.request_times[self._last_request] = now_ms
            reported = tuple(demands[first : first + MAX_SERVERS])
            requests.append(BudgetRequest(self.name, self.duty, self._last_request, reported))
        oldest_ms = now_ms - self.timing.grant_ms
        self.request_times = {number: at for number, at in self.request_times.items() if at > oldest_ms}
        return requests

    def apply_reply(self, now_ms: float, reply: BudgetReply) -> None:
        """Applies the grants of a reply. Ignores replies to unknown or expired requests.

        The caller has dropped replies of superseded epochs (fencing).
        """
        requested_ms = self.request_times.get(reply.seq)
        if requested_ms is None:
            return
        granted_until_ms = requested_ms + self.timing.broker_grant_ms
        if now_ms >= granted_until_ms:
            return
        resources = {resource.key: resource for resource in (*self.servers.values(), *self.sites.values())}
        for grant in reply.grants:
            resource = resources.get(ResourceKey(grant.resource, grant.started_ms))
            if resource is None or granted_until_ms < resource.granted_until_ms:
                continue
            resource.granted_rate = grant.rate
            resource.granted_until_ms = granted_until_ms
            resource.granted_request = reply.seq
            resource.capped_until_ms = now_ms + self.timing.broker_cap_ms
            self.grants_applied += 1

    def _server_demands(self, now_ms: float) -> list[BudgetDemand]:
        demands = list[BudgetDemand]()
        for server in self.servers.values():
            rate = server.demand_parts / max(now_ms - server.demand_since_ms, 1.0)
            acknowledged = server.acknowledged_request(now_ms)
            demands.append(BudgetDemand(*server.key, server.own_rate, rate, acknowledged))
            server.demand_parts = 0.0
            server.demand_since_ms = now_ms
            server.counted_parts.clear()
        return demands

    def _site_demands(self, now_ms: float) -> list[BudgetDemand]:
        demands = list[BudgetDemand]()
        for site in list(self.sites.values()):
            if site.own_rate > 0.0:
                acknowledged = site.acknowledged_request(now_ms)
                demands.append(BudgetDemand(*site.key, site.own_rate, site.demand_rate, acknowledged))
                site.own_rate = 0.0  # the decisions set it again for as long as the site recovers
            elif now_ms >= site.capped_until_ms:
                del self.sites[site.key.name]
        return demands
