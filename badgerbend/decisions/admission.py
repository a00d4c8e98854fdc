"""Admission control: decides which queries are rejected on arrival.

A query is rejected if no site admits it, if its expected latency is too high, or with a probability that grows as its
chance to be answered in time falls below one half.
"""

from __future__ import annotations

from bisect import bisect_right
from math import comb, prod
from statistics import fmean

from badgerbend import api
from badgerbend.decisions.cell_success import CellSuccess
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.latency import OBSERVATION_HALF_LIFE_MS
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import EndReason, QueryState
from badgerbend.decisions.servers import Server

OBJECTIVE_SHARE = 0.7
"""A query is rejected if its expected latency is at least this share of its latency objective."""

OBJECTIVE_SHARE_OVER_QUOTA = 0.5
"""Replaces `OBJECTIVE_SHARE` for queries of a tenant beyond its quota, which have a low value."""

CERTAIN_ADMISSION_PROBABILITY = 0.5
"""Queries that are answered in time with a lower probability are admitted with a probability in proportion to it."""

FOLLOW_UP_FACTOR = 1.5
"""Ratio of the latency of a query with two steps to that of its first step; the second has fewer and lighter parts."""

RESAMPLES = 100
"""Number of resamples for an order statistic; the standard error of its mean is a tenth of the standard deviation."""


class AdmissionController:
    """Admits or rejects queries on arrival."""

    def __init__(self, context: DecisionContext, outliers: OutlierDetector, cells: CellSuccess) -> None:
        self._settings = context.settings
        self._random = context.random
        self._queries = context.queries
        self._endpoints = context.endpoints
        self._latency = context.latency
        self._rates = context.rates
        self._outliers = outliers
        self._cells = cells
        self._sites = context.sites
        self._order_statistics: dict[tuple[int, int], float] = {}  # E[X_m:k] / E[X] by m and k

    def reset(self) -> None:
        """Discards the order statistics; called after the latency estimate has been refreshed."""
        self._order_statistics = {}

    def rejection(self, event: api.Query, query: QueryState, now_ms: float) -> EndReason | None:
        """The reason to reject a query, or None if it is admitted.

        Also decides whether the query needs a canary, which is one part that is sent before the others.
        """
        over_quota = self._is_over_quota(event.tenant, now_ms)
        fewest = query.fewest_parts(query.query_class.complete_weight)
        if self._sites and not self._sites.admits(event, over_quota, fewest):
            return EndReason.NO_SITE
        if not query.parts or self._expected_latency_ms(query, now_ms) >= self._latency_limit_ms(
            query, over_quota, now_ms
        ):
            return EndReason.FORESEEN_LATE
        query.has_canary = event.is_retry or self._outliers.needs_canary(now_ms)
        probability = self._in_time_probability(query, now_ms)
        if fewest == len(query.parts):
            probability *= self._all_parts_probability(query, now_ms)
        if (
            probability < CERTAIN_ADMISSION_PROBABILITY
            and self._random.random() > probability / CERTAIN_ADMISSION_PROBABILITY
        ):
            return EndReason.UNLIKELY
        return None

    def _is_over_quota(self, tenant: int, now_ms: float) -> bool:
        """Counts a query and returns whether its tenant now exceeds this broker's even share of its quota."""
        if tenant >= len(self._settings.tenants):
            return False
        queries = self._rates.tenant(tenant)
        queries.add(now_ms)
        quota_per_ms = self._settings.tenants[tenant].quota_per_s / self._settings.broker_count / 1000
        return self._rates.per_ms(queries, now_ms) > quota_per_ms

    def _latency_limit_ms(self, query: QueryState, over_quota: bool, now_ms: float) -> float:
        """A query is rejected if its expected latency is at least this; at most the time until the query must end."""
        share = OBJECTIVE_SHARE_OVER_QUOTA if over_quota else OBJECTIVE_SHARE
        return min(share * query.query_class.latency_objective_ms, query.end_at_ms - now_ms)

    def _expected_latency_ms(self, query: QueryState, now_ms: float) -> float:
        """The expected time until the answered parts of a query admitted now have the least weight for an answer.

        It is the mean recent response time of the fastest shards that are enough for that weight, times
        `_order_statistic`, but at least the response time of the slowest of these shards. It is 0 while the latency is
        unknown, and while nothing is in flight, so that queries are admitted and show whether an overload has ended.
        """
        if not self._latency.late_ms or not self._queries.attempts:
            return 0.0
        part_count = len(query.parts)
        needed = query.fewest_parts(query.minimum_weight)
        times_ms = sorted(self._shard_time_ms(part.shard, now_ms) for part in query.parts)[:needed]
        expected_ms = max(times_ms[-1], sum(times_ms) / needed * self._order_statistic(needed, part_count))
        return expected_ms * (FOLLOW_UP_FACTOR if query.query_class.follow_up_parts else 1.0)

    def _shard_time_ms(self, shard: int, now_ms: float) -> float:
        """The response time of a shard's fastest replica, among recently observed replicas if there are any."""
        oldest_ms = now_ms - OBSERVATION_HALF_LIFE_MS / 2
        replicas = self._endpoints.replicas(shard)
        observed = [server for server in replicas if server.response_time_at_ms > oldest_ms] or replicas
        return min((self._response_time_ms(server, now_ms) for server in observed), default=0.0)

    def _response_time_ms(self, server: Server, now_ms: float) -> float:
        return self._latency.response_time_ms(server, now_ms, OBSERVATION_HALF_LIFE_MS / 2)

    def _order_statistic(self, m: int, k: int) -> float:
        """The mean of the m-th smallest of k recent latencies, relative to the mean latency."""
        ratio = self._order_statistics.get((m, k))
        if ratio is None:
            answers_ms = self._latency.answers_ms
            resamples = [self._random.choices(answers_ms, k=k) for _ in range(RESAMPLES)]
            ratio = sum(sorted(latencies)[m - 1] for latencies in resamples) / RESAMPLES / fmean(answers_ms)
            self._order_statistics[m, k] = ratio
        return ratio

    def _all_parts_probability(self, query: QueryState, now_ms: float) -> float:
        """The probability that all parts of a query are answered, from the recent success of its cells.

        Rejecting queries by it avoids work on those that would lose one of ten parts. The trade-off is that after a
        fault it takes some answers, or several seconds, until all queries are admitted again.
        """
        return prod(self._cells.share(cell, now_ms) for cell in self._cells.cells(query))

    def _in_time_probability(self, query: QueryState, now_ms: float) -> float:
        """The probability that a query's answered parts reach the least weight for an answer before the query must end.

        It is derived from recent answers. A canary precedes the other parts, which halves the time for each. Rejecting
        queries by it avoids work on answers that arrive after the client has left, also while nothing is in flight and
        `_expected_latency_ms` is 0. The trade-off is that it takes seconds to notice that answers have become faster.
        """
        answers_ms = self._latency.sorted_answers_ms
        if not answers_ms:
            return 1.0
        time_left_ms = (query.end_at_ms - now_ms) / (1 + query.has_canary)
        probability = bisect_right(answers_ms, time_left_ms) / len(answers_ms)
        if probability == 1.0:
            return 1.0
        count = len(query.parts)
        needed = query.fewest_parts(query.minimum_weight)
        return sum(comb(count, n) * probability**n * (1 - probability) ** (count - n) for n in range(needed, count + 1))
