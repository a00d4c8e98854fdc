"""Errors of the feed: one type for each reason to reject what was received, with the values that led to it."""

from __future__ import annotations


class FeedError(Exception):
    """Something that was received cannot be used; the text says what and why."""


class MalformedMessageError(FeedError):
    """Bytes that do not decode to a message of this version, or that exceed a limit of the protocol."""


class SignatureError(FeedError):
    """A publication or a snapshot that the publisher did not sign."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"revision {revision} is not signed by the publisher")
        self.revision = revision


class TamperedChangesError(FeedError):
    """The changes of a publication differ from those that the publisher signed."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"revision {revision}: other changes than were signed")
        self.revision = revision


class DigestMismatchError(FeedError):
    """The content that a publication or a snapshot leads to differs from what the publisher signed."""

    def __init__(self, revision: int, *, of_snapshot: bool = False) -> None:
        subject = "snapshot of revision" if of_snapshot else "revision"
        super().__init__(f"{subject} {revision}: other content than was signed")
        self.revision = revision
        self.of_snapshot = of_snapshot


class StaleEpochError(FeedError):
    """A publication or a snapshot of a publisher whose lease is over."""

    def __init__(self, received_epoch: int, current_epoch: int, *, of_snapshot: bool = False) -> None:
        subject = "a snapshot of epoch" if of_snapshot else "epoch"
        super().__init__(f"{subject} {received_epoch} after {current_epoch}")
        self.received_epoch = received_epoch
        self.current_epoch = current_epoch
        self.of_snapshot = of_snapshot


class RevisionGapError(FeedError):
    """A publication that does not follow the current revision."""

    def __init__(self, received_revision: int, current_revision: int) -> None:
        super().__init__(f"revision {received_revision} after {current_revision}")
        self.received_revision = received_revision
        self.current_revision = current_revision


class OutOfSequenceError(FeedError):
    """A message that the state of the connection or of the replica does not allow.

    received and expected: the index of a piece or the revision of a snapshot, where the message has one.
    """

    def __init__(self, text: str, *, received: int | None = None, expected: int | None = None) -> None:
        super().__init__(text)
        self.received = received
        self.expected = expected


class NoProgressError(FeedError):
    """A relay announces a revision and does not send what leads to it."""

    def __init__(self, announced_revision: int, current_revision: int) -> None:
        super().__init__(f"revision {announced_revision} announced, {current_revision} sent")
        self.announced_revision = announced_revision
        self.current_revision = current_revision


class PublicationTooLargeError(FeedError):
    """A publication that exceeds the size or the number of changes that the log accepts."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"a publication of {size_bytes} bytes; {limit_bytes} at most")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class PartMismatchError(FeedError):
    """A publication whose signed epoch or revision differs from that of the commands that carried it."""

    def __init__(self, part_epoch: int, part_revision: int) -> None:
        super().__init__("a publication of another epoch or revision than its parts")
        self.part_epoch = part_epoch
        self.part_revision = part_revision
