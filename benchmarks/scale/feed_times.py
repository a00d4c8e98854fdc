"""Time from a publication's submission to its being in force, over followers and publications."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from scale.feed_messages import InForce, Published

NEVER = math.inf


class Times:
    """Seconds, sorted; never for a follower that has not put a publication in force."""

    def __init__(self, seconds: Sequence[float]) -> None:
        self.seconds = sorted(seconds)

    def quantile(self, fraction: float) -> float:
        """The time within which this share of all was in force."""
        return self.seconds[max(math.ceil(fraction * len(self.seconds)) - 1, 0)]

    @property
    def median(self) -> float:
        return self.quantile(0.5)

    @property
    def longest(self) -> float:
        return self.seconds[-1]


def in_force_times(
    published: Sequence[Published], followers: Sequence[InForce], counts: Callable[[InForce], bool]
) -> Times:
    """Of successive publications, at the followers that count."""
    found = []
    for follower in followers:
        if counts(follower):
            for publication, at in zip(published, follower.times, strict=True):
                found.append(NEVER if at is None else at - publication.at)
    return Times(found)
