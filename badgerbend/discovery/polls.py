"""Polls of the list's endpoint that are in flight: the latest one, and overdue ones whose answers may still come."""

from __future__ import annotations

from typing import Protocol

from badgerbend.net.client import Call

MOST_OVERDUE = 4
"""The number of overdue polls that are left open beside the latest one; each holds a connection."""

LONGEST_OVERDUE_S = 3.0
"""How long the oldest overdue poll stays open: a slower service is too slow to be watched."""


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

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def abort(self) -> None:
        """Aborts the request; its reply callback is never called."""
        self.stop_timer()
        if self.call is not None:
            self.call.abort()


class OverduePolls:
    """Polls that were not answered in time, oldest first. They stay open while later polls are sent.

    A service that is slow, for example after an outage, answers no poll in time. If each poll were aborted when the
    next one is sent, none would ever be answered, however often the broker retries.
    """

    def __init__(self) -> None:
        self.polls: list[Poll] = []

    def add(self, poll: Poll, now: float) -> Poll | None:
        """Adds a poll. If there are too many, aborts the oldest one if its time is up, otherwise the second oldest.

        Returns the poll that was aborted, if any.
        """
        poll.stop_timer()
        poll.overdue_at = now
        self.polls.append(poll)
        if len(self.polls) <= MOST_OVERDUE:
            return None
        oldest_is_due = now - self.polls[0].overdue_at > LONGEST_OVERDUE_S
        abandoned = self.polls.pop(0 if oldest_is_due else 1)
        abandoned.abort()
        return abandoned

    def answered(self, poll: Poll) -> None:
        """Removes an answered poll and aborts those sent before it, whose answers would contain nothing newer."""
        older = [other for other in self.polls if other is not poll and other.sent_at <= poll.sent_at]
        self.polls = [other for other in self.polls if other.sent_at > poll.sent_at]
        for other in older:
            other.abort()

    def ended(self, poll: Poll) -> None:
        """Removes a poll that failed."""
        self.polls.remove(poll)

    def abort(self) -> None:
        """Aborts all polls."""
        polls, self.polls = self.polls, []
        for poll in polls:
            poll.abort()
