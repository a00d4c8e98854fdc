"""Simulates two sites: brokers with the real driver, module and preference; servers with cores and a queue."""

import math
import random
from collections import Counter, deque
from dataclasses import replace
from typing import NamedTuple

from clock import Clock
from conftest import SETTINGS

from badgerbend import Aggregator, api
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import PartPlan, QueryPlan
from badgerbend.sites.policy import LocalityTier, SitePolicy, SiteSpec
from badgerbend.sites.preference import LocalityPreference

CELL_COUNT = 4
CELLS_PER_SHARD = 2
CORES = 2
WORK_MS = 40.0  # service time of a part on a warm core
SERVER_RATE = CORES / WORK_MS  # parts per millisecond that a warm server can serve
NETWORK_DELAY_MS = 0.5  # one way
DETECTION_DELAY_MS = 300.0  # until the endpoint list shows the loss of a site
SLOW_START_MS = 5000.0
SLOW_START_FROM = 0.25  # fraction of its full rate at which a server starts
SITE_NAMES = ("north", "south")


def site_policy(home=0, brokers=(1, 1), **changes):
    sites = tuple(
        SiteSpec(name, (i,), n, LocalityTier.OWN if i == home else LocalityTier.NEAR)
        for i, (name, n) in enumerate(zip(SITE_NAMES, brokers, strict=True))
    )
    base = SitePolicy(
        sites,
        sum(brokers),
        CELL_COUNT,
        CELLS_PER_SHARD,
        SERVER_RATE,
        classes=SETTINGS.classes,
        slow_start_ms=SLOW_START_MS,
    )
    return replace(base, **changes)


class QueryEnd(NamedTuple):
    """The end of a query. outcome: "whole" (a complete answer), "part" (a partial one), "refused" or "failed"."""

    at_ms: float
    broker: int
    class_index: int
    outcome: str
    elapsed_ms: float


class SubmittedQuery(NamedTuple):
    at_ms: float
    class_index: int
    parts: int


class Server:
    """A server with cores, a queue and slow start. silent: it accepts all attempts and answers none."""

    def __init__(self, world, node, cell, zone):
        self.world = world
        self.node = node
        self.cell = cell
        self.zone = zone
        self.up = True
        self.silent = False
        self.started = 0.0
        self.busy_cores = 0
        self.queue = deque()

    def warmth(self):
        if not self.started:
            return 1.0
        elapsed_ms = self.world.now - self.started
        return min(1.0, SLOW_START_FROM + (1.0 - SLOW_START_FROM) * elapsed_ms / SLOW_START_MS)

    def receive(self, job):
        if self.silent:
            return
        if self.busy_cores < CORES:
            self._start(job)
        else:
            self.queue.append(job)

    def _start(self, job):
        self.busy_cores += 1
        work_ms = WORK_MS * self.world.rng.uniform(0.7, 1.3) / self.warmth()
        self.world.at(self.world.now + work_ms, lambda: self._finish(job))

    def _finish(self, job):
        if not self.up:
            return
        self.busy_cores -= 1
        while self.queue and self.busy_cores < CORES:
            next_job = self.queue.popleft()
            if not next_job.ended:
                self._start(next_job)
        if not job.ended:
            job.broker.complete(job, api.Outcome.OK, (self.busy_cores / CORES, 0.0))

    def crash(self):
        self.up = False
        self.busy_cores = 0
        self.queue.clear()
        for broker in self.world.brokers:
            for job in [j for j in broker.jobs.values() if j.attempt.node == self.node]:
                broker.complete(job, api.Outcome.RESET)

    def restart(self):
        self.up = True
        self.started = self.world.now


class Job:
    """An attempt in flight. ended: it has an outcome or was cancelled."""

    def __init__(self, broker, attempt):
        self.broker = broker
        self.attempt = attempt
        self.ended = False


class Broker:
    """A broker in simulation: the schedule, transport, server list and observer of one driver."""

    def __init__(self, world, index, home, seed, brokers, make, **changes):
        self.world = world
        self.index = index
        self.home = home
        self.jobs = {}  # in flight, by the part and the number of the attempt
        self._wake_at = math.inf
        self.preference = make(site_policy(home, brokers, **changes), seed)
        budget = world.slow_start_budget(index, seed)
        if budget is not None:
            self.preference.use_slow_start_budget(budget)
        settings = replace(
            SETTINGS,
            broker_index=index,
            broker_count=sum(brokers),
            zone=home,
            cell_count=CELL_COUNT,
            cells_per_shard=CELLS_PER_SHARD,
            slow_start_ms=SLOW_START_MS,
            retry_after=True,
            max_attempts=4,
            **world.settings,
        )
        module = Aggregator(settings, seed, self.preference, budget)
        self.driver = Driver(settings, module, self, self, self, self)

    def submit(self, class_index, parts, tenant=0, left_ms=3000.0):
        """Submits a client's query with a number of parts, which belong to consecutive shards."""
        first = self.world.rng.randrange(CELL_COUNT)
        plans = [PartPlan((first + i) % CELL_COUNT, 1 / parts, None, None) for i in range(parts)]
        submitted_ms = self.world.now

        def on_end(outcome):
            elapsed_ms = self.world.now - submitted_ms
            self.world.ends.append(QueryEnd(self.world.now, self.index, class_index, outcome, elapsed_ms))

        self.driver.submit(QueryPlan(class_index, tenant, 0, left_ms, False, None, plans), _Sink(on_end))

    def complete(self, job, outcome, report=()):
        if not job.ended:
            job.ended = True
            self.jobs.pop((job.attempt.part_id, job.attempt.number), None)
            self.driver.attempt_completed(job.attempt, outcome, None, report)

    # -- methods that the driver calls

    def now_ms(self):
        return self.world.now

    def wake(self, at_ms):
        at = self.world.now if at_ms is None else at_ms
        if at < self._wake_at:
            self._wake_at = at
            self.world.at(at, lambda: self._turn(at))

    def _turn(self, at):
        if at == self._wake_at:
            self._wake_at = math.inf
            self.driver.turn()

    def send(self, node, attempts):
        server = self.world.servers[node]
        for attempt in attempts:
            job = Job(self, attempt)
            self.jobs[attempt.part_id, attempt.number] = job
            self.world.count(self, server)
            arrival_ms = self.world.now + NETWORK_DELAY_MS
            if server.up:
                self.world.at(arrival_ms, lambda job=job: server.receive(job))
            else:
                self.world.at(arrival_ms, lambda job=job: self.complete(job, api.Outcome.CONNECT_FAILED))

    def cancel(self, attempt):
        job = self.jobs.pop((attempt.part_id, attempt.number), None)
        if job is not None:
            job.ended = True

    def begun(self, attempt):
        return True

    def close_idle(self, node): ...
    def follow(self, on): ...
    def read_list(self): ...
    def attempt_ended(self, attempt, outcome, took_ms): ...
    def stepped(self, events, seconds): ...
    def query_ended(self, ending): ...

    def report_fault(self, what, detail):
        assert what != "step failed", detail


class _Sink:
    def __init__(self, on_end):
        self.on_end = on_end

    def client_has_left(self):
        return False

    def follow_up_parts(self, results):
        return ()

    def answered(self, results, whole):
        self.on_end("whole" if whole else "part")

    def rejected(self, retry_after_ms):
        self.on_end("refused")

    def failed(self):
        self.on_end("failed")


class World(Clock):
    """Two sites with their brokers and servers.

    make: creates the preference of a broker from its policy and a seed; changes: changed fields of that policy.
    """

    settings = {"overload_factor": 3.0}  # noqa: RUF012

    def __init__(self, seed=1, brokers=(1, 1), servers=8, make=LocalityPreference, **changes):
        super().__init__()
        self.rng = random.Random(seed)
        self.servers = {}
        for zone in (0, 1):
            for i in range(servers):
                node = 100 * zone + i
                self.servers[node] = Server(self, node, i % CELL_COUNT, zone)
        self.own_parts = Counter()  # parts sent to a site by its own brokers, by site and second
        self.spilled_parts = Counter()  # parts sent to a site by other brokers, by site and second
        self.queries = []
        self.ends = []
        self.rate_factor = 1.0  # factor on the rates of all loads
        self.brokers = []
        homes = [0] * brokers[0] + [1] * brokers[1]
        for i, home in enumerate(homes):
            self.brokers.append(Broker(self, i, home, seed * 100 + i, brokers, make, **changes))
        self.publish_endpoints()

    def slow_start_budget(self, index, seed):
        """The slow start budget of a broker; None if brokers do not share one."""
        return

    def count(self, broker, server):
        parts = self.own_parts if broker.home == server.zone else self.spilled_parts
        parts[server.zone, int(self.now // 1000)] += 1

    def publish_endpoints(self):
        """Sends the endpoint list to all brokers."""
        endpoints = tuple(
            api.Endpoint(
                server.node,
                server.cell,
                api.EndpointState.READY if server.up else api.EndpointState.REMOVED,
                server.started,
                server.zone,
                0,
                1.0,
            )
            for server in self.servers.values()
        )
        for broker in self.brokers:
            broker.driver.update_endpoints(api.EndpointUpdate(api.UpdateKind.FULL, endpoints))

    def site_servers(self, zone):
        return [server for server in self.servers.values() if server.zone == zone]

    def crash_site(self, zone):
        """Crashes all servers of a site; the endpoint list shows it after `DETECTION_DELAY_MS`."""
        for server in self.site_servers(zone):
            server.crash()
        self.at(self.now + DETECTION_DELAY_MS, self.publish_endpoints)

    def restart_site(self, zone):
        """Restarts all servers of a site, which then warm up."""
        for server in self.site_servers(zone):
            server.restart()
        self.publish_endpoints()

    def add_load(self, home, queries_per_s, class_index=0, parts=4, weights=None):
        """Submits queries to the brokers of a site at random times, at a mean rate for all of them together.

        weights: the relative share of each broker; equal by default.
        """
        brokers = [broker for broker in self.brokers if broker.home == home]

        def submit():
            self.queries.append(SubmittedQuery(self.now, class_index, parts))
            self.rng.choices(brokers, weights)[0].submit(class_index, parts)
            pause_ms = self.rng.expovariate(self.rate_factor * queries_per_s / 1000.0)
            self.at(self.now + pause_ms, submit)

        self.at(self.now, submit)

    def spill_limit(self, zone, second, share=0.8):
        """The number of parts that may spill over to a site in one second."""
        capacity = len(self.site_servers(zone)) * SERVER_RATE * 1000.0
        return share * max(capacity - self.own_parts[zone, second], 0.0)

    def count_ends(self, *outcomes, since=0.0):
        return sum(1 for end in self.ends if end.outcome in outcomes and end.at_ms >= since)
