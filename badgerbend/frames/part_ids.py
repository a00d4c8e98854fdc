"""Remembers for a time which part ids were sent on a connection.

All attempts for a part have the same id, so the answer to one can't be told from a second copy of the answer to an
earlier one, unless the two attempts use different connections.
"""

from __future__ import annotations


class PartIdHistory:
    """Ids that were added less than `retention_s` ago, and some that are up to twice as old. Times are in seconds."""

    __slots__ = ("_began_at", "_older", "_recent", "_retention_s")

    def __init__(self, retention_s: float, now: float) -> None:
        self._retention_s, self._began_at = retention_s, now
        self._recent: set[bytes] = set()
        self._older: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._recent) + len(self._older)

    def __contains__(self, part: bytes) -> bool:
        return part in self._recent or part in self._older

    def add(self, part: bytes) -> None:
        """Remembers an id from now on."""
        self._recent.add(part)

    def expire(self, now: float) -> None:
        """Forgets the ids that were added too long ago."""
        age_s = now - self._began_at
        if age_s < self._retention_s:
            return
        self._older = self._recent if age_s < 2.0 * self._retention_s else set()
        self._recent = set()
        self._began_at = now
