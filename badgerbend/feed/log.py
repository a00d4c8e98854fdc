"""The log of publications: the content at the last revision, and recent publications for replicas that lag slightly.

Compaction drops the oldest publications once there are too many or they use too many bytes. A replica that is behind
the oldest retained publication needs a snapshot. This module does no I/O.
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

# The checkpoint of the empty content at revision 0, before the first publication. It is not signed.
EMPTY_CHECKPOINT = Checkpoint(0, 0, Content().digest(), bytes(DIGEST_BYTES), bytes(SIGNATURE_BYTES))


@dataclass(frozen=True, slots=True)
class Retention:
    """The number and total size of publications that a log retains. The defaults cover an outage of minutes."""

    publications: int = 4096
    bytes: int = 16 * 1024 * 1024


NO_RETENTION = Retention(0, 0)


@dataclass(frozen=True, slots=True)
class RetainedPublication:
    """A publication as it is sent to followers, encoded once for all of them.

    end_offset: total size of all frames of the log up to and including this one.
    """

    checkpoint: Checkpoint
    frame: bytes
    end_offset: int


def changes_digest(changes: tuple[Change, ...]) -> bytes:
    """Return the digest by which a checkpoint identifies the changes that led to it."""
    return hash_bytes(encode_changes(changes))


class PublicationLog:
    """Content with its recent publications. Digests are checked here, and signatures in `feed.replica`."""

    def __init__(self, retention: Retention = NO_RETENTION) -> None:
        self.retention = retention
        self.content = Content()
        self.checkpoint = EMPTY_CHECKPOINT
        self._retained: deque[RetainedPublication] = deque()
        self._bytes = 0  # total size of the retained frames
        self._end_offset = 0  # total size of all frames so far
        self._base_checkpoint = EMPTY_CHECKPOINT  # the checkpoint before the oldest retained publication

    @property
    def revision(self) -> int:
        """The last revision."""
        return self.checkpoint.revision

    @property
    def epoch(self) -> int:
        """The epoch under which the last revision was published."""
        return self.checkpoint.epoch

    @property
    def oldest_revision(self) -> int:
        """The revision before the oldest retained publication."""
        return self._base_checkpoint.revision

    def append(self, publication: Publication) -> None:
        """Append the next publication.

        Raises RevisionGapError, StaleEpochError, TamperedChangesError or DigestMismatchError, and then changes nothing.
        """
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
        """Replace the content by that of a complete snapshot. Raises DigestMismatchError and then changes nothing."""
        if content.digest() != checkpoint.content_digest:
            raise DigestMismatchError(checkpoint.revision, of_snapshot=True)
        self.content = content
        self.checkpoint = checkpoint
        self._base_checkpoint = checkpoint
        self._retained.clear()
        self._bytes = 0

    def next_after(self, revision: int) -> RetainedPublication | None:
        """Return the publication after a revision, which must be `oldest_revision` or later."""
        index = revision - self.oldest_revision
        return self._retained[index] if index < len(self._retained) else None

    def bytes_after(self, revision: int) -> int:
        """Return the size of the publications after a revision, which must be `oldest_revision` or later."""
        index = revision - self.oldest_revision
        if index >= len(self._retained):
            return 0
        following = self._retained[index]
        return self._end_offset - following.end_offset + len(following.frame)

    def checkpoint_at(self, revision: int) -> Checkpoint | None:
        """Return the checkpoint of a retained revision, or None for any other revision."""
        if revision == self.oldest_revision:
            return self._base_checkpoint
        index = revision - self.oldest_revision - 1
        return self._retained[index].checkpoint if 0 <= index < len(self._retained) else None

    def digest_at(self, revision: int) -> bytes | None:
        """Return the digest of the content at a retained revision, or None for any other revision."""
        checkpoint = self.checkpoint_at(revision)
        return None if checkpoint is None else checkpoint.content_digest

    def _retain(self, publication: Publication) -> None:
        if not self.retention.publications:
            self._base_checkpoint = publication.checkpoint
            return
        data = encode_frame(publication)
        self._bytes += len(data)
        self._end_offset += len(data)
        self._retained.append(RetainedPublication(publication.checkpoint, data, self._end_offset))
        while len(self._retained) > self.retention.publications or self._bytes > self.retention.bytes:
            dropped = self._retained.popleft()
            self._bytes -= len(dropped.frame)
            self._base_checkpoint = dropped.checkpoint
