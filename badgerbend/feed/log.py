"""The log of publications: the content at the last revision, and the latest publications for those a little behind.

Compaction drops the oldest publications by number and by bytes; who is behind them gets a snapshot.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from badgerbend.feed.content import Content, hash_bytes
from badgerbend.feed.errors import DigestMismatchError, RevisionGapError, StaleEpochError, TamperedChangesError
from badgerbend.feed.framing import encode_frame
from badgerbend.feed.messages import (
    DIGEST_BYTES,
    SIGNATURE_BYTES,
    Change,
    Checkpoint,
    Publication,
    encode_changes,
)

# Nothing was published yet: an empty content at revision 0 that nobody signed.
EMPTY_CHECKPOINT = Checkpoint(0, 0, Content().digest(), bytes(DIGEST_BYTES), bytes(SIGNATURE_BYTES))


@dataclass(frozen=True, slots=True)
class Retention:
    """How much of the past a log keeps. A follower keeps nothing; a relay enough for minutes of an outage."""

    publications: int = 4096
    bytes: int = 16 * 1024 * 1024


NO_RETENTION = Retention(0, 0)


@dataclass(frozen=True, slots=True)
class RetainedPublication:
    """A publication as it goes to followers, encoded once for all of them. end_offset: bytes of all frames so far."""

    checkpoint: Checkpoint
    frame: bytes
    end_offset: int


def changes_digest(changes: tuple[Change, ...]) -> bytes:
    """What a checkpoint says of the changes that led to it."""
    return hash_bytes(encode_changes(changes))


class PublicationLog:
    """A replica with its recent past. Whether a signature is the publisher's, others check."""

    def __init__(self, retention: Retention = NO_RETENTION) -> None:
        self.retention = retention
        self.content = Content()
        self.checkpoint = EMPTY_CHECKPOINT
        self._retained: deque[RetainedPublication] = deque()
        self._bytes = 0  # of the frames retained
        self._bytes_ever = 0  # of all frames so far
        self._before = EMPTY_CHECKPOINT  # the checkpoint before the oldest publication retained

    @property
    def revision(self) -> int:
        return self.checkpoint.revision

    @property
    def epoch(self) -> int:
        return self.checkpoint.epoch

    @property
    def oldest_revision(self) -> int:
        """The earliest revision from which the publications retained lead on."""
        return self._before.revision

    def append(self, publication: Publication) -> None:
        """Raises RevisionGap, OldEpoch, TamperedChanges or DigestMismatch; then nothing has changed."""
        checkpoint = publication.checkpoint
        if checkpoint.revision != self.revision + 1:
            raise RevisionGapError(checkpoint.revision, self.revision)
        if checkpoint.epoch < self.epoch:
            raise StaleEpochError(checkpoint.epoch, self.epoch)
        if changes_digest(publication.changes) != checkpoint.changes_digest:
            raise TamperedChangesError(checkpoint.revision)
        undo = self.content.apply(publication.changes)
        if self.content.digest() != checkpoint.content_digest:
            self.content.apply(undo)
            raise DigestMismatchError(checkpoint.revision)
        self.checkpoint = checkpoint
        self._retain(publication)

    def install_snapshot(self, content: Content, checkpoint: Checkpoint) -> None:
        """Takes over a whole snapshot. Raises DigestMismatch; then nothing has changed."""
        if content.digest() != checkpoint.content_digest:
            raise DigestMismatchError(checkpoint.revision, of_snapshot=True)
        self.content, self.checkpoint, self._before = content, checkpoint, checkpoint
        self._retained.clear()
        self._bytes = 0

    def next_after(self, revision: int) -> RetainedPublication | None:
        """The publication that follows this revision, which is `oldest_revision` or later."""
        at = revision - self.oldest_revision
        return self._retained[at] if at < len(self._retained) else None

    def bytes_after(self, revision: int) -> int:
        """Bytes of the publications that follow this revision, which is `oldest_revision` or later."""
        at = revision - self.oldest_revision
        if at >= len(self._retained):
            return 0
        following = self._retained[at]
        return self._bytes_ever - following.end_offset + len(following.frame)

    def checkpoint_at(self, revision: int) -> Checkpoint | None:
        """The checkpoint of a revision that is retained, None for others."""
        if revision == self.oldest_revision:
            return self._before
        at = revision - self.oldest_revision - 1
        return self._retained[at].checkpoint if 0 <= at < len(self._retained) else None

    def digest_at(self, revision: int) -> bytes | None:
        """The content's digest at a revision that is retained, None for others."""
        checkpoint = self.checkpoint_at(revision)
        return None if checkpoint is None else checkpoint.content_digest

    def _retain(self, publication: Publication) -> None:
        if not self.retention.publications:
            self._before = publication.checkpoint
            return
        data = encode_frame(publication)
        self._bytes += len(data)
        self._bytes_ever += len(data)
        self._retained.append(RetainedPublication(publication.checkpoint, data, self._bytes_ever))
        while len(self._retained) > self.retention.publications or self._bytes > self.retention.bytes:
            dropped = self._retained.popleft()
            self._bytes -= len(dropped.frame)
            self._before = dropped.checkpoint
