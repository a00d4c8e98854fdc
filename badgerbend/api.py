"""The interface of `Aggregator`: settings, events and actions. It holds no decision and no tuned value.

Times are milliseconds on any clock that does not go backwards; weights and shares are fractions of one.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol


class Outcome(IntEnum):
    """How an attempt or a health check ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; the part may have run
    REJECTED = 2  # the server's queue was full: rejected unread
    TIMEOUT = 3  # no answer in time; it may have run, or may run still
    CONNECT_FAILED = 4  # no connection in time
    RESET = 5  # the connection broke; it may have run
    CANCELLED = 6  # cancelled after it was sent; it may have run
    NOT_SENT = 7  # cancelled before it left the broker

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def label(self) -> str:
        """The word for this outcome in metric labels, logs and status pages, which is part of their interface."""
        return _OUTCOME_LABELS.get(self, self.name)


_OUTCOME_LABELS = {Outcome.REJECTED: "FULL", Outcome.NOT_SENT: "MOOT"}


class EndpointState(IntEnum):
    """What the endpoint list states about a server."""

    REMOVED = 0
    READY = 1
    DRAINING = 2

    @property
    def label(self) -> str:
        """The word for this state in metric labels, which is part of their interface."""
        return "gone" if self is EndpointState.REMOVED else self.name.lower()


class UpdateKind(IntEnum):
    """What an update of the endpoint list contains."""

    DELTA = 0  # the endpoints that changed
    FULL = 1  # all endpoints: one that is not named has been removed
    CACHED = 2  # all endpoints, from a cache that may be out of date
    FAILED = 3  # nothing: the call to discovery failed


# -- settings


@dataclass(frozen=True, slots=True)
class QueryClass:
    """What the clients of one class of queries expect."""

    latency_objective_ms: float  # an answer within this earns the full value
    deadline_ms: float  # how long the client waits, over all of its attempts
    effect: str  # "safe", "keyed" (idempotent with an idempotency key) or "unsafe" to repeat
    idempotency_window_ms: float  # keyed: servers drop repeats for this long
    late_value_share: float  # share of the value that an answer after the latency objective still earns
    priority_weight: float
    complete_weight: float  # weight of the parts that make a complete answer
    minimum_weight: float  # least weight of parts that an answer may be made from
    partial_value: float  # value of a partial answer, times its share of the complete weight
    follow_up_parts: int  # parts fetched in a second step, after the first answer; 0 for none


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's quota."""

    quota_per_s: float  # queries a second, over all brokers


@dataclass(frozen=True, slots=True)
class Settings:
    """What the decisions are configured with."""

    classes: tuple[QueryClass, ...]
    tenants: tuple[Tenant, ...]
    broker_index: int
    broker_count: int
    zone: int
    cell_count: int
    cells_per_shard: int  # consecutive cells that hold a shard
    parts_per_call: int
    max_attempts: int  # of one part, the first one included
    max_open: int  # queries and parts that the broker may hold at once
    hedging: bool  # whether a part may have more than one attempt in flight
    cancel: bool  # whether attempts in flight may be cancelled
    health_checks: bool
    retry_after: bool  # whether a rejection may state when to come back
    max_retry_after_ms: float
    connection_idle_ms: float  # servers close a connection that has been idle for this long
    connect_timeout_ms: float
    polls_endpoint_list: bool  # whether discovery must be polled, because it pushes nothing
    max_poll_interval_ms: float  # where the list is polled: after this long without a poll, changes count as notified
    over_quota_weight: float  # factor on the priority weight of queries beyond their tenant's quota
    slow_start_from: float  # share of its capacity that a server bears right after its start
    slow_start_ms: float  # time after which it bears all of it
    overload_factor: float  # multiple of its usual load that makes a server fail
    overload_window_ms: float  # the window over which that load is counted
    retry_budget_min: float | None  # further attempts in a window that are always allowed; None: no retry budget
    retry_budget_share: float | None  # further attempts allowed for each part taken in the window
    retry_budget_window_ms: float | None
    max_notification_delay_ms: float = math.inf  # where polled: a change counts as notified after this, come what may
    max_write_delay_ms: float = 0.0  # the process may be held up so long between a decision and its first byte


# -- events


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server, as the endpoint list states it."""

    node: int
    cell: int
    state: EndpointState
    started_ms: float  # 0: long ago
    zone: int
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A watch event, or the answer to a poll, of the endpoint list."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Part:
    """One part of a query: what one shard has to answer."""

    id: int
    shard: int
    weight: float
    cost_ms: float | None  # rough hint of its work


@dataclass(frozen=True, slots=True)
class Query:
    """A client's query has arrived."""

    id: int
    number: int
    class_index: int
    tenant: int
    key: int
    time_left_ms: float
    is_retry: bool
    cost_ms: float | None
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class FollowUpParts:
    """The parts of the second step of a query that was answered once."""

    number: int
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt has ended."""

    part: int
    attempt: int
    node: int
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...]  # the server's load report


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A server has acknowledged an attempt."""

    part: int
    attempt: int
    node: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a query has left; nothing more is to be done for it."""

    id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` has fired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """A health check has ended."""

    node: int
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Another broker has sent a message."""

    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class EndpointObservation:
    """What a broker has observed of one server."""

    node: int
    response_time_ms: float  # of a typical part
    age_ms: float  # time since the response time was observed
    is_down: bool  # it has refused or broken connections since its last answer


@dataclass(frozen=True, slots=True)
class Observations:
    """What a broker has observed. As an event: what others observed, for where this one has seen nothing itself."""

    nodes: tuple[EndpointObservation, ...]
    answers: tuple[tuple[float, float, bool], ...]  # of parts: age, latency, censored; the oldest first


Event = (
    EndpointUpdate
    | Query
    | FollowUpParts
    | AttemptCompleted
    | AttemptStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckCompleted
    | PeerMessage
    | Observations
)


# -- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Send the next attempt of a part to a server."""

    part: int
    node: int
    timeout_ms: float
    start_within_ms: float = math.inf  # if its first byte has not left by then, it must not leave any more


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    part: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a query from the parts that are in."""

    query: int
    complete: bool


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a query that had no effect; the client may repeat it."""

    query: int
    retry_after_ms: float
    reason: str = field(default="", compare=False)  # for the log; nothing rests on it


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail a query that may have had an effect."""

    query: int
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call back with `TimerFired`; it replaces a timer set before."""

    after_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Check a server's health."""

    node: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections to a server."""

    node: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to another broker."""

    peer: int | None  # None: all of them
    payload: bytes


@dataclass(frozen=True, slots=True)
class FollowEndpointList:
    """Poll discovery for changes from now on, or no longer."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Fetch the complete endpoint list from discovery, once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send
    | Cancel
    | Answer
    | Reject
    | Fail
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | SendToPeer
    | FollowEndpointList
    | FetchEndpointList
    | Log
)


# -- collaborators of the decisions


class SitePreference(Protocol):
    """Preference among sites, and limits on what is sent to each. Without one all servers are equal.

    It is called within a step, in the order of the decisions, and is as pure as they are.
    """

    def observe(self, now_ms: float, events: Sequence[Event]) -> None:
        """Takes note of all that happened, before any decision on it."""

    def admits(self, query: Query, over_quota: bool, fewest: int) -> bool:
        """Whether a query is admitted; fewest: how many of its parts make a complete answer."""

    def allows_surplus(self) -> bool:
        """Whether parts beyond the fewest may be sent now."""

    def rank(self, shard: int) -> int:
        """How near the nearest site is that a part of this shard may go to now: greater is nearer, 0 for none."""

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        """Those of a shard's servers, all admitted, that a part may go to now; none: it must wait.

        safe: it may be lost, or run twice, without harm. `attempt_sent` refers to what was returned last.
        """

    def site_rate(self, node: int) -> float:
        """A warm server's share of the rate at which this broker may send to its site, in parts a millisecond; 0 where
        no limit holds there."""

    def attempt_sent(self, part: int, attempt: int, node: int) -> None:
        """An attempt was sent to a server."""


class SlowStartBudget(Protocol):
    """What a broker may send to servers that are warming up, where brokers share that out by demand.

    Without one each broker keeps to its own share. It is called within a step, and is as pure as the decisions.
    """

    def server_rate(
        self, now_ms: float, node: int, own_rate: float, rate_multiplier: float, part: int, replica_count: int
    ) -> float:
        """The rate, in parts per millisecond to a warm server, that the limit for a server warming up is derived from.

        own_rate: the rate at which this broker sends to a warm server.
        rate_multiplier: the multiple of that rate which the server may be sent at this stage of its warm-up.
        part: a part that would go to this server or to another of the `replica_count` replicas of its shard.
        """

    def recovering_site_rate(self, now_ms: float, name: str, own_rate: float, demand_rate: float) -> float:
        """The rate, in parts per millisecond, at which this broker may send to a site that is recovering.

        own_rate: the limit without a shared budget; demand_rate: the rate at which this broker would send.
        """
