"""The completion of queries.

Each query ends in time with one final answer, rejection or failure, unless its client has disconnected before.
"""

from __future__ import annotations

from badgerbend import api
from badgerbend.decisions.cell_success import CellSuccess
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import ROUNDING, EndReason, QueryState
from badgerbend.decisions.retries import RetryPolicy
from badgerbend.decisions.timing import EARLY_FINISH_MS


class QueryCompletion:
    """Answers, rejects or fails queries."""

    def __init__(
        self, context: DecisionContext, retries: RetryPolicy, outliers: OutlierDetector, cells: CellSuccess
    ) -> None:
        self._cancels = context.settings.cancel
        self._retry_after_ms = context.settings.max_retry_after_ms if context.settings.retry_after else 0.0
        self._actions = context.actions
        self._queries = context.queries
        self._latency = context.latency
        self._retries = retries
        self._outliers = outliers
        self._cells = cells

    def answer_if_due(self, query: QueryState, now_ms: float) -> None:
        """Answers a query if its complete answer is available or its partial answer is due."""
        is_complete = self._is_complete(query)
        if not is_complete and not self._is_partial_answer_due(query, now_ms):
            return
        query.complete = query.complete and is_complete
        answer = api.Answer(query.id, query.complete)
        if query.step == 1 and query.query_class.follow_up_parts:
            self._actions.append(answer)
            self._cancel_parts(query)
            query.clear_parts()
        else:
            self._finish(query, answer, now_ms)

    def is_unanswerable(self, query: QueryState, now_ms: float) -> bool:
        """Whether neither attempts in flight nor further attempts can reach the least weight for an answer."""
        unanswered = [part for part in query.parts if not part.done]
        is_blocked = self._outliers.is_suspect(query) and not any(part.in_flight for part in unanswered)
        if is_blocked and not self._outliers.may_be_cleared(query, now_ms):
            return True
        exhausted = sum(
            part.weight for part in unanswered if not part.in_flight and self._retries.is_exhausted(part, now_ms)
        )
        query_class = query.query_class
        complete_weight = query_class.complete_weight if query.step == 1 else 1.0
        return exhausted > 1.0 - min(query_class.minimum_weight, complete_weight) + ROUNDING

    def end_incomplete(self, query: QueryState, reason: EndReason, now_ms: float) -> None:
        """Ends a query without a complete answer: by a partial answer if possible, else by rejection or failure.

        It is rejected if the client can retry it without harm, and fails otherwise.
        """
        query_class = query.query_class
        is_last_step = query.step == 2 or not query_class.follow_up_parts
        has_minimum = query.answered_weight >= query_class.minimum_weight
        final: api.Action
        if is_last_step and query.parts and query.allows_partial_answer and has_minimum:
            final = api.Answer(query.id, False)
        elif query_class.effect == "safe" or not any(part.may_have_run for part in query.parts):
            final = api.Reject(query.id, self._retry_after_ms, reason.value)
        else:
            final = api.Fail(query.id, reason.value)
        self._finish(query, final, now_ms)

    def client_disconnected(self, query_id: int) -> None:
        """Ends the query of a client that has disconnected, if it is open. The success of its cells is not updated."""
        query = self._queries.by_id.get(query_id)
        if query is not None:
            self._close(query)

    def _is_complete(self, query: QueryState) -> bool:
        """Whether all parts are answered or, in the first step, enough weight for a complete answer."""
        if query.answered_parts == len(query.parts):
            return True
        complete_weight = query.query_class.complete_weight
        return query.step == 1 and complete_weight < 1 and query.answered_weight >= complete_weight - ROUNDING

    def _is_partial_answer_due(self, query: QueryState, now_ms: float) -> bool:
        """Whether a partial answer is due.

        It is due shortly before the latency objective if it has a higher value than a late complete answer. If a second
        step follows, it is due earlier by the age at which a part is late, or by half the objective if that is less, to
        leave time for that step.
        """
        query_class = query.query_class
        weight = query.answered_weight
        if not query_class.minimum_weight <= weight < query_class.complete_weight:
            return False
        early_ms = EARLY_FINISH_MS
        if query.step == 1 and query_class.follow_up_parts:
            early_ms += min(self._latency.late_ms, query_class.latency_objective_ms / 2)
        if now_ms < query.objective_at_ms - early_ms:
            return False
        return query_class.partial_value * weight / query_class.complete_weight > query_class.late_value_share

    def _finish(self, query: QueryState, final: api.Action, now_ms: float) -> None:
        self._actions.append(final)
        if query.step == 1:
            self._cells.record(query, final, now_ms)
        self._close(query)

    def _close(self, query: QueryState) -> None:
        self._cancel_parts(query)
        self._queries.remove(query)
        query.clear_parts()

    def _cancel_parts(self, query: QueryState) -> None:
        self._queries.remove_parts(query)
        if self._cancels:
            for part in query.parts:
                self._actions.extend(api.Cancel(part.id, number) for number in part.in_flight)
