"""What a follower reports to its relay about the configuration that it applied, and when. Pure."""

from __future__ import annotations

import math
import random

from badgerbend.feed.follower_types import FollowerTuning
from badgerbend.feed.messages import Status

MAX_REASON_CHARACTERS = 200


class StatusReporter:
    """Schedules statuses: soon after a change, with jitter, and regularly without one."""

    def __init__(self, tuning: FollowerTuning, rng: random.Random) -> None:
        self.tuning = tuning
        self.applied_revision = 0
        self.rejected_revision = 0  # the newest revision whose configuration could not be used, 0 for none
        self.rejected_reason = ""
        self.next_at = math.inf
        self._random = rng
        self._is_change_due = False

    def connected(self, now: float) -> None:
        """Report right after the hello."""
        self.next_at = now

    def disconnected(self) -> None:
        """Nobody is there to report to."""
        self.next_at = math.inf
        self._is_change_due = False

    def schedule_change(self, now: float) -> None:
        """Report a change soon, unless one is due already."""
        if not self._is_change_due:
            self._is_change_due = True
            self.next_at = now + self._random.random() * self.tuning.status_min_interval

    def next_status(self, now: float, age_ms: int) -> Status:
        """The status that is due now; the next one is scheduled."""
        self.next_at = now + self.tuning.status_max_interval
        self._is_change_due = False
        reason = self.rejected_reason[:MAX_REASON_CHARACTERS]
        return Status(self.applied_revision, self.rejected_revision, reason, age_ms)
