"""The leading voter's timing of one lease: when it expires, and what may end it earlier.

This state belongs to one term of one leader. It is not replicated: the lease table, which is, contains no times.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class LeaseClock:
    """The timing of one lease that has a holder. Times are in seconds of the leading voter's clock."""

    epoch: int
    started_at: float  # when this leader granted the lease, or became the leader
    expires_at: float
    is_releasing: bool = False  # the command that ends the lease was proposed, so it cannot be renewed
    is_revoked: bool = False  # its holder fails at the duty: no further renewal; it ends by expiry or return
    failing_since: float = math.inf  # since when the holder reports that its work has no effect
    better_candidate_since: float = math.inf  # since when another candidate is better placed than the holder

    @property
    def is_renewable(self) -> bool:
        """Whether a request of its holder extends the lease."""
        return not self.is_releasing and not self.is_revoked

    def extend(self, expires_at: float) -> None:
        """Renews the lease. A request that arrives out of order never shortens it."""
        self.expires_at = max(self.expires_at, expires_at)

    def is_expired(self, now: float) -> bool:
        """Returns whether the lease has expired and the command that ends it is still to be proposed."""
        return now >= self.expires_at and not self.is_releasing

    def observe_failing(self, now: float, *, is_failing: bool) -> float:
        """Records whether the holder fails at the duty, and returns for how many seconds it has failed.

        Returns 0 if it does not fail, and also when it is first seen to fail.
        """
        if not is_failing:
            self.failing_since = math.inf
            return 0.0
        self.failing_since = min(self.failing_since, now)
        return now - self.failing_since

    def observe_better_candidate(self, now: float, *, exists: bool) -> None:
        """Records whether another candidate is better placed than the holder."""
        self.better_candidate_since = min(self.better_candidate_since, now) if exists else math.inf
