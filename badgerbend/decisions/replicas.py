"""Chooses the replica for an attempt: the one with the fewest of this broker's calls in flight, ties broken randomly.

A call is one request to a server; it contains up to `Settings.parts_per_call` parts that are sent in the same step.

No server is ejected. Instead, servers that are slow by their last answers or by the age of their attempts in flight,
and servers in an unreachable zone, count as having additional calls in flight. Otherwise they would appear idle and
attract all parts.
"""

from __future__ import annotations

from math import inf

from badgerbend.decisions.connections import ConnectionMonitor
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.latency import OBSERVATION_HALF_LIFE_MS
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import PartState
from badgerbend.decisions.servers import Server
from badgerbend.decisions.slow_start import SlowStart

EXPLORATION_SHARE = 0.03
"""Share of choices among equally loaded servers that prefer one which is not proven (see `ReplicaSelector.is_proven`),
so that no server stays idle forever."""

MAX_PENALTY = 4.0
"""Largest number of additional calls in flight that a server counts as having for each of: slowness, an expected
handshake failure, and an unreachable zone."""


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
        """The server for the next attempt of a part, or None if it must not be sent to any replica now.

        Servers that the part has not been sent to take precedence. Among equally loaded servers, those that a call of
        this step already goes to are preferred, then proven ones.
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
        """Whether a server recently answered this broker on a connection that is still open.

        Among equal servers it is preferred and needs no handshake; otherwise a broker with little traffic would try
        each bad server in turn. A server that slow start admits is known to be new and counts as proven. The trade-off
        is that a server which is warm when it joins waits longer for its share of traffic, which `EXPLORATION_SHARE`
        provides.
        """
        if server.down_since_ms == inf and self._slow_start.capacity_fraction(server, now_ms) < 1.0:
            return True
        if server.peer_observed or server.response_time_at_ms <= now_ms - OBSERVATION_HALF_LIFE_MS / 2:
            return False
        return self._connections.idle_ms(server, now_ms) < inf

    def _least_loaded(self, pool: list[Server], now_ms: float) -> list[Server]:
        if not pool:
            return []
        loads = [self._load(server, now_ms) for server in pool]
        least = min(loads)
        return [server for server, load in zip(pool, loads, strict=True) if load == least]

    def _load(self, server: Server, now_ms: float) -> int:
        """Calls in flight after sending one more part to a server, plus a penalty in calls."""
        latency = self._latency
        typical_ms = latency.typical_ms
        penalty = 0.0
        if typical_ms:
            penalty = min(latency.response_time_ms(server, now_ms) / typical_ms - 1.0, MAX_PENALTY)
        failure_share = self._connections.handshake_failure_share
        if failure_share and self._connections.idle_ms(server, now_ms) == inf:  # a handshake is needed
            penalty += failure_share * MAX_PENALTY
        if self._outliers.is_zone_unreachable(server):
            penalty += MAX_PENALTY
        return self._calls_in_flight(server, now_ms) + round(penalty)

    def _calls_in_flight(self, server: Server, now_ms: float) -> int:
        """Calls in flight including one more part. Parts sent in the same step share calls."""
        in_flight = server.in_flight
        parts_per_call = self._parts_per_call
        if parts_per_call == 1 or not in_flight:
            return len(in_flight) + 1
        parts_by_time = {now_ms: 1}
        for sent_ms in in_flight.values():
            parts_by_time[sent_ms] = parts_by_time.get(sent_ms, 0) + 1
        return sum(-(-parts // parts_per_call) for parts in parts_by_time.values())

    def _eligible(self, part: PartState, pool: list[Server]) -> list[Server]:
        """The servers at the site chosen for a part; servers that are down are considered only if all are."""
        if not self._sites or not pool:
            return pool
        numbers = [server.id for server in pool if not server.is_down] or [server.id for server in pool]
        is_safe = part.query.query_class.effect == "safe"
        chosen = set(self._sites.eligible(part.shard, numbers, is_safe))
        return [server for server in pool if server.id in chosen]
