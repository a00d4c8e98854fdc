"""Whether a site is in, out, on trial or on its way back, as one broker sees it. Time and evidence in, a share out.

    IN --- fails, or nothing of it is listed ---> OUT --- hold is over, servers are listed ---> TRIAL
    TRIAL --- good answers in a row ---> BACK --- the share has grown to 1 ---> IN
    TRIAL, BACK --- fails ---> OUT

Hysteresis: a site goes out when less than `out_below` of its parts end well; it comes in again only after a hold, a
row of good answers, and a ramp that grows while at most TROUBLE of its parts fail, holds above that, and ends where
half fail. Each turn out counts against a site and fades; the hold doubles with each, and the steps of the ramp grow
longer, so that a site that comes and goes is used the less the oftener it went. Holds and steps are stretched by
chance, each broker's own, so that brokers that saw the same do not act in step.
"""

from __future__ import annotations

import random
from enum import Enum

from badgerbend.sites.evidence import Fading
from badgerbend.sites.rules import Rules

TROUBLE = 0.1  # more of its parts lost than this hold the ramp
GROWTH = 1.5  # of the share, a step: eight steps from a twentieth to all
JITTER = 0.25  # of holds and steps, either way
SLOWEST = 3.0  # steps of the ramp are so many doublings longer at most
EVIDENCE = 3  # good answers that a step of the ramp must have brought


class State(Enum):
    IN = "in"
    OUT = "out"
    TRIAL = "on trial"
    BACK = "coming back"


class Presence:
    """One site's state. `share`, 0 to 1, is what part of its usual work it may be given by evidence, `kept` by hand."""

    def __init__(self, rules: Rules, rng: random.Random) -> None:
        self.rules, self.rng = rules, rng
        self.state, self.share, self.until = State.IN, 1.0, 0.0
        self.turns = Fading(rules.fade_ms)
        self.drained, self.kept, self.drain_until = False, 1.0, 0.0  # by hand
        self._good = 0

    def hold_ms(self, now_ms: float) -> float:
        """How long the site stays out after a turn taken now, before the chance in it."""
        turns = max(self.turns.read(now_ms) - 1.0, 0.0)
        return float(min(self.rules.hold_ms * 2.0**turns, self.rules.hold_most_ms))

    def _chance(self) -> float:
        return self.rng.uniform(1.0 - JITTER, 1.0 + JITTER)

    def _step_ms(self, now_ms: float) -> float:
        turns = min(max(self.turns.read(now_ms) - 1.0, 0.0), SLOWEST)
        return float(self.rules.step_ms * 2.0**turns * self._chance())

    def out(self, now_ms: float) -> None:
        """The site fails. A turn counts once, not again for a trial that fails."""
        if self.state in (State.IN, State.BACK):
            self.turns.add(now_ms, 1.0)
        self.state = State.OUT
        self.share = 0.0
        self.until = now_ms + self.hold_ms(now_ms) * self._chance()

    def tick(self, now_ms: float, listed: bool, success: float | None, in_a_row: int, good: float) -> bool:
        """One look; True where the state changed.

        listed: its servers are on the list; success: share of recent parts that ended well, None for too few;
        in_a_row: good ends since the last bad one; good: good ends so far, a count that only grows.
        """
        before = self.state
        failing = success is not None and success < self.rules.out_below
        match self.state:
            case State.IN:
                if failing or not listed:
                    self.out(now_ms)
            case State.OUT:
                if listed and now_ms >= self.until:
                    self.state = State.TRIAL
            case State.TRIAL:
                if not listed or (failing and in_a_row == 0):
                    self.out(now_ms)
                elif in_a_row >= self.rules.trials:
                    self.state = State.BACK
                    self.share, self._good = self.rules.first, int(good)
                    self.until = now_ms + self._step_ms(now_ms)
            case State.BACK:
                if failing or not listed:
                    self.out(now_ms)
                elif now_ms >= self.until:
                    self._step(now_ms, success, good)
        return self.state is not before

    def _step(self, now_ms: float, success: float | None, good: float) -> None:
        enough, well = good - self._good >= EVIDENCE, success is not None and success >= 1.0 - TROUBLE
        if enough and well:
            self.share = min(1.0, self.share * GROWTH)
        if self.share >= 1.0:
            self.state = State.IN
        self.until, self._good = now_ms + self._step_ms(now_ms), int(good)

    # -- By hand.
    def drain(self, now_ms: float, drained: bool) -> None:
        """Its work goes elsewhere step by step, as far as it fits, and nothing is refused for it; or comes back."""
        if drained != self.drained:
            self.drained, self.drain_until = drained, now_ms + self.rules.step_ms * self._chance()

    def drain_step(self, now_ms: float) -> None:
        if now_ms >= self.drain_until and self.kept != (0.0 if self.drained else 1.0):
            first = self.rules.first
            if self.drained:
                self.kept = self.kept / GROWTH if self.kept > first else 0.0
            else:
                self.kept = min(1.0, max(self.kept * GROWTH, first))
            self.drain_until = now_ms + self.rules.step_ms * self._chance()
