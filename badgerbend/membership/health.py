"""The local health score of Lifeguard: a member that misses replies may itself be slow or badly connected."""

from __future__ import annotations


class LocalHealth:
    """A score from 0, which is healthy, up to a limit. Timeouts and periods grow with it."""

    def __init__(self, max_score: int) -> None:
        self.score = 0
        self._max_score = max_score

    @property
    def factor(self) -> int:
        """The factor by which timeouts and periods are multiplied."""
        return 1 + self.score

    def improve(self) -> None:
        """Lower the score by one, after a probe that was acknowledged."""
        self.score = max(self.score - 1, 0)

    def adjust(self, change: int) -> None:
        """Raise the score, up to its limit; a negative change lowers it."""
        self.score = min(self.score + change, self._max_score)
