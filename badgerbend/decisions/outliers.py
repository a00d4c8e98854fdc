"""Servers that are down, zones that are out of reach, and queries that may bring servers down.

A poison request brings down each server that begins it. When its connections break, a query is held back until one of
its other parts tells; after two servers, or one that its canary went to, it is sent no more. While such a query is
suspected, new queries send one part ahead as a canary.
"""

from __future__ import annotations

from math import inf

from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.endpoints import ServerStart
from badgerbend.decisions.queries import Attempt, QueryState
from badgerbend.decisions.servers import Server
from badgerbend.decisions.slow_start import SlowStart
from badgerbend.decisions.timing import REVIEW_INTERVAL_MS

UNREACHABLE_EXCESS = 0.5
"""A zone is out of reach when it loses so much more of its parts than another."""

ZONE_WEIGHT = 0.05
"""Weight of the last part in a zone's share of lost ones: the last twenty count."""

POISON_SUSPICION_MS = 30_000.0
"""How long new queries send a canary ahead after a query seemed to have brought down a server."""

MAX_FAILED_SERVERS = 2
"""A query is sent no more after it lost parts at so many servers that went down."""


class OutlierDetector:
    """Marks servers as down and as available, and suspects poison requests.

    zone_loss: share of parts lost or late by zone, a running mean. poison_seen_ms: when a server last seemed to have
    been brought down by a query.
    """

    def __init__(self, context: DecisionContext, slow_start: SlowStart) -> None:
        self._queries = context.queries
        self._endpoints = context.endpoints
        self._slow_start = slow_start
        self._latency = context.latency
        self.zone_loss: dict[int, float] = {}
        self.poison_seen_ms = -inf

    # -- servers

    def server_started(self, start: ServerStart, now_ms: float) -> None:
        """The list states a new start of a server.

        A server that was still listed as ready came back before anybody missed it, as one does that a query brought
        down.
        """
        if start.was_ready:
            self.poison_seen_ms = now_ms
        self._mark_available(start.server, start.server.started_ms or -inf, now_ms)

    def connection_lost(self, server: Server, now_ms: float, *, refused: bool) -> None:
        """A server refused a connection, or broke one under a part.

        After the first break one part is let through at once, to tell whether the server or its connection failed.
        """
        first_break = not refused and not server.is_down
        self._slow_start.restart(server, server.warming_since_ms, now_ms)
        self._latency.forget(server)
        server.down_since_ms = min(server.down_since_ms, now_ms)
        if first_break:
            self._slow_start.grant_token(server)
        if refused:
            server.refused_connection = True
            if server.canary_failed:
                self.poison_seen_ms = now_ms

    def answered(self, server: Server, attempt: Attempt, now_ms: float) -> None:
        """A server that was down has answered.

        Sent so soon after the break that nothing can have started again, to a server that refused no connection, the
        answer shows that only the connection broke: the server is as warm as before, and no query brought it down. The
        trade-off is that a server which starts faster than that is taken for warm until the list states its start.
        """
        if server.refused_connection or attempt.sent_ms > server.down_since_ms + REVIEW_INTERVAL_MS:
            if server.canary_failed:
                self.poison_seen_ms = now_ms
            self._mark_available(server, server.down_since_ms, now_ms)  # back before the list states it, and cold
            return
        self._mark_available(server, server.warming_since_ms, now_ms)
        for query in self._queries.by_id.values():
            query.failed_servers.discard(server.id)

    def _mark_available(self, server: Server, warming_since_ms: float, now_ms: float) -> None:
        """What was observed of the server before does not hold any more."""
        server.down_since_ms = inf
        server.refused_connection = False
        server.canary_failed = False
        self._slow_start.restart(server, warming_since_ms, now_ms)
        self._latency.forget(server)

    # -- zones

    def record_result(self, zone: int, *, lost: bool) -> None:
        """Takes a part that was answered, or was lost or late, into its zone's share."""
        self.zone_loss[zone] = self.zone_loss.get(zone, 0.0) * (1 - ZONE_WEIGHT) + lost * ZONE_WEIGHT

    def is_zone_unreachable(self, server: Server) -> bool:
        """Whether the zone of a server loses far more than another."""
        zone_loss = self.zone_loss
        loss = zone_loss.get(server.zone, 0.0)
        return loss > UNREACHABLE_EXCESS and loss - min(zone_loss.values()) > UNREACHABLE_EXCESS

    # -- poison requests

    def needs_canary(self, now_ms: float) -> bool:
        """Whether new queries send one part ahead."""
        return now_ms - self.poison_seen_ms < POISON_SUSPICION_MS

    def part_lost(self, query: QueryState, server: Server) -> None:
        """A connection broke under a part of a query."""
        if query.has_canary and not query.cleared:
            server.canary_failed = True
        query.failed_servers.add(server.id)

    def is_suspect(self, query: QueryState) -> bool:
        """Whether a query is held back because it may be a poison request."""
        if query.cleared or not query.failed_servers:
            return False
        if query.has_canary or any(part.in_flight for part in query.parts):
            return True
        return len(query.failed_servers) >= MAX_FAILED_SERVERS

    def may_be_innocent(self, query: QueryState, now_ms: float) -> bool:
        """Whether one of the servers that failed under a query may yet show that only its connection broke."""
        return any(self._may_answer(number, now_ms) for number in query.failed_servers)

    def _may_answer(self, number: int, now_ms: float) -> bool:
        server = self._endpoints.servers.get(number)
        if server is None or server.refused_connection:
            return False
        return now_ms - server.down_since_ms < 2 * REVIEW_INTERVAL_MS
