"""An observer of attempts that compares answers with what peers stated."""

from __future__ import annotations

from badgerbend import api
from badgerbend.peering.service import KnowledgeExchange
from badgerbend.runtime.ports import Attempt, Observer


class AnswerObserver:
    """Passes everything on to another observer, and each good answer to the knowledge exchange, if there is one."""

    def __init__(self, inner: Observer) -> None:
        self.inner = inner
        self.knowledge_exchange: KnowledgeExchange | None = None
        self.query_ended = inner.query_ended
        self.stepped = inner.stepped
        self.report_fault = inner.report_fault

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, took_ms: float) -> None:
        """Take note of the end of an attempt."""
        self.inner.attempt_ended(attempt, outcome, took_ms)
        if self.knowledge_exchange is not None and outcome == api.Outcome.OK:
            self.knowledge_exchange.check_answer(attempt.node, took_ms)
