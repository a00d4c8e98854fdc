"""Latency estimates: the distribution over recent parts, the typical latency, and the response time of each server.

The latency of an attempt that was cancelled, was lost or is still in flight is unknown but exceeds its age: it is a
censored sample. Without these samples the estimate would be biased towards fast answers, because slow parts are
cancelled first.
E. L. Kaplan, P. Meier, "Nonparametric estimation from incomplete observations", JASA 53, 1958.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from itertools import accumulate
from math import inf
from statistics import median
from typing import NamedTuple

from badgerbend.decisions.queries import ROUNDING, Attempt, PartState
from badgerbend.decisions.rates import WINDOW_MS
from badgerbend.decisions.servers import Server

MAX_SAMPLES = 400
"""Size limit of the samples: enough for the tail of slow parts that sending surplus parts (more than an answer needs)
mitigates, and cheap to sort every second."""

MIN_SAMPLES = 20
"""Least number of answers for an estimate; the median of twenty is stable."""

LATE_FACTOR = 3.0
"""A part is late at this multiple of the typical latency; the latencies of similar parts differ by less."""

OBSERVATION_HALF_LIFE_MS = 10_000.0
"""Half-life of a server's observed deviation from the typical response time."""

LATEST_ANSWER_WEIGHT = 0.4
"""Weight of the latest answer in a server's response time: three answers distinguish a slow server from a slow part."""

LATEST_COST_WEIGHT = 0.05
"""Weight of the latest cost hint in the running mean of cost hints."""


class LatencySample(NamedTuple):
    """A completed attempt: the time of its end, its latency, and whether it is censored: the real latency is longer."""

    at_ms: float
    latency_ms: float
    censored: bool


class LatencyDistribution(NamedTuple):
    """A weighted sample of latencies in ascending order; the weights are cumulative and end at about one."""

    latencies_ms: list[float]
    cumulative_weights: list[float]


def product_limit_estimate(samples: Iterable[tuple[float, bool]]) -> LatencyDistribution:
    """Estimates the distribution of latencies from pairs of a latency in milliseconds and whether it is censored.

    The weight of a censored sample is distributed over the longer samples. If there is no longer answer, the remaining
    weight is assigned to the longest sample, which is censored.
    """
    ordered = sorted(samples)
    at_risk = len(ordered)
    remaining = 1.0
    latencies: list[float] = []
    weights: list[float] = []
    for latency_ms, censored in ordered:
        if not censored:
            weight = remaining / at_risk
            latencies.append(latency_ms)
            weights.append(weight)
            remaining -= weight
        at_risk -= 1
    if latencies and remaining > ROUNDING:
        latencies.append(ordered[-1][0])
        weights.append(remaining)
    return LatencyDistribution(latencies, list(accumulate(weights)))


class LatencyEstimate:
    """The latencies of recent parts and the estimates derived from them.

    typical_ms: the median latency of recent answers; 0 while there are too few.
    late_ms: the age at which an attempt without a cost hint is late; 0 while it is unknown.
    answers_ms: the latencies of answered parts, oldest first.
    """

    def __init__(self) -> None:
        self.samples: deque[LatencySample] = deque(maxlen=MAX_SAMPLES)
        self.distribution = LatencyDistribution([], [])
        self.typical_ms = 0.0
        self.late_ms = 0.0
        self.answers_ms: list[float] = []
        self.sorted_answers_ms: list[float] = []
        self._mean_cost_ms = 0.0

    def add(self, now_ms: float, latency_ms: float, *, censored: bool) -> None:
        """Records a completed attempt."""
        self.samples.append(LatencySample(now_ms, latency_ms, censored))

    def replace_samples(self, samples: Iterable[LatencySample]) -> None:
        """Replaces the recorded samples by others, oldest first."""
        self.samples = deque(samples, maxlen=MAX_SAMPLES)

    def add_cost_hint(self, cost_ms: float) -> None:
        """Updates the running mean of cost hints."""
        if cost_ms > 0:
            self._mean_cost_ms += (cost_ms - self._mean_cost_ms) * (LATEST_COST_WEIGHT if self._mean_cost_ms else 1.0)

    def refresh(self, now_ms: float, in_flight: Iterable[Attempt]) -> None:
        """Recomputes all estimates.

        The typical latency is derived from answers alone: lost parts must not delay the time at which late parts are
        retried or hedged.
        """
        self.distribution = self.estimate_distribution(now_ms, in_flight)
        answers = [sample.latency_ms for sample in self.samples if not sample.censored]
        if len(answers) >= MIN_SAMPLES:
            self.use_answers(answers)
            self.typical_ms = median(answers[-2 * MIN_SAMPLES :])
            self.late_ms = LATE_FACTOR * self.typical_ms

    def use_answers(self, answers_ms: Sequence[float]) -> None:
        """Sets the latencies of recent answers."""
        self.answers_ms = list(answers_ms)
        self.sorted_answers_ms = sorted(answers_ms)

    def estimate_distribution(self, now_ms: float, in_flight: Iterable[Attempt]) -> LatencyDistribution:
        """Estimates the distribution of latencies within the window; attempts in flight are censored at their age."""
        samples = self.samples
        while samples and samples[0].at_ms < now_ms - WINDOW_MS:
            samples.popleft()
        ended = [(latency_ms, censored) for _, latency_ms, censored in samples]
        return product_limit_estimate(ended + [(now_ms - attempt.sent_ms, True) for attempt in in_flight])

    def late_after_ms(self, part: PartState) -> float:
        """The age at which an attempt of a part is late. It increases with a cost hint above the mean."""
        return (self.late_ms or inf) * max(1.0, part.cost_ms / (self._mean_cost_ms or inf))

    def response_time_ms(self, server: Server, now_ms: float, half_life_ms: float = OBSERVATION_HALF_LIFE_MS) -> float:
        """The current response time of a server for a typical part.

        It is the last observed response time, which decays to the typical latency, or the age of the oldest attempt in
        flight if that is greater.
        """
        typical = self.typical_ms
        deviation = (server.response_time_ms - typical) * 2 ** -((now_ms - server.response_time_at_ms) / half_life_ms)
        in_flight = server.in_flight
        if not in_flight:
            return max(typical + deviation, 0.0)
        return max(typical + deviation, now_ms - min(in_flight.values()))

    def observe(
        self,
        server: Server,
        part: PartState | None,
        latency_ms: float,
        now_ms: float,
        *,
        answered: bool,
        failed_fast: bool,
    ) -> None:
        """Updates the response time of a server with an attempt's latency, scaled to a typical part by its cost hint.

        An attempt without an answer is used only if `late_ms` is known and the observed time exceeds the
        server's current response time.

        failed_fast: the latency contains no information. The attempt counts as slower than the server's current
        response time, since a server that fails fast would otherwise appear idle and attract all parts.
        """
        current_ms = self.response_time_ms(server, now_ms)
        late_ms = self.late_ms
        if failed_fast:
            observed_ms = max(current_ms + self.typical_ms, late_ms)
        elif part is not None and late_ms:
            observed_ms = latency_ms / (self.late_after_ms(part) / late_ms)
        else:
            observed_ms = latency_ms
        if not answered and not (late_ms and observed_ms > current_ms):
            return
        before_ms = current_ms if self.typical_ms else observed_ms
        server.response_time_ms = before_ms + (observed_ms - before_ms) * (LATEST_ANSWER_WEIGHT if answered else 1.0)
        server.response_time_at_ms = now_ms
        server.peer_observed = False

    def import_observation(self, server: Server, response_time_ms: float, observed_at_ms: float) -> None:
        """Sets a response time that other brokers have observed."""
        server.response_time_ms = response_time_ms
        server.response_time_at_ms = observed_at_ms
        server.peer_observed = True

    def forget(self, server: Server) -> None:
        """Discards the observed response time of a server."""
        server.response_time_at_ms = -inf
