"""The local health score of Lifeguard: a member that misses answers may itself be slow or badly connected."""

from __future__ import annotations


class LocalHealth:
    """A score from 0, healthy, up to a limit. Time-outs and periods are stretched by it."""

    def __init__(self, max_score: int) -> None:
        self.score = 0
        self._max_score = max_score

    @property
    def factor(self) -> int:
        """By what time-outs and periods are multiplied."""
        return 1 + self.score

    def improve(self) -> None:
        """Lower the score by one: a probe was answered."""
        self.score = max(self.score - 1, 0)

    def adjust(self, change: int) -> None:
        """Raise the score, up to its limit; a negative change lowers it."""
        self.score = min(self.score + change, self._max_score)
