"""A broker's module and driver under its share of the queries, in simulated time, with their processor time.

Queries come evenly at one broker's share of the rate. Every part is answered after a time drawn from a range well
within the aim, with nothing lost. The loop turns once a millisecond at most: answers of one millisecond share a turn,
as those that a poll of the sockets finds together do. Time goes by whole milliseconds and does not wait for the
processor; what the same load takes of a core is read off the processor time.
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

ANSWER_MS = (4, 16)  # the quickest and slowest answer of a warm node
DRAWN = 10_007  # answer times drawn beforehand, then taken in a circle
START_MS = 1_000_000
VALUE = b"0123456789abcdef"


@dataclass(frozen=True, slots=True)
class Fleet:
    """The list that the broker has. Each of `cells` holds an equal share of the nodes."""

    nodes: int
    cells: int
    reach: int

    @property
    def holders(self) -> int:
        """Of a shard."""
        return self.nodes // self.cells * self.reach


@dataclass(slots=True)
class Counts:
    """What happened while it was counted. Processor time in seconds; longest: of one turn."""

    queries: int = 0
    sends: int = 0
    ends: int = 0
    whole: int = 0
    not_answered: int = 0
    steps: int = 0
    step_s: float = 0.0
    all_s: float = 0.0
    longest_s: float = 0.0

    @property
    def driver_s(self) -> float:
        return self.all_s - self.step_s

    def add(self, other: Counts) -> None:
        """Adds what another counted."""
        for name in (field.name for field in fields(self) if field.name != "longest_s"):
            setattr(self, name, getattr(self, name) + getattr(other, name))
        self.longest_s = max(self.longest_s, other.longest_s)


class TimedModule:
    """The module, with the processor time of its steps."""

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
    """Drives one broker: its `Transport`, `Schedule` and `ServerList`, and the `Sink` of each query.

    lost: whether an attempt fails to connect, told by its number among the part's; for tests of the counts.
    """

    def __init__(self, fleet: Fleet, parts: int, seed: int, lost: Callable[[int], bool] = lambda number: False) -> None:
        self.fleet, self.parts, self.lost = fleet, parts, lost
        self.rng = random.Random(seed)
        self.answer_ms = cycle([self.rng.randint(*ANSWER_MS) for _ in range(DRAWN)])
        config = configuration(fleet.cells, fleet.reach)
        self.shards = range(config.shards)
        self.counts, self.total = Counts(), Counts()  # of this run, of all
        self.now, self.next_query = START_MS, float(START_MS)
        self._due: defaultdict[int, list[Attempt]] = defaultdict(list)
        self._soon, self._timer_ms = False, float("inf")
        module = TimedModule(Aggregator(config.settings, seed), self)
        tally = LogObserver((CLASS,), str)
        self.driver = Driver(config.settings, module, self, self, self, tally)  # type: ignore[arg-type]
        self.driver.update_endpoints(api.EndpointUpdate(api.UpdateKind.FULL, self._lines()))

    def _lines(self) -> tuple[api.Endpoint, ...]:
        cells = self.fleet.cells
        return tuple(
            api.Endpoint(i + 1, i % cells, api.EndpointState.READY, 0.0, i % ZONES, 0, 1.0)
            for i in range(self.fleet.nodes)
        )

    def run(self, duration_ms: int) -> Counts:
        """Goes on for so long; what happened in it."""
        self.counts = Counts()
        for _ in range(duration_ms):
            self.now += 1
            self._millisecond(self._arriving())
        self.total.add(self.counts)
        return self.counts

    def finish(self) -> Counts:
        """Takes no more queries and goes on until all have ended; what happened from the first on."""
        self.counts = Counts()
        while self.driver.queries or self._due:
            self.now += 1
            self._millisecond([])
        self.total.add(self.counts)
        return self.total

    def _arriving(self) -> list[QueryPlan]:
        plans = []
        while self.next_query <= self.now:
            self.next_query += 1000.0 / QUERIES_PER_BROKER_S
            plans.append(self._plan())
        return plans

    def _plan(self) -> QueryPlan:
        shards = self.rng.sample(self.shards, self.parts)
        parts = [PartPlan(shard, 1 / self.parts, None, None) for shard in shards]
        return QueryPlan(0, 0, 0, self._time_left_ms, False, None, parts)

    @property
    def _time_left_ms(self) -> float:
        return self.driver.settings.classes[0].deadline_ms

    def _millisecond(self, plans: Sequence[QueryPlan]) -> None:
        """One turn of the loop: queries are taken, answers come in, then the driver's turn if it wants one."""
        ended = self._due.pop(self.now, [])
        began = time.process_time()
        for plan in plans:
            self.driver.submit(plan, self)
        for attempt in ended:
            outcome = api.Outcome.CONNECT_FAILED if self.lost(attempt.number) else api.Outcome.OK
            self.driver.attempt_completed(attempt, outcome, VALUE)
        if self._soon or self._timer_ms <= self.now:
            self._soon, self._timer_ms = False, float("inf")
            self.driver.turn()
        took = time.process_time() - began
        self.counts.all_s += took
        self.counts.longest_s = max(self.counts.longest_s, took)
        self.counts.queries += len(plans)
        self.counts.ends += len(ended)

    # -- runtime.ports.Transport
    def send(self, node: int, attempts: Sequence[Attempt]) -> None:
        self.counts.sends += len(attempts)
        for attempt in attempts:
            self._due[self.now + next(self.answer_ms)].append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """The driver takes no second word on an attempt that it has called off."""

    def begun(self, attempt: Attempt) -> bool:
        return True

    def close_idle(self, node: int) -> None:
        """Nothing is open."""

    # -- runtime.ports.Schedule
    def now_ms(self) -> float:
        return float(self.now)

    def wake(self, at_ms: float | None) -> None:
        if at_ms is None:
            self._soon = True
        else:
            self._timer_ms = min(self._timer_ms, at_ms)

    # -- runtime.ports.ServerList
    def follow(self, on: bool) -> None:
        """The list is told."""

    def read_list(self) -> None:
        """The list is told."""

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
