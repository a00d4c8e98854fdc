"""Times from the submission of a publication until followers have it in force."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from scale.feed_messages import InForce, Published

NEVER = math.inf


class Times:
    """Sorted times in seconds; NEVER stands for a publication that a follower has not put in force."""

    def __init__(self, seconds: Sequence[float]) -> None:
        self.seconds = sorted(seconds)

    def quantile(self, fraction: float) -> float:
        """Returns the time within which this fraction of all publications was in force."""
        return self.seconds[max(math.ceil(fraction * len(self.seconds)) - 1, 0)]

    @property
    def median(self) -> float:
        return self.quantile(0.5)

    @property
    def longest(self) -> float:
        return self.seconds[-1]


def in_force_times(
    published: Sequence[Published], followers: Sequence[InForce], selects: Callable[[InForce], bool]
) -> Times:
    """Returns the times of successive publications at the selected followers."""
    seconds = []
    for follower in followers:
        if selects(follower):
            for publication, at in zip(published, follower.times, strict=True):
                seconds.append(NEVER if at is None else at - publication.at)
    return Times(seconds)
