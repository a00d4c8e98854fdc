"""Polls of the list's endpoint that are in flight: the latest one, and overdue ones whose answers may still come."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from badgerbend.net.calls import Call

MIN_OVERDUE_LIMIT, MAX_OVERDUE_LIMIT = 8, 15
"""Bounds of the number of overdue polls that are left open beside the latest one; each holds a connection."""

OVERDUE_LIMIT_GROWTH_PER_S = 1.0
"""How fast that number grows while the service is silent. A service that takes long to answer is heard once enough
polls stay open, and one that allows few connections needs old ones to be closed soon after its silence begins."""

MAX_OVERDUE_S = 4.0
"""How long an overdue poll stays open, unless the service has been silent for long."""

MAX_OVERDUE_SILENCE_FRACTION = 0.25
"""The oldest overdue poll stays open for this fraction of the service's silence if that is longer, so that even a
service that takes longer to answer is heard at some time."""

RELEASE_SILENCE_FRACTION = 0.05
"""An only overdue poll is aborted for a rejected one once it is older than this fraction of the service's silence."""


class Timer(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None: ...


class Poll:
    """One request to the service; times are in seconds of the event loop's clock.

    version: the answer contains what is newer than this version; None requests the complete list.
    """

    __slots__ = ("call", "idle_turns", "overdue_at", "received", "sent_at", "timer", "turns", "version")

    def __init__(self, version: int | None, sent_at: float) -> None:
        self.version = version
        self.sent_at = sent_at
        self.call: Call | None = None
        self.timer: Timer | None = None
        self.overdue_at = sent_at
        self.turns = 0  # turns of the timeout that have passed
        self.idle_turns = 0  # turns since the answer last grew
        self.received = 0  # bytes of the answer when it last grew

    def end_turn(self) -> None:
        """Counts a turn of the timeout and checks whether the answer grew during it."""
        assert self.call is not None
        self.turns += 1
        if self.call.received > self.received:
            self.received = self.call.received
            self.idle_turns = 0
        else:
            self.idle_turns += 1

    def has_begun_to_arrive(self) -> bool:
        """Whether a part of the answer was received."""
        return self.call is not None and self.call.received > 0

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def abort(self) -> None:
        """Aborts the request; its reply callback is never called."""
        self.stop_timer()
        if self.call is not None:
            self.call.abort()


@dataclass(frozen=True, slots=True)
class Retention:
    """Which overdue polls are kept open, in seconds since they were sent.

    recent_s: all polls that are younger than this. spacing_s: among older polls, one in this time. release_s: polls
    that are younger than this, also if the service rejects another one.
    """

    recent_s: float = 4.0
    spacing_s: float = 4.0
    release_s: float = 2.0


class OverduePolls:
    """Polls that were not answered in time, oldest first. They stay open while later polls are sent.

    A service that is slow, for example after an outage, answers no poll in time. If each poll were aborted when the
    next one is sent, none would ever be answered, however often the broker retries. Polls that the service received
    during its outage may never be answered, so it does not suffice to keep the oldest ones either: of the polls that
    were sent later some have to become old enough to be answered.

    now: the time at which the service is contacted first.
    """

    def __init__(self, retention: Retention, now: float) -> None:
        self.polls: list[Poll] = []
        self._retention = retention
        self._answered_at = now  # when the service answered last

    def add(self, poll: Poll, now: float) -> int:
        """Adds a poll; returns how many polls were aborted because they were too old, redundant or too many."""
        poll.stop_timer()
        poll.overdue_at = now
        self.polls.append(poll)
        abandoned = self._expired(now)
        for other in abandoned:
            self._abandon(other)
        surplus = self._redundant(now)
        if surplus is None and len(self.polls) > self._limit(now):
            surplus = next(other for other in self.polls if other not in self._spared())
        if surplus is None:
            return len(abandoned)
        self._abandon(surplus)
        return len(abandoned) + 1

    def release_one(self, now: float) -> bool:
        """Aborts a poll after the service rejected a later one; returns whether it did.

        The service may allow no further connection while overdue polls occupy the ones that it allows. The oldest poll
        stays open as long as there is another one.
        """
        if not self.polls:
            return False
        releasable_s = self._retention.release_s
        if len(self.polls) == 1:
            releasable_s = max(releasable_s, (now - self._answered_at) * RELEASE_SILENCE_FRACTION)
        poll = self.polls[:2][-1]
        if now - poll.sent_at <= releasable_s:
            return False
        self._abandon(poll)
        return True

    def answered(self, poll: Poll, now: float) -> None:
        """Removes an answered poll and aborts those sent before it, whose answers would contain nothing newer."""
        self._answered_at = now
        older = [other for other in self.polls if other is not poll and other.sent_at <= poll.sent_at]
        self.polls = [other for other in self.polls if other.sent_at > poll.sent_at]
        for other in older:
            other.abort()

    def keep_latest(self, count: int) -> None:
        """Aborts all but the latest polls."""
        for poll in self.polls[:-count]:
            self._abandon(poll)

    def ended(self, poll: Poll) -> None:
        """Removes a poll that failed."""
        self.polls.remove(poll)

    def abort(self) -> None:
        """Aborts all polls."""
        polls, self.polls = self.polls, []
        for poll in polls:
            poll.abort()

    def _limit(self, now: float) -> int:
        """The number of polls that may stay open."""
        grown = MIN_OVERDUE_LIMIT + (now - self._answered_at) * OVERDUE_LIMIT_GROWTH_PER_S
        return int(min(grown, MAX_OVERDUE_LIMIT))

    def _expired(self, now: float) -> list[Poll]:
        """Returns the polls that are not expected to be answered any more."""
        longest_s = max(MAX_OVERDUE_S, (now - self._answered_at) * MAX_OVERDUE_SILENCE_FRACTION)
        return [poll for poll in self.polls if now - poll.overdue_at > longest_s]

    def _spared(self) -> list[Poll]:
        """Returns the oldest poll, and the oldest one whose answer has begun to arrive."""
        answering = [poll for poll in self.polls if poll.has_begun_to_arrive()]
        return [*self.polls[:1], *answering[:1]]

    def _redundant(self, now: float) -> Poll | None:
        """Returns the oldest poll whose neighbours are so close to each other that it need not stay open."""
        spared = self._spared()
        for before, poll, after in zip(self.polls, self.polls[1:], self.polls[2:], strict=False):
            is_recent = now - poll.sent_at <= self._retention.recent_s
            is_close = after.sent_at - before.sent_at <= self._retention.spacing_s
            if is_close and not is_recent and poll not in spared:
                return poll
        return None

    def _abandon(self, poll: Poll) -> None:
        self.polls.remove(poll)
        poll.abort()
