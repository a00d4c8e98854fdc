"""A follower's connection to one relay at a time: attempts, backoff, timeouts and failback to the own region. Pure."""

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

    `emit` receives the actions; `on_lost` is called whenever the follower is without a connection.
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
        self.relay: RelayAddress | None = None  # the one that is connected, or about to be
        self.attempt = 0  # number of the connection, which its events carry
        self._emit = emit
        self._on_lost = on_lost
        self._deadline = math.inf  # of the phase
        self._failback_at = math.inf

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._deadline, self._failback_at)

    def is_current(self, attempt: int) -> bool:
        """Whether this attempt's connection is open."""
        return attempt == self.attempt and self.phase in CONNECTED_PHASES

    def is_active(self, attempt: int) -> bool:
        """Whether this attempt's connection is open or being opened."""
        return attempt == self.attempt and self.phase in ACTIVE_PHASES

    def is_overdue(self, now: float) -> bool:
        """Whether the phase has lasted longer than it may."""
        return now >= self._deadline

    def opened(self, now: float) -> None:
        """The connection of the current attempt is open."""
        self.phase = FollowerPhase.STREAMING
        self.extend_deadline(now)
        is_remote = self.relay is not None and self.selector.is_remote(self.relay)
        self._failback_at = now + self.tuning.failback_interval if is_remote else math.inf

    def extend_deadline(self, now: float) -> None:
        """The relay was heard of."""
        self._deadline = now + self.tuning.heartbeat_timeout

    def send(self, message: Hello | Status) -> None:
        """Send a message, if the connection is open."""
        if self.phase in CONNECTED_PHASES:
            self._emit(Send(self.attempt, encode_frame(message)))

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        if now >= self._deadline:
            self.deadline_passed(now)
        if now >= self._failback_at:
            self._failback_at = math.inf
            self._drop()
            self.back_off_until(now)

    def deadline_passed(self, now: float) -> None:
        """Connect after a pause; give up a connection that did not open in time, or whose relay is silent."""
        if self.phase is FollowerPhase.BACKING_OFF:
            self._connect(now)
        else:
            self.abandon(now)

    def abandon(self, now: float) -> None:
        """Close the connection and try again after a pause."""
        self._drop()
        self.retry(now)

    def retry(self, now: float) -> None:
        """Try again after a pause; the connection is closed already."""
        self.back_off_until(now + self.selector.next_backoff())

    def leave_stale_relay(self, now: float) -> bool:
        """Leave a relay that is cut off from the agreed log, if there is another one; whether it did."""
        if self.relay is None or not self.selector.has_alternative(self.relay, now):
            return False
        self.selector.avoid_stale(self.relay, now)
        self.abandon(now)
        return True

    def back_off_until(self, until: float) -> None:
        """Stay without a connection until then."""
        self.phase = FollowerPhase.BACKING_OFF
        self.relay = None
        self._deadline = until
        self._failback_at = math.inf
        self._on_lost()

    def stop(self) -> None:
        """Close the connection and open no other."""
        self._drop()
        self.phase = FollowerPhase.STOPPED
        self._deadline = math.inf
        self._failback_at = math.inf

    def _connect(self, now: float) -> None:
        self.attempt += 1
        self.phase = FollowerPhase.CONNECTING
        self.relay = self.selector.next_relay(now)
        self._deadline = now + self.tuning.connect_timeout
        self._emit(Connect(self.attempt, self.relay))

    def _drop(self) -> None:
        if self.phase in ACTIVE_PHASES:
            self._emit(Disconnect(self.attempt))
