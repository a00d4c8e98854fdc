"""An observer of attempts that checks the claims of peers against this broker's own answers."""

from __future__ import annotations

from badgerbend import api
from badgerbend.peering.service import KnowledgeExchange
from badgerbend.runtime.ports import Attempt, Observer


class AnswerObserver:
    """Forwards all calls to another observer, and reports successful answers to the knowledge exchange, if any."""

    def __init__(self, inner: Observer) -> None:
        self.inner = inner
        self.knowledge_exchange: KnowledgeExchange | None = None
        self.query_ended = inner.query_ended
        self.stepped = inner.stepped
        self.report_fault = inner.report_fault

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, took_ms: float) -> None:
        """Forward the end of an attempt, and check the claims of peers if it was successful."""
        self.inner.attempt_ended(attempt, outcome, took_ms)
        if self.knowledge_exchange is not None and outcome == api.Outcome.OK:
            self.knowledge_exchange.check_answer(attempt.node, took_ms)
