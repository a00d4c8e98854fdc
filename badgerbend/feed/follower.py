"""A follower: it keeps one relay connected, holds a verified replica and tells its owner what to put in force. Pure.

Nothing unverified is ever in force: a publication is applied as a whole or not at all, a snapshot replaces the replica
only once all of it is there and its digest is the signed one, and the revision never goes back.

Times are seconds on any clock that does not go backwards; it is read by the caller only.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from badgerbend.feed.errors import (
    DigestMismatchError,
    FeedError,
    NoProgressError,
    OutOfSequenceError,
    SignatureError,
    StaleEpochError,
)
from badgerbend.feed.framing import encode_frame
from badgerbend.feed.log import NO_RETENTION, PublicationLog, Retention
from badgerbend.feed.messages import (
    Change,
    Checkpoint,
    Heartbeat,
    Hello,
    Message,
    Publication,
    SnapshotBegin,
    SnapshotPiece,
    Status,
)
from badgerbend.feed.signature import Verifier
from badgerbend.feed.snapshot import SnapshotAssembly

MAX_REASON_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """A relay that a follower may use."""

    name: str
    region: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class FollowerTuning:
    """Times in seconds."""

    start_jitter: float = 0.5  # a zone's followers that start at once do not connect at once
    backoff_base: float = 0.1  # the first pause between attempts; each further one doubles, with full jitter
    backoff_max: float = 10.0
    connect_timeout: float = 3.0
    heartbeat_timeout: float = 4.0  # without a word from the relay, beside four heartbeats
    quarantine: float = 60.0  # a relay that sent what cannot be used is left out so long
    progress_timeout: float = 30.0  # a relay may announce a revision so long before it sends something towards it
    staleness_limit: float = 5.0  # a relay that has known nothing new for so long is left for another
    stale_retry_interval: float = 30.0  # and tried again after so long
    failback_interval: float = 120.0  # connected to another region, it tries its own again after this
    status_min_interval: float = 1.0  # at most so often is a changed status sent
    status_max_interval: float = 10.0  # and so often at least


# -- what a follower wants done, in this order


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection; its events carry this attempt's number."""

    attempt: int
    relay: RelayAddress


@dataclass(frozen=True, slots=True)
class Send:
    attempt: int
    frame: bytes


@dataclass(frozen=True, slots=True)
class Disconnect:
    attempt: int


@dataclass(frozen=True, slots=True)
class Install:
    """The replica is at this revision: put these changes in force, then say `applied` or `rejected`."""

    revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """For the log: a relay sent something that was not used."""

    relay: str
    error: FeedError


Action = Connect | Send | Disconnect | Install | MessageRejected


class FollowerPhase(Enum):
    BACKING_OFF = auto()  # until the next attempt
    CONNECTING = auto()
    STREAMING = auto()
    RECEIVING_SNAPSHOT = auto()  # a snapshot is on its way
    STOPPED = auto()


CONNECTION_PHASES = (FollowerPhase.CONNECTING, FollowerPhase.STREAMING, FollowerPhase.RECEIVING_SNAPSHOT)


class Follower:
    """One follower. `take_actions` what it wants done after each call."""

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
        self.name, self.region, self.verifier, self.tuning = name, region, verifier, tuning
        self.log = PublicationLog(retention)
        self.phase = FollowerPhase.BACKING_OFF
        self.relay: RelayAddress | None = None
        self.attempt = 0
        self.applied_revision = 0
        self.rejected_revision = 0
        self.rejected_reason = ""
        self._random = random.Random(seed)
        self._relays = self._preferred(relays)
        self._avoided: dict[str, float] = {}  # relays that are distrusted or stale, and until when
        self._failures = 0
        self._damaged = False  # its own replica is not what the publisher signed
        self._assembly: SnapshotAssembly | None = None
        self._as_of = -math.inf  # the latest time at which nothing newer than what it holds was agreed on
        self._relay_as_of = -math.inf  # the same of the relay, or when it was connected
        self._behind_since = math.inf  # since when the relay has announced more than it has sent
        self._deadline = math.inf  # of the phase
        self._home_at = math.inf
        self._status_at = math.inf
        self._status_prompt = False  # a changed status is due
        self._actions: list[Action] = []

    # -- the caller's side
    def start(self, now: float) -> None:
        """Begins to look for a relay."""
        self._wait(now + self._random.random() * self.tuning.start_jitter)

    def stop(self) -> None:
        """Nothing more is asked for; the replica stays."""
        self._drop_connection()
        self.phase = FollowerPhase.STOPPED
        self._deadline = self._home_at = self._status_at = math.inf

    def connected(self, now: float, attempt: int) -> None:
        if attempt != self.attempt or self.phase is not FollowerPhase.CONNECTING:
            return
        self.phase = FollowerPhase.STREAMING
        self._heard(now)
        self._relay_as_of = now
        self._home_at = now + self.tuning.failback_interval if self._abroad() else math.inf
        digest = self.log.content.digest()
        self._damaged = self._damaged or digest != self.log.checkpoint.content_digest
        self._send(Hello(self.name, self.log.epoch, self.log.revision, digest, self._damaged))
        self._status_at = now

    def closed(self, now: float, attempt: int) -> None:
        """The connection has ended, or did not come about."""
        if attempt == self.attempt and self.phase in (
            FollowerPhase.CONNECTING,
            FollowerPhase.STREAMING,
            FollowerPhase.RECEIVING_SNAPSHOT,
        ):
            self._retry(now)

    def received(self, now: float, attempt: int, message: Message) -> None:
        """A message of the relay."""
        if attempt != self.attempt or self.phase not in (FollowerPhase.STREAMING, FollowerPhase.RECEIVING_SNAPSHOT):
            return
        if now >= self._deadline:  # this process stood still: how long ago a heartbeat was written, nobody knows
            self._due(now)
            return
        self._heard(now)
        try:
            match message:
                case Heartbeat():
                    self._heartbeat(now, message)
                case Publication():
                    self._published(message)
                case SnapshotBegin():
                    self._begin_snapshot(message)
                case SnapshotPiece():
                    self._snapshot_piece(message)
                case _:
                    raise OutOfSequenceError(f"{type(message).__name__} from a relay")
        except FeedError as error:
            self.protocol_error(now, attempt, error)

    def protocol_error(self, now: float, attempt: int, error: FeedError) -> None:
        """The relay sent what cannot be used: another one is tried, with the replica as it was."""
        if attempt != self.attempt or self.relay is None:
            return
        self._actions.append(MessageRejected(self.relay.name, error))
        own_fault = isinstance(error, DigestMismatchError) and self._assembly is None  # the replica's, no snapshot's
        if not own_fault:
            self._avoided[self.relay.name] = now + self.tuning.quarantine
        self._drop_connection()
        self._retry(now)

    def applied(self, now: float, revision: int) -> None:
        """The owner has put this revision in force."""
        if revision > self.applied_revision:
            self.applied_revision = revision
            self._status_due(now)

    def rejected(self, now: float, revision: int, reason: str) -> None:
        """The owner could not use the configuration of this revision; what was in force stays."""
        self.rejected_revision, self.rejected_reason = revision, reason
        self._status_due(now)

    def accepted(self, now: float) -> None:
        """A later configuration took the place of the one refused."""
        self.rejected_revision, self.rejected_reason = 0, ""
        self._status_due(now)

    def tick(self, now: float) -> None:
        """What is due by now."""
        if now >= self._deadline:
            self._due(now)
        if now >= self._home_at:
            self._home_at = math.inf
            self._drop_connection()
            self._wait(now)
        if now >= self._status_at:
            self._status_at = now + self.tuning.status_max_interval
            self._status_prompt = False
            self._send(self._status(now))

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._deadline, self._home_at, self._status_at)

    def age_s(self, now: float) -> float:
        """How old the replica may be: so long ago nothing newer had been agreed on. Infinite before the first word.

        Too low by as long as the last heartbeat was on its way: over a connection that takes a relay's window in less
        than `heartbeat_timeout`, no longer than that and one heartbeat.
        """
        return max(now - self._as_of, 0.0)

    def take_actions(self) -> list[Action]:
        """What is to be done, in this order, since the last call."""
        actions, self._actions = self._actions, []
        return actions

    # -- connections
    def _preferred(self, relays: Sequence[RelayAddress]) -> list[RelayAddress]:
        """The own region's relays first, each group in an order of its own so that followers spread."""
        shuffled = list(relays)
        self._random.shuffle(shuffled)
        return sorted(shuffled, key=lambda relay: relay.region != self.region)

    def _abroad(self) -> bool:
        at_home = any(relay.region == self.region for relay in self._relays)
        return at_home and self.relay is not None and self.relay.region != self.region

    def _wait(self, until: float) -> None:
        self.phase, self.relay, self._assembly = FollowerPhase.BACKING_OFF, None, None
        self._deadline = until
        self._behind_since = math.inf
        self._home_at = self._status_at = math.inf
        self._status_prompt = False

    def _retry(self, now: float) -> None:
        """Waits with exponential back-off and full jitter."""
        pause = min(self.tuning.backoff_max, self.tuning.backoff_base * 2.0 ** min(self._failures, 20))
        self._failures += 1
        self._wait(now + self._random.random() * pause)

    def _due(self, now: float) -> None:
        """The phase's time is over."""
        if self.phase is FollowerPhase.BACKING_OFF:
            self._connect(now)
        else:  # no connection in time, or a silent relay
            self._drop_connection()
            self._retry(now)

    def _connect(self, now: float) -> None:
        self.attempt += 1
        self.phase, self.relay = FollowerPhase.CONNECTING, self._next_relay(now)
        self._deadline = now + self.tuning.connect_timeout
        self._actions.append(Connect(self.attempt, self.relay))

    def _next_relay(self, now: float) -> RelayAddress:
        """Round robin from the preferred one on; distrusted ones are left out while there are others."""
        usable = [relay for relay in self._relays if self._usable(relay, now)]
        candidates = usable or self._relays
        return candidates[self._failures % len(candidates)]

    def _usable(self, relay: RelayAddress, now: float) -> bool:
        return self._avoided.get(relay.name, -math.inf) <= now

    def _drop_connection(self) -> None:
        if self.phase in CONNECTION_PHASES:
            self._actions.append(Disconnect(self.attempt))

    def _send(self, message: Hello | Status) -> None:
        if self.phase in (FollowerPhase.STREAMING, FollowerPhase.RECEIVING_SNAPSHOT):
            self._actions.append(Send(self.attempt, encode_frame(message)))

    def _heard(self, now: float) -> None:
        self._deadline = now + self.tuning.heartbeat_timeout

    # -- what relays say
    def _heartbeat(self, now: float, message: Heartbeat) -> None:
        """Its age counts only for a replica that holds what the relay holds."""
        if not message.snapshot_pending:
            self._relay_as_of = max(self._relay_as_of, now - message.age_ms / 1000.0)
            if now - self._relay_as_of > self.tuning.staleness_limit and self._leave_stale(now):
                return
        if self.log.revision >= message.revision:
            self._failures = 0
            self._behind_since = math.inf
            if (message.epoch, message.revision) == (self.log.epoch, self.log.revision):
                self._as_of = max(self._as_of, now - message.age_ms / 1000.0)
            return
        self._behind_since = min(self._behind_since, now)
        if now - self._behind_since > self.tuning.progress_timeout:
            raise NoProgressError(f"revision {message.revision} announced, {self.log.revision} sent")

    def _leave_stale(self, now: float) -> bool:
        """Leaves a relay that is cut off from the agreed log, if another may be tried; whether it did."""
        assert self.relay is not None
        others = [relay for relay in self._relays if relay != self.relay and self._usable(relay, now)]
        if not others:
            return False
        self._avoided[self.relay.name] = now + self.tuning.stale_retry_interval * self._random.uniform(0.5, 1.0)
        self._drop_connection()
        self._retry(now)
        return True

    def _published(self, publication: Publication) -> None:
        if self._assembly is not None:
            raise OutOfSequenceError("a publication amid a snapshot")
        if publication.checkpoint.revision <= self.log.revision:
            return  # it held that already
        self._verify(publication.checkpoint)
        try:
            self.log.append(publication)
        except DigestMismatchError:
            self._damaged = True
            raise
        self._install(publication.changes)

    def _begin_snapshot(self, message: SnapshotBegin) -> None:
        checkpoint = message.checkpoint
        if self._assembly is not None or not self._replaces(checkpoint):
            raise OutOfSequenceError(f"a snapshot of revision {checkpoint.revision} at {self.log.revision}")
        self._verify(checkpoint)
        if checkpoint.epoch < self.log.epoch:
            raise StaleEpochError(f"a snapshot of epoch {checkpoint.epoch} after {self.log.epoch}")
        self._assembly, self.phase = SnapshotAssembly(message), FollowerPhase.RECEIVING_SNAPSHOT
        self._take_whole_snapshot()  # of an empty content no piece follows

    def _replaces(self, checkpoint: Checkpoint) -> bool:
        """Whether a snapshot may take the replica's place: its revision never goes back."""
        if checkpoint.revision == self.log.revision:
            return self._damaged or checkpoint.epoch > self.log.epoch
        return checkpoint.revision > self.log.revision

    def _snapshot_piece(self, message: SnapshotPiece) -> None:
        if self._assembly is None:
            raise OutOfSequenceError("a piece of no snapshot")
        self._assembly.add(message)
        self._behind_since = math.inf
        self._take_whole_snapshot()

    def _take_whole_snapshot(self) -> None:
        """Puts the snapshot in the replica's place once all of it is there."""
        assembly = self._assembly
        if assembly is None or not assembly.complete:
            return
        changes = self.log.content.changes_to(assembly.content)
        self.log.install_snapshot(assembly.content, assembly.checkpoint)
        self._assembly, self.phase, self._damaged = None, FollowerPhase.STREAMING, False
        self._install(changes)

    def _verify(self, checkpoint: Checkpoint) -> None:
        if not self.verifier.verify(checkpoint.signed_bytes(), checkpoint.signature):
            raise SignatureError(f"revision {checkpoint.revision} is not signed by the publisher")

    def _install(self, changes: tuple[Change, ...]) -> None:
        self._behind_since = math.inf
        self._actions.append(Install(self.log.revision, changes))

    # -- status
    def _status_due(self, now: float) -> None:
        if self.phase in (FollowerPhase.STREAMING, FollowerPhase.RECEIVING_SNAPSHOT) and not self._status_prompt:
            self._status_prompt = True
            self._status_at = now + self._random.random() * self.tuning.status_min_interval

    def _status(self, now: float) -> Status:
        return Status(
            self.applied_revision,
            self.rejected_revision,
            self.rejected_reason[:MAX_REASON_CHARACTERS],
            self._age_ms(now),
        )

    def _age_ms(self, now: float) -> int:
        age = self.age_s(now)
        return (1 << 52) if math.isinf(age) else round(age * 1000.0)
