"""Draining of a site by an operator: its traffic moves to other sites in steps, as far as they have capacity."""

from __future__ import annotations

import random

from badgerbend.sites.availability import RAMP_GROWTH, jittered
from badgerbend.sites.policy import SitePolicy


class SiteDrain:
    """The drain of one site. `retained_share` is the fraction of its traffic that it still keeps, 0 to 1."""

    def __init__(self, policy: SitePolicy, rng: random.Random) -> None:
        self.policy = policy
        self.rng = rng
        self.drained = False
        self.retained_share = 1.0
        self.wait_until_ms = 0.0  # time of the next step

    def set_drained(self, now_ms: float, drained: bool) -> None:
        """Starts to drain the site, or to return it to service. No query is rejected because of a drain."""
        if drained != self.drained:
            self.drained = drained
            self._begin_step(now_ms)

    def update(self, now_ms: float) -> None:
        """Changes the share by one step if the step is due."""
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
