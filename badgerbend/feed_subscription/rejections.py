"""Names in the log for the reasons to reject data that a relay sent.

The names are part of the log format. They are listed here so that they do not depend on the names of error classes.
"""

from __future__ import annotations

from badgerbend.feed import errors

LOGGED_NAMES: dict[type[errors.FeedError], str] = {
    errors.MalformedMessageError: "Malformed",
    errors.SignatureError: "BadSignature",
    errors.TamperedChangesError: "TamperedChanges",
    errors.DigestMismatchError: "DigestMismatch",
    errors.StaleEpochError: "OldEpoch",
    errors.RevisionGapError: "RevisionGap",
    errors.OutOfSequenceError: "OutOfSequence",
    errors.NoProgressError: "NoProgress",
}


def describe_rejection(relay: str, error: errors.FeedError) -> str:
    """Return the text for the log: the relay, the kind of error and its message."""
    kind = LOGGED_NAMES.get(type(error), type(error).__name__)
    return f"{relay}: {kind}: {error}"
