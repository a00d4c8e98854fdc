"""Budgets for retries and for hedged requests.

A hedged request is a further attempt of a part while an earlier attempt is still in flight.
"""

from __future__ import annotations

from badgerbend import api
from badgerbend.decisions.rates import TrafficRates
from badgerbend.decisions.timing import TICK_MS

HEDGE_SHARE = 0.05
"""Credit per accepted part: the share of parts that are hedged if no hedged request is ever the first to answer."""

MAX_HEDGE_CREDIT = 5.0
"""Limit of the accumulated credit, in hedged requests."""

HEDGE_REWARD = 1.5
"""Credit for a hedged request that answered first. It exceeds the cost of one, so hedging sustains itself while two of
three hedged requests answer first."""


class RetryBudget:
    """The retry budget of the settings: limits the retries within a window to a share of the accepted work."""

    def __init__(self, settings: api.Settings, rates: TrafficRates) -> None:
        self._window_ms = settings.retry_budget_window_ms
        self._minimum = settings.retry_budget_min or 0.0
        self._share = settings.retry_budget_share or 0.0
        self._rates = rates

    def allows_retry(self, now_ms: float) -> bool:
        """Whether one more retry is within the budget.

        To err on the safe side, retries are counted over a window that is a tick longer than that of the settings, and
        accepted work over one that is a tick shorter.
        """
        if self._window_ms is None:
            return True
        retries = self._rates.retries.count(now_ms, self._window_ms + TICK_MS) + 1
        return retries <= self._minimum + self._share * self._rates.accepted.count(now_ms, self._window_ms - TICK_MS)


class HedgeBudget:
    """Credit for hedged requests. It runs out when all servers are slow under load, which hedging would increase.

    credit: the number of hedged requests that may be sent now.
    """

    def __init__(self) -> None:
        self.credit = 1.0

    def earn(self) -> None:
        """Adds credit for an accepted part."""
        self.credit = min(self.credit + HEDGE_SHARE, MAX_HEDGE_CREDIT)

    def spend(self) -> None:
        """Deducts the credit for a hedged request that was sent."""
        self.credit -= 1

    def reward(self) -> None:
        """Adds credit for a hedged request that was the first to answer."""
        self.credit += HEDGE_REWARD
