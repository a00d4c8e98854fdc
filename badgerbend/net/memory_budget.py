"""Bounds what the connections of one server hold in memory together: input that waits, open requests, unsent output.

Each connection may hold its quota of the bound at any time. Beyond its quota, a connection holds only what is left by
the others: once the bound is exceeded, waiting input is shed where it is largest, and requests that are larger than a
quota are not admitted.
"""

from __future__ import annotations

from collections.abc import Callable


class MemoryShare:
    """What one connection holds.

    waiting_bytes: of input that is not being served yet. serving_bytes: of the request that is being served, or of its
    unsent response. shed_waiting: discards the input that waits, in favour of short refusals.
    """

    __slots__ = ("budget", "serving_bytes", "shed_waiting", "waiting_bytes")

    def __init__(self, budget: MemoryBudget, shed_waiting: Callable[[], None]) -> None:
        self.budget, self.shed_waiting = budget, shed_waiting
        self.waiting_bytes = self.serving_bytes = 0

    def set_waiting(self, size: int) -> None:
        """Records what the connection holds of waiting input. It may be shed at once."""
        self.budget.set_waiting(self, size)

    def set_serving(self, size: int) -> None:
        """Records what the request that is being served takes, or its unsent response."""
        if size != self.serving_bytes:
            self.budget.add_serving(size - self.serving_bytes)
            self.serving_bytes = size

    def release(self) -> None:
        """Ends the share: its connection is lost. Breaks the reference cycle with the connection."""
        self.set_waiting(0)
        self.set_serving(0)
        del self.shed_waiting

    def reserve(self, size: int) -> bool:
        """Records further memory of the request that is being served, if it is admitted."""
        if not self.budget.admits(size, self.serving_bytes):
            return False
        self.set_serving(self.serving_bytes + size)
        return True


class MemoryBudget:
    """The bytes that all connections of a server hold. They may exceed max_bytes by one quota for each connection."""

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        self.max_bytes, self.quota_bytes = max_bytes, max_bytes // max_connections
        self.waiting_bytes = self.serving_bytes = 0
        self.shed = self.refused = 0  # connections whose input was shed, and requests that were not admitted
        self._large_shares: set[MemoryShare] = set()  # those that hold more than their quota

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the bound."""
        return self.waiting_bytes + self.serving_bytes > self.max_bytes

    def set_waiting(self, share: MemoryShare, size: int) -> None:
        """Records what a connection holds of waiting input, and sheds input if too much is held."""
        self.waiting_bytes += size - share.waiting_bytes
        share.waiting_bytes = size
        if size > self.quota_bytes:
            self._large_shares.add(share)
        else:
            self._large_shares.discard(share)
        while self.is_exceeded and self._large_shares:
            self._shed_largest()

    def _shed_largest(self) -> None:
        largest = max(self._large_shares, key=lambda share: share.waiting_bytes)
        self._large_shares.remove(largest)
        self.shed += 1
        largest.shed_waiting()

    def admits(self, size: int, reserved: int = 0) -> bool:
        """Whether a request may hold this much, beside what it holds already."""
        is_within_quota = reserved + size <= self.quota_bytes
        is_admitted = is_within_quota or self.waiting_bytes + self.serving_bytes + size <= self.max_bytes
        self.refused += not is_admitted
        return is_admitted

    def add_serving(self, size: int) -> None:
        """Records that a request is open, or that output is unsent; a negative size takes it back."""
        self.serving_bytes += size
