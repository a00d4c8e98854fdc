"""Input of a connection that waits to be parsed, with the times at which it was received."""

from __future__ import annotations

from dataclasses import dataclass

SMALL_BYTES = 4096  # smaller pieces are joined, as each takes memory of its own
JOINED_BYTES = 65_536  # size from which a joined piece is complete
TIME_RESOLUTION_S = 0.01
"""Input received within this time counts as received together, at the earlier time, so that few times are kept."""


@dataclass(slots=True)
class _Arrival:
    received_at: float
    size: int


class UnparsedInput:
    """Bytes in the order of their receipt. Times are seconds of any clock.

    The pieces are kept as they were read: one buffer would be copied as it grows, and again as it is used up.
    """

    __slots__ = ("_arrivals", "_offset", "_pieces", "size")

    def __init__(self) -> None:
        self._pieces: list[bytes | bytearray] = []
        self._offset = 0  # of the first byte in the first piece
        self.size = 0  # bytes that wait
        self._arrivals: list[_Arrival] = []

    def __len__(self) -> int:
        return self.size

    @property
    def held_bytes(self) -> int:
        """The memory that the pieces take; what has been taken of the first one is held with it."""
        return self.size + self._offset

    def append(self, data: bytes, received_at: float) -> None:
        """Adds bytes, of which the last was received at the given time."""
        self.size += len(data)
        last = self._pieces[-1] if self._pieces else None
        if len(data) >= SMALL_BYTES:
            self._pieces.append(data)
        elif isinstance(last, bytearray) and len(last) < JOINED_BYTES:
            last += data
        else:
            self._pieces.append(bytearray(data))
        if self._arrivals and received_at - self._arrivals[-1].received_at < TIME_RESOLUTION_S:
            self._arrivals[-1].size += len(data)
        else:
            self._arrivals.append(_Arrival(received_at, len(data)))

    def take(self, max_bytes: int) -> tuple[bytes, float]:
        """Removes and returns some of the first bytes, all of which were received at the time returned with them."""
        arrival, piece = self._arrivals[0], self._pieces[0]
        size = min(max_bytes, arrival.size, len(piece) - self._offset)
        data = bytes(piece[self._offset : self._offset + size])
        self.size -= size
        self._offset += size
        if self._offset == len(piece):
            del self._pieces[0]
            self._offset = 0
        arrival.size -= size
        if not arrival.size:
            del self._arrivals[0]
        return data, arrival.received_at

    def clear(self) -> None:
        """Drops everything."""
        self._pieces.clear()
        self._arrivals.clear()
        self._offset = self.size = 0
