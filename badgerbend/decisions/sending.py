"""Sends attempts of parts: first attempts, retries and hedged requests."""

from __future__ import annotations

from math import inf

from badgerbend import api
from badgerbend.decisions.budget import HedgeBudget
from badgerbend.decisions.connections import ConnectionMonitor
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import Attempt, PartState
from badgerbend.decisions.replicas import ReplicaSelector
from badgerbend.decisions.retries import RetryPolicy
from badgerbend.decisions.servers import Server
from badgerbend.decisions.slow_start import SlowStart

MIN_TIMEOUT_MS = 1.0
"""The shortest timeout of an attempt."""


class PartSender:
    """Sends attempts if all limits allow it and a replica is available."""

    def __init__(
        self,
        context: DecisionContext,
        retries: RetryPolicy,
        hedges: HedgeBudget,
        replicas: ReplicaSelector,
        slow_start: SlowStart,
        connections: ConnectionMonitor,
        outliers: OutlierDetector,
    ) -> None:
        self._actions = context.actions
        self._queries = context.queries
        self._rates = context.rates
        self._retries = retries
        self._hedges = hedges
        self._replicas = replicas
        self._slow_start = slow_start
        self._connections = connections
        self._outliers = outliers
        self._sites = context.sites

    def send(self, part: PartState, now_ms: float) -> bool:
        """Sends the next attempt of a part, or a reserved part instead; returns whether anything was sent."""
        query = part.query
        if now_ms >= query.end_at_ms or self._outliers.is_suspect(query):
            return False
        if part.attempts_made:
            # A reserved part replaces the failed or late one: as a first attempt it needs no budget.
            if query.reserved_parts and self.send(query.reserved_parts.pop(), now_ms):
                return True
            if (part.in_flight and self._hedges.credit < 1) or not self._retries.allows(part, now_ms):
                return False
        server = self._replicas.choose(part, now_ms)
        if server is None:
            return False
        if part.in_flight:
            self._hedges.spend()
        if part.attempts_made:
            self._rates.retries.add(now_ms)
        self._rates.attempts.add(now_ms)
        self._slow_start.take_token(server, now_ms)
        self._start_attempt(part, server, now_ms)
        return True

    def cancel_distrusted(self, part: PartState, number: int, now_ms: float) -> None:
        """Cancels a late attempt on a connection that is not trusted, if the part may be retried."""
        attempt = part.in_flight[number]
        if self._retries.allows(part, now_ms) and self._connections.distrusts(attempt.idle_ms, part, now_ms):
            self._actions.append(api.Cancel(part.id, number))
            self._actions.append(api.CloseIdleConnections(attempt.server.id))
            del part.in_flight[number]

    def _start_attempt(self, part: PartState, server: Server, now_ms: float) -> None:
        idle_ms = self._connections.idle_ms(server, now_ms)
        start_within_ms = self._retries.start_before_ms(part) - now_ms
        if self._connections.distrusts(idle_ms, part, now_ms):
            self._actions.append(api.CloseIdleConnections(server.id))
            idle_ms = inf
        number = part.attempts_made
        attempt = Attempt(server, now_ms, idle_ms)
        self._queries.attempts[part.id, number] = attempt
        part.in_flight[number] = attempt
        part.may_have_run[number] = now_ms
        part.servers_tried.append(server)
        part.attempts_made += 1
        server.in_flight[part.id, number] = now_ms
        self._connections.mark_used(server, now_ms)
        if self._sites:
            self._sites.attempt_sent(part.id, number, server.id)
        timeout_ms = max(part.query.end_at_ms - now_ms, MIN_TIMEOUT_MS)
        self._actions.append(api.Send(part.id, server.id, timeout_ms, start_within_ms))
