"""Admission: which queries are rejected on arrival, and only while parts of this broker wait for servers.

Rejected are queries that no site takes, that are foreseen to be late, or that are more likely lost than answered.
"""

from __future__ import annotations

from bisect import bisect_right
from math import comb, prod
from statistics import fmean

from badgerbend import api
from badgerbend.decisions.cell_success import CellSuccess
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.latency import FADE_MS
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import EndReason, QueryState
from badgerbend.decisions.servers import Server

OBJECTIVE_SHARE = 0.7
"""A query is rejected when it is foreseen to take more than this share of its latency objective."""

OBJECTIVE_SHARE_OVER_QUOTA = 0.5
"""The same for a tenant beyond its quota, whose queries are worth little."""

EVEN_ODDS = 0.5
"""Chance of a timely answer below which a query is admitted the more seldom the lower it is."""

FOLLOW_UP_FACTOR = 1.5
"""Time of a query with a second step over that of its first; the second has fewer and lighter parts."""

RESAMPLES = 100
"""Resamples that the order statistic is taken from: the error of a mean is a tenth of the spread."""


class AdmissionController:
    """Decides on queries when they arrive."""

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
        self._order_statistics: dict[tuple[int, int], float] = {}  # E[X_m:k] / E[X], by m and k

    def reset(self) -> None:
        """Forgets the order statistics; called when the latency estimate was refreshed."""
        self._order_statistics = {}

    def rejection(self, event: api.Query, query: QueryState, now_ms: float) -> EndReason | None:
        """Why a query is rejected, or None if it is admitted. Notes whether it needs a canary."""
        over_quota = self._is_over_quota(event.tenant, now_ms)
        fewest = query.fewest_parts(query.query_class.complete_weight)
        if self._sites and not self._sites.admits(event, over_quota, fewest):
            return EndReason.NO_SITE
        if not query.parts or self._foreseen_ms(query, now_ms) >= self._longest_ms(query, over_quota, now_ms):
            return EndReason.FORESEEN_LATE
        query.has_canary = event.is_retry or self._outliers.needs_canary(now_ms)
        chance = self._chance_in_time(query, now_ms)
        if fewest == len(query.parts):
            chance *= self._chance_of_all_parts(query, now_ms)
        if chance < EVEN_ODDS and self._random.random() > chance / EVEN_ODDS:
            return EndReason.UNLIKELY
        return None

    def _is_over_quota(self, tenant: int, now_ms: float) -> bool:
        """Whether a tenant is beyond this broker's even share of its quota, this query included."""
        if tenant >= len(self._settings.tenants):
            return False
        queries = self._rates.tenant(tenant)
        queries.add(now_ms)
        quota_per_ms = self._settings.tenants[tenant].quota_per_s / self._settings.broker_count / 1000
        return self._rates.per_ms(queries, now_ms) > quota_per_ms

    def _longest_ms(self, query: QueryState, over_quota: bool, now_ms: float) -> float:
        """How long a query may be foreseen to take."""
        share = OBJECTIVE_SHARE_OVER_QUOTA if over_quota else OBJECTIVE_SHARE
        return min(share * query.query_class.latency_objective_ms, query.end_at_ms - now_ms)

    def _foreseen_ms(self, query: QueryState, now_ms: float) -> float:
        """How long a query taken now would take to the least weight that it may be answered with.

        It is what the servers of its shards took lately, times the order statistic of recent answers over their mean;
        as long as the slowest of its shards at least. Without anything in flight a query is taken in any case, to learn
        whether an overload is over.
        """
        if not self._latency.late_ms or not self._queries.attempts:
            return 0.0
        part_count = len(query.parts)
        needed = query.fewest_parts(query.minimum_weight)
        times_ms = sorted(self._shard_time_ms(part.shard, now_ms) for part in query.parts)[:needed]
        foreseen_ms = max(times_ms[-1], sum(times_ms) / needed * self._order_statistic(needed, part_count))
        return foreseen_ms * (FOLLOW_UP_FACTOR if query.query_class.follow_up_parts else 1.0)

    def _shard_time_ms(self, shard: int, now_ms: float) -> float:
        """What a part takes at the fastest replica of a shard, of those observed lately if there are any."""
        oldest_ms = now_ms - FADE_MS / 2
        replicas = self._endpoints.replicas(shard)
        observed = [server for server in replicas if server.response_time_at_ms > oldest_ms] or replicas
        return min((self._response_time_ms(server, now_ms) for server in observed), default=0.0)

    def _response_time_ms(self, server: Server, now_ms: float) -> float:
        return self._latency.response_time_ms(server, now_ms, FADE_MS / 2)

    def _order_statistic(self, m: int, k: int) -> float:
        """The mean of the m-th smallest of k recent answers, over the mean answer."""
        ratio = self._order_statistics.get((m, k))
        if ratio is None:
            answers_ms = self._latency.answers_ms
            resamples = [self._random.choices(answers_ms, k=k) for _ in range(RESAMPLES)]
            ratio = sum(sorted(latencies)[m - 1] for latencies in resamples) / RESAMPLES / fmean(answers_ms)
            self._order_statistics[m, k] = ratio
        return ratio

    def _chance_of_all_parts(self, query: QueryState, now_ms: float) -> float:
        """The chance that a query which needs all its parts gets them, by how others fared with its cells lately.

        It avoids work on queries that lose one part of ten. The trade-off is that after a fault it takes some answers,
        or seconds, until all are admitted again.
        """
        return prod(self._cells.share(cell, now_ms) for cell in self._cells.cells(query))

    def _chance_in_time(self, query: QueryState, now_ms: float) -> float:
        """The chance that the least weight a query may be answered with is in while its client waits.

        It goes by recent answers; a canary goes before the rest, which halves the time. It avoids work that nobody
        waits for, also where nothing is in flight to foresee it by. The trade-off is that answers which came to be
        quicker are noticed within seconds only.
        """
        answers_ms = self._latency.sorted_answers_ms
        if not answers_ms:
            return 1.0
        time_left_ms = (query.end_at_ms - now_ms) / (1 + query.has_canary)
        chance = bisect_right(answers_ms, time_left_ms) / len(answers_ms)
        if chance == 1.0:
            return 1.0
        count = len(query.parts)
        needed = query.fewest_parts(query.minimum_weight)
        return sum(comb(count, n) * chance**n * (1 - chance) ** (count - n) for n in range(needed, count + 1))
