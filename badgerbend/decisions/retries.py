"""Decides whether a part may be retried, by the limits of its class, the settings and the retry budget."""

from __future__ import annotations

from math import inf

from badgerbend import api
from badgerbend.decisions.budget import RetryBudget
from badgerbend.decisions.queries import PartState
from badgerbend.decisions.timing import EARLY_FINISH_MS


class RetryPolicy:
    """Decides on further attempts of a part."""

    def __init__(self, settings: api.Settings, budget: RetryBudget) -> None:
        self._max_attempts = settings.max_attempts
        self._hedging = settings.hedging
        self._window_margin_ms = max(EARLY_FINISH_MS, settings.max_write_delay_ms)
        self._budget = budget

    def is_exhausted(self, part: PartState, now_ms: float) -> bool:
        """Whether no further attempt of a part will ever be allowed."""
        if part.attempts_made >= self._max_attempts or now_ms >= self.start_before_ms(part):
            return True
        return part.runs_once and bool(part.may_have_run)

    def start_before_ms(self, part: PartState) -> float:
        """The latest start of the next attempt: a keyed part is retried only within the servers' idempotency window."""
        if part.query.query_class.effect != "keyed" or not part.may_have_run:
            return inf
        window_ms = part.query.query_class.idempotency_window_ms
        return min(part.may_have_run.values()) + window_ms - self._window_margin_ms

    def allows(self, part: PartState, now_ms: float) -> bool:
        """Whether a part may have another attempt now."""
        if self.is_exhausted(part, now_ms) or (part.in_flight and not self._hedging):
            return False
        return self._budget.allows_retry(now_ms)
