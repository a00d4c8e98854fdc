"""A follower: it keeps a connection to one relay and passes the changes of its replica on to its owner.

The replica with all verification is in `feed.replica`, the connection in `feed.upstream`, the choice of relays in
`feed.relay_selection`, and the age of the replica in `feed.staleness`.

This module does no I/O. Times are seconds on any monotonic clock, which only the caller reads.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import assert_never

from badgerbend.feed.errors import DigestMismatchError, FeedError, OutOfSequenceError
from badgerbend.feed.follower_types import (
    Action,
    FollowerPhase,
    FollowerTuning,
    Install,
    MessageRejected,
    RelayAddress,
)
from badgerbend.feed.log import NO_RETENTION, PublicationLog, Retention
from badgerbend.feed.messages import (
    Heartbeat,
    Hello,
    Message,
    Publication,
    SnapshotBegin,
    SnapshotPiece,
    Status,
    Summary,
)
from badgerbend.feed.relay_selection import RelaySelector
from badgerbend.feed.replica import Changes, Replica
from badgerbend.feed.signature import Verifier
from badgerbend.feed.staleness import StalenessTracker
from badgerbend.feed.status_reporting import StatusReporter
from badgerbend.feed.upstream import UpstreamConnection


class Follower:
    """State machine of one follower. The caller carries out `take_actions` after each call."""

    replica_type: type[Replica] = Replica
    staleness_type: type[StalenessTracker] = StalenessTracker

    def __init__(
        self,
        name: str,
        region: str,
        relays: Sequence[RelayAddress],
        verifier: Verifier,
        tuning: FollowerTuning,
        seed: int,
        retention: Retention = NO_RETENTION,
    ) -> None:
        self.name = name
        self.region = region
        self.tuning = tuning
        self.replica = self.replica_type(verifier, retention)
        self._actions: list[Action] = []
        self._random = random.Random(seed)
        selector = RelaySelector(region, relays, tuning, self._random)
        self._upstream = UpstreamConnection(tuning, selector, self._actions.append, self._connection_lost)
        self._staleness = self.staleness_type(self.replica.log, tuning)
        self.status = StatusReporter(tuning, self._random)

    @property
    def log(self) -> PublicationLog:
        """The log of publications of the replica, which a relay may serve to other followers."""
        return self.replica.log

    @property
    def phase(self) -> FollowerPhase:
        """State of the connection to a relay."""
        return self._upstream.phase

    @property
    def relay(self) -> RelayAddress | None:
        """The relay of the current connection or connection attempt."""
        return self._upstream.relay

    @property
    def attempt(self) -> int:
        """The number of the latest connection attempt."""
        return self._upstream.attempt

    @property
    def next_at(self) -> float:
        """The time at which `tick` next has something to do."""
        return min(self._upstream.next_at, self.status.next_at)

    def age_s(self, now: float) -> float:
        """Return an upper bound of the time since the replica contained all committed publications.

        It is infinite before the first heartbeat. It may be too low by the transit time of the last heartbeat, which is
        at most `heartbeat_timeout` plus one heartbeat interval if the connection transmits a relay's send window within
        `heartbeat_timeout`.
        """
        return self._staleness.age_s(now)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, to be carried out in this order."""
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def start(self, now: float) -> None:
        """Schedule the first connection attempt."""
        self._upstream.back_off_until(now + self._random.random() * self.tuning.start_jitter)

    def stop(self) -> None:
        """Close the connection and open no further one; the replica is kept."""
        self._upstream.stop()
        self.status.disconnected()

    def connected(self, now: float, attempt: int) -> None:
        """Handle the establishment of this attempt's connection."""
        if attempt != self.attempt or self.phase is not FollowerPhase.CONNECTING:
            return
        self._upstream.opened(now)
        self._staleness.connected(now)
        digest = self.replica.check_integrity()
        hello = Hello(self.name, self.log.epoch, self.log.revision, digest, self.replica.is_damaged)
        self._upstream.send(hello)
        self.status.connected(now)

    def closed(self, now: float, attempt: int) -> None:
        """Handle the end of this attempt's connection, or the failure to open it."""
        if self._upstream.is_active(attempt):
            self._upstream.retry(now)

    def received(self, now: float, attempt: int, message: Message) -> None:
        """Handle a message that was received on this attempt's connection."""
        if not self._upstream.is_current(attempt):
            return
        if self._upstream.is_overdue(now):  # this process was suspended, and the age of buffered messages is unknown
            self._upstream.deadline_passed(now)
            return
        self._upstream.extend_deadline(now)
        try:
            self._handle(now, message)
        except FeedError as error:
            self.protocol_error(now, attempt, error)

    def protocol_error(self, now: float, attempt: int, error: FeedError) -> None:
        """Leave a relay that sent invalid data and try another one; the replica is unchanged."""
        if attempt != self.attempt or self.relay is None:
            return
        self._actions.append(MessageRejected(self.relay.name, error))
        is_own_damage = isinstance(error, DigestMismatchError) and self.replica.assembly is None
        if not is_own_damage:
            self._upstream.selector.quarantine(self.relay, now)
        self._upstream.abandon(now)

    def applied(self, now: float, revision: int) -> None:
        """Note that the owner has applied this revision."""
        if revision > self.status.applied_revision:
            self.status.applied_revision = revision
            self._status_changed(now)

    def rejected(self, now: float, revision: int, reason: str) -> None:
        """Note that the owner cannot use the configuration of this revision and keeps the previous one."""
        self.status.rejected_revision = revision
        self.status.rejected_reason = reason
        self._status_changed(now)

    def accepted(self, now: float) -> None:
        """Note that the owner uses a later configuration than the rejected one."""
        self.rejected(now, 0, "")

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        self._upstream.tick(now)
        if now >= self.status.next_at:
            self._upstream.send(self.status.next_status(now, self._staleness.age_ms(now)))

    def _handle(self, now: float, message: Message) -> None:
        match message:
            case Heartbeat():
                self._handle_heartbeat(now, message)
            case Publication():
                self._apply_publication(message)
            case SnapshotBegin():
                self._begin_snapshot(message)
            case SnapshotPiece():
                self._add_snapshot_piece(message)
            case Hello() | Status() | Summary():
                raise OutOfSequenceError(f"{type(message).__name__} from a relay")
            case _:
                assert_never(message)

    def _handle_heartbeat(self, now: float, message: Heartbeat) -> None:
        is_stale = self._staleness.record_relay_age(now, message)
        if is_stale and self._upstream.leave_stale_relay(now):
            return
        if self._staleness.record_position(now, message):
            self._upstream.selector.record_success()

    def _apply_publication(self, publication: Publication) -> None:
        changes = self.replica.apply_publication(publication)
        if changes is not None:
            self._install(changes)

    def _begin_snapshot(self, message: SnapshotBegin) -> None:
        self._snapshot_advanced(self.replica.begin_snapshot(message))

    def _add_snapshot_piece(self, message: SnapshotPiece) -> None:
        changes = self.replica.add_snapshot_piece(message)
        self._staleness.record_progress()
        self._snapshot_advanced(changes)

    def _snapshot_advanced(self, changes: Changes | None) -> None:
        """Update the phase, and install the changes once the snapshot is complete."""
        if changes is None:
            self._upstream.phase = FollowerPhase.RECEIVING_SNAPSHOT
            return
        self._upstream.phase = FollowerPhase.STREAMING
        self._install(changes)

    def _install(self, changes: Changes) -> None:
        self._staleness.record_progress()
        self._actions.append(Install(self.log.revision, changes))

    def _status_changed(self, now: float) -> None:
        if self._upstream.is_current(self.attempt):
            self.status.schedule_change(now)

    def _connection_lost(self) -> None:
        self.replica.discard_assembly()
        self._staleness.record_progress()
        self.status.disconnected()
