"""What a watch needs of the service of a list: how it is polled, what is requested and how its answers are read."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from badgerbend.discovery.directory import Directory, ListReader
from badgerbend.discovery.polls import Retention, Timer
from badgerbend.net.calls import Reply


class Clock(Protocol):
    """Time and timers; asyncio's event loop implements it."""

    def time(self) -> float: ...

    def call_later(self, delay: float, callback: Callable[[], None], /) -> Timer: ...


@dataclass(frozen=True, slots=True)
class Pace:
    """The pace of polling, in seconds.

    first_retry_s, max_retry_s: bounds of the backoff after failures. min_update_interval_s: the least time between two
    polls, which limits how often a list that changes all the time is read.
    """

    first_retry_s: float = 0.1
    max_retry_s: float = 5.0
    min_update_interval_s: float = 0.05


class Target(Protocol):
    """What a watch requests from the service of a list, and how it reads the answers."""

    host: str
    port: int
    polls_on_request: bool  # whether polls are sent only when the aggregator requests them
    max_bytes: int
    pace: Pace
    retention: Retention
    wait_s: float  # how long a poll for a newer version may wait at the service
    answer_timeout_s: float  # after the wait, a poll is abandoned when no byte has arrived for this long
    max_answer_s: float  # a poll is abandoned this long after its wait, even if bytes are still arriving

    def path(self, version: int | None) -> str:
        """Returns the path and query string for what is newer than `version`, or for the complete list if None."""

    def read(
        self, reply: Reply, version: int | None, has_list: bool, directory: Directory, now_ms: float, unix_s: float
    ) -> tuple[int | None, ListReader | None]:
        """Returns the answer's version, and a reader if there are changes. Raises ListError or ValueError."""
