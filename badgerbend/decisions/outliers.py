"""Detects servers that are down, zones that are unreachable, and queries that may crash servers.

A poison request is a query that crashes every server that processes it. After a connection broke while a server
processed a part of a query, no part of the query is sent until its parts in flight have completed. An answer to any
part shows that the query is no poison request. After two servers went down while they processed parts of the query, or
the server that its canary was sent to, no part of it is sent again. While a poison request is suspected, only one part
of each new query is sent at first, as a canary.
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
"""A zone is unreachable if its share of lost parts exceeds that of another zone by more than this."""

ZONE_WEIGHT = 0.05
"""Weight of the latest part in a zone's share of lost parts; about the last twenty determine it."""

POISON_SUSPICION_MS = 30_000.0
"""How long new queries are preceded by a canary after a query seems to have crashed a server."""

MAX_FAILED_SERVERS = 2
"""A query is not sent again after this many servers went down while they processed its parts."""


class OutlierDetector:
    """Marks servers as down or available, and detects possible poison requests.

    zone_loss: running mean of the share of lost or late parts, by zone.
    poison_seen_ms: when a query last seemed to have crashed a server.
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
        """Handles a new start of a server in the endpoint list.

        If the server was still listed as ready, it restarted before its absence was noticed, as after a crash by a
        poison request.
        """
        if start.was_ready:
            self.poison_seen_ms = now_ms
        self._mark_available(start.server, start.server.started_ms or -inf, now_ms)

    def connection_lost(self, server: Server, now_ms: float, *, refused: bool) -> None:
        """Marks a server as down after it refused a connection or a connection broke under a part.

        After the first broken connection, one part is admitted at once to find out whether the server failed or only
        the connection.
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
        """Handles an answer of a server that was marked as down.

        If the attempt was sent so soon after the broken connection that a restart is taken to be impossible, and the
        server refused no connection, only the connection failed: the server keeps its state of warm-up, and no query
        crashed it. The trade-off is that a server which restarts faster than that is treated as warm until the list
        contains its start.
        """
        if server.refused_connection or attempt.sent_ms > server.down_since_ms + REVIEW_INTERVAL_MS:
            if server.canary_failed:
                self.poison_seen_ms = now_ms
            # It restarted and is warming up, although the list does not contain the start yet.
            self._mark_available(server, server.down_since_ms, now_ms)
            return
        self._mark_available(server, server.warming_since_ms, now_ms)
        for query in self._queries.by_id.values():
            query.failed_servers.discard(server.id)

    def _mark_available(self, server: Server, warming_since_ms: float, now_ms: float) -> None:
        """Marks a server as available and discards its earlier observations, which no longer apply."""
        server.down_since_ms = inf
        server.refused_connection = False
        server.canary_failed = False
        self._slow_start.restart(server, warming_since_ms, now_ms)
        self._latency.forget(server)

    # -- zones

    def record_result(self, zone: int, *, lost: bool) -> None:
        """Updates the share of lost parts of a zone with a part that was answered, or was lost or late."""
        self.zone_loss[zone] = self.zone_loss.get(zone, 0.0) * (1 - ZONE_WEIGHT) + lost * ZONE_WEIGHT

    def is_zone_unreachable(self, server: Server) -> bool:
        """Whether the zone of a server loses far more parts than another zone."""
        zone_loss = self.zone_loss
        loss = zone_loss.get(server.zone, 0.0)
        return loss > UNREACHABLE_EXCESS and loss - min(zone_loss.values()) > UNREACHABLE_EXCESS

    # -- poison requests

    def needs_canary(self, now_ms: float) -> bool:
        """Whether new queries must first send one part as a canary."""
        return now_ms - self.poison_seen_ms < POISON_SUSPICION_MS

    def part_lost(self, query: QueryState, server: Server) -> None:
        """Records that a connection broke while a server processed a part of a query."""
        if query.has_canary and not query.cleared:
            server.canary_failed = True
        query.failed_servers.add(server.id)

    def is_suspect(self, query: QueryState) -> bool:
        """Whether no part of a query may be sent because it may be a poison request."""
        if query.cleared or not query.failed_servers:
            return False
        if query.has_canary or any(part.in_flight for part in query.parts):
            return True
        return len(query.failed_servers) >= MAX_FAILED_SERVERS

    def may_be_cleared(self, query: QueryState, now_ms: float) -> bool:
        """Whether one of the servers that failed under a query may still show that only its connection broke."""
        return any(self._may_answer(number, now_ms) for number in query.failed_servers)

    def _may_answer(self, number: int, now_ms: float) -> bool:
        server = self._endpoints.servers.get(number)
        if server is None or server.refused_connection:
            return False
        return now_ms - server.down_since_ms < 2 * REVIEW_INTERVAL_MS
