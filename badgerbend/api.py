"""The interface of `Aggregator`: settings, events and actions. It contains no decisions and no tuned values.

A step of the aggregator takes events and returns actions. Its decisions are the code that chooses these actions.

Times are milliseconds of any monotonic clock; weights and shares are fractions of one.
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
    REJECTED = 2  # the server's queue was full; the part was rejected without being read
    TIMEOUT = 3  # no answer before the timeout; the part may have run or may still be running
    CONNECT_FAILED = 4  # no connection could be established in time
    RESET = 5  # the connection broke; the part may have run
    CANCELLED = 6  # cancelled after it was sent; the part may have run
    NOT_SENT = 7  # cancelled before it was sent

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect on the server."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)

    @property
    def label(self) -> str:
        """The name of this outcome in metric labels, logs and status pages, where it is part of the interface."""
        return _OUTCOME_LABELS.get(self, self.name)


_OUTCOME_LABELS = {Outcome.REJECTED: "FULL", Outcome.NOT_SENT: "MOOT"}


class EndpointState(IntEnum):
    """The state of a server in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2

    @property
    def label(self) -> str:
        """The name of this state in metric labels, where it is part of the interface."""
        return "gone" if self is EndpointState.REMOVED else self.name.lower()


class UpdateKind(IntEnum):
    """What an update of the endpoint list contains."""

    DELTA = 0  # only the endpoints that changed
    FULL = 1  # all endpoints; those missing from it have been removed
    CACHED = 2  # all endpoints, from a cache that may be out of date
    FAILED = 3  # nothing, because the call to discovery failed


# -- settings


@dataclass(frozen=True, slots=True)
class QueryClass:
    """The requirements of one class of queries."""

    latency_objective_ms: float  # an answer within this time has its full value
    deadline_ms: float  # how long a client waits in total, including its retries
    effect: str  # "safe", "keyed" (idempotent with an idempotency key) or "unsafe" to repeat
    idempotency_window_ms: float  # for "keyed": how long servers recognize and drop repeated requests
    late_value_share: float  # share of its value that an answer keeps after the latency objective
    priority_weight: float
    complete_weight: float  # total weight of parts that makes an answer complete
    minimum_weight: float  # least total weight of parts that a partial answer needs
    partial_value: float  # factor on the value of a partial answer, in addition to its share of the complete weight
    follow_up_parts: int  # number of parts in a second step after the first answer; 0 for none


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant's quota."""

    quota_per_s: float  # queries per second, over all brokers


@dataclass(frozen=True, slots=True)
class Settings:
    """The configuration of the aggregator's decisions."""

    classes: tuple[QueryClass, ...]
    tenants: tuple[Tenant, ...]
    broker_index: int
    broker_count: int
    zone: int
    cell_count: int
    cells_per_shard: int  # number of consecutive cells whose servers hold a shard
    parts_per_call: int
    max_attempts: int  # limit for one part, including the first attempt
    max_open: int  # limit of open queries and parts at the broker
    hedging: bool  # whether a part may have more than one attempt in flight
    cancel: bool  # whether attempts in flight may be cancelled
    health_checks: bool
    retry_after: bool  # whether a rejection may tell the client when to retry
    max_retry_after_ms: float
    connection_idle_ms: float  # servers close a connection that has been idle for this long
    connect_timeout_ms: float
    polls_endpoint_list: bool  # whether discovery must be polled because it does not push changes
    max_poll_interval_ms: float  # if polling: without a poll for this long, the broker counts as notified of changes
    over_quota_weight: float  # factor on the priority weight of queries beyond their tenant's quota
    slow_start_from: float  # share of its full capacity that a server has right after its start
    slow_start_ms: float  # time after its start at which a server has its full capacity
    overload_factor: float  # multiple of its usual load at which a server fails
    overload_window_ms: float  # window over which that load is counted
    retry_budget_min: float | None  # retries that are always allowed within the window; None: no retry budget
    retry_budget_share: float | None  # retries allowed per query and part accepted within the window
    retry_budget_window_ms: float | None
    max_notification_delay_ms: float = math.inf  # if polling: the broker counts as notified of a change after this
    max_write_delay_ms: float = 0.0  # longest delay of the process between a decision to send and the first byte


# -- events


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server of the endpoint list."""

    node: int
    cell: int  # see `Settings.cells_per_shard`
    state: EndpointState
    started_ms: float  # time of its last start; 0 if it started long ago
    zone: int
    kind: int
    size: float  # capacity relative to a server of size 1


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A change of the endpoint list, from a watch or from the answer to a poll."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Part:
    """One part of a query: the request to one shard."""

    id: int
    shard: int
    weight: float
    cost_ms: float | None  # rough estimate of its processing time, if there is one


@dataclass(frozen=True, slots=True)
class Query:
    """A client's query has arrived."""

    id: int
    number: int  # identifies the query in `FollowUpParts`
    class_index: int
    tenant: int
    key: int
    time_left_ms: float
    is_retry: bool
    cost_ms: float | None
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class FollowUpParts:
    """The parts of the second step of a query whose first step has been answered."""

    number: int  # of the query
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class AttemptCompleted:
    """An attempt has ended, with or without an answer."""

    part: int
    attempt: int
    node: int
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...]  # the server's load report; empty if there is none


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A server has acknowledged an attempt."""

    part: int
    attempt: int
    node: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a query has disconnected; the query needs no answer."""

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
    """What a broker has observed of servers and latencies.

    As an event it contains the observations of other brokers, used where this broker has none of its own.
    """

    nodes: tuple[EndpointObservation, ...]
    answers: tuple[tuple[float, float, bool], ...]  # age, latency and whether it is censored, per part; oldest first


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
    start_within_ms: float = math.inf  # an attempt whose first byte has not been sent by then must not be sent


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    part: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer a query from the parts that have been answered."""

    query: int
    complete: bool


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a query that had no effect; the client may retry it."""

    query: int
    retry_after_ms: float
    reason: str = field(default="", compare=False)  # for the log only; no decision depends on it


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail a query that may have had an effect."""

    query: int
    reason: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver `TimerFired` after a delay. It supersedes a timer that was set before, which may still be delivered."""

    after_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class StartHealthCheck:
    """Start a health check of a server."""

    node: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close all idle connections to a server."""

    node: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to another broker."""

    peer: int | None  # None: all of them
    payload: bytes


@dataclass(frozen=True, slots=True)
class FollowEndpointList:
    """Start or stop polling discovery for changes of the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Fetch the complete endpoint list from discovery once."""


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
    """Preference among sites, and limits on what is sent to each. Without one, all servers are treated alike.

    It is called during a step, in the order of the decisions, and must be pure like them: it
    reads no clock and does no I/O.
    """

    def observe(self, now_ms: float, events: Sequence[Event]) -> None:
        """Records the events of a step before any decision on them is made."""

    def admits(self, query: Query, over_quota: bool, fewest: int) -> bool:
        """Whether a query is admitted. fewest: the number of its parts that makes a complete answer."""

    def allows_surplus(self) -> bool:
        """Whether more parts than a complete answer needs may be sent now."""

    def rank(self, shard: int) -> int:
        """Rank of the nearest site that may be sent a part of this shard now; greater is nearer, 0 if there is none."""

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        """The servers that a part may be sent to now, out of the given replicas of its shard; if empty, it must wait.

        safe: the part may be lost or run twice without harm. `attempt_sent` refers to the result of the last call.
        """

    def site_rate(self, node: int) -> float:
        """A warm server's share of this broker's rate limit for the server's site, in parts per millisecond.

        0 where the site has no limit.
        """

    def attempt_sent(self, part: int, attempt: int, node: int) -> None:
        """Records that an attempt was sent to a server."""


class SlowStartBudget(Protocol):
    """The rates at which a broker may send to servers that are warming up, if brokers share such rates by demand.

    Without one, each broker uses a limit derived from its own traffic. It is called during a step and must be pure
    like the decisions: it reads no clock and does no I/O.
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
