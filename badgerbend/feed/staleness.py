"""Staleness of a follower's replica and of the relay that it is connected to.

This module does no I/O. Times are seconds on any monotonic clock, which only the caller reads.
"""

from __future__ import annotations

import math

from badgerbend.feed.errors import NoProgressError
from badgerbend.feed.follower_types import FollowerTuning
from badgerbend.feed.log import PublicationLog
from badgerbend.feed.messages import Heartbeat

UNKNOWN_AGE_MS = 1 << 52  # age in a status until a relay has confirmed the replica


class StalenessTracker:
    """Derives ages from the heartbeats of relays and detects missing progress."""

    def __init__(self, log: PublicationLog, tuning: FollowerTuning) -> None:
        self.log = log
        self.tuning = tuning
        self._as_of = -math.inf  # latest time at which the replica is known to have been current
        self._relay_as_of = -math.inf  # the same for the relay's log, or the time of the connection
        self._behind_since = math.inf  # time since which the relay has announced more than it has sent

    def connected(self, now: float) -> None:
        """Treat the log of a newly connected relay as current at first, since the relay may have just started."""
        self._relay_as_of = now

    def record_progress(self) -> None:
        """Note that the relay sends what it announced, or that its connection has ended."""
        self._behind_since = math.inf

    def record_relay_age(self, now: float, message: Heartbeat) -> bool:
        """Record the age of the relay's log. Returns whether it exceeds the limit."""
        if message.snapshot_pending:
            return False  # such a heartbeat does not describe the relay's log
        self._relay_as_of = max(self._relay_as_of, now - message.age_ms / 1000.0)
        return now - self._relay_as_of > self.tuning.staleness_limit

    def record_position(self, now: float, message: Heartbeat) -> bool:
        """Compare the replica with the relay's position. Returns whether the replica has reached it.

        The age in a heartbeat applies only to a replica that is exactly at the relay's position.
        Raises NoProgressError if the relay has announced a revision for too long without sending it.
        """
        if self.log.revision >= message.revision:
            self._behind_since = math.inf
            if (message.epoch, message.revision) == (self.log.epoch, self.log.revision):
                self._as_of = max(self._as_of, now - message.age_ms / 1000.0)
            return True
        self._behind_since = min(self._behind_since, now)
        if now - self._behind_since > self.tuning.progress_timeout:
            raise NoProgressError(message.revision, self.log.revision)
        return False

    def age_s(self, now: float) -> float:
        """Return an upper bound of the replica's age, see `Follower.age_s`; infinite before any heartbeat."""
        return max(now - self._as_of, 0.0)

    def age_ms(self, now: float) -> int:
        """Return the age in milliseconds for a status."""
        age = self.age_s(now)
        return UNKNOWN_AGE_MS if math.isinf(age) else round(age * 1000.0)
