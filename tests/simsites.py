"""Two sites in simulated time: brokers with the real driver, module and preference, servers with cores and a queue."""

import random
from collections import Counter, deque
from dataclasses import replace

from clock import Clock
from conftest import SETTINGS

from badgerbend import Aggregator, api
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import PartPlan, QueryPlan
from badgerbend.sites.policy import LocalityTier, SitePolicy, SiteSpec
from badgerbend.sites.preference import LocalityPreference

CELLS, REACH, CORES, WORK_MS = 4, 2, 2, 40.0
PACE = CORES / WORK_MS  # parts a millisecond of a warm server
NAMES = ("north", "south")


def site_policy(home=0, brokers=(1, 1), **changes):
    sites = tuple(
        SiteSpec(name, (i,), n, LocalityTier.OWN if i == home else LocalityTier.NEAR)
        for i, (name, n) in enumerate(zip(NAMES, brokers, strict=True))
    )
    base = SitePolicy(sites, sum(brokers), CELLS, REACH, PACE, classes=SETTINGS.classes, slow_start_ms=5000.0)
    return replace(base, **changes)


class Server:
    def __init__(self, world, node, cell, zone):
        self.world, self.node, self.cell, self.zone = world, node, cell, zone
        self.up, self.silent, self.started = True, False, 0.0
        self.busy, self.queue = 0, deque()

    def warmth(self):
        if not self.started:
            return 1.0
        return min(1.0, 0.25 + 0.75 * (self.world.now - self.started) / 5000.0)

    def begin(self, job):
        self.busy += 1
        took = WORK_MS * self.world.rng.uniform(0.7, 1.3) / self.warmth()
        self.world.at(self.world.now + took, lambda: self.end(job))

    def arrive(self, job):
        if self.silent:
            return
        if self.busy < CORES:
            self.begin(job)
        else:
            self.queue.append(job)

    def end(self, job):
        if not self.up:
            return
        self.busy -= 1
        while self.queue and self.busy < CORES:
            following = self.queue.popleft()
            if not following.over:
                self.begin(following)
        if not job.over:
            job.broker.reply(job, api.Outcome.OK, (self.busy / CORES, 0.0))

    def crash(self):
        self.up, self.busy = False, 0
        self.queue.clear()
        for broker in self.world.brokers:
            for job in [j for j in broker.out.values() if j.attempt.node == self.node]:
                broker.reply(job, api.Outcome.RESET)


class Job:
    def __init__(self, broker, attempt):
        self.broker, self.attempt, self.over = broker, attempt, False


class Broker:
    """Schedule, transport, list and observer of one driver."""

    def __init__(self, world, index, home, seed, brokers, make, **changes):
        self.world, self.index, self.home = world, index, home
        self.preference = make(site_policy(home, brokers, **changes), seed)
        budget = world.slow_start_budget(index, seed)
        if budget is not None:
            self.preference.use_slow_start_budget(budget)
        settings = replace(
            SETTINGS,
            broker_index=index,
            broker_count=sum(brokers),
            zone=home,
            cell_count=CELLS,
            cells_per_shard=REACH,
            slow_start_ms=5000.0,
            retry_after=True,
            max_attempts=4,
            **world.module,
        )
        self.settings, self.out, self.ends, self._wake_at = settings, {}, Counter(), float("inf")
        module = Aggregator(settings, seed, self.preference, budget)
        self.driver = Driver(settings, module, self, self, self, self)

    def now_ms(self):
        return self.world.now

    def wake(self, at_ms):
        at = self.world.now if at_ms is None else at_ms
        if at < self._wake_at:
            self._wake_at = at
            self.world.at(at, lambda: self._turn(at))

    def _turn(self, at):
        if at == self._wake_at:
            self._wake_at = float("inf")
            self.driver.turn()

    def send(self, node, attempts):
        server = self.world.servers[node]
        for a in attempts:
            job = self.out[a.part_id, a.number] = Job(self, a)
            self.world.count(self, server)
            if not server.up:
                self.world.at(self.world.now + 0.5, lambda job=job: self.reply(job, api.Outcome.CONNECT_FAILED))
            else:
                self.world.at(self.world.now + 0.5, lambda job=job: server.arrive(job))

    def reply(self, job, outcome, report=()):
        if not job.over:
            job.over = True
            self.out.pop((job.attempt.part_id, job.attempt.number), None)
            self.driver.ended(job.attempt, outcome, None, report)

    def cancel(self, attempt):
        job = self.out.pop((attempt.part_id, attempt.number), None)
        if job is not None:
            job.over = True

    def begun(self, a):
        return True

    def close_idle(self, node): ...
    def follow(self, on): ...
    def read_list(self): ...
    def attempt_ended(self, attempt, outcome, took_ms): ...
    def stepped(self, events, seconds): ...
    def query_ended(self, ending): ...

    def trouble(self, what, detail):
        assert what != "step failed", detail

    def ask(self, cls, parts, tenant=0, left_ms=3000.0):
        first = self.world.rng.randrange(CELLS)
        plans = [PartPlan((first + i) % CELLS, 1 / parts, None, None) for i in range(parts)]
        asked = self.world.now
        sink = _Sink(lambda how: self._ended(cls, how, asked))
        self.driver.submit(QueryPlan(cls, tenant, 0, left_ms, False, None, plans), sink)

    def _ended(self, cls, how, asked):
        self.ends[how] += 1
        self.world.ends.append((self.world.now, self.index, cls, how, self.world.now - asked))


class _Sink:
    def __init__(self, done):
        self.done = done

    def more(self, results):
        return ()

    def answered(self, results, whole):
        self.done("whole" if whole else "part")

    def refused(self, retry_after_ms):
        self.done("refused")

    def failed(self):
        self.done("failed")


class World(Clock):
    """make: creates a broker's preference, from its policy and a seed. module: settings of the decisions."""

    module = {"overload_factor": 3.0}  # noqa: RUF012

    def __init__(self, seed=1, brokers=(1, 1), servers=8, make=LocalityPreference, **changes):
        super().__init__()
        self.rng = random.Random(seed)
        self.servers = {
            100 * zone + i: Server(self, 100 * zone + i, i % CELLS, zone) for zone in (0, 1) for i in range(servers)
        }
        self.own, self.spilled = Counter(), Counter()  # parts by site and second
        self.ends, self.asked, self.brokers, self.rate = [], [], [], 1.0
        homes = [0] * brokers[0] + [1] * brokers[1]
        for i, home in enumerate(homes):
            self.brokers.append(Broker(self, i, home, seed * 100 + i, brokers, make, **changes))
        self.tell()

    def slow_start_budget(self, index, seed):
        """A broker's share of what may go to servers that are warming up; None: brokers share out nothing."""
        return None

    def count(self, broker, server):
        which = self.own if broker.home == server.zone else self.spilled
        which[server.zone, int(self.now // 1000)] += 1

    def tell(self):
        """The list, to all brokers."""
        lines = tuple(
            api.Endpoint(
                s.node,
                s.cell,
                api.EndpointState.READY if s.up else api.EndpointState.REMOVED,
                s.started,
                s.zone,
                0,
                1.0,
            )
            for s in self.servers.values()
        )
        for broker in self.brokers:
            broker.driver.view(api.EndpointUpdate(api.UpdateKind.FULL, lines))

    def site(self, zone):
        return [s for s in self.servers.values() if s.zone == zone]

    def lose(self, zone, told=True):
        for server in self.site(zone):
            server.crash()
        if told:
            self.at(self.now + 300.0, self.tell)

    def bring_back(self, zone):
        for server in self.site(zone):
            server.up, server.started = True, self.now
        self.tell()

    def load(self, home, pace_s, cls=0, parts=4, weights=None):
        """Queries to the brokers of a site, so many a second together; times `rate`, which may be changed. weights:
        how much of them each gets, if not all the same."""
        brokers = [b for b in self.brokers if b.home == home]

        def one():
            self.asked.append((self.now, cls, parts))
            self.rng.choices(brokers, weights)[0].ask(cls, parts)
            self.at(self.now + self.rng.expovariate(self.rate * pace_s / 1000.0), one)

        self.at(self.now, one)

    def limit(self, zone, second, share=0.8):
        room = len(self.site(zone)) * PACE * 1000.0
        return share * max(room - self.own[zone, second], 0.0)

    def how(self, *kinds, since=0.0):
        return sum(1 for t, _, _, how, _ in self.ends if how in kinds and t >= since)
