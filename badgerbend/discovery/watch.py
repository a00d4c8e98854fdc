"""A watch on a list of servers over HTTP: each long poll waits at the service for a version newer than the last one.

In push mode the watch keeps itself running, with exponential backoff after failures; a poll that was not answered in
time stays open beside the next one (`OverduePolls`). In ask mode it polls only when the aggregator requests it and
reports each failure, because the aggregator spaces out the polls. Each list format brings a `Target`, which states what
to request and how to read an answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from http import HTTPStatus

from badgerbend import api
from badgerbend.discovery.directory import SLICE_SIZE, Directory, ListError, ListReader
from badgerbend.discovery.polls import OverduePolls, Poll, Timer
from badgerbend.discovery.predecessors import Predecessor, Predecessors
from badgerbend.discovery.target import Clock, Target
from badgerbend.net.calls import CallResult, Reply
from badgerbend.net.client import Pool
from badgerbend.net.pool_limits import PoolLimits

# The answer timeout is counted in turns. Each lasts its share of the timeout or, if the event loop comes round later
# than that, one turn of the loop. Opening a connection, sending a request and reading an answer take four turns of the
# loop. This guards against a slow broker that abandons every poll although the service answered in time.
TIMEOUT_TURNS = 5
CONNECT_TIMEOUT_S = 4.0  # TCP repeats a lost handshake after 1 s and after 3 s


class PollRejectedError(ListError):
    """The service could not be reached, or answered with an error status: it may allow no further connection."""


class Watch:
    """Keeps a directory up to date from a target; implements the runtime's `ServerList`.

    on_update: receives the updates for the aggregator. on_fault: receives the kind and the details of what an operator
    should know about.
    """

    def __init__(
        self,
        target: Target,
        directory: Directory,
        clock: Clock,
        now_ms: Callable[[], float],
        unix_s: Callable[[], float],
        on_update: Callable[[api.EndpointUpdate], None],
        on_fault: Callable[[str, str], None],
        seed: int,
        user_agent: str,
    ) -> None:
        self.now_ms, self.unix_s = now_ms, unix_s
        self.target, self.directory, self.clock = target, directory, clock
        self.on_update, self.on_fault = on_update, on_fault
        self.pool = self._pool()
        self.rng, self.user_agent = random.Random(seed), user_agent
        self.version: int | None = None  # the next poll requests what is newer; None: the complete list
        self.failures, self.is_following = 0, False
        self.refreshed_at: float | None = None  # when the list was last confirmed or applied, on `clock`
        self.confirmed_at: float | None = None  # when the last answer was applied completely, on `clock`
        self.polled_at = self.answered_at = 0.0  # when the most recently answered poll was sent, and was answered
        self._applied_version: int | None = None  # the version of the list in the directory
        self._poll: Poll | None = None  # the latest poll, while it is neither answered nor overdue
        self._overdue = OverduePolls(target.retention, clock.time())
        self._predecessors = Predecessors()  # services that were polled before, until the current one has answered
        self._polls_since_answer = 0  # sent since the last answer, for the log
        self._abandoned_since_answer = 0  # overdue polls aborted since the last answer, for the log
        self._list_steps: Iterator[bool] | None = None  # the remaining steps of the list that is being read
        self.on_applied: Callable[[], None] = lambda: None  # called when a list is applied and published
        self._timer: Timer | None = None  # for the next poll, or for the next slice

    def _pool(self) -> Pool:
        limits = PoolLimits(connect_timeout_s=CONNECT_TIMEOUT_S, idle_s=60.0, max_answer_bytes=self.target.max_bytes)
        return Pool(self.target.host, self.target.port, limits)

    @property
    def polls_on_request(self) -> bool:
        return self.target.polls_on_request

    @property
    def overdue_polls(self) -> int:
        """The number of polls that were not answered in time and are still open."""
        return len(self._overdue.polls)

    def switch_target(self, target: Target) -> None:
        """Polls another service from now on. The current list stays until the new service has answered; versions of
        the two services are unrelated. What the old service still answers until then is applied. The same service is
        asked for its complete list."""
        self._finish_list()
        self._leave_latest_open()
        if (target.host, target.port) != (self.target.host, self.target.port):
            self._move_to(target)
        self.version = None
        if self.is_following:
            self._send_poll()

    def _leave_latest_open(self) -> None:
        """Leaves the latest poll open beside the next one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._poll is not None:
            self._add_overdue(self._poll)
            self._poll = None

    def _move_to(self, target: Target) -> None:
        """Replaces the service and leaves the polls of the current one open.

        If it has answered none of them in time, one more is sent: it may have changes that it would have been asked for
        at the next retry.
        """
        now = self.clock.time()
        if self.failures and self._applied_version is not None:
            self._overdue.add(self._request(self.target, self.pool, self._applied_version), now)
        self._predecessors.add(Predecessor(self.target, self.pool, self._overdue, self._applied_version, now))
        self.target, self.failures, self._applied_version = target, 0, None
        self.pool = self._pool()
        self._overdue = OverduePolls(target.retention, now)

    def start(self) -> None:
        """Starts watching in push mode; in ask mode the aggregator sends the first request."""
        if not self.polls_on_request:
            self.follow(True)

    def follow(self, enabled: bool) -> None:
        """Starts or stops polling for changes."""
        self.is_following = enabled
        if not enabled:
            self._stop_polls()
        elif self._poll is None and self._list_steps is None:
            self._send_poll()

    def read_list(self) -> None:
        """Requests the complete list now."""
        self._finish_list()
        self.version = None
        self._stop_polls()
        self._send_poll()

    def _finish_list(self) -> None:
        """Applies the rest of a list that has arrived before anything else is requested.

        Guards against changes that count as notified because they have arrived, but that never reach the aggregator
        because their remaining slices are dropped together with the poll.
        """
        while self._list_steps is not None:
            self._next_list_step()

    def close(self) -> None:
        """Stops watching and closes the connections."""
        self.is_following = False
        self._stop_polls()
        self.pool.close()
        self._predecessors.close()

    def _stop_polls(self) -> None:
        """Aborts all polls, and drops the list that is being read."""
        self._stop_latest()
        self._overdue.abort()

    def _stop_latest(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._list_steps = None
        poll, self._poll = self._poll, None
        if poll is not None:
            poll.abort()

    def _send_poll(self) -> None:
        self._stop_latest()  # with two current polls, nobody would wait for the first one
        self._predecessors.close_expired(self.clock.time())
        target = self.target
        poll = self._poll = self._request(target, self.pool, self.version)
        turn_s = target.answer_timeout_s / TIMEOUT_TURNS
        wait_s = target.wait_s if self.version is not None else 0.0
        poll.timer = self.clock.call_later(wait_s + turn_s, self._on_timeout_turn)

    def _request(self, target: Target, pool: Pool, version: int | None) -> Poll:
        """Requests what is newer than a version from a service."""
        head = (
            f"GET {target.path(version)} HTTP/1.1\r\nhost: {target.host}:{target.port}\r\n"
            f"user-agent: {self.user_agent}\r\n\r\n"
        )
        poll = Poll(version, self.clock.time())
        self._polls_since_answer += 1
        poll.call = pool.request(head.encode(), lambda reply: self._on_reply(poll, reply))
        return poll

    def _on_timeout_turn(self) -> None:
        """Handles the end of one turn of the answer timeout without an answer."""
        poll = self._poll
        assert poll is not None
        poll.end_turn()
        if (
            poll.idle_turns < TIMEOUT_TURNS
            and poll.turns < TIMEOUT_TURNS * self.target.max_answer_s / self.target.answer_timeout_s
        ):
            poll.timer = self.clock.call_later(self.target.answer_timeout_s / TIMEOUT_TURNS, self._on_timeout_turn)
            return
        self._on_timeout(poll)

    def _on_timeout(self, poll: Poll) -> None:
        """Handles a poll that was not answered in time, by sending another one or reporting the failure."""
        self._poll = None
        self._add_overdue(poll)
        waited_ms = (self.clock.time() - poll.sent_at) * 1000.0
        reason = f"no answer in time: {waited_ms:.0f} ms, {self.overdue_polls} polls stay open"
        if self.polls_on_request and self.version is not None:
            # The broker counts as notified of what a silent watch misses, and the aggregator's backoff after a failure
            # may be longer than that allows. So the next poll is sent at once.
            self.version = None
            self.on_fault("list not read", reason)
            self._send_poll()
        else:
            self._on_failure(reason)

    def _on_reply(self, poll: Poll, reply: Reply) -> None:
        poll.stop_timer()
        predecessor = self._predecessors.owner_of(poll)
        if predecessor is not None:
            self._on_reply_of_predecessor(predecessor, poll, reply)
            return
        is_latest = poll is self._poll
        if not is_latest:
            self._finish_list()
        try:
            version, reader = self._read(self.target, poll, reply)
        except (ListError, ValueError) as err:
            if is_latest:
                self._poll = None
                self._on_failure(str(err), isinstance(err, PollRejectedError))
            else:
                self._overdue.ended(poll)  # later polls continue
            return
        if not is_latest:
            if self._is_outdated(poll, version):
                self._overdue.ended(poll)
                return
            self._report_late(poll, "")
            self._leave_latest_open()  # it may still bring changes
            self.is_following = True  # in ask mode, the aggregator sends no request after an update
        self._poll = None
        self._overdue.answered(poll, self.clock.time())
        self.polled_at, self.answered_at = poll.sent_at, self.clock.time()
        if reader is None:
            self._mark_refreshed(version)
            return
        self._list_steps = self._list_reading_steps(reader, version)
        self._next_list_step()

    def _is_outdated(self, poll: Poll, version: int | None) -> bool:
        """Whether an overdue poll was answered with less than another poll has brought in the meantime.

        A lower version in the answer to a poll that was sent afterwards is that of a service that counts anew.
        """
        if self._applied_version is None or poll.sent_at >= self.answered_at:
            return False
        return version is None or version < self._applied_version

    def _on_reply_of_predecessor(self, predecessor: Predecessor, poll: Poll, reply: Reply) -> None:
        """Applies what a service that is no longer polled answers before the current one has answered."""
        predecessor.polls.ended(poll)
        if self._list_steps is not None:  # the current service has answered, and its list is being read
            return
        try:
            version, reader = self._read(predecessor.target, poll, reply)
            if reader is None or not predecessor.is_news(version):
                return
            for _ in self._applying_steps(reader):
                pass
        except (ListError, ValueError) as err:
            self.on_fault("list not read", f"{err}, from the previous address")
            if isinstance(err, PollRejectedError):
                self._retry_predecessor(predecessor)
            return
        predecessor.applied_version = version
        self._report_late(poll, ", by the previous address")
        self.on_applied()

    def _retry_predecessor(self, predecessor: Predecessor) -> None:
        """Repeats a rejected poll, unless the service was left some time ago or a retry is pending."""
        now = self.clock.time()
        if predecessor.retry_timer is not None or now - predecessor.left_at > predecessor.target.retention.recent_s:
            return

        def retry() -> None:
            predecessor.retry_timer = None
            poll = self._request(predecessor.target, predecessor.pool, predecessor.applied_version)
            predecessor.polls.add(poll, self.clock.time())

        predecessor.retry_timer = self.clock.call_later(predecessor.target.pace.first_retry_s, retry)

    def _read(self, target: Target, poll: Poll, reply: Reply) -> tuple[int | None, ListReader | None]:
        """Returns the answer's version, and a reader if there are changes.

        Raises ListError, PollRejectedError or ValueError.
        """
        if reply.result is CallResult.MALFORMED:
            raise ListError("the answer is malformed")
        if reply.result is not CallResult.ANSWER or reply.status != HTTPStatus.OK:
            raise PollRejectedError(f"{reply.result.name.lower()}, HTTP status {reply.status}")
        has_list = self.refreshed_at is not None
        return target.read(reply, poll.version, has_list, self.directory, self.now_ms(), self.unix_s())

    def _add_overdue(self, poll: Poll) -> None:
        self._abandoned_since_answer += self._overdue.add(poll, self.clock.time())

    def _next_list_step(self) -> None:
        """Processes one slice of a list; the next one follows in another turn of the event loop."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer, steps = None, self._list_steps
        if steps is None:
            return
        try:
            done = next(steps, True)
        except ListError as err:
            self._list_steps = None
            self._on_failure(str(err))
            return
        if done:
            self._list_steps = None
        else:
            self._timer = self.clock.call_later(0.0, self._next_list_step)

    def _list_reading_steps(self, reader: ListReader, version: int | None) -> Iterator[bool]:
        """Reads, applies and publishes a list of the current service, one slice per step."""
        yield from self._applying_steps(reader)
        self._mark_refreshed(version)
        self.on_applied()

    def _applying_steps(self, reader: ListReader) -> Iterator[bool]:
        """Reads, applies and publishes a list, one slice per step.

        A short list takes a single step, so that it is in effect before a query of the same turn is decided on.
        """
        is_long = len(reader.rows) > SLICE_SIZE
        for _ in reader.read_slices():
            if is_long:
                yield False
        reader.apply()
        for problem in reader.errors[:5]:
            self.on_fault("list line left out", problem)
        self.refreshed_at = self.clock.time()
        for update in reader.updates():
            self.on_update(update)
            if is_long:
                yield False

    def _report_late(self, poll: Poll, source: str) -> None:
        late_ms = (self.clock.time() - poll.sent_at) * 1000.0
        self.on_fault("list read late", f"after {late_ms:.0f} ms{source}")

    def _report_recovery(self) -> None:
        """Reports that the service answers again, with what was tried in the meantime."""
        if self.failures and self.confirmed_at is not None:
            unconfirmed_ms = (self.clock.time() - self.confirmed_at) * 1000.0
            poll_ms = (self.clock.time() - self.polled_at) * 1000.0
            self.on_fault(
                "list read again",
                f"after {unconfirmed_ms:.0f} ms; the answered poll was sent {poll_ms:.0f} ms ago; "
                f"{self._polls_since_answer} polls sent, {self._abandoned_since_answer} abandoned",
            )

    def _mark_refreshed(self, version: int | None) -> None:
        self._report_recovery()
        self._predecessors.close()
        self._polls_since_answer = self._abandoned_since_answer = 0
        self.version, self.failures = version, 0
        self._applied_version = version
        self.refreshed_at = self.confirmed_at = self.clock.time()
        if self.is_following:
            # The interval counts from when the last poll was sent, not from its answer, so that a poll that waited is
            # followed by the next one at once. Guards against changes that the agent receives between two polls, just
            # before it stops answering, and that never reach the broker.
            pause = self.polled_at + self.target.pace.min_update_interval_s - self.clock.time()
            self._timer = self.clock.call_later(max(pause, 0.0), self._send_poll)

    def _on_failure(self, reason: str, is_rejected: bool = False) -> None:
        self.version = None
        self.failures += 1
        if is_rejected:
            now = self.clock.time()
            self._abandoned_since_answer += self._overdue.release_one(now) or self._predecessors.release_one(now)
        self.on_fault("list not read", reason)
        if self.polls_on_request:
            self.is_following = False
            self.on_update(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
        elif self.is_following:
            pace = self.target.pace
            delay_s = min(pace.first_retry_s * 2.0 ** min(self.failures - 1, 10), pace.max_retry_s)
            self._timer = self.clock.call_later(delay_s * self.rng.uniform(0.5, 1.0), self._send_poll)
