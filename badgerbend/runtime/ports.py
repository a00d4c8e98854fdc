"""What the driver needs of its surroundings. A front brings a `Sink` a query, a protocol brings a `Transport`."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from badgerbend import api


@dataclass(slots=True, eq=False)
class PartPlan:
    """A part of a query as its front wants it. `payload` is the front's own; the driver only passes it on."""

    shard: int
    weight: float
    cost_ms: float | None
    payload: object


@dataclass(slots=True, eq=False)
class QueryPlan:
    """A query as its front hands it over; time_left_ms counts from now."""

    cls: int
    tenant: int
    key: int
    time_left_ms: float
    is_retry: bool
    cost_ms: float | None
    parts: Sequence[PartPlan]
    name: str = ""  # what a person knows it by, for the log


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of one part. number counts from 0 for each part; times in milliseconds."""

    part_id: int
    number: int
    node: int
    plan: PartPlan
    query_id: int
    sent_ms: float
    timeout_ms: float
    begin_by_ms: float = math.inf  # on the clock of sent_ms: a first byte after that would be too late
    handle: object = None  # the transport's own

    def time_left_ms(self, now_ms: float) -> float:
        """What is left of its timeout. A server is told this, and not more than its client still has."""
        return self.timeout_ms - (now_ms - self.sent_ms)


@dataclass(frozen=True, slots=True)
class CompletedQuery:
    """How a query ended, for those who ask later. reason: the module's word on a refusal or failure."""

    query_id: int
    name: str
    cls: int
    result: str
    reason: str
    took_ms: float
    parts: int
    extra_attempts: int  # beyond each part's first
    failed_attempts: Sequence[tuple[Attempt, api.Outcome, float]]  # those that ended while it was open; duration in ms


class Sink(Protocol):
    """Where a query's answers go. Exactly one of `answered`, `rejected`, `failed` is called, once."""

    def client_has_left(self) -> bool:
        """Whether its client has gone, as far as can be asked now. Nothing is sent on for such a query."""

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        """The parts of the second step, after a first answer; none if the first answer is enough."""

    def answered(self, results: Sequence[tuple[PartPlan, object]], whole: bool) -> None: ...

    def rejected(self, retry_after_ms: float) -> None: ...

    def failed(self) -> None: ...


class Transport(Protocol):
    """Sends calls. Each attempt's end is told by `Driver.attempt_completed`, once; not after it was cancelled."""

    def send(self, node: int, attempts: Sequence[Attempt]) -> None: ...

    def cancel(self, attempt: Attempt) -> None:
        """Of what has not begun no byte leaves any more; else the server is told, where it can be."""

    def begun(self, attempt: Attempt) -> bool:
        """Whether a byte of it may have left."""

    def close_idle(self, node: int) -> None: ...


class ServerList(Protocol):
    """The list of servers, where it tells only on asking."""

    def follow(self, on: bool) -> None: ...

    def read_list(self) -> None: ...


class Schedule(Protocol):
    """Time. `wake` asks for one call of the driver's turn at that time or, where None, as soon as may be."""

    def now_ms(self) -> float: ...

    def wake(self, at_ms: float | None) -> None: ...


class Observer(Protocol):
    """What a person would ask about later. Called after the decision, never to make one."""

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, took_ms: float) -> None: ...

    def query_ended(self, query: CompletedQuery) -> None: ...

    def stepped(self, events: int, seconds: float) -> None: ...

    def report_fault(self, what: str, detail: str) -> None: ...
