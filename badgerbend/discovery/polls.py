"""Polls of a list's service that are under way: the latest one, and earlier ones whose answers may still come."""

from __future__ import annotations

from typing import Protocol

from badgerbend.net.client import Call

MOST_OVERDUE = 4
"""Polls that are left open behind the latest one; each holds a connection."""

LONGEST_OVERDUE_S = 3.0
"""The oldest of them is given this long: a service that is slower than that cannot be followed."""


class Timer(Protocol):
    """A callback that is due later."""

    def cancel(self) -> None: ...


class Poll:
    """One question to the service, in seconds of the loop's clock. version: what its answer is newer than, None for
    the whole list."""

    __slots__ = ("asked_at", "call", "overdue_at", "quiet_turns", "received", "timer", "turns", "version")

    def __init__(self, version: int | None, asked_at: float) -> None:
        self.version = version
        self.asked_at = asked_at
        self.call: Call | None = None
        self.timer: Timer | None = None
        self.overdue_at = asked_at
        self.turns = 0  # of its timeout that are over
        self.quiet_turns = 0  # since its answer last grew
        self.received = 0  # bytes of the answer by then

    def turn_is_over(self) -> None:
        """Counts a turn of the timeout, and whether the answer grew in it."""
        assert self.call is not None
        self.turns += 1
        if self.call.received > self.received:
            self.received = self.call.received
            self.quiet_turns = 0
        else:
            self.quiet_turns += 1

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def abort(self) -> None:
        """Ends it; its reply never comes."""
        self.stop_timer()
        if self.call is not None:
            self.call.abort()


class OverduePolls:
    """Polls that were not answered in time, oldest first. They stay open while others are sent after them.

    A service that is slow, after an outage perhaps, answers none in time: were each aborted as the next one is sent,
    none would ever be answered, however often it is asked.
    """

    def __init__(self) -> None:
        self.polls: list[Poll] = []

    def add(self, poll: Poll, now: float) -> None:
        """Takes a poll in; aborts another one where there are too many, the oldest not before its time."""
        poll.stop_timer()
        poll.overdue_at = now
        self.polls.append(poll)
        if len(self.polls) > MOST_OVERDUE:
            oldest_is_due = now - self.polls[0].overdue_at > LONGEST_OVERDUE_S
            self.polls.pop(0 if oldest_is_due else 1).abort()

    def answered(self, poll: Poll) -> None:
        """Forgets a poll that has its answer, and aborts those that were sent before it: theirs tell nothing newer."""
        older = [other for other in self.polls if other is not poll and other.asked_at <= poll.asked_at]
        self.polls = [other for other in self.polls if other.asked_at > poll.asked_at]
        for other in older:
            other.abort()

    def ended(self, poll: Poll) -> None:
        """Forgets a poll that failed."""
        self.polls.remove(poll)

    def abort(self) -> None:
        """Ends all of them."""
        polls, self.polls = self.polls, []
        for poll in polls:
            poll.abort()
