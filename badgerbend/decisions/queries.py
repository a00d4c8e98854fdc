"""Open queries, their parts and the attempts in flight."""

from __future__ import annotations

from enum import Enum
from itertools import accumulate
from math import isfinite

from badgerbend import api
from badgerbend.decisions.servers import Server
from badgerbend.decisions.timing import FINAL_ANSWER_MARGIN_MS

ROUNDING = 5e-5
"""Tolerance for sums of weights that fall short through rounding."""


class EndReason(Enum):
    """The reason why a query ended without a complete answer, as it is written to the log."""

    NO_SITE = "no site takes it"
    FORESEEN_LATE = "foreseen to be late"
    UNLIKELY = "more likely lost than answered"
    NO_ATTEMPT_LEFT = "no attempt is left"
    SERVERS_DOWN = "servers died under it"
    DEADLINE_EXCEEDED = "its time is over"


class Attempt:
    """One attempt of a part. Times are milliseconds.

    idle_ms: how long its connection had been idle before the attempt; infinite for a new connection.
    lost: whether the attempt was lost or late; None while that is unknown.
    """

    __slots__ = ("idle_ms", "lost", "sent_ms", "server")

    def __init__(self, server: Server, sent_ms: float, idle_ms: float) -> None:
        self.server = server
        self.sent_ms = sent_ms
        self.idle_ms = idle_ms
        self.lost: bool | None = None


class PartState:
    """One part of an open query.

    in_flight: attempts in flight, by attempt number.
    may_have_run: send times of the attempts that may have had an effect, by attempt number.
    """

    __slots__ = (
        "attempts_made",
        "cost_ms",
        "done",
        "id",
        "in_flight",
        "may_have_run",
        "query",
        "runs_once",
        "servers_tried",
        "shard",
        "weight",
    )

    def __init__(self, part: api.Part, query: QueryState) -> None:
        self.id = part.id
        self.shard = part.shard
        self.weight = part.weight
        self.cost_ms = part.cost_ms if part.cost_ms and isfinite(part.cost_ms) else 0.0
        self.query = query
        self.attempts_made = 0
        self.done = False
        self.runs_once = query.query_class.effect == "unsafe"
        self.in_flight: dict[int, Attempt] = {}
        self.servers_tried: list[Server] = []
        self.may_have_run: dict[int, float] = {}


class QueryState:
    """One open query.

    objective_at_ms: time of its latency objective.
    end_at_ms: latest time for its final answer.
    reserved_parts: parts that have not been sent yet, such as surplus parts if any m of k parts answer the query.
    answered_weight, answered_parts: weight and number of parts answered in the current step.
    failed_servers: servers that went down while they processed one of its parts.
    cleared: whether a part was answered, which proves that the query is no poison request.
    parts_to_send: number of parts that the redundancy policy sends.
    has_canary: whether one part is sent before the others.
    complete: whether no partial answer was given so far.
    review_at_ms: earliest time of the next search for late parts.
    step: 1, or 2 once the follow-up parts have arrived.
    """

    __slots__ = (
        "answered_parts",
        "answered_weight",
        "cleared",
        "complete",
        "end_at_ms",
        "failed_servers",
        "has_canary",
        "id",
        "number",
        "objective_at_ms",
        "parts",
        "parts_to_send",
        "query_class",
        "reserved_parts",
        "review_at_ms",
        "step",
    )

    def __init__(self, event: api.Query, query_class: api.QueryClass, now_ms: float) -> None:
        self.id = event.id
        self.number = event.number
        self.query_class = query_class
        self.objective_at_ms = now_ms + query_class.latency_objective_ms
        time_left_ms = event.time_left_ms if isfinite(event.time_left_ms) else 0.0
        self.end_at_ms = now_ms + time_left_ms - FINAL_ANSWER_MARGIN_MS
        if query_class.late_value_share <= 0:  # a late answer is worthless: ending the query frees its servers
            self.end_at_ms = min(self.end_at_ms, self.objective_at_ms)
        self.parts: list[PartState] = []
        self.reserved_parts: list[PartState] = []
        self.step = 1
        self.answered_weight = 0.0
        self.answered_parts = 0
        self.review_at_ms = 0.0
        self.failed_servers: set[int] = set()
        self.cleared = False
        self.parts_to_send = 0
        self.has_canary = False
        self.complete = True

    @property
    def allows_partial_answer(self) -> bool:
        """Whether its class allows a partial answer."""
        return self.query_class.minimum_weight < self.query_class.complete_weight

    @property
    def minimum_weight(self) -> float:
        """The least weight of parts for its first answer."""
        return min(self.query_class.complete_weight, self.query_class.minimum_weight)

    def fewest_parts(self, weight: float) -> int:
        """The least number of parts that together have this weight whichever they are; all for a weight of one."""
        sums = accumulate(sorted(part.weight for part in self.parts))
        lighter = sum(1 for total in sums if weight >= 1 or total < weight - ROUNDING)
        return min(1 + lighter, len(self.parts))

    def begin_follow_up(self) -> None:
        """Starts the second step; its parts are added afterwards."""
        self.step = 2
        self.answered_weight = 0.0
        self.answered_parts = 0
        self.clear_parts()

    def clear_parts(self) -> None:
        """Drops its parts, to break their reference cycles with it, which only the garbage collector would free."""
        self.parts = []
        self.reserved_parts = []


class QueryTable:
    """All open queries by id and by number, their parts by id, and all attempts in flight.

    attempts: includes attempts that were cancelled or whose query has ended, until they complete.
    """

    def __init__(self) -> None:
        self.by_id: dict[int, QueryState] = {}
        self.by_number: dict[int, QueryState] = {}
        self.parts: dict[int, PartState] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}

    def add(self, query: QueryState) -> None:
        """Adds an open query."""
        self.by_id[query.id] = query
        self.by_number[query.number] = query

    def add_part(self, query: QueryState, part: api.Part) -> PartState:
        """Adds a part to an open query."""
        state = PartState(part, query)
        self.parts[part.id] = state
        query.parts.append(state)
        return state

    def remove(self, query: QueryState) -> None:
        """Removes a query that has ended."""
        del self.by_id[query.id]
        del self.by_number[query.number]

    def remove_parts(self, query: QueryState) -> None:
        """Removes the parts of a query; their attempts remain until they complete."""
        for part in query.parts:
            self.parts.pop(part.id, None)

    def next_end_ms(self, now_ms: float, latest_ms: float) -> float:
        """The earliest time after now at which a query must end, or `latest_ms` if there is none before it."""
        earliest = latest_ms
        for query in self.by_id.values():
            if now_ms < query.end_at_ms < earliest:
                earliest = query.end_at_ms
        return earliest
