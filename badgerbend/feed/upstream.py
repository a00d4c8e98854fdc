"""A follower's connection to one relay at a time: attempts, backoff, timeouts and failback to the own region.

This module does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from badgerbend.feed.follower_types import (
    ACTIVE_PHASES,
    CONNECTED_PHASES,
    Action,
    Connect,
    Disconnect,
    FollowerPhase,
    FollowerTuning,
    RelayAddress,
    Send,
)
from badgerbend.feed.framing import encode_frame
from badgerbend.feed.messages import Hello, Status
from badgerbend.feed.relay_selection import RelaySelector


class UpstreamConnection:
    """Phase and deadlines of the connection.

    emit: receives the actions. on_lost: called at the start of each backoff, without a connection.
    """

    def __init__(
        self,
        tuning: FollowerTuning,
        selector: RelaySelector,
        emit: Callable[[Action], None],
        on_lost: Callable[[], None],
    ) -> None:
        self.tuning = tuning
        self.selector = selector
        self.phase = FollowerPhase.BACKING_OFF
        self.relay: RelayAddress | None = None  # of the current connection or connection attempt
        self.attempt = 0  # number of the latest attempt, which its events carry
        self._emit = emit
        self._on_lost = on_lost
        self._deadline = math.inf  # of the current phase
        self._failback_at = math.inf

    @property
    def next_at(self) -> float:
        """The time at which `tick` next has something to do."""
        return min(self._deadline, self._failback_at)

    def is_current(self, attempt: int) -> bool:
        """Whether this attempt's connection is open."""
        return attempt == self.attempt and self.phase in CONNECTED_PHASES

    def is_active(self, attempt: int) -> bool:
        """Whether this attempt's connection is open or being opened."""
        return attempt == self.attempt and self.phase in ACTIVE_PHASES

    def is_overdue(self, now: float) -> bool:
        """Whether the deadline of the current phase has passed."""
        return now >= self._deadline

    def opened(self, now: float) -> None:
        """Handle the establishment of the current attempt's connection."""
        self.phase = FollowerPhase.STREAMING
        self.extend_deadline(now)
        is_remote = self.relay is not None and self.selector.is_remote(self.relay)
        self._failback_at = now + self.tuning.failback_interval if is_remote else math.inf

    def extend_deadline(self, now: float) -> None:
        """Restart the heartbeat timeout after a message from the relay."""
        self._deadline = now + self.tuning.heartbeat_timeout

    def send(self, message: Hello | Status) -> None:
        """Send a message if the connection is open."""
        if self.phase in CONNECTED_PHASES:
            self._emit(Send(self.attempt, encode_frame(message)))

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        if now >= self._deadline:
            self.deadline_passed(now)
        if now >= self._failback_at:
            self._failback_at = math.inf
            self._disconnect()
            self.back_off_until(now)

    def deadline_passed(self, now: float) -> None:
        """Connect at the end of a backoff, else abandon a connection that timed out or whose relay is silent."""
        if self.phase is FollowerPhase.BACKING_OFF:
            self._connect(now)
        else:
            self.abandon(now)

    def abandon(self, now: float) -> None:
        """Close the connection and retry after a backoff."""
        self._disconnect()
        self.retry(now)

    def retry(self, now: float) -> None:
        """Retry after a backoff; the connection is already closed."""
        self.back_off_until(now + self.selector.next_backoff())

    def leave_stale_relay(self, now: float) -> bool:
        """Leave a relay whose log is stale, if there is an alternative. Returns whether the relay was left."""
        if self.relay is None or not self.selector.has_alternative(self.relay, now):
            return False
        self.selector.avoid_stale(self.relay, now)
        self.abandon(now)
        return True

    def back_off_until(self, until: float) -> None:
        """Stay disconnected until the given time."""
        self.phase = FollowerPhase.BACKING_OFF
        self.relay = None
        self._deadline = until
        self._failback_at = math.inf
        self._on_lost()

    def stop(self) -> None:
        """Close the connection and open no further one."""
        self._disconnect()
        self.phase = FollowerPhase.STOPPED
        self._deadline = math.inf
        self._failback_at = math.inf

    def _connect(self, now: float) -> None:
        self.attempt += 1
        self.phase = FollowerPhase.CONNECTING
        self.relay = self.selector.next_relay(now)
        self._deadline = now + self.tuning.connect_timeout
        self._emit(Connect(self.attempt, self.relay))

    def _disconnect(self) -> None:
        if self.phase in ACTIVE_PHASES:
            self._emit(Disconnect(self.attempt))
