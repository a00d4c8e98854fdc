"""The leading voter's clock of one lease: when it expires, and why it may have to end before that.

A clock belongs to one term of a leader: the table of leases, which the log replicates, knows nothing of time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class LeaseClock:
    """One lease that is held. Times are seconds of the leading voter's clock."""

    epoch: int
    started_at: float  # when this leader granted it, or became leader
    expires_at: float
    is_releasing: bool = False  # the command that ends it is on its way into the log: it is renewed no more
    is_revoked: bool = False  # its holder failed at the duty: renewed no more, and free once it expires or is returned
    failing_since: float = math.inf  # since when the holder states that its acts have no effect
    better_candidate_since: float = math.inf  # since when another candidate is better placed than the holder

    @property
    def is_renewable(self) -> bool:
        """Whether a request of its holder extends it."""
        return not self.is_releasing and not self.is_revoked

    def extend(self, expires_at: float) -> None:
        """Renews it. A request that was overtaken by a later one never shortens the lease."""
        self.expires_at = max(self.expires_at, expires_at)

    def is_expired(self, now: float) -> bool:
        """Whether it has run out, and the command that ends it is yet to be proposed."""
        return now >= self.expires_at and not self.is_releasing

    def observe_failing(self, now: float, *, is_failing: bool) -> float:
        """Takes note of whether the holder fails at the duty; gives for how long it has, in seconds, 0 if it does not.

        0 is also given at the moment at which it begins.
        """
        if not is_failing:
            self.failing_since = math.inf
            return 0.0
        self.failing_since = min(self.failing_since, now)
        return now - self.failing_since

    def observe_better_candidate(self, now: float, *, is_there: bool) -> None:
        """Takes note of whether another candidate is better placed than the holder."""
        self.better_candidate_since = min(self.better_candidate_since, now) if is_there else math.inf
