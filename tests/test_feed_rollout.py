"""Summaries of relays, and the progress of a revision."""

from badgerbend.feed.framing import encode_frame
from tests.feed_harness import change, new_harness


def test_the_publisher_knows_who_has_applied_a_revision_and_who_lags():
    harness = new_harness()
    for number in range(30):
        harness.follower(f"f{number}")
    harness.publish(change("a", "1"))
    harness.pass_time(1.5)
    publisher = harness.control.publisher
    publisher.record_summary(harness.now, harness.relay.summary())
    progress = publisher.progress(harness.now, 1)
    assert (progress.followers, progress.applied, progress.laggards) == (30, 30, ())
    for number in range(20):
        harness.stalled.add(f"f{number}")
    harness.publish(change("a", "2"))
    harness.followers["f25"].rejected(harness.now, 2, "line 4: field `port`")
    harness.pass_time(1.5)
    publisher.record_summary(harness.now, harness.relay.summary())
    progress = publisher.progress(harness.now, 2)
    assert (progress.followers, progress.applied, progress.rejected) == (30, 10, 1)
    assert len(progress.laggards) == 16
    assert {laggard.applied_revision for laggard in progress.laggards} == {1}
    assert publisher.progress(harness.now + 60.0, 2).silent_relays == ("relay-1",)


def test_a_summary_has_a_bounded_size():
    harness = new_harness()
    for number in range(200):
        harness.follower("f" * 50 + str(number)).rejected(0.0, 1, "x" * 500)
    harness.pass_time(2.0)
    assert len(encode_frame(harness.relay.summary())) < 8_000
