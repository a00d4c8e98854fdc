"""Reasons to reject data from relays keep their names in the log, which operators may search for."""

import pytest

from badgerbend.feed import errors
from badgerbend.feed_subscription.rejections import describe_rejection


@pytest.mark.parametrize(
    ("error", "logged"),
    [
        (errors.MalformedMessageError("truncated"), "Malformed: truncated"),
        (errors.SignatureError(7), "BadSignature: revision 7 is not signed by the publisher"),
        (errors.TamperedChangesError(7), "TamperedChanges: the changes of revision 7 differ from the signed ones"),
        (errors.DigestMismatchError(7), "DigestMismatch: the content of revision 7 differs from the signed one"),
        (errors.StaleEpochError(2, 3), "OldEpoch: received epoch 2 after epoch 3"),
        (errors.RevisionGapError(9, 7), "RevisionGap: received revision 9 after revision 7"),
        (
            errors.OutOfSequenceError("received a piece without the start of a snapshot"),
            "OutOfSequence: received a piece without the start of a snapshot",
        ),
        (errors.NoProgressError(9, 7), "NoProgress: the relay announced revision 9 but has sent only revision 7"),
    ],
)
def test_a_rejected_message_is_logged_under_a_stable_name(error, logged):
    assert describe_rejection("relay-1", error) == f"relay-1: {logged}"
