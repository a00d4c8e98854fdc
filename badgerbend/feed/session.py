"""One follower's connection as its relay sees it: position in the log, window in flight, reported status. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, auto

from badgerbend.feed.errors import OutOfSequenceError
from badgerbend.feed.messages import Hello, Laggard, Status
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed.snapshot import SnapshotImage


class SessionPhase(Enum):
    """What a relay does for a follower."""

    AWAITING_HELLO = auto()
    STREAMING = auto()
    SNAPSHOT_QUEUED = auto()
    SENDING_SNAPSHOT = auto()


SNAPSHOT_PHASES = (SessionPhase.SNAPSHOT_QUEUED, SessionPhase.SENDING_SNAPSHOT)


@dataclass(slots=True, eq=False)
class Session:
    """State of one connection. The owner of the relay numbers connections."""

    number: int
    last_received_at: float
    name: str = ""
    phase: SessionPhase = SessionPhase.AWAITING_HELLO
    epoch: int = 0  # of the replica, as of the hello or of the last snapshot
    position: int = 0  # the revision up to which the follower has been sent everything
    digest: bytes | None = None  # of the replica at its position, until compared with the log's
    wants_snapshot: bool = False  # whatever the follower holds, it cannot use it
    applied_revision: int = 0
    rejected_revision: int = 0
    reason: str = ""
    image: SnapshotImage | None = None  # the snapshot on its way
    next_piece: int = 0
    in_flight: int = 0  # bytes that the connection has not taken
    blocked_since: float = math.inf  # since when the window is full

    def greet(self, message: Hello) -> None:
        """Note what a follower holds. Raises OutOfSequenceError for a second hello."""
        if self.phase is not SessionPhase.AWAITING_HELLO:
            raise OutOfSequenceError("a second hello")
        self.name = message.name
        self.epoch = message.epoch
        self.position = message.revision
        self.digest = message.digest
        self.applied_revision = message.revision

    def record_status(self, message: Status) -> None:
        """Note what a follower reports. Raises OutOfSequenceError before the hello."""
        if self.phase is SessionPhase.AWAITING_HELLO:
            raise OutOfSequenceError("a status before the hello")
        self.applied_revision = message.applied_revision
        self.rejected_revision = message.rejected_revision
        self.reason = message.reason

    def sent(self, now: float, size_bytes: int, window: int) -> None:
        """Count bytes that are on their way."""
        self.in_flight += size_bytes
        if self.in_flight >= window:
            self.blocked_since = min(self.blocked_since, now)

    def drained(self) -> None:
        """The connection has taken everything."""
        self.in_flight = 0
        self.blocked_since = math.inf

    def snapshot_sent(self, image: SnapshotImage) -> None:
        """All of a snapshot is on its way: the log goes on from its revision."""
        self.image = None
        self.digest = None
        self.wants_snapshot = False
        self.position = image.checkpoint.revision
        self.epoch = image.checkpoint.epoch
        self.phase = SessionPhase.STREAMING

    def failure(self, now: float, tuning: RelayTuning) -> str:
        """Why the connection is to be given up, empty while it is healthy."""
        silence = now - self.last_received_at
        if self.phase is SessionPhase.AWAITING_HELLO:
            return "no hello" if silence > tuning.hello_timeout else ""
        if silence > tuning.idle_timeout:
            return "says nothing"
        if now - self.blocked_since > tuning.stall_timeout:
            return "takes nothing"
        return ""

    def as_laggard(self) -> Laggard:
        """The follower as a summary names it."""
        return Laggard(self.name, self.applied_revision, self.rejected_revision, self.reason)
