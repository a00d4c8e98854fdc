"""The interfaces between the driver and its environment.

A front end provides a `Sink` for each query, and the client side of a wire protocol provides a `Transport`.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from badgerbend import api


@dataclass(slots=True, eq=False)
class PartPlan:
    """A part of a query as the front end requests it. payload: passed on to the transport; opaque to the driver."""

    shard: int
    weight: float
    cost_ms: float | None
    payload: object


@dataclass(slots=True, eq=False)
class QueryPlan:
    """A query as the front end submits it. time_left_ms counts from the submission."""

    cls: int
    tenant: int
    key: int
    time_left_ms: float
    is_retry: bool
    cost_ms: float | None
    parts: Sequence[PartPlan]
    name: str = ""  # identifies the query in the log


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at one part. number: counts the attempts at a part from 0. Times are in milliseconds."""

    part_id: int
    number: int
    node: int
    plan: PartPlan
    query_id: int
    sent_ms: float
    timeout_ms: float
    begin_by_ms: float = math.inf  # the latest time to send the first byte, by the clock of sent_ms
    handle: object = None  # for use by the transport

    def time_left_ms(self, now_ms: float) -> float:
        """Returns the rest of the timeout, which is sent to the server; it never exceeds the client's time left."""
        return self.timeout_ms - (now_ms - self.sent_ms)


@dataclass(frozen=True, slots=True)
class CompletedQuery:
    """How a query ended, for logs and metrics. reason: the aggregator's reason for a rejection or failure."""

    query_id: int
    name: str
    cls: int
    result: str  # a label for logs and metrics, such as "answered" or "failed"
    reason: str
    took_ms: float
    parts: int
    extra_attempts: int  # attempts other than the first of a part
    failed_attempts: Sequence[tuple[Attempt, api.Outcome, float]]  # while the query was open; duration in ms


class Sink(Protocol):
    """Receives the result of a query: one of `answered`, `rejected` and `failed` is called once.

    None of them is called if the client has disconnected before. `answered` states whether the results suffice for a
    complete answer. A rejected query is safe to retry; its retry_after_ms is 0 if the client is not told when to retry.
    Parts of a failed query may have run.
    """

    def client_has_left(self) -> bool:
        """Whether the client has disconnected, as far as is known now. Nothing more is sent for such a query."""

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        """Returns the parts of the second step after the first answer; none if the first answer is sufficient."""

    def answered(self, results: Sequence[tuple[PartPlan, object]], complete: bool) -> None: ...

    def rejected(self, retry_after_ms: float) -> None: ...

    def failed(self) -> None: ...


class Transport(Protocol):
    """Sends calls to servers; the attempts of one `send` share a call.

    It reports the end of each attempt to `Driver.attempt_completed` once, unless the attempt was cancelled before.
    """

    def send(self, node: int, attempts: Sequence[Attempt]) -> None: ...

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt. If no byte was sent, none will be; otherwise the server is notified if possible."""

    def begun(self, attempt: Attempt) -> bool:
        """Whether a byte of the attempt may have been sent."""

    def close_idle(self, node: int) -> None: ...


class ServerList(Protocol):
    """The source of the list of servers, for lists that are polled only on request.

    `follow` starts or stops polling for changes; `read_list` requests the complete list now.
    """

    def follow(self, enabled: bool) -> None: ...

    def read_list(self) -> None: ...


class Schedule(Protocol):
    """The clock and the wake-ups of the driver.

    `wake` requests one call of the driver's `turn` at the given time, or as soon as possible if it is None.
    """

    def now_ms(self) -> float: ...

    def wake(self, at_ms: float | None) -> None: ...


class Observer(Protocol):
    """Receives what is logged and counted. It is called after decisions and never influences them.

    `stepped` receives the number of events of a step and the time that the aggregator took for it. `report_fault`
    receives the kind and the detail of a fault that an operator should know about.
    """

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, took_ms: float) -> None: ...

    def query_ended(self, query: CompletedQuery) -> None: ...

    def stepped(self, events: int, seconds: float) -> None: ...

    def report_fault(self, kind: str, detail: str) -> None: ...
