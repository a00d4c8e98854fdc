"""Slow start: limits the rate at which parts are sent to a server that is warming up.

Each such server has a token bucket for one token. Its rate is the rate at which this broker sends to a warm server,
times a share of the multiple that would overload the server at its current capacity; so all brokers together stay below
the overload. The trade-off is that parts of a shard wait while all of its replicas are warming up. If brokers divide
the rate among them by demand, the granted rate replaces the broker's own, except for a server that this broker itself
found to be down.
"""

from __future__ import annotations

from math import inf

from badgerbend import api
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.queries import PartState
from badgerbend.decisions.servers import Server

OVERLOAD_MARGIN = 0.75
"""Share of the overload factor that is used; the rest allows for random variation and other brokers' estimates."""


class SlowStart:
    """Admits parts to servers that are warming up.

    budget: the rates that are divided among brokers; None if each broker uses its own limit.
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
        """Starts the warm-up of a server that has started or may have restarted.

        The bucket starts with a random fill level, so that the first tokens of different brokers are not due at once.
        """
        server.warming_since_ms = warming_since_ms
        server.tokens = self._random.random()
        server.tokens_at_ms = now_ms

    def capacity_fraction(self, server: Server, now_ms: float) -> float:
        """The fraction of its capacity that a server has now.

        A server that is down counts as just started, because it may restart unnoticed at any time.
        """
        if server.down_since_ms < inf:
            return min(1.0, self._initial_share)
        if server.warming_since_ms == -inf:
            return 1.0
        age_ms = max(now_ms - server.warming_since_ms, 0.0)
        return min(1.0, self._initial_share + self._growth * age_ms / self._duration_ms)

    def admits(self, server: Server, part: PartState, now_ms: float) -> bool:
        """Whether a part may be sent to a server now, because it is warm or its bucket has a token."""
        if server.warming_since_ms == -inf and server.down_since_ms == inf:
            return True
        capacity_fraction = self.capacity_fraction(server, now_ms)
        if capacity_fraction >= 1.0:
            return True
        rate = self._rate(server, part, capacity_fraction, now_ms)
        server.tokens = min(1.0, server.tokens + rate * (now_ms - server.tokens_at_ms))
        server.tokens_at_ms = now_ms
        return server.tokens >= 1.0

    def take_token(self, server: Server, now_ms: float) -> None:
        """Takes the token for a part that was sent."""
        if self.capacity_fraction(server, now_ms) < 1.0:
            server.tokens -= 1

    def grant_token(self, server: Server) -> None:
        """Admits one part at once."""
        server.tokens = 1.0

    def _rate(self, server: Server, part: PartState, capacity_fraction: float, now_ms: float) -> float:
        """The rate at which parts may be sent to a server that is warming up, per millisecond."""
        usual = self._rates.per_ms(self._rates.attempts, now_ms) / max(1, self._endpoints.available_count)
        if self._sites:  # after an outage with little traffic, the rate limit of the site is the better estimate
            usual = max(usual, self._sites.site_rate(server.id))
        share = capacity_fraction * self._overload_factor * OVERLOAD_MARGIN
        if self.budget and server.down_since_ms == inf:
            replica_count = len(self._endpoints.replicas(part.shard))
            usual = self.budget.server_rate(now_ms, server.id, usual, share, part.id, replica_count)
        return share * usual
