"""Whether one broker considers a site active, ejected, on trial or recovering.

    ACTIVE --- fails, or has no ready server ---> EJECTED --- ejection time over, servers ready ---> TRIAL
    TRIAL --- consecutive successes ---> RECOVERING --- the share has grown to 1 ---> ACTIVE
    TRIAL, RECOVERING --- fails ---> EJECTED

The state machine has hysteresis: a site is ejected when its success rate falls below `ejection_threshold`, and becomes
active again only after the ejection time, a number of consecutive successes, and a recovery ramp. The share on the ramp
grows while at most MAX_RAMP_FAILURES of the site's parts fail, and stays the same above that. Ejections are counted,
and the count decays. Each ejection doubles the ejection time and lengthens the steps of the ramp, so that a flapping
site is used the less the more often it was ejected. Both times are jittered by each broker's own random numbers, so
that brokers that have observed the same do not act in lockstep.
"""

from __future__ import annotations

import random
from enum import Enum
from typing import NamedTuple, assert_never

from badgerbend.sites.decaying import DecayingSum
from badgerbend.sites.policy import SitePolicy

MAX_RAMP_FAILURES = 0.1  # fraction of recent parts; the share does not grow while more of them fail
RAMP_GROWTH = 1.5  # factor on the share at each step: eight steps lead from a share of 1/20 to 1
JITTER = 0.25  # fraction by which ejection times and steps are shortened or lengthened at most
MAX_STEP_DOUBLINGS = 3.0  # a step of the ramp is doubled at most this many times
MIN_STEP_SUCCESSES = 3  # successful answers required during a step for the share to grow


class SiteState(Enum):
    """The state of a site. The values appear on status pages and in logs and are part of their interface."""

    ACTIVE = "in"
    EJECTED = "out"
    TRIAL = "on trial"
    RECOVERING = "coming back"


class SiteObservation(NamedTuple):
    """The observations from which a site's state is evaluated."""

    ready: bool  # whether the site has ready servers
    success_rate: float | None  # fraction of recent parts; None if there were too few
    consecutive_successes: int  # since the last failure
    successes: float  # total so far; it never decreases


def jittered(rng: random.Random, duration_ms: float) -> float:
    """The duration, randomly lengthened or shortened by up to `JITTER`."""
    return float(duration_ms * rng.uniform(1.0 - JITTER, 1.0 + JITTER))


class SiteAvailability:
    """The state of one site. `share` is the fraction of its normal traffic that the site may receive, 0 to 1."""

    def __init__(self, policy: SitePolicy, rng: random.Random) -> None:
        self.policy = policy
        self.rng = rng
        self.state = SiteState.ACTIVE
        self.share = 1.0
        self.wait_until_ms = 0.0  # end of the ejection time or of the current step of the ramp
        self.ejections = DecayingSum(policy.ejection_half_life_ms)
        self._successes_at_step = 0

    def ejection_ms(self, now_ms: float) -> float:
        """How long the site would stay ejected if it were ejected now, before jitter."""
        doublings = max(self.ejections.read(now_ms) - 1.0, 0.0)
        return float(min(self.policy.base_ejection_ms * 2.0**doublings, self.policy.max_ejection_ms))

    def eject(self, now_ms: float) -> None:
        """Ejects the site. A trial that fails does not count as another ejection."""
        if self.state in (SiteState.ACTIVE, SiteState.RECOVERING):
            self.ejections.add(now_ms, 1.0)
        self.state = SiteState.EJECTED
        self.share = 0.0
        self.wait_until_ms = now_ms + jittered(self.rng, self.ejection_ms(now_ms))

    def update(self, now_ms: float, observed: SiteObservation) -> bool:
        """Evaluates the state; returns whether it has changed."""
        before = self.state
        failing = observed.success_rate is not None and observed.success_rate < self.policy.ejection_threshold
        match self.state:
            case SiteState.ACTIVE:
                if failing or not observed.ready:
                    self.eject(now_ms)
            case SiteState.EJECTED:
                if observed.ready and now_ms >= self.wait_until_ms:
                    self.state = SiteState.TRIAL
            case SiteState.TRIAL:
                self._update_trial(now_ms, observed, failing)
            case SiteState.RECOVERING:
                if failing or not observed.ready:
                    self.eject(now_ms)
                elif now_ms >= self.wait_until_ms:
                    self._end_step(now_ms, observed)
            case _ as never:
                assert_never(never)
        return self.state is not before

    def _update_trial(self, now_ms: float, observed: SiteObservation, failing: bool) -> None:
        if not observed.ready or (failing and observed.consecutive_successes == 0):
            self.eject(now_ms)
        elif observed.consecutive_successes >= self.policy.trial_successes:
            self.state = SiteState.RECOVERING
            self.share = self.policy.initial_share
            self._begin_step(now_ms, observed)

    def _begin_step(self, now_ms: float, observed: SiteObservation) -> None:
        doublings = min(max(self.ejections.read(now_ms) - 1.0, 0.0), MAX_STEP_DOUBLINGS)
        self.wait_until_ms = now_ms + jittered(self.rng, self.policy.ramp_step_ms * 2.0**doublings)
        self._successes_at_step = int(observed.successes)

    def _end_step(self, now_ms: float, observed: SiteObservation) -> None:
        enough = observed.successes - self._successes_at_step >= MIN_STEP_SUCCESSES
        healthy = observed.success_rate is not None and observed.success_rate >= 1.0 - MAX_RAMP_FAILURES
        if enough and healthy:
            self.share = min(1.0, self.share * RAMP_GROWTH)
        if self.share >= 1.0:
            self.state = SiteState.ACTIVE
        self._begin_step(now_ms, observed)
