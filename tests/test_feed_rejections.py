"""The log names what relays sent and was not used as it always has."""

import pytest

from badgerbend.feed import errors
from badgerbend.feed_subscription.rejections import describe_rejection


@pytest.mark.parametrize(
    ("error", "logged"),
    [
        (errors.MalformedMessageError("cut short"), "Malformed: cut short"),
        (errors.SignatureError(7), "BadSignature: revision 7 is not signed by the publisher"),
        (errors.TamperedChangesError(7), "TamperedChanges: revision 7: other changes than were signed"),
        (errors.DigestMismatchError(7), "DigestMismatch: revision 7: other content than was signed"),
        (errors.StaleEpochError(2, 3), "OldEpoch: epoch 2 after 3"),
        (errors.RevisionGapError(9, 7), "RevisionGap: revision 9 after 7"),
        (errors.OutOfSequenceError("a piece of no snapshot"), "OutOfSequence: a piece of no snapshot"),
        (errors.NoProgressError(9, 7), "NoProgress: revision 9 announced, 7 sent"),
    ],
)
def test_a_rejected_message_is_logged_under_a_stable_name(error, logged):
    assert describe_rejection("relay-1", error) == f"relay-1: {logged}"
