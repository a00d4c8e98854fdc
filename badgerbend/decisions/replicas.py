"""Which replica a part is sent to: the one with the fewest of this broker's calls in flight, ties at random.

Nothing is ejected. A server that is slow by its last answers, or by the age of what it owes, and one in a zone that is
out of reach count as having more calls in flight; otherwise they would look idle and draw all parts.
"""

from __future__ import annotations

from math import inf

from badgerbend.decisions.connections import ConnectionMonitor
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.latency import FADE_MS
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import PartState
from badgerbend.decisions.servers import Server
from badgerbend.decisions.slow_start import SlowStart

EXPLORATION_SHARE = 0.03
"""Share of choices among equals that take a server which is not proven, so that none stays idle for ever."""

MAX_PENALTY = 4.0
"""Calls in flight that a slow server counts as having in addition, at most."""


class ReplicaSelector:
    """Chooses a server for each attempt."""

    def __init__(
        self, context: DecisionContext, connections: ConnectionMonitor, slow_start: SlowStart, outliers: OutlierDetector
    ) -> None:
        self._parts_per_call = context.settings.parts_per_call
        self._random = context.random
        self._endpoints = context.endpoints
        self._latency = context.latency
        self._connections = connections
        self._slow_start = slow_start
        self._outliers = outliers
        self._sites = context.sites

    def choose(self, part: PartState, now_ms: float) -> Server | None:
        """The server for the next attempt of a part, or None if no replica may be sent it now.

        Of equal servers one that the part was not tried at comes first, then one that this step's call goes to already,
        then a proven one.
        """
        busy = [attempt.server for attempt in part.in_flight.values()]
        admits = self._slow_start.admits
        admitted = [s for s in self._endpoints.replicas(part.shard) if s not in busy and admits(s, part, now_ms)]
        untried = [s for s in admitted if s not in part.servers_tried] or admitted
        pool = self._eligible(part, untried) or self._eligible(part, admitted)
        least_loaded = self._least_loaded(pool, now_ms)
        explores = self._random.random() < EXPLORATION_SHARE
        if not least_loaded:
            return None
        preferred: list[Server] = []
        if self._parts_per_call > 1:
            preferred = [s for s in least_loaded if now_ms in s.in_flight.values()]
        if not preferred:
            preferred = [s for s in least_loaded if self.is_proven(s, now_ms) != explores]
        return self._random.choice(preferred or least_loaded)

    def is_proven(self, server: Server, now_ms: float) -> bool:
        """Whether a server answered this broker lately, on a connection that is still up.

        Of equal servers it is the better choice, and needs no handshake: a broker that sees little traffic would else
        meet each bad server in its turn. A server that slow start admits, known to be new, is as good. The trade-off is
        that a server which came warm waits longer for its share; `EXPLORATION_SHARE` gives it one.
        """
        if server.down_since_ms == inf and self._slow_start.capacity_fraction(server, now_ms) < 1.0:
            return True
        if server.peer_observed or server.response_time_at_ms <= now_ms - FADE_MS / 2:
            return False
        return self._connections.idle_ms(server, now_ms) < inf

    def _least_loaded(self, pool: list[Server], now_ms: float) -> list[Server]:
        if not pool:
            return []
        loads = [self._load(server, now_ms) for server in pool]
        least = min(loads)
        return [server for server, load in zip(pool, loads, strict=True) if load == least]

    def _load(self, server: Server, now_ms: float) -> int:
        """Calls in flight once a part is sent to a server, and a penalty in calls."""
        latency = self._latency
        typical_ms = latency.typical_ms
        penalty = 0.0
        if typical_ms:
            penalty = min(latency.response_time_ms(server, now_ms) / typical_ms - 1.0, MAX_PENALTY)
        failure_share = self._connections.handshake_failure_share
        if failure_share and self._connections.idle_ms(server, now_ms) == inf:  # it needs a handshake
            penalty += failure_share * MAX_PENALTY
        if self._outliers.is_zone_unreachable(server):
            penalty += MAX_PENALTY
        return self._calls_in_flight(server, now_ms) + round(penalty)

    def _calls_in_flight(self, server: Server, now_ms: float) -> int:
        """Calls in flight with one more part. Parts sent in the same step share calls."""
        in_flight = server.in_flight
        parts_per_call = self._parts_per_call
        if parts_per_call == 1 or not in_flight:
            return len(in_flight) + 1
        parts_by_time = {now_ms: 1}
        for sent_ms in in_flight.values():
            parts_by_time[sent_ms] = parts_by_time.get(sent_ms, 0) + 1
        return sum(-(-parts // parts_per_call) for parts in parts_by_time.values())

    def _eligible(self, part: PartState, pool: list[Server]) -> list[Server]:
        """Those at the site that a part goes to, which is decided here; a server that is down only if all are."""
        if not self._sites or not pool:
            return pool
        numbers = [server.id for server in pool if not server.is_down] or [server.id for server in pool]
        is_safe = part.query.query_class.effect == "safe"
        chosen = set(self._sites.eligible(part.shard, numbers, is_safe))
        return [server for server in pool if server.id in chosen]
