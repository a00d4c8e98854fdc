"""Staleness of a follower's replica and of the relay that it is connected to. Pure.

Times are seconds on any clock that does not go backwards; it is read by the caller only.
"""

from __future__ import annotations

import math

from badgerbend.feed.errors import NoProgressError
from badgerbend.feed.follower_types import FollowerTuning
from badgerbend.feed.log import PublicationLog
from badgerbend.feed.messages import Heartbeat

UNKNOWN_AGE_MS = 1 << 52  # the age of a replica that no relay has confirmed yet, as reported in a status


class StalenessTracker:
    """Derives ages and missing progress from the heartbeats of relays."""

    def __init__(self, log: PublicationLog, tuning: FollowerTuning) -> None:
        self.log = log
        self.tuning = tuning
        self._as_of = -math.inf  # the latest time at which the replica held all that was agreed on
        self._relay_as_of = -math.inf  # the same of the relay's log, or the time of the connection to it
        self._behind_since = math.inf  # since when the relay has announced more than it has sent

    def connected(self, now: float) -> None:
        """A connection is open. The relay may have just started: its log counts as current until it says more."""
        self._relay_as_of = now

    def record_progress(self) -> None:
        """The relay sends what it announced, or the connection to it is over."""
        self._behind_since = math.inf

    def record_relay_age(self, now: float, message: Heartbeat) -> bool:
        """Note the age of the relay's log; whether that is over the limit."""
        if message.snapshot_pending:
            return False  # such a heartbeat says nothing of the relay's log
        self._relay_as_of = max(self._relay_as_of, now - message.age_ms / 1000.0)
        return now - self._relay_as_of > self.tuning.staleness_limit

    def record_position(self, now: float, message: Heartbeat) -> bool:
        """Compare the replica with the relay's position; whether the replica is up to date with it.

        The age that a heartbeat gives counts only for a replica that is exactly at the relay's position.
        Raises NoProgressError where the relay has announced a revision for too long without sending it.
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
        """Upper bound of the time since the replica held all that was agreed on; infinite before any heartbeat."""
        return max(now - self._as_of, 0.0)

    def age_ms(self, now: float) -> int:
        """The age in milliseconds as a status carries it."""
        age = self.age_s(now)
        return UNKNOWN_AGE_MS if math.isinf(age) else round(age * 1000.0)
