"""The log names what relays sent and was not used as it always has."""

import pytest

from badgerbend.feed import errors
from badgerbend.feed_subscription.rejections import describe_rejection


@pytest.mark.parametrize(
    ("error", "name"),
    [
        (errors.MalformedMessageError, "Malformed"),
        (errors.SignatureError, "BadSignature"),
        (errors.TamperedChangesError, "TamperedChanges"),
        (errors.DigestMismatchError, "DigestMismatch"),
        (errors.StaleEpochError, "OldEpoch"),
        (errors.RevisionGapError, "RevisionGap"),
        (errors.OutOfSequenceError, "OutOfSequence"),
        (errors.NoProgressError, "NoProgress"),
    ],
)
def test_a_rejected_message_is_logged_under_a_stable_name(error, name):
    assert describe_rejection("relay-1", error("revision 7")) == f"relay-1: {name}: revision 7"
