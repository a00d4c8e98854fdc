"""Remembers ids for a time, so that a later use of the same id can be told from the first one."""

from __future__ import annotations


class RecentIds:
    """Ids that were added less than `retention_s` ago, and some that are up to twice as old. Times are in seconds."""

    __slots__ = ("_began_at", "_older", "_recent", "_retention_s")

    def __init__(self, retention_s: float, now: float) -> None:
        self._retention_s, self._began_at = retention_s, now
        self._recent: set[bytes] = set()
        self._older: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)

    def __contains__(self, name: bytes) -> bool:
        return name in self._recent or name in self._older

    def add(self, name: bytes) -> None:
        """Remembers an id from now on."""
        self._recent.add(name)

    def expire(self, now: float) -> None:
        """Forgets the ids that were added too long ago."""
        age_s = now - self._began_at
        if age_s >= 2.0 * self._retention_s:
            self._recent = set()
        if age_s >= self._retention_s:
            self.forget_older(now)

    def forget_older(self, now: float) -> None:
        """Forgets the older ids; those that were added since then are the older ones from now on."""
        self._older, self._recent = self._recent, set()
        self._began_at = now
