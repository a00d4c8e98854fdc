"""A simulation of allocators and brokers of the slow-start budget.

Messages are lost, delayed, duplicated and reordered, clocks drift up to the bound, and allocators stall, are replaced
and resume. The sum of usable rates is checked at every event.
"""

import random

from badgerbend.leases.fencing import FencingGuard
from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.slow_start_budget.resources import ResourceKey
from badgerbend.slow_start_budget.timing import BudgetTiming
from tests.clock import Clock

TIMING = BudgetTiming(1000.0, 0.05)
DUTY = "cold"
NODE = 7
SERVER = "s7"
START = 12.0
ROUNDING_TOLERANCE = 1e-6


class BudgetExceededError(AssertionError):
    """The usable rates of the brokers sum up to more than their own rates."""


class DriftingClock:
    """A clock in milliseconds that runs `rate` times as fast as real time."""

    def __init__(self, world, rate):
        self.world, self.rate = world, rate

    def __call__(self):
        return self.world.now * self.rate


class World(Clock):
    """One server that is warming up, and brokers that each may become the allocator.

    budget, allocator, fence: the classes to simulate. clock_rate: the deviation of the clocks from real time.
    checks: how often the sum was checked. max_used: the largest sum, as a fraction of the budget. replies: the number
    of replies that allocators sent.
    """

    def __init__(
        self,
        seed,
        brokers=6,
        loss=0.2,
        budget=BrokerBudget,
        allocator=BudgetAllocator,
        fence=FencingGuard,
        clock_rate=TIMING.clock_rate,
    ):
        super().__init__()
        self.rng, self.loss = random.Random(seed), loss
        self.own_rates = [self.rng.choice((0.2, 1.0, 4.0)) for _ in range(brokers)]
        self.demands = [self.rng.choice((0.0, 0.1, 3.0, 20.0)) for _ in range(brokers)]
        self.clocks = [DriftingClock(self, 1.0 + self.rng.choice((-1, 0, 1)) * clock_rate) for _ in range(brokers)]
        self.budgets = [budget(f"b{i}", DUTY, TIMING, seed * 100 + i) for i in range(brokers)]
        self.fences = [fence() for _ in range(brokers)]
        self.allocators = [allocator(f"b{i}", DUTY, TIMING) for i in range(brokers)]
        self.holder, self.epoch = 0, 1
        self.stalled = {}  # by stalled allocator: the old epoch that it uses, and when it resumes
        self.allocators[0].start(self.clocks[0]())
        self.checks = self.max_used = self.replies = 0
        for i in range(brokers):
            self.at(self.now + self.rng.uniform(0, 400), lambda i=i: self.send_requests(i))
        self.at(self.now + self.rng.uniform(1000, 4000), self.change_holder)
        self.at(self.now + 300, self.change_demand)

    def usable_rate(self, i):
        return self.budgets[i].server_rate(self.clocks[i](), NODE, self.own_rates[i], 1.0, 1, 1)

    def check(self):
        self.checks += 1
        budget = sum(self.own_rates)
        total = sum(self.usable_rate(i) for i in range(len(self.own_rates)))
        self.max_used = max(self.max_used, total / budget)
        if total > budget + ROUNDING_TOLERANCE:
            raise BudgetExceededError(f"{total:.3f} of {budget:.3f} at {self.now:.0f} ms")

    def send(self, deliver):
        """Sends a message, which may be lost, delayed or duplicated."""
        for _ in range(self.rng.choice((1, 1, 1, 2))):
            if self.rng.random() >= self.loss:
                delay = self.rng.choice((1, 5, 30, 30, 300, 1500)) * self.rng.random()
                self.at(self.now + delay, deliver)

    def send_requests(self, i):
        now, budget = self.clocks[i](), self.budgets[i]
        self.at(self.now + self.rng.uniform(150, 350), lambda: self.send_requests(i))
        budget.update_warming_servers(now, {NODE: ResourceKey(SERVER, START)})
        self.usable_rate(i)
        server = budget.servers[NODE]
        server.demand_parts = self.demands[i] * (now - server.demand_since_ms)
        for request in budget.create_requests(now):
            self.send(lambda request=request, to=self.holder: self.receive_request(to, i, request))
        self.check()

    def receive_request(self, allocator, i, request):
        """Handles a request. A stalled allocator does so when it resumes, under the epoch that it checked before."""
        if allocator in self.stalled:
            epoch, until = self.stalled[allocator]
            if self.now < until:
                self.at(until, lambda: self.receive_request(allocator, i, request))
                return
        elif allocator == self.holder:
            epoch = self.epoch
        else:
            return
        reply = self.allocators[allocator].handle_request(self.clocks[allocator](), epoch, request)
        if reply is not None:
            self.replies += 1
            self.send(lambda: self.receive_reply(i, reply))
        self.check()

    def receive_reply(self, i, reply):
        if self.fences[i].admits(reply.duty, reply.epoch):
            self.budgets[i].apply_reply(self.clocks[i](), reply)
        self.check()

    def change_holder(self):
        """Gives the lease to another broker. The last holder stops allocating, or stalls while it handles requests."""
        old = self.holder
        self.holder = (old + self.rng.randrange(1, len(self.own_rates))) % len(self.own_rates)
        self.epoch += 1
        self.stalled = {}
        if self.rng.random() < 0.5:
            self.stalled = {old: (self.epoch - 1, self.now + self.rng.uniform(100, 4000))}
        self.allocators[self.holder].start(self.clocks[self.holder]())
        self.at(self.now + self.rng.uniform(2500, 8000), self.change_holder)

    def change_demand(self):
        i = self.rng.randrange(len(self.demands))
        self.demands[i] = self.rng.choice((0.0, 0.1, 3.0, 20.0))
        self.at(self.now + self.rng.uniform(100, 900), self.change_demand)
        self.check()
