"""A fleet of modules before cold servers, in simulated time, and a judge of its own: what all of them together send.

Real: the decisions, one module a process. Made up: servers, queries, restarts, the list. The judge knows each server's
capacity and start, and counts what comes in every window; of the modules it asks nothing.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace
from math import sqrt

from badgerbend import api
from badgerbend.decisions import Aggregator
from tests.conftest import SETTINGS

SHARDS_A_CELL = 6
WARM_UP_MS, JUDGED_MS = 8_000.0, 5_000.0


@dataclass
class Server:
    number: int
    cell: int
    started: float = 0.0

    def capacity_fraction(self, now, settings):
        if not self.started:
            return 1.0
        return min(
            1.0,
            settings.slow_start_from + (1 - settings.slow_start_from) * (now - self.started) / settings.slow_start_ms,
        )


class Fleet:
    """processes: how many. restarted: those that start anew with the servers, and so have no rate of their own."""

    def __init__(self, seed, processes, factor=4.0, overload_window_ms=1500.0):
        self.rng = rng = random.Random(seed)
        self.cells = rng.choice([2, 3, 4])
        each = rng.choice([4, 6])
        self.settings = replace(
            SETTINGS,
            broker_count=processes,
            cell_count=self.cells,
            cells_per_shard=1,
            parts_per_call=4,
            overload_factor=factor,
            overload_window_ms=overload_window_ms,
            slow_start_from=rng.uniform(0.2, 0.45),
            slow_start_ms=rng.uniform(6_000.0, 15_000.0),
        )
        self.servers = [Server(10 + i, i % self.cells) for i in range(self.cells * each)]
        self.work_ms = rng.uniform(60.0, 110.0)
        self.capacity = rng.choice([2, 4]) / self.work_ms  # parts a millisecond of a warm server
        self.load = rng.uniform(0.3, 0.7)
        weights = [rng.paretovariate(1.5) for _ in range(processes)]
        total = self.load * self.capacity * len(self.servers) / 3.0  # queries, of three parts each
        self.rates = [total * w / sum(weights) for w in weights]
        self.cold = rng.sample(self.servers, rng.choice([1, 2, len(self.servers) // 2]))
        self.restarted = {i for i in range(processes) if rng.random() < rng.choice([0.0, 0.1, 0.7])}
        self.heap, self.order = [], itertools.count()
        self.modules = [self.module(i) for i in range(processes)]
        self.ids, self.numbers = itertools.count(1), itertools.count(1)
        self.tries, self.alarms = {}, [float("inf")] * processes
        self.arrivals = {server.number: [] for server in self.servers}
        self.by_number = {server.number: server for server in self.servers}
        self.now = 0.0

    def module(self, i):
        return Aggregator(replace(self.settings, broker_index=i), self.rng.randrange(1 << 30))

    def lines(self):
        return tuple(
            api.Endpoint(s.number, s.cell, api.EndpointState.READY, s.started, 0, 0, 1.0) for s in self.servers
        )

    def at(self, when, what):
        heapq.heappush(self.heap, (when, next(self.order), what))

    def run(self):
        """The windows in which a cold server got more than its budget and the chance that is allowed for."""
        for i in range(len(self.modules)):
            self.step(i, api.EndpointUpdate(api.UpdateKind.CACHED, self.lines()))
            self.at(self.rng.expovariate(self.rates[i]), lambda i=i: self.query(i))
        self.at(WARM_UP_MS, self.release)
        while self.heap and self.heap[0][0] <= WARM_UP_MS + JUDGED_MS:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        return [broken for server in self.cold for broken in self.judge(server)]

    def release(self):
        """The cold ones start; each process hears of it at a time of its own, or is new itself."""
        for server in self.cold:
            server.started = self.now
        for i in range(len(self.modules)):
            late = self.rng.uniform(0.0, 300.0)
            if i in self.restarted:
                self.modules[i], self.alarms[i] = self.module(i), float("inf")
                self.step(i, api.EndpointUpdate(api.UpdateKind.CACHED, self.lines()))
            else:
                self.at(
                    self.now + late, lambda i=i: self.step(i, api.EndpointUpdate(api.UpdateKind.DELTA, self.lines()))
                )

    def query(self, i):
        self.at(self.now + self.rng.expovariate(self.rates[i]), lambda: self.query(i))
        shards = self.rng.sample(range(self.cells * SHARDS_A_CELL), 3)
        parts = tuple(api.Part(next(self.ids), shard, 1 / 3, None) for shard in shards)
        number = next(self.numbers)
        cls = self.rng.choice([0, 0, 1])
        self.step(i, api.Query(next(self.ids), number, cls, 0, 0, 3000.0, False, None, parts))

    def step(self, i, *events):
        module = self.modules[i]
        for action in module.step(self.now, list(events)):
            match action:
                case api.Send(part, node, _):
                    self.send(i, module, part, node)
                case api.SetTimer(after, _):
                    due = self.alarms[i] = self.now + after
                    self.at(due, lambda due=due: self.step(i, api.TimerFired(0)) if self.alarms[i] == due else None)

    def send(self, i, module, part, node):
        number = self.tries[part] = self.tries.get(part, -1) + 1
        server, sent = self.by_number[node], self.now
        self.arrivals[node].append(sent)
        took = self.rng.lognormvariate(0.0, 0.35) * self.work_ms / server.capacity_fraction(sent, self.settings)
        lost = self.rng.random() < 0.02  # so that there are further attempts and second copies
        end = (api.Outcome.ERROR, 5.0) if lost else (api.Outcome.OK, took)

        def ended():
            if self.modules[i] is module:  # else its process is gone
                self.step(i, api.AttemptCompleted(part, number, node, end[0], self.now - sent, ()))

        self.at(sent + end[1], ended)

    def judge(self, server):
        settings, times = self.settings, self.arrivals[server.number]
        times = [t for t in times if t >= server.started > 0]
        first = 0
        for n, t in enumerate(times):
            while times[first] < t - settings.overload_window_ms:
                first += 1
            budget = (
                settings.overload_factor
                * server.capacity_fraction(t, settings)
                * self.capacity
                * settings.overload_window_ms
            )
            got = n - first + 1
            if got > budget + 2 * sqrt(budget) + 2:
                yield round(t - server.started), got, round(budget, 1)
