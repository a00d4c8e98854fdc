"""Handles the results of attempts: updates the state of servers and estimates, and continues or ends the query."""

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
"""Assumed upper limit of a round trip to a server.

A connection that breaks within this time does so before the part can have started. That amounts to a refusal of the
part: the server is not marked as down, and the query is not suspected of crashing servers. A connection attempt that
fails within this time of the connect timeout counts as timed out."""


FAST_FAILURES = (Outcome.REJECTED, Outcome.ERROR, Outcome.RESET)
"""Outcomes whose latency contains no information about the response time of a server."""


class AttemptResults:
    """Handles the completion of attempts."""

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
        """Handles the end of an attempt. Attempts that are not in flight are ignored."""
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

    def record_result(self, attempt: Attempt, now_ms: float, *, lost: bool) -> None:
        """Records for the connection and the zone of an attempt whether it was lost or is late."""
        self._connections.record_result(attempt, now_ms, lost=lost)
        self._outliers.record_result(attempt.server.zone, lost=lost)

    def _observe(self, event: api.AttemptCompleted, attempt: Attempt, part: PartState | None, now_ms: float) -> None:
        """Updates the state of the attempt's server and connection, and the latency estimate."""
        latency_ms = now_ms - attempt.sent_ms
        answered = event.outcome == Outcome.OK
        handshake_timed_out = self._handshake_timed_out(event)
        if attempt.idle_ms == inf and not self._outliers.is_zone_unreachable(attempt.server):
            self._connections.record_handshake(failed=handshake_timed_out)
        self._update_connection(event.outcome, attempt, latency_ms, now_ms)
        self._latency.add(now_ms, latency_ms, censored=not answered)
        if answered and attempt.server.is_down:
            self._outliers.answered(attempt.server, attempt, now_ms)
        elif self._broke_in_progress(event):
            self._outliers.connection_lost(attempt.server, now_ms, refused=False)
        elif event.outcome == Outcome.CONNECT_FAILED and not handshake_timed_out:
            self._outliers.connection_lost(attempt.server, now_ms, refused=True)
        failed_fast = event.outcome in FAST_FAILURES or handshake_timed_out
        self._latency.observe(attempt.server, part, latency_ms, now_ms, answered=answered, failed_fast=failed_fast)

    def _update_connection(self, outcome: Outcome, attempt: Attempt, latency_ms: float, now_ms: float) -> None:
        """Records whether the connection of an attempt works.

        If the attempt was lost or late, closes the server's idle connections unless other attempts are in flight there.
        """
        server = attempt.server
        if outcome in (Outcome.OK, Outcome.ERROR):
            self._connections.mark_used(server, now_ms)
            self.record_result(attempt, now_ms, lost=False)
        elif outcome in (Outcome.RESET, Outcome.CONNECT_FAILED) or latency_ms > (self._latency.late_ms or inf):
            self._connections.mark_unusable(server)
            if not server.in_flight:
                self._actions.append(api.CloseIdleConnections(server.id))
            self.record_result(attempt, now_ms, lost=True)

    def _handshake_timed_out(self, event: api.AttemptCompleted) -> bool:
        """Whether a handshake timed out, which does not prove that the server is down."""
        if event.outcome != Outcome.CONNECT_FAILED:
            return False
        return event.elapsed_ms > self._connect_timeout_ms - ROUND_TRIP_MS

    def _broke_in_progress(self, event: api.AttemptCompleted) -> bool:
        """Whether a connection broke after the part may have started."""
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
        self._completion.answer_if_due(query, now_ms)

    def _part_failed(self, part: PartState, attempt: Attempt, event: api.AttemptCompleted, now_ms: float) -> None:
        query = part.query
        if self._broke_in_progress(event):
            self._outliers.part_lost(query, attempt.server)
        rejected_again = event.outcome == Outcome.REJECTED and part.attempts_made > 1
        if rejected_again and not self._retries.is_exhausted(part, now_ms):
            # An immediate retry would find the same queues still full.
            query.review_at_ms = min(query.review_at_ms, now_ms + TICK_MS)
            return
        not_sent = bool(part.in_flight) or not self._sender.send(part, now_ms)
        if not_sent and self._completion.is_unanswerable(query, now_ms):
            self._completion.end_incomplete(query, EndReason.NO_ATTEMPT_LEFT, now_ms)
