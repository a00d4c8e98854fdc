"""Input of a connection that waits to be parsed, with the times at which it was received."""

from __future__ import annotations

from dataclasses import dataclass

TIME_RESOLUTION_S = 0.01
"""Input received within this time counts as received together, at the earlier time, so that few times are kept."""


@dataclass(slots=True)
class _Arrival:
    received_at: float
    size: int


class UnparsedInput:
    """Bytes in the order of their receipt. Times are seconds of any clock."""

    __slots__ = ("_arrivals", "_data")

    def __init__(self) -> None:
        self._data = bytearray()
        self._arrivals: list[_Arrival] = []

    def __len__(self) -> int:
        return len(self._data)

    def append(self, data: bytes, received_at: float) -> None:
        """Adds bytes, of which the last was received at the given time."""
        self._data += data
        if self._arrivals and received_at - self._arrivals[-1].received_at < TIME_RESOLUTION_S:
            self._arrivals[-1].size += len(data)
        else:
            self._arrivals.append(_Arrival(received_at, len(data)))

    def take(self, max_bytes: int) -> tuple[bytes, float]:
        """Removes and returns the first bytes, all of which were received at the time that is returned with them."""
        arrival = self._arrivals[0]
        size = min(max_bytes, arrival.size)
        arrival.size -= size
        if not arrival.size:
            del self._arrivals[0]
        data = bytes(self._data[:size])
        del self._data[:size]
        return data, arrival.received_at

    def clear(self) -> None:
        """Drops everything."""
        self._data.clear()
        self._arrivals.clear()
