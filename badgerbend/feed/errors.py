"""Why a part of the feed refuses something: one type for each reason."""

from __future__ import annotations


class FeedError(Exception):
    """Something that was received cannot be used; the text says what and why."""


class Malformed(FeedError):
    """Bytes that are no message of this version, or out of bounds."""


class BadSignature(FeedError):
    """A publication or a snapshot that the publisher did not sign."""


class TamperedChanges(FeedError):
    """The changes of a publication are not those that the publisher signed."""


class DigestMismatch(FeedError):
    """The content after a change is not what the publisher signed."""


class OldEpoch(FeedError):
    """A publication of a publisher whose lease is over."""


class RevisionGap(FeedError):
    """A publication that does not follow the revision held."""


class OutOfSequence(FeedError):
    """A message that has no place in the state of this connection."""


class NoProgress(FeedError):
    """A relay that announces revisions and does not send them."""


class TooLarge(FeedError):
    """A change that does not fit into one publication."""
