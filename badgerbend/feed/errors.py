"""Why a part of the feed refuses something: one type for each reason."""

from __future__ import annotations


class FeedError(Exception):
    """Something that was received cannot be used; the text says what and why."""


class MalformedMessageError(FeedError):
    """Bytes that are no message of this version, or out of bounds."""


class SignatureError(FeedError):
    """A publication or a snapshot that the publisher did not sign."""


class TamperedChangesError(FeedError):
    """The changes of a publication are not those that the publisher signed."""


class DigestMismatchError(FeedError):
    """The content after a change is not what the publisher signed."""


class StaleEpochError(FeedError):
    """A publication of a publisher whose lease is over."""


class RevisionGapError(FeedError):
    """A publication that does not follow the revision held."""


class OutOfSequenceError(FeedError):
    """A message that has no place in the state of this connection."""


class NoProgressError(FeedError):
    """A relay that announces revisions and does not send them."""


class PublicationTooLargeError(FeedError):
    """A change that does not fit into one publication."""
