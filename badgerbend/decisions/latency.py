"""Estimates of latency: its distribution over recent parts, the typical part, and what a part takes at one server.

An attempt that was cancelled, lost or is still in flight has no latency, but it took longer than its age: it is a
censored sample. Without these the estimate would skew towards fast answers, since slow parts are cancelled first.
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
"""Size limit of the record: enough for the tail that surplus parts answer, and cheap to sort each second."""

MIN_SAMPLES = 20
"""Fewer answers than this say nothing; the median of twenty is steady."""

LATE_FACTOR = 3.0
"""A part is late at so many times the typical latency; parts of one kind differ by less."""

FADE_MS = 10_000.0
"""Half-life of what was observed of a server."""

LAST_WEIGHT = 0.4
"""Weight of the last answer in a server's response time: three answers tell a slow server from a slow part."""

COST_WEIGHT = 0.05
"""Weight of the last cost hint in their running mean."""


class LatencySample(NamedTuple):
    """One ended attempt: when it ended, how long it took, and whether it is censored (it would have taken longer)."""

    at_ms: float
    latency_ms: float
    censored: bool


class LatencyDistribution(NamedTuple):
    """A weighted sample of latencies; the weights are cumulative and end near one."""

    latencies_ms: list[float]
    cumulative_weights: list[float]


def product_limit_estimate(samples: Iterable[tuple[float, bool]]) -> LatencyDistribution:
    """The distribution of latencies, given as pairs of latency in milliseconds and whether it is censored.

    The weight of a censored sample goes to the longer ones. Weight that no answer is left for goes to the longest age.
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
    """The latencies of recent parts, and what follows from them.

    typical_ms: the median answer; 0 while too few are known.
    late_ms: the age at which an attempt without a cost hint is late; 0 while that is not known.
    answers_ms: the latencies of answered parts alone, oldest first.
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
        """Records an attempt that ended."""
        self.samples.append(LatencySample(now_ms, latency_ms, censored))

    def replace_samples(self, samples: Iterable[LatencySample]) -> None:
        """Puts other samples, oldest first, in the place of the recorded ones."""
        self.samples = deque(samples, maxlen=MAX_SAMPLES)

    def add_cost_hint(self, cost_ms: float) -> None:
        """Takes a part's hint of its work into the mean of all hints."""
        if cost_ms > 0:
            self._mean_cost_ms += (cost_ms - self._mean_cost_ms) * (COST_WEIGHT if self._mean_cost_ms else 1.0)

    def refresh(self, now_ms: float, in_flight: Iterable[Attempt]) -> None:
        """Derives all estimates anew.

        The typical latency goes by answers alone: lost parts must not put off the moment at which they are rescued.
        """
        self.distribution = self.estimate_distribution(now_ms, in_flight)
        answers = [sample.latency_ms for sample in self.samples if not sample.censored]
        if len(answers) >= MIN_SAMPLES:
            self.use_answers(answers)
            self.typical_ms = median(answers[-2 * MIN_SAMPLES :])
            self.late_ms = LATE_FACTOR * self.typical_ms

    def use_answers(self, answers_ms: Sequence[float]) -> None:
        """Takes these latencies of answered parts for the recent ones."""
        self.answers_ms = list(answers_ms)
        self.sorted_answers_ms = sorted(answers_ms)

    def estimate_distribution(self, now_ms: float, in_flight: Iterable[Attempt]) -> LatencyDistribution:
        """The distribution of part latencies within the window; attempts in flight are censored at their age."""
        samples = self.samples
        while samples and samples[0].at_ms < now_ms - WINDOW_MS:
            samples.popleft()
        ended = [(latency_ms, censored) for _, latency_ms, censored in samples]
        return product_limit_estimate(ended + [(now_ms - attempt.sent_ms, True) for attempt in in_flight])

    def late_after_ms(self, part: PartState) -> float:
        """The age at which an attempt of a part is late. A part with a costly hint is late so much later."""
        return (self.late_ms or inf) * max(1.0, part.cost_ms / (self._mean_cost_ms or inf))

    def response_time_ms(self, server: Server, now_ms: float, fade_ms: float = FADE_MS) -> float:
        """What a typical part takes at a server now.

        It is what was last observed there, fading to what is typical of all, or the age of the oldest attempt in flight
        if that is more.
        """
        typical = self.typical_ms
        deviation = (server.response_time_ms - typical) * 2 ** -((now_ms - server.response_time_at_ms) / fade_ms)
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
        failed_at_once: bool,
    ) -> None:
        """Takes what an attempt took into its server's response time, scaled to a typical part by the cost hint.

        failed_at_once: its latency says nothing. It counts as slower than the server is known to be: a server that
        fails at once would otherwise look idle and draw all parts.
        """
        current_ms = self.response_time_ms(server, now_ms)
        late_ms = self.late_ms
        if failed_at_once:
            observed_ms = max(current_ms + self.typical_ms, late_ms)
        elif part is not None and late_ms:
            observed_ms = latency_ms / (self.late_after_ms(part) / late_ms)
        else:
            observed_ms = latency_ms
        if not answered and not (late_ms and observed_ms > current_ms):
            return
        before_ms = current_ms if self.typical_ms else observed_ms
        server.response_time_ms = before_ms + (observed_ms - before_ms) * (LAST_WEIGHT if answered else 1.0)
        server.response_time_at_ms = now_ms
        server.peer_observed = False

    def import_observation(self, server: Server, response_time_ms: float, observed_at_ms: float) -> None:
        """Takes a response time that other brokers have observed."""
        server.response_time_ms = response_time_ms
        server.response_time_at_ms = observed_at_ms
        server.peer_observed = True

    def forget(self, server: Server) -> None:
        """Forgets what was observed of a server."""
        server.response_time_at_ms = -inf
