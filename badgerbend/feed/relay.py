"""A relay: it fans the log of publications out to followers, in bounded memory. Pure.

A follower's queue is a place in the log and nothing more: what it cannot take now stays in the log, which all share.
Who falls behind the log's retention, or holds another content, gets a snapshot; snapshots are packed once for all and
paced in number and bytes, so that a zone's followers may return at once.

Times are seconds on any clock that does not go backwards; it is read by the caller only.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from badgerbend.feed.errors import FeedError, OutOfSequenceError
from badgerbend.feed.framing import encode_frame
from badgerbend.feed.log import PublicationLog
from badgerbend.feed.messages import MAX_LAGGARDS, Heartbeat, Hello, Laggard, Message, Status, Summary
from badgerbend.feed.snapshot import SnapshotImage

SNAPSHOT_BEGIN = -1  # the place of a snapshot's head before its pieces
LONGEST_AGE_S = 1e9  # an age that is not known goes out as this one


@dataclass(frozen=True, slots=True)
class RelayTuning:
    """Times in seconds, sizes in bytes."""

    heartbeat_interval: float = 1.0
    send_window: int = 256 * 1024  # bytes on the way to one follower, before its connection has taken them
    stall_timeout: float = 10.0  # a follower that takes nothing for so long is cut; it resumes when it is back
    hello_timeout: float = 5.0  # a connection that does not say who it is for so long is cut
    idle_timeout: float = 30.0  # a follower that says nothing for so long is cut
    max_concurrent_snapshots: int = 16
    snapshot_bytes_per_second: int = 16 * 1024 * 1024  # of all followers together
    snapshot_burst_bytes: int = 1024 * 1024
    max_image_lag: int = 256  # an image serves new snapshots while no more publications have come since
    max_sessions: int = 8192


# -- what a relay wants done, in this order


@dataclass(frozen=True, slots=True)
class SendTo:
    session: int
    frame: bytes


@dataclass(frozen=True, slots=True)
class Close:
    session: int
    reason: str


Action = SendTo | Close


class SessionPhase(Enum):
    AWAITING_HELLO = auto()  # no hello yet
    STREAMING = auto()
    SNAPSHOT_QUEUED = auto()  # for a snapshot
    SENDING_SNAPSHOT = auto()  # a snapshot is on its way


class Session:
    """One follower's connection."""

    __slots__ = (
        "name",
        "phase",
        "epoch",
        "position",
        "digest",
        "applied_revision",
        "rejected_revision",
        "reason",
        "wants_snapshot",
        "image",
        "next_piece",
        "in_flight",
        "blocked_since",
        "last_received_at",
    )

    def __init__(self, now: float) -> None:
        self.name = ""
        self.phase = SessionPhase.AWAITING_HELLO
        self.epoch = 0  # of what the follower held at its hello
        self.position = 0  # the revision up to which the follower has been sent everything
        self.digest: bytes | None = None  # of its content there, until it was compared with the log's
        self.wants_snapshot = False  # whatever the follower holds, it cannot use it
        self.applied_revision = self.rejected_revision = 0
        self.reason = ""
        self.image: SnapshotImage | None = None
        self.next_piece = 0
        self.in_flight = 0
        self.blocked_since = math.inf
        self.last_received_at = now


class Relay:
    """Fan-out of one log. `take` what it wants done after each call."""

    def __init__(self, name: str, log: PublicationLog, tuning: RelayTuning) -> None:
        self.name, self.log, self.tuning = name, log, tuning
        self.sessions: dict[int, Session] = {}
        self.snapshots_started = 0
        self.evicted = 0  # connections given up because their followers said or took nothing
        self._confirmed_at = -math.inf
        self._queue: deque[int] = deque()  # sessions that wait for a snapshot
        self._loading = set[int]()
        self._image: SnapshotImage | None = None
        self._allowance = float(tuning.snapshot_burst_bytes)  # bytes of snapshots that may go out now
        self._allowance_at = -math.inf
        self._heartbeat_at = math.inf
        self._pace_at = math.inf
        self._actions: list[Action] = []

    # -- the log's side
    def mark_current(self, now: float, as_of: float | None = None) -> None:
        """At `as_of` (now, unless said otherwise) the log held all that was agreed on."""
        self._confirmed_at = max(self._confirmed_at, now if as_of is None else as_of)

    def log_advanced(self, now: float) -> None:
        """The log has grown, or was replaced by a snapshot."""
        for number, session in self.sessions.items():
            if session.phase is SessionPhase.STREAMING:
                self._stream(now, number, session)
        self._load(now)

    # -- the followers' side
    def opened(self, now: float, number: int) -> None:
        """A connection; the caller numbers them."""
        if len(self.sessions) >= self.tuning.max_sessions:
            self._actions.append(Close(number, "too many followers"))
            return
        self.sessions[number] = Session(now)
        if math.isinf(self._heartbeat_at):
            self._heartbeat_at = now + self.tuning.heartbeat_interval

    def closed(self, now: float, number: int) -> None:
        """A connection has ended."""
        if self.sessions.pop(number, None) is not None:
            self._loading.discard(number)
            self._load(now)

    def received(self, now: float, number: int, message: Message) -> None:
        """A follower's message."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.last_received_at = now
        try:
            match message:
                case Hello():
                    self._hello(now, number, session, message)
                case Status():
                    self._status(session, message)
                case _:
                    raise OutOfSequenceError(f"{type(message).__name__} from a follower")
        except FeedError as error:
            self.protocol_error(now, number, error)

    def protocol_error(self, now: float, number: int, error: FeedError) -> None:
        """A follower sent what cannot be used."""
        self._cut(now, number, str(error))

    def drained(self, now: float, number: int) -> None:
        """The connection has taken what was on its way."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.in_flight, session.blocked_since = 0, math.inf
        if session.phase is SessionPhase.STREAMING:
            self._stream(now, number, session)
        elif session.phase is SessionPhase.SENDING_SNAPSHOT:
            self._load(now)

    def tick(self, now: float) -> None:
        """What is due by now."""
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self.tuning.heartbeat_interval if self.sessions else math.inf
            self._beat(now)
        if now >= self._pace_at:
            self._load(now)

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._heartbeat_at, self._pace_at)

    def take_actions(self) -> list[Action]:
        """What is to be done, in this order, since the last call."""
        actions, self._actions = self._actions, []
        return actions

    def age_s(self, now: float) -> float:
        """How old the log may be: so long ago nothing newer had been agreed on."""
        return max(now - self._confirmed_at, 0.0)

    def summary(self) -> Summary:
        """How many followers have the log's revision in force, and the furthest behind."""
        greeted = [session for session in self.sessions.values() if session.phase is not SessionPhase.AWAITING_HELLO]
        behind = [
            session for session in greeted if session.applied_revision < self.log.revision or session.rejected_revision
        ]
        behind.sort(key=lambda session: session.applied_revision)
        return Summary(
            self.name,
            self.log.revision,
            len(greeted),
            sum(session.applied_revision >= self.log.revision for session in greeted),
            sum(session.rejected_revision > 0 for session in greeted),
            min((session.applied_revision for session in greeted), default=self.log.revision),
            tuple(Laggard(s.name, s.applied_revision, s.rejected_revision, s.reason) for s in behind[:MAX_LAGGARDS]),
        )

    # -- messages of followers
    def _hello(self, now: float, number: int, session: Session, message: Hello) -> None:
        if session.phase is not SessionPhase.AWAITING_HELLO:
            raise OutOfSequenceError("a second hello")
        session.name, session.epoch = message.name, message.epoch
        session.position, session.digest = message.revision, message.digest
        session.applied_revision = message.revision
        self._send(now, number, session, encode_frame(self._heartbeat(now)))
        session.wants_snapshot = message.wants_snapshot or self._far_behind(message.revision)
        session.phase = SessionPhase.STREAMING
        self._stream(now, number, session)

    def _far_behind(self, revision: int) -> bool:
        """Whether the publications since are more than the content itself: they would go out without a pace."""
        if not self.log.oldest_revision <= revision < self.log.revision:
            return False
        limit = max(self.log.content.size_bytes, self.tuning.send_window)
        return revision == 0 or self.log.bytes_after(revision) > limit

    def _status(self, session: Session, message: Status) -> None:
        if session.phase is SessionPhase.AWAITING_HELLO:
            raise OutOfSequenceError("a status before the hello")
        session.applied_revision, session.rejected_revision, session.reason = (
            message.applied_revision,
            message.rejected_revision,
            message.reason,
        )

    # -- streaming
    def _stream(self, now: float, number: int, session: Session) -> None:
        """Sends what follows the session's place in the log, as far as the window lets it."""
        if session.position > self.log.revision:
            return  # the follower knows more than this relay; it hears when the log has passed it
        if session.wants_snapshot or session.position < self.log.oldest_revision or not self._same_past(session):
            if session.wants_snapshot or session.position < self.log.revision or session.epoch < self.log.epoch:
                self._queue_snapshot(now, number, session)
            return  # else it would refuse a snapshot: it waits for a later revision
        while session.in_flight < self.tuning.send_window:
            following = self.log.next_after(session.position)
            if following is None:
                return
            session.position = following.checkpoint.revision
            self._send(now, number, session, following.frame)

    def _same_past(self, session: Session) -> bool:
        """Whether the follower's content was the log's at its revision; looked at once."""
        if session.digest is None:
            return True
        if session.digest != self.log.digest_at(session.position):
            return False
        session.digest = None
        return True

    # -- snapshots
    def _queue_snapshot(self, now: float, number: int, session: Session) -> None:
        session.phase = SessionPhase.SNAPSHOT_QUEUED
        self._queue.append(number)
        self._load(now)

    def _load(self, now: float) -> None:
        """Begins snapshots and sends pieces, as number and bytes at once allow."""
        self._refill(now)
        while self._queue and len(self._loading) < self.tuning.max_concurrent_snapshots:
            self._begin_snapshot(now, self._queue.popleft())
        for number in list(self._loading):
            if number in self._loading:  # the end of another's may have brought this one to its own end
                self._send_pieces(now, number, self.sessions[number])
        waits = self._allowance <= 0 and bool(self._loading)
        self._pace_at = now - self._allowance / self.tuning.snapshot_bytes_per_second if waits else math.inf

    def _refill(self, now: float) -> None:
        passed = max(now - self._allowance_at, 0.0)
        refilled = self._allowance + passed * self.tuning.snapshot_bytes_per_second
        self._allowance = min(refilled, float(self.tuning.snapshot_burst_bytes))
        self._allowance_at = now

    def _begin_snapshot(self, now: float, number: int) -> None:
        session = self.sessions.get(number)
        if session is None or session.phase is not SessionPhase.SNAPSHOT_QUEUED:
            return
        session.image, session.next_piece = self._image_now(session.position), SNAPSHOT_BEGIN
        session.phase = SessionPhase.SENDING_SNAPSHOT
        self._loading.add(number)
        self.snapshots_started += 1

    def _image_now(self, held: int = -1) -> SnapshotImage:
        """The last image while the log leads on from it and is not far ahead; else a new one. held: the revision of
        the follower, which would refuse an image that is not later, unless it is of the log's own revision."""
        image = self._image
        if image is not None:
            behind = self.log.revision - image.checkpoint.revision
            same_past = self.log.digest_at(image.checkpoint.revision) == image.checkpoint.content_digest
            later = not behind or image.checkpoint.revision > held
            if same_past and later and behind <= self.tuning.max_image_lag:
                return image
        self._image = SnapshotImage(self.log.content, self.log.checkpoint)
        return self._image

    def _send_pieces(self, now: float, number: int, session: Session) -> None:
        image = session.image
        assert image is not None
        while session.next_piece < image.piece_count:
            if self._allowance <= 0 or session.in_flight >= self.tuning.send_window:
                return
            data = image.begin_frame if session.next_piece == SNAPSHOT_BEGIN else image.piece_frame(session.next_piece)
            session.next_piece += 1
            self._allowance -= len(data)
            self._send(now, number, session, data)
        self._loading.discard(number)
        session.image, session.digest, session.wants_snapshot = None, None, False
        session.position, session.epoch = image.checkpoint.revision, image.checkpoint.epoch
        session.phase = SessionPhase.STREAMING
        self._stream(now, number, session)

    # -- time
    def _heartbeat(self, now: float) -> Heartbeat:
        age_ms = round(min(self.age_s(now), LONGEST_AGE_S) * 1000.0)
        return Heartbeat(self.log.epoch, self.log.revision, age_ms)

    def _beat(self, now: float) -> None:
        """A heartbeat to all, and an end to those that take or say nothing."""
        newest = encode_frame(self._heartbeat(now))
        for number, session in list(self.sessions.items()):
            reason = self._failing(now, session)
            if reason:
                self.evicted += 1
                self._cut(now, number, reason)
            elif session.phase is not SessionPhase.AWAITING_HELLO and session.in_flight < self.tuning.send_window:
                waits = session.phase in (SessionPhase.SNAPSHOT_QUEUED, SessionPhase.SENDING_SNAPSHOT)
                self._send(now, number, session, _waiting_heartbeat(session) if waits else newest)

    def _failing(self, now: float, session: Session) -> str:
        """Why a follower's connection is given up, or nothing."""
        if session.phase is SessionPhase.AWAITING_HELLO:
            return "no hello" if now - session.last_received_at > self.tuning.hello_timeout else ""
        if now - session.last_received_at > self.tuning.idle_timeout:
            return "says nothing"
        if now - session.blocked_since > self.tuning.stall_timeout:
            return "takes nothing"
        return ""

    def _send(self, now: float, number: int, session: Session, data: bytes) -> None:
        session.in_flight += len(data)
        if session.in_flight >= self.tuning.send_window:
            session.blocked_since = min(session.blocked_since, now)
        self._actions.append(SendTo(number, data))

    def _cut(self, now: float, number: int, reason: str) -> None:
        self._actions.append(Close(number, reason))
        self.closed(now, number)


def _waiting_heartbeat(session: Session) -> bytes:
    """To a follower that waits for its snapshot: it announces nothing that others' loads hold up, and no age."""
    return encode_frame(Heartbeat(session.epoch, session.position, round(LONGEST_AGE_S * 1000.0), True))
