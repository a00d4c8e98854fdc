"""Bounds what the connections of one server hold in memory together: input that waits, open requests, unsent output.

Each connection may hold its quota of the bound at any time. Beyond its quota, a connection holds only what is left by
the others: once the bound is exceeded, waiting input is shed where it is largest, and requests that are larger than a
quota are not admitted.
"""

from __future__ import annotations

from typing import Protocol


class Holder(Protocol):
    """A connection.

    waiting_bytes: taken by input that is not being served yet, as last reported to `MemoryBudget`.
    """

    waiting_bytes: int

    def shed_waiting(self) -> None:
        """Discards the input that waits, in favour of short refusals."""


class MemoryBudget:
    """The bytes that all connections of a server hold. They may exceed max_bytes by one quota for each connection."""

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        self.max_bytes, self.quota_bytes = max_bytes, max_bytes // max_connections
        self.waiting_bytes = self.serving_bytes = 0
        self.shed = self.refused = 0  # connections whose input was shed, and requests that were not admitted
        self._large_holders: set[Holder] = set()  # those that hold more than their quota

    @property
    def is_exceeded(self) -> bool:
        """Whether more is held than the bound."""
        return self.waiting_bytes + self.serving_bytes > self.max_bytes

    def set_waiting(self, holder: Holder, size: int) -> None:
        """Records what a connection holds of waiting input, and sheds input if too much is held."""
        self.waiting_bytes += size - holder.waiting_bytes
        holder.waiting_bytes = size
        if size > self.quota_bytes:
            self._large_holders.add(holder)
        else:
            self._large_holders.discard(holder)
        while self.is_exceeded and self._large_holders:
            self._shed_largest()

    def _shed_largest(self) -> None:
        largest = max(self._large_holders, key=lambda holder: holder.waiting_bytes)
        self._large_holders.remove(largest)
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
