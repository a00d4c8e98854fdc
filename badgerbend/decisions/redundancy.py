"""Decides how many parts of a query are sent if any m of its k parts are enough for an answer.

G. Joshi, E. Soljanin, G. Wornell, "Efficient Redundancy Techniques for Latency Reduction in Cloud Systems", ACM TOMPECS
2(2), 2017, section 8.2, Definition 8: send r of the k parts, where r in m..k minimizes the latency

    T(r) = E[X_m:r] + L r E[X_m:r^2] / (2 (N - L r E[X_m:r]))    subject to    C(r) <= C(k),    C(r) = r E[X_m:r]

where X_m:r is the m-th smallest of r part latencies, L is the arrival rate and N the number of servers. Deviations
from the paper: without samples r is k; if even r = m leaves no spare capacity, r is m, because surplus parts would
worsen an overload.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import inf

from badgerbend.decisions.context import DecisionContext

RESAMPLES = 100
"""Number of resamples for the order statistics; the standard error of a mean is a tenth of the standard deviation."""

PARTS_IN_PARALLEL = 2
"""Assumed number of parts that a server processes in parallel: small servers have two cores."""


def fastest_redundancy(m: int, k: int, resamples: Sequence[Sequence[float]], rate: float, servers: float) -> int:
    """The r in m..k with the least T(r) among those with C(r) <= C(k); m if none leaves spare capacity.

    resamples: latencies of k parts each, in milliseconds; the first r of each are used for every r, so that the
    comparison of different r is free of sampling noise.
    rate: L, in queries per millisecond.
    servers: N.
    """
    best = m
    least_latency_ms = inf
    cost_of_all = 0.0
    count = len(resamples)
    for r in range(k, m - 1, -1):
        order_statistics = [sorted(latencies[:r])[m - 1] for latencies in resamples]
        mean = sum(order_statistics) / count
        mean_square = sum(x * x for x in order_statistics) / count
        cost = r * mean
        cost_of_all = cost_of_all or cost
        spare = servers - rate * r * mean
        if spare <= 0 or cost > cost_of_all:
            continue
        latency_ms = mean + rate * r * mean_square / (2 * spare)
        if latency_ms < least_latency_ms:
            best = r
            least_latency_ms = latency_ms
    return best


class RedundancyPolicy:
    """Chooses r for each (m, k) and caches the choice until the estimates are refreshed."""

    def __init__(self, context: DecisionContext) -> None:
        self._broker_count = context.settings.broker_count
        self._random = context.random
        self._latency = context.latency
        self._rates = context.rates
        self._endpoints = context.endpoints
        self._chosen: dict[tuple[int, int], int] = {}

    @property
    def chosen(self) -> Mapping[tuple[int, int], int]:
        """The choices since the last refresh, by m and k."""
        return self._chosen

    def reset(self) -> None:
        """Discards the choices; called after the estimates have been refreshed."""
        self._chosen = {}

    def parts_to_send(self, m: int, k: int, now_ms: float) -> int:
        """The number of parts to send if any m of k parts make a complete answer."""
        latencies, cumulative_weights = self._latency.distribution
        if m >= k or not latencies:
            return k
        chosen = self._chosen.get((m, k))
        if chosen is None:
            choices = self._random.choices
            resamples = [choices(latencies, cum_weights=cumulative_weights, k=k) for _ in range(RESAMPLES)]
            rate = self._rates.per_ms(self._rates.queries, now_ms)
            # The other brokers are assumed to put the same load on the servers.
            servers = self._endpoints.available_count * PARTS_IN_PARALLEL / self._broker_count
            chosen = self._chosen[m, k] = fastest_redundancy(m, k, resamples, rate, servers)
        return chosen
