"""Transfers of snapshots from a relay to its followers, limited in number and in bytes per second.

An image of the content is compressed once and shared by all followers that need a snapshot. A token bucket limits the
rate of all transfers together, so that many followers can reconnect at once. This module does no I/O.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from badgerbend.feed.log import PublicationLog
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed.session import Session, SessionPhase
from badgerbend.feed.snapshot import SnapshotImage

BEGIN_FRAME = -1  # index of the frame that starts a snapshot, before its pieces
NO_REVISION = -1  # for an image that need not be newer than any follower's replica


class TransferOwner(Protocol):
    """The interface of the relay that transfers use."""

    log: PublicationLog
    tuning: RelayTuning
    sessions: dict[int, Session]

    def send_frame(self, now: float, session: Session, data: bytes) -> None:
        """Send a frame to a follower."""
        ...

    def catch_up(self, now: float, session: Session) -> None:
        """Send the publications after the session's position."""
        ...


class TokenBucket:
    """The number of bytes that may be sent now. One frame may overdraw the bucket."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens
        self._refilled_at = -math.inf

    def refill(self, now: float, tuning: RelayTuning) -> None:
        """Add tokens for the time since the last refill, up to the size of a burst."""
        elapsed = max(now - self._refilled_at, 0.0)
        refilled = self.tokens + elapsed * tuning.snapshot_bytes_per_second
        self.tokens = min(refilled, float(tuning.snapshot_burst_bytes))
        self._refilled_at = now

    def next_at(self, now: float, tuning: RelayTuning) -> float:
        """Return the time at which an empty or overdrawn bucket is refilled to zero."""
        return now - self.tokens / tuning.snapshot_bytes_per_second


class SnapshotCache:
    """Caches the image that new transfers share."""

    def __init__(self) -> None:
        self.image: SnapshotImage | None = None

    def image_for(self, log: PublicationLog, max_lag: int, follower_revision: int = NO_REVISION) -> SnapshotImage:
        """Return the cached image, or create a new one.

        The cached image is used while the log still retains its revision with the same content and is at most
        `max_lag` revisions ahead. A follower rejects an image that is not later than its own replica, unless the image
        has the log's current revision.
        """
        image = self.image
        if image is not None:
            checkpoint = image.checkpoint
            lag = log.revision - checkpoint.revision
            is_same_history = log.digest_at(checkpoint.revision) == checkpoint.content_digest
            is_acceptable = not lag or checkpoint.revision > follower_revision
            if is_same_history and is_acceptable and lag <= max_lag:
                return image
        self.image = SnapshotImage(log.content, log.checkpoint)
        return self.image


class SnapshotTransfers:
    """The queue of followers that need a snapshot, and the transfers in progress."""

    def __init__(self, owner: TransferOwner) -> None:
        self.owner = owner
        self.cache = SnapshotCache()
        self.active = set[int]()  # session numbers
        self.started = 0
        self.next_at = math.inf  # when the rate limit allows more bytes
        self._queue: deque[int] = deque()  # session numbers
        self._bucket = TokenBucket(float(owner.tuning.snapshot_burst_bytes))

    def enqueue(self, now: float, session: Session) -> None:
        """Queue a snapshot for a follower; it is sent as soon as the limits allow."""
        session.phase = SessionPhase.SNAPSHOT_QUEUED
        self._queue.append(session.number)
        self.run(now)

    def cancel(self, number: int) -> None:
        """Cancel the transfer to a session that has ended."""
        self.active.discard(number)

    def run(self, now: float) -> None:
        """Start queued transfers and send pieces as far as the limits allow."""
        tuning = self.owner.tuning
        self._bucket.refill(now, tuning)
        self._send_to_active(now)
        while self._queue and len(self.active) < tuning.max_concurrent_snapshots:
            self._begin(self._queue.popleft())
            self._send_to_active(now)  # may complete transfers, so that more of the queue can begin
        is_paced = self._bucket.tokens <= 0 and bool(self.active)
        self.next_at = self._bucket.next_at(now, tuning) if is_paced else math.inf

    def _send_to_active(self, now: float) -> None:
        for number in list(self.active):
            if number in self.active:  # completing another transfer may have completed this one as well
                self._send_pieces(now, self.owner.sessions[number])

    def _begin(self, number: int) -> None:
        session = self.owner.sessions.get(number)
        if session is None or session.phase is not SessionPhase.SNAPSHOT_QUEUED:
            return
        session.image = self.cache.image_for(self.owner.log, self.owner.tuning.max_image_lag, session.position)
        session.next_piece = BEGIN_FRAME
        session.phase = SessionPhase.SENDING_SNAPSHOT
        self.active.add(number)
        self.started += 1

    def _send_pieces(self, now: float, session: Session) -> None:
        image = session.image
        assert image is not None
        while session.next_piece < image.piece_count:
            if self._bucket.tokens <= 0 or session.in_flight >= self.owner.tuning.send_window:
                return
            is_first = session.next_piece == BEGIN_FRAME
            data = image.begin_frame if is_first else image.piece_frame(session.next_piece)
            session.next_piece += 1
            self._bucket.tokens -= len(data)
            self.owner.send_frame(now, session, data)
        self.active.discard(session.number)
        session.snapshot_sent(image)
        self.owner.catch_up(now, session)
