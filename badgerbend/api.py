"""The interface of `Aggregator`: settings, events, actions. It holds no decision and no tuned value."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Protocol


class Outcome(IntEnum):
    """How an attempt or a probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; the part may have run
    FULL = 2  # turned away unread
    TIMEOUT = 3  # no answer in time; it may have run, or run still
    CONNECT_FAILED = 4  # no connection in time
    RESET = 5  # the connection broke; it may have run
    CANCELLED = 6  # called off; it may have run
    MOOT = 7  # never left the broker

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt had no effect."""
        return self in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class NodeState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ViewKind(IntEnum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


# -- settings


@dataclass(frozen=True, slots=True)
class QueryClass:
    aim_ms: float  # an answer within this earns its full worth
    deadline_ms: float  # the client's patience over all its tries
    effect: str  # "safe", "keyed" or "unsafe" to repeat
    repeat_window_ms: float  # keyed: repeats are dropped for this long
    late_worth: float  # share of the worth kept after the aim
    worth: float
    need: float  # weight of the parts that make a whole answer
    floor: float  # least weight that an answer may rest on
    partial: float  # worth of an answer not marked whole, times share over need
    second_step: int  # parts fetched after the first answer; 0 for none


@dataclass(frozen=True, slots=True)
class Tenant:
    quota_per_s: float  # over all brokers


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[QueryClass, ...]
    tenants: tuple[Tenant, ...]
    broker: int
    brokers: int
    zone: int
    cells: int
    reach: int  # consecutive cells that hold a shard
    parts_per_call: int
    max_attempts: int
    max_open: int
    second_copies: bool
    cancel: bool
    probing: bool
    retry_after: bool
    max_retry_after_ms: float
    conn_idle_ms: float  # an idle connection is closed after this
    connect_timeout_ms: float
    list_by_asking: bool
    must_ask_ms: float  # where the list is asked: a broker silent for longer counts as told
    over_share_worth: float
    cold_from: float
    cold_ms: float
    overload_factor: float
    fall_ms: float
    extra_free: float | None  # further attempts: free ones in a window; None where no budget is stated
    extra_share: float | None
    extra_window_ms: float | None
    told_ms: float = math.inf  # where asked: what the list has counts as told so long after, whatever became of a call


# -- events


@dataclass(frozen=True, slots=True)
class NodeLine:
    node: int
    cell: int
    state: NodeState
    started_ms: float  # 0: long ago
    zone: int
    kind: int
    size: float


@dataclass(frozen=True, slots=True)
class View:
    kind: ViewKind
    lines: tuple[NodeLine, ...]


@dataclass(frozen=True, slots=True)
class Part:
    id: int
    shard: int
    weight: float
    cost_ms: float | None  # rough hint of its work


@dataclass(frozen=True, slots=True)
class Query:
    id: int
    number: int
    cls: int
    tenant: int
    key: int
    time_left_ms: float
    is_retry: bool
    cost_ms: float | None
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class MoreParts:
    """The second step of a query that was answered once."""

    number: int
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class Completed:
    part: int
    attempt: int
    node: int
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Started:
    part: int
    attempt: int
    node: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Gone:
    id: int


@dataclass(frozen=True, slots=True)
class Alarm:
    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    node: int
    outcome: Outcome
    elapsed_ms: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Message:
    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Seen:
    """What is known of a server: what a usual part took there, and how long ago that was seen."""

    node: int
    time_ms: float
    age_ms: float
    dead: bool  # it refused or broke connections since it was heard


@dataclass(frozen=True, slots=True)
class Known:
    """What a broker has seen. As an event: what others have seen, for where this one has seen nothing itself."""

    nodes: tuple[Seen, ...]
    answers: tuple[tuple[float, float, bool], ...]  # of parts: age, latency, censored; the oldest first


Event = View | Query | MoreParts | Completed | Started | Gone | Alarm | Probed | Message | Known


# -- actions


@dataclass(frozen=True, slots=True)
class Send:
    part: int
    node: int
    timeout_ms: float
    begin_ms: float = math.inf  # not begun by then, its first byte must not leave any more


@dataclass(frozen=True, slots=True)
class Cancel:
    part: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Answer:
    query: int
    whole: bool


@dataclass(frozen=True, slots=True)
class Refuse:
    query: int
    retry_after_ms: float
    why: str = field(default="", compare=False)  # for the log; nothing rests on it


@dataclass(frozen=True, slots=True)
class Fail:
    query: int
    why: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class SetAlarm:
    after_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    node: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    node: int


@dataclass(frozen=True, slots=True)
class Tell:
    peer: int | None  # None: all of them
    payload: bytes


@dataclass(frozen=True, slots=True)
class Follow:
    """Ask discovery for changes from now on, or no longer."""

    on: bool


@dataclass(frozen=True, slots=True)
class ReadList:
    """Ask discovery once for the whole list."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Send | Cancel | Answer | Refuse | Fail | SetAlarm | Probe | CloseIdle | Tell | Follow | ReadList | Log


# -- beside the module


class Sites(Protocol):
    """Preference among sites, and limits on what goes to each. Without one all servers stand alike.

    It is called within a step, in the order of the decisions, and is as pure as the module.
    """

    def hear(self, now_ms: float, events: Sequence[Event]) -> None:
        """All that happens, before the module decides on it."""

    def takes(self, query: Query, over_quota: bool, fewest: int) -> bool:
        """Whether a query is let in; fewest: so many of its parts make a whole answer."""

    def spares(self) -> bool:
        """Whether parts beyond the fewest may be sent now."""

    def rank(self, shard: int) -> int:
        """How near the nearest site is that a part of this shard may go to now: greater is nearer, 0 for none."""

    def among(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        """Those of a shard's servers, all admitted, that a part may go to now; none: it must wait.

        safe: it may be lost, or run twice, without harm. What was returned last is what `sent` is told of.
        """

    def pace(self, node: int) -> float:
        """What a warm server's share is of what this broker may send to its site, in parts a millisecond; 0 where
        no limit holds there."""

    def sent(self, part: int, attempt: int, node: int) -> None: ...


class Allowance(Protocol):
    """What a broker may send to what is cold, where brokers share that out by demand. Without one each keeps to its
    own share. It is called within a step, and is as pure as the module."""

    def usual(self, now_ms: float, node: int, own: float, times: float, part: int, among: int) -> float:
        """The pace, in parts a millisecond and as if the server were warm, from which what it may be sent follows.

        own: this broker's own; times: so much of it may go there now, as cold as it is; part: one that would go there
        or to another of so many servers, among.
        """

    def site(self, now_ms: float, name: str, own: float, wanted: float) -> float:
        """What may go to a site on its way back, in parts a millisecond. wanted: what this broker would send."""
