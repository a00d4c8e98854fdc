"""Draining a site by an operator: its work moves to other sites step by step, as far as it fits there."""

from __future__ import annotations

import random

from badgerbend.sites.availability import RAMP_GROWTH, jittered
from badgerbend.sites.policy import SitePolicy


class SiteDrain:
    """Whether a site is drained. `retained_share`, 0 to 1, is the part of its work that it still keeps."""

    def __init__(self, policy: SitePolicy, rng: random.Random) -> None:
        self.policy = policy
        self.rng = rng
        self.drained = False
        self.retained_share = 1.0
        self.wait_until_ms = 0.0  # of the next step

    def set_drained(self, now_ms: float, drained: bool) -> None:
        """Begins to drain the site, or to return it. Nothing is rejected because of a drain."""
        if drained != self.drained:
            self.drained = drained
            self._begin_step(now_ms)

    def update(self, now_ms: float) -> None:
        """Takes a step when it is due."""
        target = 0.0 if self.drained else 1.0
        if now_ms < self.wait_until_ms or self.retained_share == target:
            return
        initial = self.policy.initial_share
        if self.drained:
            self.retained_share = self.retained_share / RAMP_GROWTH if self.retained_share > initial else 0.0
        else:
            self.retained_share = min(1.0, max(self.retained_share * RAMP_GROWTH, initial))
        self._begin_step(now_ms)

    def _begin_step(self, now_ms: float) -> None:
        self.wait_until_ms = now_ms + jittered(self.rng, self.policy.ramp_step_ms)
