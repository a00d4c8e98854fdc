"""Budgets for retries and for hedged requests."""

from __future__ import annotations

from badgerbend import api
from badgerbend.decisions.rates import TrafficRates
from badgerbend.decisions.timing import TICK_MS

HEDGE_SHARE = 0.05
"""Hedged requests as a share of the parts accepted, where none of them is the first to answer."""

MAX_HEDGE_CREDIT = 5.0
"""Hedged requests that can be saved up."""

HEDGE_REWARD = 1.5
"""Credit for a hedged request that answered first. It pays for more than itself: two of three must win to go on."""


class RetryBudget:
    """The retry budget of the settings: retries within a window, as a share of what was accepted in it."""

    def __init__(self, settings: api.Settings, rates: TrafficRates) -> None:
        self._window_ms = settings.retry_budget_window_ms
        self._minimum = settings.retry_budget_min or 0.0
        self._share = settings.retry_budget_share or 0.0
        self._rates = rates

    def allows_retry(self, now_ms: float) -> bool:
        """Whether one more retry is within the budget, counted a tick to the safe side."""
        if self._window_ms is None:
            return True
        retries = self._rates.retries.count(now_ms, self._window_ms + TICK_MS) + 1
        return retries <= self._minimum + self._share * self._rates.accepted.count(now_ms, self._window_ms - TICK_MS)


class HedgeBudget:
    """Credit for hedged requests; it runs out where all servers are slow from load, which hedging would only add to.

    credit: how many may be sent now.
    """

    def __init__(self) -> None:
        self.credit = 1.0

    def earn(self) -> None:
        """A part was accepted."""
        self.credit = min(self.credit + HEDGE_SHARE, MAX_HEDGE_CREDIT)

    def spend(self) -> None:
        """A hedged request was sent."""
        self.credit -= 1

    def reward(self) -> None:
        """A hedged request was the first to answer."""
        self.credit += HEDGE_REWARD
