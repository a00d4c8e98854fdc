"""Unix time for computing server ages, robust against steps of the wall clock."""

from __future__ import annotations

from collections.abc import Callable


class SteadyUnixClock:
    """Unix time in seconds that never jumps ahead when the wall clock is stepped.

    It returns the earlier of two times: that of the wall clock, and the wall clock's first reading advanced by the
    monotonic clock. A step of the wall clock therefore never makes a server look older than it is. A server whose
    slow start ended too early would be overloaded, while one that warms up for longer merely receives less traffic.
    A wall clock that is wrong from the start is not corrected.
    """

    def __init__(self, unix_s: Callable[[], float], monotonic_s: Callable[[], float]) -> None:
        self._unix_s = unix_s
        self._monotonic_s = monotonic_s
        self._offset_s = unix_s() - monotonic_s()

    def __call__(self) -> float:
        return min(self._unix_s(), self._monotonic_s() + self._offset_s)
