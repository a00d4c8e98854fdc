"""Errors of the feed: one class for each reason to reject received data, with the values that explain it."""

from __future__ import annotations


class FeedError(Exception):
    """Base class: received data cannot be used; the text says what and why."""


class MalformedMessageError(FeedError):
    """Bytes that are not a valid message of this protocol version, or that exceed a limit of the protocol."""


class SignatureError(FeedError):
    """The signature of a publication or snapshot is not the publisher's."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"revision {revision} is not signed by the publisher")
        self.revision = revision


class TamperedChangesError(FeedError):
    """The changes of a publication differ from those that the publisher signed."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"revision {revision}: the changes differ from the signed ones")
        self.revision = revision


class DigestMismatchError(FeedError):
    """The content after a publication or snapshot differs from what the publisher signed."""

    def __init__(self, revision: int, *, of_snapshot: bool = False) -> None:
        subject = "snapshot of revision" if of_snapshot else "revision"
        super().__init__(f"{subject} {revision}: the content differs from the signed one")
        self.revision = revision
        self.of_snapshot = of_snapshot


class StaleEpochError(FeedError):
    """A publication or snapshot of a publisher whose lease has ended."""

    def __init__(self, received_epoch: int, current_epoch: int, *, of_snapshot: bool = False) -> None:
        subject = "a snapshot of epoch" if of_snapshot else "epoch"
        super().__init__(f"{subject} {received_epoch} received after epoch {current_epoch}")
        self.received_epoch = received_epoch
        self.current_epoch = current_epoch
        self.of_snapshot = of_snapshot


class RevisionGapError(FeedError):
    """A publication whose revision is not the one after the current revision."""

    def __init__(self, received_revision: int, current_revision: int) -> None:
        super().__init__(f"revision {received_revision} received after revision {current_revision}")
        self.received_revision = received_revision
        self.current_revision = current_revision


class OutOfSequenceError(FeedError):
    """A message that is not allowed in the current state of the connection or of the replica.

    received, expected: the index of a piece or the revision of a snapshot, if the message has one.
    """

    def __init__(self, text: str, *, received: int | None = None, expected: int | None = None) -> None:
        super().__init__(text)
        self.received = received
        self.expected = expected


class NoProgressError(FeedError):
    """A relay has announced a revision without sending the publications or the snapshot that lead to it."""

    def __init__(self, announced_revision: int, current_revision: int) -> None:
        super().__init__(f"revision {announced_revision} was announced, but only revision {current_revision} was sent")
        self.announced_revision = announced_revision
        self.current_revision = current_revision


class PublicationTooLargeError(FeedError):
    """A publication that exceeds the size or the number of changes that the log accepts."""

    def __init__(self, size_bytes: int, limit_bytes: int) -> None:
        super().__init__(f"a publication of {size_bytes} bytes exceeds the limit of {limit_bytes} bytes")
        self.size_bytes = size_bytes
        self.limit_bytes = limit_bytes


class PartMismatchError(FeedError):
    """The signed epoch or revision of a publication differs from that of the commands that carried it."""

    def __init__(self, part_epoch: int, part_revision: int) -> None:
        super().__init__("a publication whose epoch or revision differs from that of its parts")
        self.part_epoch = part_epoch
        self.part_revision = part_revision
