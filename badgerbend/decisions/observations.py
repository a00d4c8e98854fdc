"""What this broker tells others of servers and latencies, and what it takes from them.

Others' observations count only where this broker has none of its own. They keep their ages, so they fade as own ones
do; the trade-off is that what holds elsewhere need not hold here, until the first own answer.
"""

from __future__ import annotations

from math import inf

from badgerbend import api
from badgerbend.decisions.endpoints import EndpointTracker
from badgerbend.decisions.latency import MIN_SAMPLES, LatencyEstimate, LatencySample
from badgerbend.decisions.rates import WINDOW_MS


class ObservationExchange:
    """Exports own observations, and imports those of others."""

    def __init__(self, endpoints: EndpointTracker, latency: LatencyEstimate) -> None:
        self._endpoints = endpoints
        self._latency = latency
        self._imported_ms = -inf  # when others' answers last went into the record

    def export(self, now_ms: float) -> api.Observations:
        """What this broker has observed itself; never what it was told. Changes nothing."""
        servers = tuple(
            api.EndpointObservation(s.id, s.response_time_ms, now_ms - s.response_time_at_ms, s.is_down)
            for s in self._endpoints.servers.values()
            if s.ready and not s.peer_observed and s.response_time_at_ms > -inf
        )
        answers = tuple((now_ms - at_ms, latency_ms, censored) for at_ms, latency_ms, censored in self._own_samples())
        return api.Observations(servers, answers)

    def learn(self, observations: api.Observations, now_ms: float) -> bool:
        """Takes others' observations; whether their answers went into the record, so that estimates change."""
        for observed in observations.nodes:
            self._learn_server(observed, now_ms)
        imported = [
            LatencySample(now_ms - age_ms, latency_ms, censored)
            for age_ms, latency_ms, censored in observations.answers
            if 0 <= age_ms < WINDOW_MS
        ]
        own = self._own_samples()
        if not imported or sum(1 for sample in own if not sample.censored) >= MIN_SAMPLES:
            return False
        self._latency.replace_samples(imported + own)
        self._imported_ms = now_ms
        return True

    def _learn_server(self, observed: api.EndpointObservation, now_ms: float) -> None:
        """Takes a response time that is newer than what else is known, and than the server's start."""
        server = self._endpoints.servers.get(observed.node)
        if server is None:
            return
        at_ms = now_ms - observed.age_ms
        has_own = not server.peer_observed and server.response_time_at_ms > -inf
        if has_own or at_ms <= max(server.response_time_at_ms, server.warming_since_ms):
            return
        self._latency.import_observation(server, observed.response_time_ms, at_ms)

    def _own_samples(self) -> list[LatencySample]:
        return [sample for sample in self._latency.samples if sample.at_ms > self._imported_ms]
