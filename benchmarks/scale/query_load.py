"""A broker's aggregator and driver under its share of the queries, in simulated time, with their processor time.

Queries arrive evenly at one broker's share of the rate. Every part is answered after a random time well within the
latency objective, and nothing is lost. The loop turns at most once per millisecond: the answers of one millisecond
share a turn, like answers that one poll of the sockets finds together. Time advances by whole milliseconds
independently of the processor; the processor time shows which share of a core the same load takes.
"""

from __future__ import annotations

import random
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields
from itertools import cycle

from badgerbend import api
from badgerbend.decisions import Aggregator
from badgerbend.platform.log_observer import LogObserver
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import Attempt, PartPlan, QueryPlan
from scale.planned_fleet import ZONES
from scale.target import CLASS, QUERIES_PER_BROKER_S, configuration

ANSWER_MS = (4, 16)  # the quickest and slowest answer of a warmed-up node
DRAWN_ANSWERS = 10_007  # answer times drawn in advance and used cyclically
START_MS = 1_000_000
VALUE = b"0123456789abcdef"


@dataclass(frozen=True, slots=True)
class Fleet:
    """The list of nodes that the broker has. Each cell has an equal share of the nodes."""

    nodes: int
    cells: int
    reach: int

    @property
    def holders(self) -> int:
        """The nodes that hold a shard."""
        return self.nodes // self.cells * self.reach


@dataclass(slots=True)
class Counts:
    """What happened in one run. Processor time is in seconds; longest_s is that of the longest turn."""

    queries: int = 0
    sends: int = 0
    ends: int = 0
    whole: int = 0
    not_answered: int = 0
    steps: int = 0
    step_s: float = 0.0
    turns_s: float = 0.0
    longest_s: float = 0.0

    @property
    def driver_s(self) -> float:
        return self.turns_s - self.step_s

    def add(self, other: Counts) -> None:
        """Adds the counts of another run."""
        for name in (field.name for field in fields(self) if field.name != "longest_s"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.longest_s = max(self.longest_s, other.longest_s)


class TimedAggregator:
    """The aggregator, with the processor time of its steps measured."""

    def __init__(self, module: Aggregator, load: QueryLoad) -> None:
        self.module, self.load = module, load

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        began = time.process_time()
        actions = self.module.step(now_ms, events)
        self.load.counts.step_s += time.process_time() - began
        self.load.counts.steps += 1
        return actions

    def observations(self) -> api.Observations:
        return self.module.observations()


class QueryLoad:
    """Drives one broker: it is its `Transport`, `Schedule` and `ServerList`, and the `Sink` of each query.

    lost: whether an attempt fails to connect, by its number among the attempts of the part; for tests of the counts.
    """

    def __init__(self, fleet: Fleet, parts: int, seed: int, lost: Callable[[int], bool] = lambda number: False) -> None:
        self.fleet, self.parts, self.lost = fleet, parts, lost
        self.rng = random.Random(seed)
        self.answer_ms = cycle([self.rng.randint(*ANSWER_MS) for _ in range(DRAWN_ANSWERS)])
        config = configuration(fleet.cells, fleet.reach)
        self.shards = range(config.shards)
        self.counts, self.total = Counts(), Counts()  # of the current run, and of all runs
        self.now, self.next_query = START_MS, float(START_MS)
        self._completions: defaultdict[int, list[Attempt]] = defaultdict(list)
        self._turn_requested, self._timer_ms = False, float("inf")
        module = TimedAggregator(Aggregator(config.settings, seed), self)
        observer = LogObserver((CLASS,), str)
        self.driver = Driver(config.settings, module, self, self, self, observer)  # type: ignore[arg-type]
        self.driver.update_endpoints(api.EndpointUpdate(api.UpdateKind.FULL, self._endpoints()))

    def _endpoints(self) -> tuple[api.Endpoint, ...]:
        cells = self.fleet.cells
        return tuple(
            api.Endpoint(i + 1, i % cells, api.EndpointState.READY, 0.0, i % ZONES, 0, 1.0)
            for i in range(self.fleet.nodes)
        )

    def run(self, duration_ms: int) -> Counts:
        """Runs for a time, and returns the counts of that time."""
        self.counts = Counts()
        for _ in range(duration_ms):
            self.now += 1
            self._run_turn(self._arriving_queries())
        self.total.add(self.counts)
        return self.counts

    def finish(self) -> Counts:
        """Runs without new queries until all have ended, and returns the counts of all runs."""
        self.counts = Counts()
        while self.driver.queries or self._completions:
            self.now += 1
            self._run_turn([])
        self.total.add(self.counts)
        return self.total

    def _arriving_queries(self) -> list[QueryPlan]:
        plans = []
        while self.next_query <= self.now:
            self.next_query += 1000.0 / QUERIES_PER_BROKER_S
            plans.append(self._query_plan())
        return plans

    def _query_plan(self) -> QueryPlan:
        shards = self.rng.sample(self.shards, self.parts)
        parts = [PartPlan(shard, 1 / self.parts, None, None) for shard in shards]
        return QueryPlan(0, 0, 0, self._time_left_ms, False, None, parts)

    @property
    def _time_left_ms(self) -> float:
        return self.driver.settings.classes[0].deadline_ms

    def _run_turn(self, plans: Sequence[QueryPlan]) -> None:
        """One turn of the loop: submits queries, completes attempts, and then runs the driver if it has asked to."""
        ended = self._completions.pop(self.now, [])
        began = time.process_time()
        for plan in plans:
            self.driver.submit(plan, self)
        for attempt in ended:
            outcome = api.Outcome.CONNECT_FAILED if self.lost(attempt.number) else api.Outcome.OK
            self.driver.attempt_completed(attempt, outcome, VALUE)
        if self._turn_requested or self._timer_ms <= self.now:
            self._turn_requested, self._timer_ms = False, float("inf")
            self.driver.turn()
        turn_s = time.process_time() - began
        self.counts.turns_s += turn_s
        self.counts.longest_s = max(self.counts.longest_s, turn_s)
        self.counts.queries += len(plans)
        self.counts.ends += len(ended)

    # -- runtime.ports.Transport
    def send(self, node: int, attempts: Sequence[Attempt]) -> None:
        self.counts.sends += len(attempts)
        for attempt in attempts:
            self._completions[self.now + next(self.answer_ms)].append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Does nothing: the driver ignores the outcome of an attempt that it has cancelled."""

    def begun(self, attempt: Attempt) -> bool:
        return True

    def close_idle(self, node: int) -> None:
        """Does nothing, since no connection is open."""

    # -- runtime.ports.Schedule
    def now_ms(self) -> float:
        return float(self.now)

    def wake(self, at_ms: float | None) -> None:
        if at_ms is None:
            self._turn_requested = True
        else:
            self._timer_ms = min(self._timer_ms, at_ms)

    # -- runtime.ports.ServerList
    def follow(self, on: bool) -> None:
        """Does nothing, since the whole list was given at the start."""

    def read_list(self) -> None:
        """Does nothing, since the whole list was given at the start."""

    # -- runtime.ports.Sink
    def client_has_left(self) -> bool:
        return False

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        return ()

    def answered(self, results: Sequence[tuple[PartPlan, object]], whole: bool) -> None:
        self.counts.whole += whole and len(results) == self.parts

    def rejected(self, retry_after_ms: float) -> None:
        self.counts.not_answered += 1

    def failed(self) -> None:
        self.counts.not_answered += 1
