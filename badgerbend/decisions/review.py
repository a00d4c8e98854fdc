"""The periodic review of open queries: partial answers that are due, late attempts, and exceeded deadlines."""

from __future__ import annotations

from math import inf

from badgerbend.decisions.attempts import AttemptResults
from badgerbend.decisions.completion import QueryCompletion
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.queries import EndReason, PartState, QueryState
from badgerbend.decisions.sending import PartSender
from badgerbend.decisions.timing import REVIEW_INTERVAL_MS


class QueryReview:
    """Reviews all open queries; called once per tick."""

    def __init__(
        self, context: DecisionContext, results: AttemptResults, sender: PartSender, completion: QueryCompletion
    ) -> None:
        self._queries = context.queries
        self._latency = context.latency
        self._results = results
        self._sender = sender
        self._completion = completion

    def run(self, now_ms: float) -> None:
        """Reviews every open query."""
        for query in list(self._queries.by_id.values()):
            if query.parts and query.allows_partial_answer:
                self._completion.answer_if_due(query, now_ms)
        for query in list(self._queries.by_id.values()):
            if now_ms >= query.end_at_ms:
                self._completion.end_incomplete(query, EndReason.DEADLINE_EXCEEDED, now_ms)
            elif now_ms >= query.review_at_ms:
                self._review_parts(query, now_ms)

    def _review_parts(self, query: QueryState, now_ms: float) -> None:
        query.review_at_ms = now_ms + REVIEW_INTERVAL_MS
        for part in [part for part in query.parts if not part.done and part not in query.reserved_parts]:
            late_at_ms = self._late_at_ms(part)
            if now_ms < late_at_ms:
                query.review_at_ms = min(query.review_at_ms, late_at_ms)
            else:
                self._retry_late_part(part, now_ms)
        if self._completion.is_unanswerable(query, now_ms):
            self._completion.end_incomplete(query, EndReason.SERVERS_DOWN, now_ms)

    def _late_at_ms(self, part: PartState) -> float:
        """The time at which the last attempt of a part is late; -inf if none is in flight."""
        if not part.in_flight:
            return -inf
        sent_ms = max(attempt.sent_ms for attempt in part.in_flight.values())
        return sent_ms + self._latency.late_after_ms(part)

    def _retry_late_part(self, part: PartState, now_ms: float) -> None:
        for number, attempt in list(part.in_flight.items()):
            self._results.record_result(attempt, now_ms, lost=True)  # unless it is answered after all
            self._sender.cancel_distrusted(part, number, now_ms)
        self._sender.send(part, now_ms)
