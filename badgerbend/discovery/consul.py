"""A watch on one service by Consul's blocking queries: each call waits at the server for an index beyond the last.

In push mode the watch keeps itself up, with a wait between failures that doubles. In ask mode it only does what
the module says, and tells each failure: the module spaces the calls out.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Protocol
from urllib.parse import quote

from badgerbend import api
from badgerbend.config.settings import Discovery
from badgerbend.discovery.lines import Directory, ListError, Reading
from badgerbend.net.client import Call, End, Pool, PoolLimits, Reply

FIRST_WAIT_S, MOST_WAIT_S = 0.1, 5.0
CHANGED_WAIT_S = 0.05  # a list that changes without end is read no oftener than this
GRACE_S = 2.0  # beyond the wait asked for, before a silent call is given up


class Timer(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """Time and timers; asyncio's loop is one."""

    def time(self) -> float: ...

    def call_later(self, delay: float, callback: Callable[[], None], /) -> Timer: ...


class ConsulWatch:
    """`ServerList` of the runtime. News go to `on_view`, what a person should know to `on_trouble`."""

    def __init__(
        self,
        settings: Discovery,
        directory: Directory,
        clock: Clock,
        now_ms: Callable[[], float],
        unix_s: Callable[[], float],
        on_view: Callable[[api.View], None],
        on_trouble: Callable[[str, str], None],
        seed: int,
        agent: str,
    ) -> None:
        self.now_ms, self.unix_s = now_ms, unix_s
        self.settings, self.directory, self.clock = settings, directory, clock
        self.on_view, self.on_trouble = on_view, on_trouble
        limits = PoolLimits(connect_timeout_s=1.0, idle_s=60.0, max_answer_bytes=settings.max_bytes)
        self.pool = Pool(settings.host, settings.port, limits)
        self.rng, self.agent = random.Random(seed), agent
        self.index, self.failures, self.following = 0, 0, False
        self.heard_at: float | None = None
        self._call: Call | None = None
        self._taking: Iterator[bool] | None = None  # a list that is being taken
        self.on_taken: Callable[[], None] = lambda: None  # a list is in force
        self._timer: Timer | None = None
        self._limit: Timer | None = None

    @property
    def asks(self) -> bool:
        return self.settings.mode == "ask"

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
        self.index = 0
        self._stop_call()
        self._ask()

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
        self._timer = None
        wait = self.settings.wait_ms / 1000.0
        target = f"/v1/health/service/{quote(self.settings.service, safe='')}?index={self.index}&wait={wait:g}s"
        host = f"{self.settings.host}:{self.settings.port}"
        head = f"GET {target} HTTP/1.1\r\nhost: {host}\r\nuser-agent: {self.agent}\r\n\r\n"
        self._call = self.pool.request(head.encode(), self._replied)
        # Consul adds up to a sixteenth to the wait, so that calls do not end all at once
        self._limit = self.clock.call_later(wait * (1 + 1 / 16) + GRACE_S, self._silent)

    def _silent(self) -> None:
        self._limit = None
        self._stop_call()
        self._failed("no answer in time")

    def _replied(self, reply: Reply) -> None:
        self._call = None
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None
        if reply.end is not End.ANSWER or reply.status != 200:
            self._failed(f"{reply.end.name.lower()} {reply.status}")
            return
        try:
            index = int(reply.headers.get(b"x-consul-index", b"0"))
            if index == self.index and self.heard_at is not None:
                self._heard(index)
                return
            reading = Reading(self.directory, reply.body, self.now_ms(), self.unix_s())
        except (ListError, ValueError) as err:
            self._failed(str(err))
            return
        self._taking = self._take(reading, index)
        self._more()

    def _more(self) -> None:
        """One slice of a list; the next in another turn of the loop."""
        self._timer = None
        taking = self._taking
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

    def _take(self, reading: Reading, index: int) -> Iterator[bool]:
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
        self.on_taken()
        self._heard(index if index > self.index else 0)  # an index that went back starts anew

    def _heard(self, index: int) -> None:
        self.index, self.failures = index, 0
        self.heard_at = self.clock.time()
        if self.following:
            self._timer = self.clock.call_later(CHANGED_WAIT_S, self._ask)

    def _failed(self, why: str) -> None:
        self.index = 0
        self.failures += 1
        self.on_trouble("list not read", why)
        if self.asks:
            self.following = False
            self.on_view(api.View(api.ViewKind.FAILED, ()))
        elif self.following:
            wait = min(FIRST_WAIT_S * 2.0 ** min(self.failures - 1, 10), MOST_WAIT_S)
            self._timer = self.clock.call_later(wait * self.rng.uniform(0.5, 1.0), self._ask)
