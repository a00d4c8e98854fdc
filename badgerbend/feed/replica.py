"""A follower's verified replica of the feed. Pure.

Nothing unverified ever becomes part of it: a publication is applied as a whole or not at all, a snapshot replaces the
content only once all of its pieces have arrived and its digest is the signed one, and the revision never goes back.
"""

from __future__ import annotations

from badgerbend.feed.errors import DigestMismatchError, OutOfSequenceError, SignatureError, StaleEpochError
from badgerbend.feed.log import PublicationLog, Retention
from badgerbend.feed.messages import Change, Checkpoint, Publication, SnapshotBegin, SnapshotPiece
from badgerbend.feed.signature import Verifier
from badgerbend.feed.snapshot import SnapshotAssembly

Changes = tuple[Change, ...]


class Replica:
    """Each method that receives a message returns the changes to install, or None where the content stays."""

    def __init__(self, verifier: Verifier, retention: Retention) -> None:
        self.verifier = verifier
        self.log = PublicationLog(retention)
        self.is_damaged = False  # the content differs from what the publisher signed: only a snapshot helps
        self.assembly: SnapshotAssembly | None = None  # a snapshot that is on its way

    def check_integrity(self) -> bytes:
        """Compare the content with its checkpoint, note damage, and return the digest of the content."""
        digest = self.log.content.digest()
        self.is_damaged = self.is_damaged or digest != self.log.checkpoint.content_digest
        return digest

    def discard_assembly(self) -> None:
        """Forget the pieces of a snapshot that is not complete."""
        self.assembly = None

    def apply_publication(self, publication: Publication) -> Changes | None:
        """Append a publication. Raises a FeedError that leaves the content as it was."""
        if self.assembly is not None:
            raise OutOfSequenceError("a publication amid a snapshot")
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
        """Start to assemble a snapshot. Raises a FeedError that leaves the content as it was."""
        checkpoint = message.checkpoint
        if self.assembly is not None or not self._can_be_replaced_by(checkpoint):
            text = f"a snapshot of revision {checkpoint.revision} at {self.log.revision}"
            raise OutOfSequenceError(text, received=checkpoint.revision, expected=self.log.revision)
        self._verify(checkpoint)
        if checkpoint.epoch < self.log.epoch:
            raise StaleEpochError(checkpoint.epoch, self.log.epoch, of_snapshot=True)
        self.assembly = SnapshotAssembly(message)
        return self._install_complete_snapshot()  # no piece follows for an empty content

    def add_snapshot_piece(self, message: SnapshotPiece) -> Changes | None:
        """Add a piece to the snapshot. Raises a FeedError that leaves the content as it was."""
        if self.assembly is None:
            raise OutOfSequenceError("a piece of no snapshot", received=message.index)
        self.assembly.add(message)
        return self._install_complete_snapshot()

    def _can_be_replaced_by(self, checkpoint: Checkpoint) -> bool:
        """Whether a snapshot of this checkpoint moves the replica forward, or repairs it."""
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
