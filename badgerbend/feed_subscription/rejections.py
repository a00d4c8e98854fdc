"""How the log names the reason why something that a relay sent was not used.

The names are part of the log's format, so they are stated here and do not follow the names of the error classes.
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
    """Return the log's text: the relay, the kind of error and its message."""
    kind = LOGGED_NAMES.get(type(error), type(error).__name__)
    return f"{relay}: {kind}: {error}"
