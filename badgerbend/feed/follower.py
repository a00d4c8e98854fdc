"""A follower: it keeps a connection to one relay and passes what its replica receives on to its owner. Pure.

The replica itself, with all verification, is `feed.replica`; the connection and the choice of relays are
`feed.upstream` and `feed.relay_selection`; ages are `feed.staleness`.
Times are seconds on any clock that does not go backwards; it is read by the caller only.
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
    """State machine of one follower; the caller carries out `take_actions` after each call."""

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
        """The replica's log of publications, which a relay may serve to others."""
        return self.replica.log

    @property
    def phase(self) -> FollowerPhase:
        """State of the connection to a relay."""
        return self._upstream.phase

    @property
    def relay(self) -> RelayAddress | None:
        """The relay that is connected, or about to be."""
        return self._upstream.relay

    @property
    def attempt(self) -> int:
        """Number of the latest connection."""
        return self._upstream.attempt

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._upstream.next_at, self.status.next_at)

    def age_s(self, now: float) -> float:
        """Upper bound of the time since the replica held all that was agreed on; infinite before any heartbeat.

        Too low by as long as the last heartbeat was on its way: over a connection that takes a relay's window in less
        than `heartbeat_timeout`, no longer than that and one heartbeat.
        """
        return self._staleness.age_s(now)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, to be carried out in this order."""
        actions = list(self._actions)
        self._actions.clear()
        return actions

    def start(self, now: float) -> None:
        """Begin to look for a relay."""
        self._upstream.back_off_until(now + self._random.random() * self.tuning.start_jitter)

    def stop(self) -> None:
        """Close the connection and open no other; the replica stays."""
        self._upstream.stop()
        self.status.disconnected()

    def connected(self, now: float, attempt: int) -> None:
        """The connection of this attempt is open."""
        if attempt != self.attempt or self.phase is not FollowerPhase.CONNECTING:
            return
        self._upstream.opened(now)
        self._staleness.connected(now)
        digest = self.replica.check_integrity()
        hello = Hello(self.name, self.log.epoch, self.log.revision, digest, self.replica.is_damaged)
        self._upstream.send(hello)
        self.status.connected(now)

    def closed(self, now: float, attempt: int) -> None:
        """The connection of this attempt has ended, or could not be opened."""
        if self._upstream.is_active(attempt):
            self._upstream.retry(now)

    def received(self, now: float, attempt: int, message: Message) -> None:
        """A message of the relay arrived on the connection of this attempt."""
        if not self._upstream.is_current(attempt):
            return
        if self._upstream.is_overdue(now):  # this process was suspended: the age of what waited is unknown
            self._upstream.deadline_passed(now)
            return
        self._upstream.extend_deadline(now)
        try:
            self._handle(now, message)
        except FeedError as error:
            self.protocol_error(now, attempt, error)

    def protocol_error(self, now: float, attempt: int, error: FeedError) -> None:
        """The relay sent something invalid: try another one, with the replica as it was."""
        if attempt != self.attempt or self.relay is None:
            return
        self._actions.append(MessageRejected(self.relay.name, error))
        is_own_damage = isinstance(error, DigestMismatchError) and self.replica.assembly is None
        if not is_own_damage:
            self._upstream.selector.quarantine(self.relay, now)
        self._upstream.abandon(now)

    def applied(self, now: float, revision: int) -> None:
        """The owner has applied this revision."""
        if revision > self.status.applied_revision:
            self.status.applied_revision = revision
            self._status_changed(now)

    def rejected(self, now: float, revision: int, reason: str) -> None:
        """The owner could not use the configuration of this revision and keeps the one before."""
        self.status.rejected_revision = revision
        self.status.rejected_reason = reason
        self._status_changed(now)

    def accepted(self, now: float) -> None:
        """The owner uses a later configuration than the rejected one."""
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
        """Install the changes of a complete snapshot."""
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
