"""Unix time for ages of servers, on a wall clock that may step."""

from __future__ import annotations

from collections.abc import Callable


class SteadyUnixClock:
    """Unix time in seconds that no step of the wall clock moves ahead.

    It gives the earlier of the wall clock and of what that said at first, carried on by the monotonic clock. The age of
    a server that has started is then never taken for more than it is by a step: a server counted as warm too soon would
    be overloaded, one counted as cold for longer only gets less. A clock that is wrong from the first is believed.
    """

    def __init__(self, unix_s: Callable[[], float], monotonic_s: Callable[[], float]) -> None:
        self._unix_s = unix_s
        self._monotonic_s = monotonic_s
        self._offset_s = unix_s() - monotonic_s()

    def __call__(self) -> float:
        return min(self._unix_s(), self._monotonic_s() + self._offset_s)
