"""A relay: it fans the log of publications out to followers, in bounded memory.

The relay keeps no send queue for a follower, only its position in the shared log. Publications that a connection cannot
transmit yet stay in the log. A follower that is behind the retained publications, or whose content differs, receives a
snapshot (`feed.snapshot_transfers`).

This module does no I/O. Times are seconds on any monotonic clock, which only the caller reads.
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

UNKNOWN_AGE_S = 1e9  # sent instead of an age that is unknown or higher


class Relay:
    """Fan-out of one log. The caller carries out `take_actions` after each call."""

    transfers_type: type[SnapshotTransfers] = SnapshotTransfers

    def __init__(self, name: str, log: PublicationLog, tuning: RelayTuning) -> None:
        self.name = name
        self.log = log
        self.tuning = tuning
        self.sessions: dict[int, Session] = {}
        self.evicted = 0  # connections closed because their followers sent no messages or accepted no data
        self.transfers = self.transfers_type(self)
        self._current_as_of = -math.inf
        self._heartbeat_at = math.inf
        self._actions: list[Action] = []

    @property
    def snapshots_started(self) -> int:
        """The number of snapshot transfers started so far."""
        return self.transfers.started

    @property
    def next_at(self) -> float:
        """The time at which `tick` next has something to do."""
        return min(self._heartbeat_at, self.transfers.next_at)

    def age_s(self, now: float) -> float:
        """Return an upper bound of the time since the log contained all committed publications."""
        return max(now - self._current_as_of, 0.0)

    def summary(self) -> Summary:
        """Summarize how many followers have applied the log's revision, and which ones are the furthest behind."""
        return summarize(self.name, self.log.revision, self.sessions.values())

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, to be carried out in this order."""
        actions = self._actions
        self._actions = []
        return actions

    def mark_current(self, now: float, as_of: float | None = None) -> None:
        """Note that the log contained all publications committed by `as_of`, which defaults to now."""
        self._current_as_of = max(self._current_as_of, now if as_of is None else as_of)

    def log_advanced(self, now: float) -> None:
        """Handle the growth of the log, or its replacement by a snapshot."""
        for session in self.sessions.values():
            if session.phase is SessionPhase.STREAMING:
                self.catch_up(now, session)
        self.transfers.run(now)

    def opened(self, now: float, number: int) -> None:
        """Handle an accepted connection, to which the caller has assigned a number."""
        if len(self.sessions) >= self.tuning.max_sessions:
            self._actions.append(Close(number, "too many followers"))
            return
        self.sessions[number] = Session(number, now)
        if math.isinf(self._heartbeat_at):
            self._heartbeat_at = now + self.tuning.heartbeat_interval

    def closed(self, now: float, number: int) -> None:
        """Handle the end of a connection."""
        if self.sessions.pop(number, None) is not None:
            self.transfers.cancel(number)
            self.transfers.run(now)

    def received(self, now: float, number: int, message: Message) -> None:
        """Handle a message of a follower."""
        session = self.sessions.get(number)
        if session is None:
            return
        session.last_received_at = now
        try:
            self._handle(now, session, message)
        except FeedError as error:
            self.protocol_error(now, number, error)

    def protocol_error(self, now: float, number: int, error: FeedError) -> None:
        """Disconnect a follower that sent invalid data."""
        self._close(now, number, str(error))

    def drained(self, now: float, number: int) -> None:
        """Handle the report that a connection has accepted all data in flight."""
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
            return  # the follower is ahead of this relay; it is checked again when the log has passed its position
        is_behind_retention = session.position < self.log.oldest_revision
        if session.wants_snapshot or is_behind_retention or not self._has_same_history(session):
            is_acceptable = session.position < self.log.revision or session.epoch < self.log.epoch
            if session.wants_snapshot or is_acceptable:
                self.transfers.enqueue(now, session)
            return  # the follower would reject a snapshot, so it waits for a later revision
        while session.in_flight < self.tuning.send_window:
            following = self.log.next_after(session.position)
            if following is None:
                return
            session.position = following.checkpoint.revision
            self.send_frame(now, session, following.frame)

    def send_frame(self, now: float, session: Session, data: bytes) -> None:
        """Send a frame and count it towards the send window of the session."""
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
        session.record_hello(message)
        self.send_frame(now, session, encode_frame(self._heartbeat(now)))
        session.wants_snapshot = message.wants_snapshot or self._is_snapshot_cheaper(message.revision)
        session.phase = SessionPhase.STREAMING
        self.catch_up(now, session)

    def _is_snapshot_cheaper(self, revision: int) -> bool:
        """Whether the publications since a revision are larger than the content itself.

        Publications are not rate-limited, unlike snapshots.
        """
        if not self.log.oldest_revision <= revision < self.log.revision:
            return False
        limit = max(self.log.content.size_bytes, self.tuning.send_window)
        return revision == 0 or self.log.bytes_after(revision) > limit

    def _has_same_history(self, session: Session) -> bool:
        """Whether the follower's content equals that of the log at the same revision; compared only once."""
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
        """Send heartbeats to all followers, and disconnect those that send no messages or accept no data."""
        newest = encode_frame(self._heartbeat(now))
        for number, session in list(self.sessions.items()):
            reason = session.close_reason(now, self.tuning)
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
    """Encode the heartbeat for a follower that is waiting for its snapshot.

    Its age is unknown. Its revision is the follower's own, because other transfers may delay any newer one.
    """
    unknown_age_ms = round(UNKNOWN_AGE_S * 1000.0)
    return encode_frame(Heartbeat(session.epoch, session.position, unknown_age_ms, snapshot_pending=True))
