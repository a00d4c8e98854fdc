"""Dealers and brokers of cold allowance in simulated time: words lost, late, doubled and out of order, clocks off by
the stated bound, dealers that stand still, are replaced and wake up. Nobody's word is asked on the sum: it is taken."""

import random

from badgerbend.leases.fencing import FencingGuard
from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.slow_start_budget.timing import BudgetTiming
from tests.clock import Clock

LENGTHS = BudgetTiming(1000.0, 0.05)
DUTY, NODE, SERVER, START = "cold", 7, "s7", 12.0
EPS = 1e-6


class Over(AssertionError):
    """Brokers may send more together than their shares."""


class Drifting:
    def __init__(self, world, rate):
        self.world, self.rate = world, rate

    def __call__(self):
        return self.world.now * self.rate


class World(Clock):
    def __init__(
        self,
        seed,
        brokers=6,
        loss=0.2,
        budget=BrokerBudget,
        allocator=BudgetAllocator,
        fence=FencingGuard,
        rate=LENGTHS.clock_rate,
    ):
        super().__init__()
        self.rng, self.loss = random.Random(seed), loss
        self.own = [self.rng.choice((0.2, 1.0, 4.0)) for _ in range(brokers)]
        self.wants = [self.rng.choice((0.0, 0.1, 3.0, 20.0)) for _ in range(brokers)]
        self.clocks = [Drifting(self, 1.0 + self.rng.choice((-1, 0, 1)) * rate) for _ in range(brokers)]
        self.budgets = [budget(f"b{i}", DUTY, LENGTHS, seed * 100 + i) for i in range(brokers)]
        self.fences = [fence() for _ in range(brokers)]
        self.allocators = [allocator(f"b{i}", DUTY, LENGTHS) for i in range(brokers)]
        self.holder, self.epoch, self.stopped = 0, 1, {}
        self.allocators[0].start(self.clocks[0]())
        self.checks = self.most = self.dealt = 0
        for i in range(brokers):
            self.at(self.now + self.rng.uniform(0, 400), lambda i=i: self.ask(i))
        self.at(self.now + self.rng.uniform(1000, 4000), self.moves)
        self.at(self.now + 300, self.change)

    def may(self, i):
        return self.budgets[i].server_rate(self.clocks[i](), NODE, self.own[i], 1.0, 1, 1)

    def check(self):
        self.checks += 1
        total = sum(self.may(i) for i in range(len(self.own)))
        self.most = max(self.most, total / sum(self.own))
        if total > sum(self.own) + EPS:
            raise Over(f"{total:.3f} of {sum(self.own):.3f} at {self.now:.0f} ms")

    def send(self, what):
        """A word on its way: lost, late, doubled."""
        for _ in range(self.rng.choice((1, 1, 1, 2))):
            if self.rng.random() >= self.loss:
                late = self.rng.choice((1, 5, 30, 30, 300, 1500)) * self.rng.random()
                self.at(self.now + late, what)

    def ask(self, i):
        now, mine = self.clocks[i](), self.budgets[i]
        self.at(self.now + self.rng.uniform(150, 350), lambda: self.ask(i))
        mine.update_cold_servers(now, {NODE: (SERVER, START)})
        self.may(i)
        mine.servers[NODE].demand_parts = self.wants[i] * (now - mine.servers[NODE].demand_since_ms)
        for ask in mine.create_requests(now):
            self.send(lambda ask=ask, to=self.holder: self.asked(to, i, ask))
        self.check()

    def asked(self, dealer, i, ask):
        """A dealer that stood still acts under its old epoch when it goes on: it looked at its lease before."""
        if dealer in self.stopped:
            epoch, until = self.stopped[dealer]
            if self.now < until:
                self.at(until, lambda: self.asked(dealer, i, ask))
                return
        elif dealer == self.holder:
            epoch = self.epoch
        else:
            return
        dealt = self.allocators[dealer].handle_request(self.clocks[dealer](), epoch, ask)
        if dealt is not None:
            self.dealt += 1
            self.send(lambda: self.told(i, dealt))
        self.check()

    def told(self, i, dealt):
        if self.fences[i].admits(dealt.duty, dealt.epoch):
            self.budgets[i].apply_reply(self.clocks[i](), dealt)
        self.check()

    def moves(self):
        """Another holds the duty; the last one stopped dealing before, or stands still in the middle of an act."""
        old = self.holder
        self.holder, self.epoch = (old + self.rng.randrange(1, len(self.own))) % len(self.own), self.epoch + 1
        self.stopped = {}
        if self.rng.random() < 0.5:
            self.stopped = {old: (self.epoch - 1, self.now + self.rng.uniform(100, 4000))}
        self.allocators[self.holder].start(self.clocks[self.holder]())
        self.at(self.now + self.rng.uniform(2500, 8000), self.moves)

    def change(self):
        i = self.rng.randrange(len(self.wants))
        self.wants[i] = self.rng.choice((0.0, 0.1, 3.0, 20.0))
        self.at(self.now + self.rng.uniform(100, 900), self.change)
        self.check()
