"""Exchanges observations of servers and latencies with other brokers.

Observations of others are used only where this broker has none of its own. Imported observations keep their ages, so
they decay as this broker's own do. The trade-off is that until its first own answer they may not apply to this broker.
"""

from __future__ import annotations

from math import inf

from badgerbend import api
from badgerbend.decisions.endpoints import EndpointTracker
from badgerbend.decisions.latency import MIN_SAMPLES, LatencyEstimate, LatencySample
from badgerbend.decisions.rates import WINDOW_MS


class ObservationExchange:
    """Exports this broker's observations and imports those of others."""

    def __init__(self, endpoints: EndpointTracker, latency: LatencyEstimate) -> None:
        self._endpoints = endpoints
        self._latency = latency
        self._imported_ms = -inf  # when others' answers were last imported

    def export(self, now_ms: float) -> api.Observations:
        """This broker's own observations, without imported ones. It does not change the state."""
        servers = tuple(
            api.EndpointObservation(s.id, s.response_time_ms, now_ms - s.response_time_at_ms, s.is_down)
            for s in self._endpoints.servers.values()
            if s.ready and not s.peer_observed and s.response_time_at_ms > -inf
        )
        answers = tuple((now_ms - at_ms, latency_ms, censored) for at_ms, latency_ms, censored in self._own_samples())
        return api.Observations(servers, answers)

    def learn(self, observations: api.Observations, now_ms: float) -> bool:
        """Imports the observations of others; returns whether answers were imported, which changes the estimates."""
        for observed in observations.nodes:
            self._import_server(observed, now_ms)
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

    def _import_server(self, observed: api.EndpointObservation, now_ms: float) -> None:
        """Imports a response time if it is newer than the known one and than the server's start."""
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
