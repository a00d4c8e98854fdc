"""A simulation of what sharing the slow-start budget gains when a site recovers or all servers restart at once."""

from collections import defaultdict

from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.slow_start_budget.resources import ResourceKey
from badgerbend.slow_start_budget.timing import BudgetTiming
from tests.simsites import SERVER_RATE, World

TIMING = BudgetTiming(1000.0, 0.01)
OVERLOAD_FACTOR = 2.0
SLOW_START_FROM = 0.25  # fraction of its normal load that a server can take right after its start
SLOW_START_MS = 5000.0
OVERLOAD_WINDOW_MS = 1000.0  # a server fails after an overload of this duration
LATENCY_MS = 2.0  # of a message between brokers


class SlowStartWorld(World):
    """shares_budget: whether brokers share the budget. `set_allocating(False)` leaves them without an allocator."""

    settings = {"overload_factor": OVERLOAD_FACTOR, "slow_start_from": SLOW_START_FROM}  # noqa: RUF012

    def __init__(self, seed, shares_budget=True, brokers=(12, 4), servers=16, **changes):
        self.budgets = {}
        self.shares_budget = shares_budget
        self.arrivals = defaultdict(list)
        super().__init__(seed=seed, brokers=brokers, servers=servers, **changes)
        self.allocator = BudgetAllocator("allocator", "cold", TIMING)
        self.allocator.start(self.now)
        self.allocating = True
        for i in self.budgets:
            self.at(self.now + self.rng.uniform(0, 250), lambda i=i: self.send_requests(i))

    def slow_start_budget(self, index, seed):
        if not self.shares_budget:
            return None
        self.budgets[index] = BrokerBudget(f"b{index}", "cold", TIMING, 1)
        return self.budgets[index]

    def set_allocating(self, allocating):
        self.allocating = allocating
        if allocating:
            self.allocator.start(self.now)

    def send_requests(self, i):
        self.at(self.now + self.rng.uniform(200, 300), lambda: self.send_requests(i))
        budget = self.budgets[i]
        budget.update_warming_servers(
            self.now,
            {
                s.node: ResourceKey(str(s.node), s.started)
                for s in self.servers.values()
                if s.up and s.started and self.now - s.started < SLOW_START_MS
            },
        )
        for request in budget.create_requests(self.now):
            self.at(self.now + LATENCY_MS, lambda request=request: self.receive_request(i, request))

    def receive_request(self, i, request):
        reply = self.allocator.handle_request(self.now, 1, request) if self.allocating else None
        if reply is not None:
            self.at(self.now + LATENCY_MS, lambda: self.budgets[i].apply_reply(self.now, reply))

    def count(self, broker, server):
        super().count(broker, server)
        self.arrivals[server.node].append(self.now)

    def peak(self, since, until):
        """Returns the largest load of a server that is warming up, over any overload window, relative to its limit."""
        peak = 0.0
        for server in self.servers.values():
            times = [t for t in self.arrivals[server.node] if since <= t <= until]
            first = 0
            for n, t in enumerate(times):
                while times[first] < t - OVERLOAD_WINDOW_MS:
                    first += 1
                warmth = min(1.0, SLOW_START_FROM + (1 - SLOW_START_FROM) * (t - server.started) / SLOW_START_MS)
                if warmth < 1.0:
                    peak = max(peak, (n - first + 1) / (OVERLOAD_FACTOR * warmth * SERVER_RATE * OVERLOAD_WINDOW_MS))
        return peak


def summarize_queries(world, since):
    """Summarizes the queries of the first site's brokers.

    The keys are the number of queries, the fraction that was answered, the mean time in ms, the peak load of a server
    that was warming up, and the number of parts that went to the site's own servers.
    """
    ends = [(outcome, ms) for t, broker, _, outcome, ms in world.ends if t >= since and world.brokers[broker].home == 0]
    answered_ms = [ms for outcome, ms in ends if outcome in ("whole", "part")]
    parts_at_home = sum(1 for node, times in world.arrivals.items() if node < 100 for t in times if t >= since)
    return {
        "asked": len(ends),
        "answered": len(answered_ms) / max(len(ends), 1),
        "ms": sum(answered_ms) / max(len(answered_ms), 1),
        "peak": world.peak(since, since + SLOW_START_MS),
        "at home": parts_at_home,
    }


def return_of_a_site(seed, shares_budget, has_allocator=True, skew=3.0):
    """Simulates a site that fails and returns, where a few of its brokers have most of its clients."""
    world = SlowStartWorld(seed, shares_budget)
    world.set_allocating(has_allocator)
    world.add_load(0, 140.0, weights=[1.0 / (1 + i) ** skew for i in range(12)])
    world.add_load(1, 40.0)
    world.run(12_000)
    world.crash_site(0)
    world.run(6_000)
    world.restart_site(0)
    returned_at = world.now
    world.run(8_000)
    return summarize_queries(world, returned_at)


def release_and_shift(seed, shares_budget, has_allocator=True):
    """Simulates a restart of all servers at once, when the clients of most brokers also move to a few others."""
    world = SlowStartWorld(seed, shares_budget, brokers=(12, 1))
    world.set_allocating(has_allocator)
    weights = [1.0] * 10 + [0.2] * 2
    world.add_load(0, 110.0, weights=weights)
    world.run(12_000)
    weights[:] = [0.1] * 10 + [4.0] * 2
    for server in world.site_servers(0):
        server.crash()
        server.restart()
    world.publish_endpoints()
    since = world.now
    world.run(8_000)
    return summarize_queries(world, since)
