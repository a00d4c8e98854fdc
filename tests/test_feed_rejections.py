"""Reasons to reject data from relays keep their names in the log, which operators may search for."""

import pytest

from badgerbend.feed import errors
from badgerbend.feed_subscription.rejections import describe_rejection


@pytest.mark.parametrize(
    ("error", "logged"),
    [
        (errors.MalformedMessageError("truncated"), "Malformed: truncated"),
        (errors.SignatureError(7), "BadSignature: revision 7 is not signed by the publisher"),
        (errors.TamperedChangesError(7), "TamperedChanges: revision 7: the changes differ from the signed ones"),
        (errors.DigestMismatchError(7), "DigestMismatch: revision 7: the content differs from the signed one"),
        (errors.StaleEpochError(2, 3), "OldEpoch: epoch 2 received after epoch 3"),
        (errors.RevisionGapError(9, 7), "RevisionGap: revision 9 received after revision 7"),
        (
            errors.OutOfSequenceError("received a piece without the start of a snapshot"),
            "OutOfSequence: received a piece without the start of a snapshot",
        ),
        (errors.NoProgressError(9, 7), "NoProgress: revision 9 was announced, but only revision 7 was sent"),
    ],
)
def test_a_rejected_message_is_logged_under_a_stable_name(error, logged):
    assert describe_rejection("relay-1", error) == f"relay-1: {logged}"
