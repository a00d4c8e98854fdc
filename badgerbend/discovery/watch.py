"""A watch on a list of servers over HTTP: each call waits at the other end for something newer than the last.

In push mode the watch keeps itself up, with a wait between failures that doubles; a call without an answer in time
stays open behind the next one (`OverduePolls`). In ask mode it only does what the module says, and tells each failure:
the module spaces the calls out. What is asked, and how an answer reads, is each list's own: `Target`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from badgerbend import api
from badgerbend.discovery.directory import SLICE, Directory, ListError, ListReader
from badgerbend.discovery.polls import OverduePolls, Poll, Timer
from badgerbend.net.client import CallResult, Pool, PoolLimits, Reply

# Patience is counted in turns: each lasts its share of it or, if the loop comes round later than that, one turn of the
# loop. A connection that comes up, a question and an answer take four. Guards against a slow broker that gives up the
# same question for ever, when nobody was silent but itself late.
TURNS = 5


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
    ) -> tuple[int | None, ListReader | None]:
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
        self.index: int | None = None  # what newer is asked for; None: the whole list is
        self.failures, self.following = 0, False
        self.refreshed_at: float | None = None
        self.asked_at = self.answered_at = 0.0  # of the call that was answered last
        self._newest: int | None = None  # the version in force
        self._poll: Poll | None = None  # the latest
        self._overdue = OverduePolls()
        self._taking: Iterator[bool] | None = None  # a list that is being taken
        self.on_applied: Callable[[], None] = lambda: None  # a list is in force, and told
        self._timer: Timer | None = None  # of the next poll, or of the next slice

    def _pool(self) -> Pool:
        limits = PoolLimits(connect_timeout_s=1.0, idle_s=60.0, max_answer_bytes=self.target.max_bytes)
        return Pool(self.target.host, self.target.port, limits)

    @property
    def asks(self) -> bool:
        return self.target.asks

    @property
    def overdue_polls(self) -> int:
        """Polls that had no answer in time and are still open."""
        return len(self._overdue.polls)

    def move(self, target: Target) -> None:
        """Asks another service from now on. The list in force stays until that one is heard; its versions are new."""
        self._take_all()
        self._stop_polls()
        self.pool.close()
        self.target, self.index, self.failures = target, None, 0
        self._newest = None
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
            self._stop_polls()
        elif self._poll is None and self._taking is None:
            self._ask()

    def read_list(self) -> None:
        self._take_all()
        self.index = None
        self._stop_polls()
        self._ask()

    def _take_all(self) -> None:
        """What came whole is in force before anything else is asked. Guards against news that are here, and so are
        told, and that nobody hears of because the rest of their slices is dropped with the call."""
        while self._taking is not None:
            self._more()

    def close(self) -> None:
        self.following = False
        self._stop_polls()
        self.pool.close()

    def _stop_polls(self) -> None:
        """Ends all that is asked and awaited."""
        self._stop_latest()
        self._overdue.abort()

    def _stop_latest(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._taking = None
        poll, self._poll = self._poll, None
        if poll is not None:
            poll.abort()

    def _ask(self) -> None:
        self._stop_latest()  # of two calls the first would be waited for by nobody
        target = self.target
        head = (
            f"GET {target.path(self.index)} HTTP/1.1\r\nhost: {target.host}:{target.port}\r\n"
            f"user-agent: {self.agent}\r\n\r\n"
        )
        poll = self._poll = Poll(self.index, self.clock.time())
        poll.call = self.pool.request(head.encode(), lambda reply: self._replied(poll, reply))
        turn = target.patience_s / TURNS
        waits = target.wait_s if self.index is not None else 0.0
        poll.timer = self.clock.call_later(waits + turn, self._wait_on)

    def _wait_on(self) -> None:
        """One turn of patience is over without an answer."""
        poll = self._poll
        assert poll is not None
        poll.turn_is_over()
        if poll.quiet_turns < TURNS and poll.turns < TURNS * self.target.most_s / self.target.patience_s:
            poll.timer = self.clock.call_later(self.target.patience_s / TURNS, self._wait_on)
            return
        self._give_up_waiting(poll)

    def _give_up_waiting(self, poll: Poll) -> None:
        """No answer in time: it is asked anew."""
        if not self.asks:
            self._poll = None
            self._overdue.add(poll, self.clock.time())
            waited_ms = (self.clock.time() - poll.asked_at) * 1000.0
            self._failed(f"no answer in time: {waited_ms:.0f} ms, {self.overdue_polls} polls stay open")
            return
        self._stop_latest()
        if self.index is not None:
            # What a watch that fell silent misses counts as told; the module's wait after a failure may be longer.
            self.index = None
            self.on_trouble("list not read", "the watch fell silent and is opened anew")
            self._ask()
        else:
            self._failed("no answer in time")

    def _replied(self, poll: Poll, reply: Reply) -> None:
        poll.stop_timer()
        is_latest = poll is self._poll
        if not is_latest:
            self._take_all()
        try:
            version, reading = self._read(poll, reply)
        except (ListError, ValueError) as err:
            if is_latest:
                self._poll = None
                self._failed(str(err))
            else:
                self._overdue.ended(poll)  # the polls behind it go on
            return
        if not is_latest:
            if self._newest is not None and (version is None or version < self._newest):
                self._overdue.ended(poll)  # overtaken by the answer to a later poll
                return
            self.on_trouble("list read late", f"after {(self.clock.time() - poll.asked_at) * 1000.0:.0f} ms")
            self._make_latest(poll)
        self._poll = None
        self._overdue.answered(poll)
        self.asked_at, self.answered_at = poll.asked_at, self.clock.time()
        if reading is None:
            self._heard(version)
            return
        self._taking = self._take(reading, version)
        self._more()

    def _read(self, poll: Poll, reply: Reply) -> tuple[int | None, ListReader | None]:
        """The answer's version, and its list if there is news. Raises ListError or ValueError."""
        if reply.result is not CallResult.ANSWER or reply.status != 200:
            raise ListError(f"{reply.result.name.lower()} {reply.status}")
        heard = self.refreshed_at is not None
        return self.target.read(reply, poll.version, heard, self.directory, self.now_ms(), self.unix_s())

    def _make_latest(self, poll: Poll) -> None:
        """An overdue poll was answered after all: the one sent after it may still tell something newer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._poll is not None:
            self._overdue.add(self._poll, self.clock.time())

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

    def _take(self, reading: ListReader, version: int | None) -> Iterator[bool]:
        """The steps of taking a list; each ends with whether it was the last. A short list takes one: what has come
        is in force before a query of the same turn is decided."""
        is_long = len(reading.rows) > SLICE
        for _ in reading.read_slices():
            if is_long:
                yield False
        reading.apply()
        for problem in reading.errors[:5]:
            self.on_trouble("list line left out", problem)
        self.refreshed_at = self.clock.time()
        for view in reading.updates():
            self.on_view(view)
            if is_long:
                yield False
        self._heard(version)
        self.on_applied()

    def _heard(self, version: int | None) -> None:
        self.index, self.failures = version, 0
        self._newest = version
        self.refreshed_at = self.clock.time()
        if self.following:
            # From the last question on, not from its answer: after a call that waited the next goes out at once. Guards
            # against news that the agent has between two calls, just before it falls silent, and that go unheard.
            pause = self.asked_at + self.target.pace.changed - self.clock.time()
            self._timer = self.clock.call_later(max(pause, 0.0), self._ask)

    def _failed(self, why: str) -> None:
        self.index = None
        self.failures += 1
        self.on_trouble("list not read", why)
        if self.asks:
            self.following = False
            self.on_view(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
        elif self.following:
            pace = self.target.pace
            wait = min(pace.first_wait * 2.0 ** min(self.failures - 1, 10), pace.most_wait)
            self._timer = self.clock.call_later(wait * self.rng.uniform(0.5, 1.0), self._ask)
