"""A relay's state for the connection of one follower: position in the log, send window and reported status.

This module does no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

from badgerbend.feed.errors import OutOfSequenceError
from badgerbend.feed.messages import Hello, Laggard, Status
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed.snapshot import SnapshotImage


class SessionPhase(Enum):
    """What a relay is currently doing for a follower."""

    AWAITING_HELLO = auto()
    STREAMING = auto()
    SNAPSHOT_QUEUED = auto()
    SENDING_SNAPSHOT = auto()


SNAPSHOT_PHASES = (SessionPhase.SNAPSHOT_QUEUED, SessionPhase.SENDING_SNAPSHOT)


@dataclass(slots=True, eq=False)
class Session:
    """State of one connection. `number` is assigned by the owner of the relay."""

    number: int
    last_received_at: float
    name: str = ""
    phase: SessionPhase = SessionPhase.AWAITING_HELLO
    epoch: int = 0  # of the replica at the time of the hello or of the last snapshot
    position: int = 0  # the revision up to which everything has been sent to the follower
    digest: bytes | None = None  # of the replica at its position, until it has been compared with that of the log
    wants_snapshot: bool = False  # independently of the position of the replica
    applied_revision: int = 0
    rejected_revision: int = 0
    reason: str = ""
    image: SnapshotImage | None = None  # the snapshot being sent
    next_piece: int = 0
    in_flight: int = 0  # bytes that the connection has not accepted yet
    blocked_since: float = math.inf  # time since which the send window has been full

    def record_hello(self, message: Hello) -> None:
        """Record the position of a follower. Raises OutOfSequenceError for a second hello."""
        if self.phase is not SessionPhase.AWAITING_HELLO:
            raise OutOfSequenceError("received a second hello")
        self.name = message.name
        self.epoch = message.epoch
        self.position = message.revision
        self.digest = message.digest
        self.applied_revision = message.revision

    def record_status(self, message: Status) -> None:
        """Record the status of a follower. Raises OutOfSequenceError before the hello."""
        if self.phase is SessionPhase.AWAITING_HELLO:
            raise OutOfSequenceError("received a status before the hello")
        self.applied_revision = message.applied_revision
        self.rejected_revision = message.rejected_revision
        self.reason = message.reason

    def sent(self, now: float, size_bytes: int, window: int) -> None:
        """Count bytes that are now in flight."""
        self.in_flight += size_bytes
        if self.in_flight >= window:
            self.blocked_since = min(self.blocked_since, now)

    def drained(self) -> None:
        """Note that the connection has accepted everything in flight."""
        self.in_flight = 0
        self.blocked_since = math.inf

    def snapshot_sent(self, image: SnapshotImage) -> None:
        """Continue with the log from the revision of a snapshot that has been sent completely."""
        self.image = None
        self.digest = None
        self.wants_snapshot = False
        self.position = image.checkpoint.revision
        self.epoch = image.checkpoint.epoch
        self.phase = SessionPhase.STREAMING

    def close_reason(self, now: float, tuning: RelayTuning) -> str:
        """Return the reason to close the connection, or an empty string while it is healthy."""
        silence = now - self.last_received_at
        if self.phase is SessionPhase.AWAITING_HELLO:
            return "no hello received" if silence > tuning.hello_timeout else ""
        if silence > tuning.idle_timeout:
            return "no messages received"
        if now - self.blocked_since > tuning.stall_timeout:
            return "send window full for too long"
        return ""

    def as_laggard(self) -> Laggard:
        """Return the follower's entry for a summary."""
        return Laggard(self.name, self.applied_revision, self.rejected_revision, self.reason)
