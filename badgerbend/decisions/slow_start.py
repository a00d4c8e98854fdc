"""Slow start: what may be sent to a server that is warming up.

Such a server gets tokens at the pace at which this broker sends to a warm one, times what it bears now of the multiple
that would overload it. The sum over all brokers is bounded by that. The price is that shards with replicas that are all
warming up wait. Where brokers share out the pace among them, the share that was given takes the place of the own one,
but not for a server that went down in this broker's sight.
"""

from __future__ import annotations

from math import inf

from badgerbend import api
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.queries import PartState
from badgerbend.decisions.servers import Server

OVERLOAD_MARGIN = 0.75
"""Share of the multiple that overloads a server; the rest is for chance and for other brokers' estimates."""


class SlowStart:
    """Admits parts to servers that are warming up.

    budget: what brokers share out among them; None where each keeps to its own share.
    """

    def __init__(self, context: DecisionContext, budget: api.SlowStartBudget | None) -> None:
        self._initial_share = context.settings.slow_start_from
        self._growth = 1 - context.settings.slow_start_from
        self._duration_ms = max(context.settings.slow_start_ms, 1.0)
        self._overload_factor = context.settings.overload_factor
        self._random = context.random
        self._rates = context.rates
        self._endpoints = context.endpoints
        self._sites = context.sites
        self.budget = budget

    def restart(self, server: Server, warming_since_ms: float, now_ms: float) -> None:
        """A server has started, or is taken for started; its first token is not due at all brokers at once."""
        server.warming_since_ms = warming_since_ms
        server.tokens = self._random.random()
        server.tokens_at_ms = now_ms

    def capacity_fraction(self, server: Server, now_ms: float) -> float:
        """The share of its capacity that a server bears; one that is down may start at any moment, unseen."""
        if server.down_since_ms < inf:
            return min(1.0, self._initial_share)
        if server.warming_since_ms == -inf:
            return 1.0
        age_ms = max(now_ms - server.warming_since_ms, 0.0)
        return min(1.0, self._initial_share + self._growth * age_ms / self._duration_ms)

    def admits(self, server: Server, part: PartState, now_ms: float) -> bool:
        """Whether a server may be sent a part now: it is warm, or has a token."""
        if server.warming_since_ms == -inf and server.down_since_ms == inf:
            return True
        capacity_fraction = self.capacity_fraction(server, now_ms)
        if capacity_fraction >= 1.0:
            return True
        pace = self._pace(server, part, capacity_fraction, now_ms)
        server.tokens = min(1.0, server.tokens + pace * (now_ms - server.tokens_at_ms))
        server.tokens_at_ms = now_ms
        return server.tokens >= 1.0

    def take_token(self, server: Server, now_ms: float) -> None:
        """A part was sent to a server that admitted it."""
        if self.capacity_fraction(server, now_ms) < 1.0:
            server.tokens -= 1

    def grant_token(self, server: Server) -> None:
        """Lets one part through at once."""
        server.tokens = 1.0

    def _pace(self, server: Server, part: PartState, capacity_fraction: float, now_ms: float) -> float:
        """Parts a millisecond that may go to a server that is warming up."""
        usual = self._rates.per_ms(self._rates.attempts, now_ms) / max(1, self._endpoints.available_count)
        if self._sites:  # after an outage in which little was sent, what the site is allowed is the measure
            usual = max(usual, self._sites.site_rate(server.id))
        share = capacity_fraction * self._overload_factor * OVERLOAD_MARGIN
        if self.budget and server.down_since_ms == inf:
            replica_count = len(self._endpoints.replicas(part.shard))
            usual = self.budget.server_rate(now_ms, server.id, usual, share, part.id, replica_count)
        return share * usual
