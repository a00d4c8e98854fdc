"""The health of a site as one broker observes it: outcomes and latencies of attempts, and reported utilization.

All figures decay, so that a minute ago does not outvote the present.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerbend.api import Outcome
from badgerbend.sites.decaying import DecayingSum

OUTCOME_HALF_LIFE_MS = 1000.0  # holds some hundred outcomes at any rate at which preference matters
# Utilization and this broker's own rates are read over the same window: the spill limit is exact only then.
LOAD_HALF_LIFE_MS = 1000.0
FAILURE_MEMORY_MS = 5000.0  # a server that failed counts as failing for this long, unless it answers
MIN_OUTCOMES = 4.0  # fewer recent outcomes than this say nothing about a site
OVERDUE_FACTOR = 10.0  # an attempt in flight for this many usual latencies is as good as lost
MIN_OVERDUE_MS = 150.0  # but not sooner than this: a pause of one server is not the loss of a site
INITIAL_OVERDUE_MS = 500.0  # while no usual latency is known
USUAL_LATENCY_WEIGHT = 0.02  # weight of one more answer in the slow mean of latencies


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt without an outcome yet. overdue: whether it has been counted as a failure already."""

    node: int
    sent_ms: float
    overdue: bool = False


def _outcomes() -> DecayingSum:
    return DecayingSum(OUTCOME_HALF_LIFE_MS)


def _loads() -> DecayingSum:
    return DecayingSum(LOAD_HALF_LIFE_MS)


def overdue_after_ms(usual_latency_ms: float) -> float:
    """The age at which an attempt in flight counts as failed. usual_latency_ms: 0 while it is unknown."""
    if not usual_latency_ms:
        return INITIAL_OVERDUE_MS
    return max(OVERDUE_FACTOR * usual_latency_ms, MIN_OVERDUE_MS)


@dataclass(slots=True)
class SiteHealth:
    """The health of one site. Each attempt goes through `record_sent` and later `record_completed`.

    An attempt is named by its part and its number.
    """

    successes: DecayingSum = field(default_factory=_outcomes)
    failures: DecayingSum = field(default_factory=_outcomes)
    latency_sum_ms: DecayingSum = field(default_factory=_outcomes)
    utilization_sum: DecayingSum = field(default_factory=_loads)
    utilization_samples: DecayingSum = field(default_factory=_loads)
    new_reports: list[float] = field(default_factory=list)  # utilization reported since the last sample
    last_utilization: float | None = None
    sent: DecayingSum = field(default_factory=_loads)
    in_flight: dict[tuple[int, int], InFlightAttempt] = field(default_factory=dict)
    failing_servers: dict[int, float] = field(default_factory=dict)  # those that failed last, and when
    consecutive_successes: int = 0
    usual_latency_ms: float = 0.0  # a slow mean; 0 while it is unknown

    def record_sent(self, now_ms: float, attempt: tuple[int, int], node: int) -> None:
        """An attempt was sent to a server of the site."""
        self.sent.add(now_ms, 1.0)
        self.in_flight[attempt] = InFlightAttempt(node, now_ms)

    def record_completed(
        self, now_ms: float, attempt: tuple[int, int], outcome: Outcome, utilization: float | None
    ) -> None:
        """An attempt has ended. utilization: what the server reported with it, a fraction; None without a report."""
        sent = self.in_flight.pop(attempt, None)
        if sent is None:
            return
        latency_ms = now_ms - sent.sent_ms
        match outcome:
            case Outcome.OK:
                self._record_success(now_ms, sent, latency_ms)
                if utilization is not None:
                    self.new_reports.append(min(max(utilization, 0.0), 1.0))
            case Outcome.REJECTED:  # alive, without capacity
                self.new_reports.append(1.0)
            case Outcome.NOT_SENT:
                pass
            case Outcome.CANCELLED:
                if latency_ms > overdue_after_ms(self.usual_latency_ms) and not sent.overdue:
                    self._record_failure(now_ms, sent.node)
            case _:
                if not sent.overdue:
                    self._record_failure(now_ms, sent.node)

    def _record_success(self, now_ms: float, sent: InFlightAttempt, latency_ms: float) -> None:
        if sent.overdue:  # it was counted as a failure, wrongly
            self.failures.add(now_ms, -min(1.0, self.failures.read(now_ms)))
        self.successes.add(now_ms, 1.0)
        self.latency_sum_ms.add(now_ms, latency_ms)
        weight = USUAL_LATENCY_WEIGHT if self.usual_latency_ms else 1.0
        self.usual_latency_ms += (latency_ms - self.usual_latency_ms) * weight
        self.failing_servers.pop(sent.node, None)
        self.consecutive_successes += 1

    def _record_failure(self, now_ms: float, node: int) -> None:
        self.failures.add(now_ms, 1.0)
        self.failing_servers[node] = now_ms
        self.consecutive_successes = 0

    def record_connection_failure(self, now_ms: float, node: int) -> None:
        """A connection opened in advance could not be established."""
        self._record_failure(now_ms, node)

    def fail_overdue_attempts(self, now_ms: float) -> None:
        """Counts attempts in flight for too long as failed: a site that drops everything sends no errors."""
        limit_ms = overdue_after_ms(self.usual_latency_ms)
        for attempt in self.in_flight.values():
            if now_ms - attempt.sent_ms <= limit_ms:
                break  # they are in the order in which they were sent
            if not attempt.overdue:
                attempt.overdue = True
                self._record_failure(now_ms, attempt.node)

    def sample(self, now_ms: float) -> None:
        """Ends an interval of fixed length; each weighs the same in the utilization, however many reports came in it.

        A mean over reports would follow a jump of the load at once and the rates only later, and the spill limit,
        which subtracts one from the other, would oscillate.
        """
        expired = [node for node, failed_ms in self.failing_servers.items() if now_ms - failed_ms > FAILURE_MEMORY_MS]
        for node in expired:
            del self.failing_servers[node]  # it gets no attempts any more, so no success would clear it
        if self.new_reports:
            self.last_utilization = sum(self.new_reports) / len(self.new_reports)
            self.new_reports.clear()
        if self.last_utilization is not None:
            self.utilization_sum.add(now_ms, self.last_utilization)
            self.utilization_samples.add(now_ms, 1.0)

    def reset_outcomes(self) -> None:
        """Forgets past outcomes, which say nothing about a site that was out; utilization and attempts stay."""
        for outcomes in (self.successes, self.failures, self.latency_sum_ms):
            outcomes.value = 0.0
        self.consecutive_successes = 0

    def success_rate(self, now_ms: float) -> float | None:
        """The fraction of recent outcomes that were successes; None where there are too few."""
        successes = self.successes.read(now_ms)
        failures = self.failures.read(now_ms)
        if successes + failures < MIN_OUTCOMES:
            return None
        return successes / (successes + failures)

    def mean_latency_ms(self, now_ms: float) -> float | None:
        """The mean latency of recent successes; None where there are too few."""
        successes = self.successes.read(now_ms)
        if successes < MIN_OUTCOMES:
            return None
        return self.latency_sum_ms.read(now_ms) / successes

    def utilization(self, now_ms: float) -> float | None:
        """The fraction of the site's capacity used by all brokers, as its servers report it; None where they do not."""
        samples = self.utilization_samples.read(now_ms)
        if samples < 1.0:
            return None
        return self.utilization_sum.read(now_ms) / samples
