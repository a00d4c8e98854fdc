"""A relay: it fans the log of publications out to followers, in bounded memory. Pure.

A follower's queue is a position in the log and nothing more: what its connection cannot take now stays in the log,
which all share. A follower that falls behind the log's retention, or whose content differs, gets a snapshot
(`feed.snapshot_transfers`).

Times are seconds on any clock that does not go backwards; it is read by the caller only.
"""

from __future__ import annotations

import math
from typing import assert_never

from badgerbend.feed.errors import FeedError, OutOfSequenceError
from badgerbend.feed.framing import encode_frame
from badgerbend.feed.log import PublicationLog
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
from badgerbend.feed.relay_summary import summarize
from badgerbend.feed.relay_types import Action, Close, RelayTuning, SendTo
from badgerbend.feed.session import SNAPSHOT_PHASES, Session, SessionPhase
from badgerbend.feed.snapshot_transfers import SnapshotTransfers

UNKNOWN_AGE_S = 1e9  # sent in place of an age that is not known, or longer


class Relay:
    """Fan-out of one log; the caller carries out `take_actions` after each call."""

    transfers_type: type[SnapshotTransfers] = SnapshotTransfers

    def __init__(self, name: str, log: PublicationLog, tuning: RelayTuning) -> None:
        self.name = name
        self.log = log
        self.tuning = tuning
        self.sessions: dict[int, Session] = {}
        self.evicted = 0  # connections given up because their followers sent or took nothing
        self.transfers = self.transfers_type(self)
        self._current_as_of = -math.inf
        self._heartbeat_at = math.inf
        self._actions: list[Action] = []

    @property
    def snapshots_started(self) -> int:
        """Snapshots that were begun so far."""
        return self.transfers.started

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._heartbeat_at, self.transfers.next_at)

    def age_s(self, now: float) -> float:
        """Upper bound of the time since the log held all that was agreed on."""
        return max(now - self._current_as_of, 0.0)

    def summary(self) -> Summary:
        """How many followers have applied the log's revision, and the furthest behind."""
        return summarize(self.name, self.log.revision, self.sessions.values())

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, to be carried out in this order."""
        actions = self._actions
        self._actions = []
        return actions

    def mark_current(self, now: float, as_of: float | None = None) -> None:
        """The log held all that was agreed on at `as_of`, by default now."""
        self._current_as_of = max(self._current_as_of, now if as_of is None else as_of)

    def log_advanced(self, now: float) -> None:
        """The log has grown, or was replaced by a snapshot."""
        for session in self.sessions.values():
            if session.phase is SessionPhase.STREAMING:
                self.catch_up(now, session)
        self.transfers.run(now)

    def opened(self, now: float, number: int) -> None:
        """A connection was accepted; the caller numbers them."""
        if len(self.sessions) >= self.tuning.max_sessions:
            self._actions.append(Close(number, "too many followers"))
            return
        self.sessions[number] = Session(number, now)
        if math.isinf(self._heartbeat_at):
            self._heartbeat_at = now + self.tuning.heartbeat_interval

    def closed(self, now: float, number: int) -> None:
        """A connection has ended."""
        if self.sessions.pop(number, None) is not None:
            self.transfers.cancel(number)
            self.transfers.run(now)

    def received(self, now: float, number: int, message: Message) -> None:
        """A message of a follower arrived."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.last_received_at = now
        try:
            self._handle(now, session, message)
        except FeedError as error:
            self.protocol_error(now, number, error)

    def protocol_error(self, now: float, number: int, error: FeedError) -> None:
        """A follower sent something invalid."""
        self._close(now, number, str(error))

    def drained(self, now: float, number: int) -> None:
        """The connection has taken what was in flight."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.drained()
        if session.phase is SessionPhase.STREAMING:
            self.catch_up(now, session)
        elif session.phase is SessionPhase.SENDING_SNAPSHOT:
            self.transfers.run(now)

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self.tuning.heartbeat_interval if self.sessions else math.inf
            self._send_heartbeats(now)
        if now >= self.transfers.next_at:
            self.transfers.run(now)

    def catch_up(self, now: float, session: Session) -> None:
        """Send the publications that follow the session's position, as far as its window allows."""
        if session.position > self.log.revision:
            return  # the follower is ahead of this relay, which notices when the log has passed it
        is_behind_retention = session.position < self.log.oldest_revision
        if session.wants_snapshot or is_behind_retention or not self._has_same_history(session):
            is_acceptable = session.position < self.log.revision or session.epoch < self.log.epoch
            if session.wants_snapshot or is_acceptable:
                self.transfers.enqueue(now, session)
            return  # a snapshot that would be rejected is not sent: the follower waits for a later revision
        while session.in_flight < self.tuning.send_window:
            following = self.log.next_after(session.position)
            if following is None:
                return
            session.position = following.checkpoint.revision
            self.send_frame(now, session, following.frame)

    def send_frame(self, now: float, session: Session, data: bytes) -> None:
        """Send a frame and count it in the session's window."""
        session.sent(now, len(data), self.tuning.send_window)
        self._actions.append(SendTo(session.number, data))

    def _handle(self, now: float, session: Session, message: Message) -> None:
        match message:
            case Hello():
                self._handle_hello(now, session, message)
            case Status():
                session.record_status(message)
            case Heartbeat() | Publication() | SnapshotBegin() | SnapshotPiece() | Summary():
                raise OutOfSequenceError(f"{type(message).__name__} from a follower")
            case _:
                assert_never(message)

    def _handle_hello(self, now: float, session: Session, message: Hello) -> None:
        session.greet(message)
        self.send_frame(now, session, encode_frame(self._heartbeat(now)))
        session.wants_snapshot = message.wants_snapshot or self._is_snapshot_cheaper(message.revision)
        session.phase = SessionPhase.STREAMING
        self.catch_up(now, session)

    def _is_snapshot_cheaper(self, revision: int) -> bool:
        """Whether the publications since are more than the content itself: they would go out without a pace."""
        if not self.log.oldest_revision <= revision < self.log.revision:
            return False
        limit = max(self.log.content.size_bytes, self.tuning.send_window)
        return revision == 0 or self.log.bytes_after(revision) > limit

    def _has_same_history(self, session: Session) -> bool:
        """Whether the follower's content equalled the log's at its revision; compared once."""
        if session.digest is None:
            return True
        if session.digest != self.log.digest_at(session.position):
            return False
        session.digest = None
        return True

    def _heartbeat(self, now: float) -> Heartbeat:
        age_ms = round(min(self.age_s(now), UNKNOWN_AGE_S) * 1000.0)
        return Heartbeat(self.log.epoch, self.log.revision, age_ms)

    def _send_heartbeats(self, now: float) -> None:
        """Send heartbeats to all followers, and disconnect those that send or take nothing."""
        newest = encode_frame(self._heartbeat(now))
        for number, session in list(self.sessions.items()):
            reason = session.failure(now, self.tuning)
            if reason:
                self.evicted += 1
                self._close(now, number, reason)
            elif session.phase is not SessionPhase.AWAITING_HELLO and session.in_flight < self.tuning.send_window:
                is_waiting = session.phase in SNAPSHOT_PHASES
                self.send_frame(now, session, _pending_heartbeat(session) if is_waiting else newest)

    def _close(self, now: float, number: int, reason: str) -> None:
        self._actions.append(Close(number, reason))
        self.closed(now, number)


def _pending_heartbeat(session: Session) -> bytes:
    """To a follower that waits for its snapshot: no age, and no revision that other transfers may hold up."""
    unknown_age_ms = round(UNKNOWN_AGE_S * 1000.0)
    return encode_frame(Heartbeat(session.epoch, session.position, unknown_age_ms, snapshot_pending=True))
