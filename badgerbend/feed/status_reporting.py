"""Content and timing of the status that a follower reports to its relay. This module does no I/O."""

from __future__ import annotations

import math
import random

from badgerbend.feed.follower_types import FollowerTuning
from badgerbend.feed.messages import Status

MAX_REASON_CHARACTERS = 200


class StatusReporter:
    """Schedules status messages: soon after a change, with jitter, and otherwise at regular intervals."""

    def __init__(self, tuning: FollowerTuning, rng: random.Random) -> None:
        self.tuning = tuning
        self.applied_revision = 0
        self.rejected_revision = 0  # of the newest configuration if it could not be used, else 0
        self.rejected_reason = ""
        self.next_at = math.inf
        self._random = rng
        self._is_change_due = False

    def connected(self, now: float) -> None:
        """Schedule a report right after the hello."""
        self.next_at = now

    def disconnected(self) -> None:
        """Stop reporting until the next connection."""
        self.next_at = math.inf
        self._is_change_due = False

    def schedule_change(self, now: float) -> None:
        """Schedule a report of a change, unless one is already scheduled."""
        if not self._is_change_due:
            self._is_change_due = True
            self.next_at = now + self._random.random() * self.tuning.status_min_interval

    def next_status(self, now: float, age_ms: int) -> Status:
        """Return the status that is due now, and schedule the next one."""
        self.next_at = now + self.tuning.status_max_interval
        self._is_change_due = False
        reason = self.rejected_reason[:MAX_REASON_CHARACTERS]
        return Status(self.applied_revision, self.rejected_revision, reason, age_ms)
