"""A watch on a list of servers over HTTP: each call waits at the other end for something newer than the last.

In push mode the watch keeps itself up, with a wait between failures that doubles. In ask mode it only does what
the module says, and tells each failure: the module spaces the calls out. What is asked, and how an answer reads,
is each list's own: `Target`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from badgerbend import api
from badgerbend.discovery.directory import Directory, ListError, Reading
from badgerbend.net.client import Call, End, Pool, PoolLimits, Reply

# Patience is counted in turns: each lasts its share of it or, if the loop comes round later than that, one turn of the
# loop. A connection that comes up, a question and an answer take four. Guards against a slow broker that gives up the
# same question for ever, when nobody was silent but itself late.
TURNS = 5


class Timer(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """Time and timers; asyncio's loop is one."""

    def time(self) -> float: ...

    def call_later(self, delay: float, callback: Callable[[], None], /) -> Timer: ...


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in seconds. changed: a list that changes without end is read no oftener than this."""

    first_wait: float = 0.1
    most_wait: float = 5.0
    changed: float = 0.05


class Target(Protocol):
    """What is asked of a list's service, and how its answers read."""

    host: str
    port: int
    asks: bool  # only when the module says so
    max_bytes: int
    pace: Pace
    wait_s: float  # a call for what is newer may wait so long at the other end
    patience_s: float  # beyond that, a call is given up so long after the last sign of an answer
    most_s: float  # and so long after its wait, whatever signs there are

    def path(self, version: int | None) -> str:
        """The path and query for what is newer than `version`; None: for the whole list."""

    def read(
        self, reply: Reply, version: int | None, heard: bool, directory: Directory, now_ms: float, unix_s: float
    ) -> tuple[int | None, Reading | None]:
        """The answer's version, and its list if there is news. Raises ListError or ValueError."""


class Watch:
    """`ServerList` of the runtime. News go to `on_view`, what a person should know to `on_trouble`."""

    def __init__(
        self,
        target: Target,
        directory: Directory,
        clock: Clock,
        now_ms: Callable[[], float],
        unix_s: Callable[[], float],
        on_view: Callable[[api.EndpointUpdate], None],
        on_trouble: Callable[[str, str], None],
        seed: int,
        agent: str,
    ) -> None:
        self.now_ms, self.unix_s = now_ms, unix_s
        self.target, self.directory, self.clock = target, directory, clock
        self.on_view, self.on_trouble = on_view, on_trouble
        self.pool = self._pool()
        self.rng, self.agent = random.Random(seed), agent
        self.index: int | None = None  # the version last heard; None: the whole list is asked for
        self.failures, self.following = 0, False
        self.heard_at: float | None = None
        self.asked_at = self.answered_at = 0.0  # of the call that was answered last
        self._asked_at = 0.0
        self._call: Call | None = None
        self._taking: Iterator[bool] | None = None  # a list that is being taken
        self.on_taken: Callable[[], None] = lambda: None  # a list is in force, and told
        self.on_failed: Callable[[], None] = lambda: None  # a call had no answer that could be used
        self._timer: Timer | None = None
        self._limit: Timer | None = None
        self._turns, self._quiet, self._got = 0, 0, 0  # of patience, in all and since a sign of life; bytes by then

    def _pool(self) -> Pool:
        limits = PoolLimits(connect_timeout_s=1.0, idle_s=60.0, max_answer_bytes=self.target.max_bytes)
        return Pool(self.target.host, self.target.port, limits)

    @property
    def asks(self) -> bool:
        return self.target.asks

    def move(self, target: Target) -> None:
        """Asks another service from now on. The list in force stays until that one is heard; its versions are new."""
        self._take_all()
        self._stop_call()
        self.pool.close()
        self.target, self.index, self.failures = target, None, 0
        self.pool = self._pool()
        if self.following:
            self._ask()

    def start(self) -> None:
        """Begins to watch, where the list is pushed; where it is asked, the module begins."""
        if not self.asks:
            self.follow(True)

    def follow(self, on: bool) -> None:
        self.following = on
        if not on:
            self._stop_call()
        elif self._call is None and self._taking is None:
            self._ask()

    def read_list(self) -> None:
        self._take_all()
        self.index = None
        self._stop_call()
        self._ask()

    def _take_all(self) -> None:
        """What came whole is in force before anything else is asked. Guards against news that are here, and so are
        told, and that nobody hears of because the rest of their slices is dropped with the call."""
        while self._taking is not None:
            self._more()

    def close(self) -> None:
        self.following = False
        self._stop_call()
        self.pool.close()

    def _stop_call(self) -> None:
        for timer in (self._timer, self._limit):
            if timer is not None:
                timer.cancel()
        self._timer = self._limit = self._taking = None
        if self._call is not None:
            call, self._call = self._call, None
            call.abort()

    def _ask(self) -> None:
        self._stop_call()  # of two calls the first would be waited for by nobody
        target = self.target
        head = (
            f"GET {target.path(self.index)} HTTP/1.1\r\nhost: {target.host}:{target.port}\r\n"
            f"user-agent: {self.agent}\r\n\r\n"
        )
        self._call = self.pool.request(head.encode(), self._replied)
        self._turns = self._quiet = self._got = 0
        self._asked_at = self.clock.time()
        turn = target.patience_s / TURNS
        waits = target.wait_s if self.index is not None else 0.0
        self._limit = self.clock.call_later(waits + turn, self._wait_on)

    def _wait_on(self) -> None:
        """One turn of patience is over without an answer."""
        assert self._call is not None
        self._turns += 1
        if self._call.received > self._got:
            self._got, self._quiet = self._call.received, 0
        else:
            self._quiet += 1
        if self._quiet < TURNS and self._turns < TURNS * self.target.most_s / self.target.patience_s:
            self._limit = self.clock.call_later(self.target.patience_s / TURNS, self._wait_on)
            return
        self._limit = None
        self._stop_call()
        if self.asks and self.index is not None:
            # What a watch that fell silent misses counts as told; the module's wait after a failure may be longer.
            self.index = None
            self.on_trouble("list not read", "the watch fell silent and is opened anew")
            self._ask()
        else:
            self._failed("no answer in time")

    def _replied(self, reply: Reply) -> None:
        self._call = None
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None
        self.asked_at, self.answered_at = self._asked_at, self.clock.time()
        if reply.end is not End.ANSWER or reply.status != 200:
            self._failed(f"{reply.end.name.lower()} {reply.status}")
            return
        try:
            index, reading = self.target.read(
                reply, self.index, self.heard_at is not None, self.directory, self.now_ms(), self.unix_s()
            )
        except (ListError, ValueError) as err:
            self._failed(str(err))
            return
        if reading is None:
            self._heard(index)
            return
        self._taking = self._take(reading, index)
        self._more()

    def _more(self) -> None:
        """One slice of a list; the next in another turn of the loop."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer, taking = None, self._taking
        if taking is None:
            return
        try:
            done = next(taking, True)
        except ListError as err:
            self._taking = None
            self._failed(str(err))
            return
        if done:
            self._taking = None
        else:
            self._timer = self.clock.call_later(0.0, self._more)

    def _take(self, reading: Reading, index: int | None) -> Iterator[bool]:
        """The steps of taking a list; each ends with whether it was the last."""
        for _ in reading.slices():
            yield False
        reading.take()
        for problem in reading.wrong[:5]:
            self.on_trouble("list line left out", problem)
        self.heard_at = self.clock.time()
        for view in reading.news():
            self.on_view(view)
            yield False
        self._heard(index)
        self.on_taken()

    def _heard(self, index: int | None) -> None:
        self.index, self.failures = index, 0
        self.heard_at = self.clock.time()
        if self.following:
            # From the last question on, not from its answer: after a call that waited the next goes out at once. Guards
            # against news that the agent has between two calls, just before it falls silent, and that go unheard.
            pause = self._asked_at + self.target.pace.changed - self.clock.time()
            self._timer = self.clock.call_later(max(pause, 0.0), self._ask)

    def _failed(self, why: str) -> None:
        self.index = None
        self.failures += 1
        self.on_trouble("list not read", why)
        self.on_failed()
        if self.asks:
            self.following = False
            self.on_view(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
        elif self.following:
            pace = self.target.pace
            wait = min(pace.first_wait * 2.0 ** min(self.failures - 1, 10), pace.most_wait)
            self._timer = self.clock.call_later(wait * self.rng.uniform(0.5, 1.0), self._ask)
