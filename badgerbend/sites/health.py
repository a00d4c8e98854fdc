"""The health of a site as one broker observes it: outcomes and latencies of attempts, and reported utilization.

All figures decay, so that old observations do not outweigh recent ones.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerbend.api import Outcome
from badgerbend.sites.decaying import DecayingSum

OUTCOME_HALF_LIFE_MS = 1000.0  # covers about a hundred outcomes at any rate at which the preference matters
# Utilization and this broker's own rates are averaged over the same window; the spill limit is exact only then.
LOAD_HALF_LIFE_MS = 1000.0
FAILURE_MEMORY_MS = 5000.0  # a server counts as failing for this long after a failure, unless it answers
MIN_OUTCOMES = 4.0  # with fewer recent outcomes, nothing is concluded about a site
OVERDUE_FACTOR = 10.0  # an attempt in flight for longer than this many typical latencies counts as failed
MIN_OVERDUE_MS = 150.0  # lower bound of that time, since a pause of one server is not the loss of a site
INITIAL_OVERDUE_MS = 500.0  # used while no typical latency is known
TYPICAL_LATENCY_WEIGHT = 0.02  # weight of each answer in the slowly moving average of latencies


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt without an outcome yet. overdue: whether it has already been counted as a failure."""

    node: int
    sent_ms: float
    overdue: bool = False


def _new_outcome_sum() -> DecayingSum:
    return DecayingSum(OUTCOME_HALF_LIFE_MS)


def _new_load_sum() -> DecayingSum:
    return DecayingSum(LOAD_HALF_LIFE_MS)


def overdue_after_ms(typical_latency_ms: float) -> float:
    """The age beyond which an attempt in flight counts as failed. typical_latency_ms: 0 while it is unknown."""
    if not typical_latency_ms:
        return INITIAL_OVERDUE_MS
    return max(OVERDUE_FACTOR * typical_latency_ms, MIN_OVERDUE_MS)


@dataclass(slots=True)
class SiteHealth:
    """The health of one site. Each attempt is passed to `record_sent` and later to `record_completed`.

    An attempt is identified by its part and its number.
    """

    successes: DecayingSum = field(default_factory=_new_outcome_sum)
    failures: DecayingSum = field(default_factory=_new_outcome_sum)
    latency_sum_ms: DecayingSum = field(default_factory=_new_outcome_sum)
    utilization_sum: DecayingSum = field(default_factory=_new_load_sum)
    utilization_samples: DecayingSum = field(default_factory=_new_load_sum)
    new_reports: list[float] = field(default_factory=list)  # utilization reported since the last sample
    last_utilization: float | None = None
    sent: DecayingSum = field(default_factory=_new_load_sum)
    in_flight: dict[tuple[int, int], InFlightAttempt] = field(default_factory=dict)
    failing_servers: dict[int, float] = field(default_factory=dict)  # failure time by server, if it failed last
    consecutive_successes: int = 0
    typical_latency_ms: float = 0.0  # a slowly moving average; 0 while it is unknown

    def record_sent(self, now_ms: float, attempt: tuple[int, int], node: int) -> None:
        """Records that an attempt was sent to a server of the site."""
        self.sent.add(now_ms, 1.0)
        self.in_flight[attempt] = InFlightAttempt(node, now_ms)

    def record_completed(
        self, now_ms: float, attempt: tuple[int, int], outcome: Outcome, utilization: float | None
    ) -> None:
        """Records the outcome of an attempt. utilization: the fraction that the server reported with it, if any."""
        sent = self.in_flight.pop(attempt, None)
        if sent is None:
            return
        latency_ms = now_ms - sent.sent_ms
        match outcome:
            case Outcome.OK:
                self._record_success(now_ms, sent, latency_ms)
                if utilization is not None:
                    self.new_reports.append(min(max(utilization, 0.0), 1.0))
            case Outcome.REJECTED:  # the server is alive but has no capacity
                self.new_reports.append(1.0)
            case Outcome.NOT_SENT:
                pass
            case Outcome.CANCELLED:
                if latency_ms > overdue_after_ms(self.typical_latency_ms) and not sent.overdue:
                    self._record_failure(now_ms, sent.node)
            case _:
                if not sent.overdue:
                    self._record_failure(now_ms, sent.node)

    def _record_success(self, now_ms: float, sent: InFlightAttempt, latency_ms: float) -> None:
        if sent.overdue:  # it was wrongly counted as a failure
            self.failures.add(now_ms, -min(1.0, self.failures.read(now_ms)))
        self.successes.add(now_ms, 1.0)
        self.latency_sum_ms.add(now_ms, latency_ms)
        weight = TYPICAL_LATENCY_WEIGHT if self.typical_latency_ms else 1.0
        self.typical_latency_ms += (latency_ms - self.typical_latency_ms) * weight
        self.failing_servers.pop(sent.node, None)
        self.consecutive_successes += 1

    def _record_failure(self, now_ms: float, node: int) -> None:
        self.failures.add(now_ms, 1.0)
        self.failing_servers[node] = now_ms
        self.consecutive_successes = 0

    def record_connection_failure(self, now_ms: float, node: int) -> None:
        """Records that a connection to a server could not be opened in advance."""
        self._record_failure(now_ms, node)

    def fail_overdue_attempts(self, now_ms: float) -> None:
        """Counts overdue attempts in flight as failed, because a site that drops all requests sends no errors."""
        limit_ms = overdue_after_ms(self.typical_latency_ms)
        for attempt in self.in_flight.values():
            if now_ms - attempt.sent_ms <= limit_ms:
                break  # attempts are in the order in which they were sent
            if not attempt.overdue:
                attempt.overdue = True
                self._record_failure(now_ms, attempt.node)

    def sample(self, now_ms: float) -> None:
        """Ends a sampling interval of fixed length. Each has the same weight in the utilization, however many reports
        were received in it.

        A mean over reports would follow a sudden change of the load at once, but the rates follow it later. The spill
        limit, which subtracts one from the other, would then oscillate.
        """
        expired = [node for node, failed_ms in self.failing_servers.items() if now_ms - failed_ms > FAILURE_MEMORY_MS]
        for node in expired:
            del self.failing_servers[node]  # it may receive no more attempts, so that no success would remove it
        if self.new_reports:
            self.last_utilization = sum(self.new_reports) / len(self.new_reports)
            self.new_reports.clear()
        if self.last_utilization is not None:
            self.utilization_sum.add(now_ms, self.last_utilization)
            self.utilization_samples.add(now_ms, 1.0)

    def reset_outcomes(self) -> None:
        """Forgets past outcomes, which say nothing about a site after an outage; keeps utilization and attempts."""
        for outcomes in (self.successes, self.failures, self.latency_sum_ms):
            outcomes.value = 0.0
        self.consecutive_successes = 0

    def success_rate(self, now_ms: float) -> float | None:
        """The fraction of recent outcomes that were successes; None if there are too few outcomes."""
        successes = self.successes.read(now_ms)
        failures = self.failures.read(now_ms)
        if successes + failures < MIN_OUTCOMES:
            return None
        return successes / (successes + failures)

    def mean_latency_ms(self, now_ms: float) -> float | None:
        """The mean latency of recent successes; None if there are too few."""
        successes = self.successes.read(now_ms)
        if successes < MIN_OUTCOMES:
            return None
        return self.latency_sum_ms.read(now_ms) / successes

    def utilization(self, now_ms: float) -> float | None:
        """The fraction of the site's capacity used by all brokers, as its servers report it; None without reports."""
        samples = self.utilization_samples.read(now_ms)
        if samples < 1.0:
            return None
        return self.utilization_sum.read(now_ms) / samples
