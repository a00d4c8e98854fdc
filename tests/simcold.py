"""A site lost and back, all its servers cold, in simulated time; some of its brokers have most of its clients."""

from collections import defaultdict

from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.slow_start_budget.timing import BudgetTiming
from tests.simsites import SERVER_RATE, World

LENGTHS = BudgetTiming(1000.0, 0.01)
FACTOR, COLD_FROM, FALL_MS, COLD_MS = 2.0, 0.25, 1000.0, 5000.0  # a server that bears little while it is cold
WAY_MS = 2.0  # of a word from one broker to another


class ColdWorld(World):
    """dealt: whether brokers deal cold allowance among them; `hold(False)` leaves them without a dealer."""

    settings = {"overload_factor": FACTOR, "slow_start_from": COLD_FROM}  # noqa: RUF012

    def __init__(self, seed, dealt=True, brokers=(12, 4), servers=16, **changes):
        self.budgets, self.dealt, self.arrivals = {}, dealt, defaultdict(list)
        super().__init__(seed=seed, brokers=brokers, servers=servers, **changes)
        self.allocator = BudgetAllocator("dealer", "cold", LENGTHS)
        self.allocator.start(self.now)
        self.held = True
        for i in self.budgets:
            self.at(self.now + self.rng.uniform(0, 250), lambda i=i: self.ask(i))

    def slow_start_budget(self, index, seed):
        if not self.dealt:
            return None
        self.budgets[index] = BrokerBudget(f"b{index}", "cold", LENGTHS, 1)
        return self.budgets[index]

    def hold(self, held):
        self.held = held
        if held:
            self.allocator.start(self.now)

    def ask(self, i):
        self.at(self.now + self.rng.uniform(200, 300), lambda: self.ask(i))
        mine = self.budgets[i]
        mine.update_cold_servers(
            self.now,
            {
                s.node: (str(s.node), s.started)
                for s in self.servers.values()
                if s.up and s.started and self.now - s.started < COLD_MS
            },
        )
        for ask in mine.create_requests(self.now):
            self.at(self.now + WAY_MS, lambda ask=ask: self.deals(i, ask))

    def deals(self, i, ask):
        dealt = self.allocator.handle_request(self.now, 1, ask) if self.held else None
        if dealt is not None:
            self.at(self.now + WAY_MS, lambda: self.budgets[i].apply_reply(self.now, dealt))

    def count(self, broker, server):
        super().count(broker, server)
        self.arrivals[server.node].append(self.now)

    def peak(self, since, until):
        """The most that came to a cold server within the time that fells one, over what the settings let it bear."""
        most = 0.0
        for server in self.servers.values():
            times = [t for t in self.arrivals[server.node] if since <= t <= until]
            first = 0
            for n, t in enumerate(times):
                while times[first] < t - FALL_MS:
                    first += 1
                warmth = min(1.0, COLD_FROM + (1 - COLD_FROM) * (t - server.started) / COLD_MS)
                if warmth < 1.0:
                    most = max(most, (n - first + 1) / (FACTOR * warmth * SERVER_RATE * FALL_MS))
        return most


def fared(world, since):
    """What became of the queries of the first site's brokers: asked, share answered, mean time in ms, peak at a cold
    server, and parts that went to the site's servers."""
    ends = [(how, ms) for t, who, _, how, ms in world.ends if t >= since and world.brokers[who].home == 0]
    well = [ms for how, ms in ends if how in ("whole", "part")]
    own = sum(1 for node, times in world.arrivals.items() if node < 100 for t in times if t >= since)
    return {
        "asked": len(ends),
        "answered": len(well) / max(len(ends), 1),
        "ms": sum(well) / max(len(well), 1),
        "peak": world.peak(since, since + COLD_MS),
        "at home": own,
    }


def return_of_a_site(seed, dealt, held=True, skew=3.0):
    """A site is lost and back, and some of its brokers have most of its clients."""
    world = ColdWorld(seed, dealt)
    world.hold(held)
    world.add_load(0, 140.0, weights=[1.0 / (1 + i) ** skew for i in range(12)])
    world.add_load(1, 40.0)
    world.run(12_000)
    world.crash_site(0)
    world.run(6_000)
    world.restart_site(0)
    back = world.now
    world.run(8_000)
    return fared(world, back)


def release_and_shift(seed, dealt, held=True):
    """All servers start anew at once, and in that moment the clients of most brokers go to a few others."""
    world = ColdWorld(seed, dealt, brokers=(12, 1))
    world.hold(held)
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
    return fared(world, since)
