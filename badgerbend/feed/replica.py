"""A follower's verified replica of the feed.

Only verified data becomes part of the replica. A publication is applied completely or not at all. A snapshot replaces
the content only once all of its pieces have been received and its digest matches the signed one. The revision never
decreases. This module does no I/O.
"""

from __future__ import annotations

from badgerbend.feed.errors import DigestMismatchError, OutOfSequenceError, SignatureError, StaleEpochError
from badgerbend.feed.log import PublicationLog, Retention
from badgerbend.feed.messages import Change, Checkpoint, Publication, SnapshotBegin, SnapshotPiece
from badgerbend.feed.signature import Verifier
from badgerbend.feed.snapshot import SnapshotAssembly

Changes = tuple[Change, ...]


class Replica:
    """The replica. Methods that handle a message return the changes to install, or None if the content is unchanged."""

    def __init__(self, verifier: Verifier, retention: Retention) -> None:
        self.verifier = verifier
        self.log = PublicationLog(retention)
        self.is_damaged = False  # the content differs from the signed one, which only a snapshot repairs
        self.assembly: SnapshotAssembly | None = None  # the snapshot that is being received

    def check_integrity(self) -> bytes:
        """Compare the content with its checkpoint and note any damage. Returns the digest of the content."""
        digest = self.log.content.digest()
        self.is_damaged = self.is_damaged or digest != self.log.checkpoint.content_digest
        return digest

    def discard_assembly(self) -> None:
        """Discard the pieces of an incomplete snapshot."""
        self.assembly = None

    def apply_publication(self, publication: Publication) -> Changes | None:
        """Append a publication. Raises FeedError, and then leaves the content unchanged."""
        if self.assembly is not None:
            raise OutOfSequenceError("received a publication during a snapshot")
        if publication.checkpoint.revision <= self.log.revision:
            return None  # a duplicate
        self._verify(publication.checkpoint)
        try:
            self.log.append(publication)
        except DigestMismatchError:
            self.is_damaged = True
            raise
        return publication.changes

    def begin_snapshot(self, message: SnapshotBegin) -> Changes | None:
        """Start to assemble a snapshot. Raises FeedError, and then leaves the content unchanged."""
        checkpoint = message.checkpoint
        if self.assembly is not None or not self._can_be_replaced_by(checkpoint):
            text = f"received a snapshot of revision {checkpoint.revision} at revision {self.log.revision}"
            raise OutOfSequenceError(text, received=checkpoint.revision, expected=self.log.revision)
        self._verify(checkpoint)
        if checkpoint.epoch < self.log.epoch:
            raise StaleEpochError(checkpoint.epoch, self.log.epoch, of_snapshot=True)
        self.assembly = SnapshotAssembly(message)
        return self._install_complete_snapshot()  # a snapshot of empty content has no pieces

    def add_snapshot_piece(self, message: SnapshotPiece) -> Changes | None:
        """Add a piece to the snapshot. Raises FeedError, and then leaves the content unchanged."""
        if self.assembly is None:
            raise OutOfSequenceError("received a piece without the start of a snapshot", received=message.index)
        self.assembly.add(message)
        return self._install_complete_snapshot()

    def _can_be_replaced_by(self, checkpoint: Checkpoint) -> bool:
        """Whether a snapshot of this checkpoint advances the replica or repairs it."""
        if checkpoint.revision == self.log.revision:
            return self.is_damaged or checkpoint.epoch > self.log.epoch
        return checkpoint.revision > self.log.revision

    def _install_complete_snapshot(self) -> Changes | None:
        assembly = self.assembly
        if assembly is None or not assembly.complete:
            return None
        changes = self.log.content.changes_to(assembly.content)
        self.log.install_snapshot(assembly.content, assembly.checkpoint)
        self.assembly = None
        self.is_damaged = False
        return changes

    def _verify(self, checkpoint: Checkpoint) -> None:
        if not self.verifier.verify(checkpoint.signed_bytes(), checkpoint.signature):
            raise SignatureError(checkpoint.revision)
