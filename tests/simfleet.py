"""A fleet of brokers and servers that are warming up, in simulated time, with a check of the total load per server.

The decisions are real, with one aggregator per broker; servers, queries, restarts and the endpoint list are simulated.
The check uses the capacity and the start of each server and counts the arrivals in every window. It does not depend on
what the aggregators report.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, replace
from math import sqrt

from badgerbend import api
from badgerbend.decisions import Aggregator
from tests.conftest import SETTINGS

SHARDS_PER_CELL = 6
TRAFFIC_BEFORE_RESTART_MS, CHECKED_MS = 8_000.0, 5_000.0


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
    """Brokers that share servers, of which some restart.

    restarting_servers: servers that restart during the simulation.
    restarting_brokers: brokers that restart together with the servers, so that they have no traffic rates.
    """

    def __init__(self, seed, broker_count, overload_factor=4.0, overload_window_ms=1500.0):
        self.rng = rng = random.Random(seed)
        self.cells = rng.choice([2, 3, 4])
        servers_per_cell = rng.choice([4, 6])
        self.settings = replace(
            SETTINGS,
            broker_count=broker_count,
            cell_count=self.cells,
            cells_per_shard=1,
            parts_per_call=4,
            overload_factor=overload_factor,
            overload_window_ms=overload_window_ms,
            slow_start_from=rng.uniform(0.2, 0.45),
            slow_start_ms=rng.uniform(6_000.0, 15_000.0),
        )
        self.servers = [Server(10 + i, i % self.cells) for i in range(self.cells * servers_per_cell)]
        self.work_ms = rng.uniform(60.0, 110.0)
        self.capacity = rng.choice([2, 4]) / self.work_ms  # of a warm server, in parts per millisecond
        self.load = rng.uniform(0.3, 0.7)
        weights = [rng.paretovariate(1.5) for _ in range(broker_count)]
        # Queries per millisecond, with three parts each.
        total_rate = self.load * self.capacity * len(self.servers) / 3.0
        self.rates = [total_rate * weight / sum(weights) for weight in weights]
        self.restarting_servers = rng.sample(self.servers, rng.choice([1, 2, len(self.servers) // 2]))
        self.restarting_brokers = {i for i in range(broker_count) if rng.random() < rng.choice([0.0, 0.1, 0.7])}
        self.heap, self.order = [], itertools.count()
        self.aggregators = [self.new_aggregator(i) for i in range(broker_count)]
        self.ids, self.numbers = itertools.count(1), itertools.count(1)
        self.attempts, self.timers = {}, [float("inf")] * broker_count
        self.arrivals = {server.number: [] for server in self.servers}
        self.by_number = {server.number: server for server in self.servers}
        self.now = 0.0

    def new_aggregator(self, i):
        return Aggregator(replace(self.settings, broker_index=i), self.rng.randrange(1 << 30))

    def endpoints(self):
        return tuple(
            api.Endpoint(s.number, s.cell, api.EndpointState.READY, s.started, 0, 0, 1.0) for s in self.servers
        )

    def schedule(self, at_ms, callback):
        heapq.heappush(self.heap, (at_ms, next(self.order), callback))

    def run(self):
        """Runs the simulation; returns the windows in which a restarting server was sent more than its limit."""
        for i in range(len(self.aggregators)):
            self.step(i, api.EndpointUpdate(api.UpdateKind.CACHED, self.endpoints()))
            self.schedule(self.rng.expovariate(self.rates[i]), lambda i=i: self.query(i))
        self.schedule(TRAFFIC_BEFORE_RESTART_MS, self.restart_servers)
        while self.heap and self.heap[0][0] <= TRAFFIC_BEFORE_RESTART_MS + CHECKED_MS:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        return [window for server in self.restarting_servers for window in self.overloaded_windows(server)]

    def restart_servers(self):
        """Restarts servers; each broker learns of it after a random delay, or restarts itself."""
        for server in self.restarting_servers:
            server.started = self.now
        for i in range(len(self.aggregators)):
            delay_ms = self.rng.uniform(0.0, 300.0)
            if i in self.restarting_brokers:
                self.aggregators[i], self.timers[i] = self.new_aggregator(i), float("inf")
                self.step(i, api.EndpointUpdate(api.UpdateKind.CACHED, self.endpoints()))
            else:
                self.schedule(
                    self.now + delay_ms,
                    lambda i=i: self.step(i, api.EndpointUpdate(api.UpdateKind.DELTA, self.endpoints())),
                )

    def query(self, i):
        self.schedule(self.now + self.rng.expovariate(self.rates[i]), lambda: self.query(i))
        shards = self.rng.sample(range(self.cells * SHARDS_PER_CELL), 3)
        parts = tuple(api.Part(next(self.ids), shard, 1 / 3, None) for shard in shards)
        number = next(self.numbers)
        class_index = self.rng.choice([0, 0, 1])
        self.step(i, api.Query(next(self.ids), number, class_index, 0, 0, 3000.0, False, None, parts))

    def step(self, i, *events):
        aggregator = self.aggregators[i]
        for action in aggregator.step(self.now, list(events)):
            match action:
                case api.Send(part, node, _):
                    self.send(i, aggregator, part, node)
                case api.SetTimer(after_ms, _):
                    due = self.timers[i] = self.now + after_ms
                    self.schedule(
                        due, lambda due=due: self.step(i, api.TimerFired(0)) if self.timers[i] == due else None
                    )

    def send(self, i, aggregator, part, node):
        number = self.attempts[part] = self.attempts.get(part, -1) + 1
        server, sent = self.by_number[node], self.now
        self.arrivals[node].append(sent)
        latency_ms = self.rng.lognormvariate(0.0, 0.35) * self.work_ms / server.capacity_fraction(sent, self.settings)
        lost = self.rng.random() < 0.02  # so that there are retries and hedged requests
        result = (api.Outcome.ERROR, 5.0) if lost else (api.Outcome.OK, latency_ms)

        def complete():
            if self.aggregators[i] is aggregator:  # otherwise the broker has restarted
                self.step(i, api.AttemptCompleted(part, number, node, result[0], self.now - sent, ()))

        self.schedule(sent + result[1], complete)

    def overloaded_windows(self, server):
        """The windows with more arrivals than the server's limit plus twice its square root for random variation."""
        settings, times = self.settings, self.arrivals[server.number]
        times = [t for t in times if t >= server.started > 0]
        first = 0
        for n, t in enumerate(times):
            while times[first] < t - settings.overload_window_ms:
                first += 1
            limit = (
                settings.overload_factor
                * server.capacity_fraction(t, settings)
                * self.capacity
                * settings.overload_window_ms
            )
            arrived = n - first + 1
            if arrived > limit + 2 * sqrt(limit) + 2:
                yield round(t - server.started), arrived, round(limit, 1)
