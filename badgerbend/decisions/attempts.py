"""What follows from the end of an attempt: for its server, for the estimates and for its query."""

from __future__ import annotations

from math import inf

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.decisions.budget import HedgeBudget
from badgerbend.decisions.completion import QueryCompletion
from badgerbend.decisions.connections import ConnectionMonitor
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import Attempt, EndReason, PartState
from badgerbend.decisions.retries import RetryPolicy
from badgerbend.decisions.sending import PartSender
from badgerbend.decisions.timing import TICK_MS

ROUND_TRIP_MS = 5.0
"""A connection that breaks sooner than this did so before the part can have begun: that is as good as refused."""


FAILED_AT_ONCE = (Outcome.REJECTED, Outcome.ERROR, Outcome.RESET)
"""Outcomes that say nothing about how long a part takes."""


class AttemptResults:
    """Takes the ends of attempts."""

    def __init__(
        self,
        context: DecisionContext,
        connections: ConnectionMonitor,
        outliers: OutlierDetector,
        retries: RetryPolicy,
        hedges: HedgeBudget,
        sender: PartSender,
        completion: QueryCompletion,
    ) -> None:
        self._connect_timeout_ms = context.settings.connect_timeout_ms
        self._actions = context.actions
        self._queries = context.queries
        self._latency = context.latency
        self._connections = connections
        self._outliers = outliers
        self._retries = retries
        self._hedges = hedges
        self._sender = sender
        self._completion = completion

    def completed(self, event: api.AttemptCompleted, now_ms: float) -> None:
        """An attempt has ended. One that is not in flight is ignored."""
        attempt = self._queries.attempts.pop((event.part, event.attempt), None)
        if attempt is None:
            return
        del attempt.server.in_flight[event.part, event.attempt]
        part = self._queries.parts.get(event.part)
        self._observe(event, attempt, part, now_ms)
        if part is None or part.in_flight.pop(event.attempt, None) is None or part.done:
            return
        if event.outcome.never_ran:
            del part.may_have_run[event.attempt]
        if event.outcome == Outcome.OK:
            self._part_answered(part, event.attempt, now_ms)
        else:
            self._part_failed(part, attempt, event, now_ms)

    def judge(self, attempt: Attempt, now_ms: float, *, lost: bool) -> None:
        """An attempt was answered, or it was lost or is late."""
        self._connections.record_result(attempt, now_ms, lost=lost)
        self._outliers.record_result(attempt.server.zone, lost=lost)

    def _observe(self, event: api.AttemptCompleted, attempt: Attempt, part: PartState | None, now_ms: float) -> None:
        """Takes what the end of an attempt says about its server, its connection and latencies."""
        latency_ms = now_ms - attempt.sent_ms
        answered = event.outcome == Outcome.OK
        handshake_timed_out = self._handshake_timed_out(event)
        if attempt.idle_ms == inf and not self._outliers.is_zone_unreachable(attempt.server):
            self._connections.record_handshake(failed=handshake_timed_out)
        self._judge_connection(event.outcome, attempt, latency_ms, now_ms)
        self._latency.add(now_ms, latency_ms, censored=not answered)
        if answered and attempt.server.is_down:
            self._outliers.answered(attempt.server, attempt, now_ms)
        elif self._broke_midway(event):
            self._outliers.connection_lost(attempt.server, now_ms, refused=False)
        elif event.outcome == Outcome.CONNECT_FAILED and not handshake_timed_out:
            self._outliers.connection_lost(attempt.server, now_ms, refused=True)
        failed_at_once = event.outcome in FAILED_AT_ONCE or handshake_timed_out
        self._latency.observe(
            attempt.server, part, latency_ms, now_ms, answered=answered, failed_at_once=failed_at_once
        )

    def _judge_connection(self, outcome: Outcome, attempt: Attempt, latency_ms: float, now_ms: float) -> None:
        """Notes whether the connection of an attempt works; one that an attempt was lost or late on is closed."""
        server = attempt.server
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._connections.mark_used(server, now_ms)
            self.judge(attempt, now_ms, lost=False)
        elif outcome in (Outcome.RESET, Outcome.CONNECT_FAILED) or latency_ms > (self._latency.late_ms or inf):
            self._connections.mark_unusable(server)
            if not server.in_flight:
                self._actions.append(api.CloseIdleConnections(server.id))
            self.judge(attempt, now_ms, lost=True)

    def _handshake_timed_out(self, event: api.AttemptCompleted) -> bool:
        """Whether a connection did not come up in time, which is no proof that the server is down."""
        if event.outcome != Outcome.CONNECT_FAILED:
            return False
        return event.elapsed_ms > self._connect_timeout_ms - ROUND_TRIP_MS

    def _broke_midway(self, event: api.AttemptCompleted) -> bool:
        """Whether a connection broke when the part may have begun."""
        return event.outcome == Outcome.RESET and event.elapsed_ms > ROUND_TRIP_MS

    def _part_answered(self, part: PartState, number: int, now_ms: float) -> None:
        query = part.query
        part.done = True
        query.cleared = True
        query.answered_weight += part.weight
        query.answered_parts += 1
        if any(earlier < number for earlier in part.in_flight):
            self._hedges.reward()
        if query.has_canary:
            while query.reserved_parts and query.parts_to_send > len(query.parts) - len(query.reserved_parts):
                self._sender.send(query.reserved_parts.pop(), now_ms)
        self._completion.settle(query, now_ms)

    def _part_failed(self, part: PartState, attempt: Attempt, event: api.AttemptCompleted, now_ms: float) -> None:
        query = part.query
        if self._broke_midway(event):
            self._outliers.part_lost(query, attempt.server)
        rejected_again = event.outcome == Outcome.REJECTED and part.attempts_made > 1
        if rejected_again and not self._retries.is_exhausted(part, now_ms):
            # an attempt at once would find the same queues full
            query.review_at_ms = min(query.review_at_ms, now_ms + TICK_MS)
            return
        not_sent = bool(part.in_flight) or not self._sender.send(part, now_ms)
        if not_sent and self._completion.is_hopeless(query, now_ms):
            self._completion.give_up(query, EndReason.NO_ATTEMPT_LEFT, now_ms)
