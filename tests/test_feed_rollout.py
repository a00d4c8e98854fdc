"""Summaries of relays, and the progress of a revision."""

from badgerbend.feed.framing import encode_frame
from tests.feed_stage import change, new_stage


def test_the_publisher_knows_who_has_applied_a_revision_and_who_lags():
    stage = new_stage()
    for number in range(30):
        stage.follower(f"f{number}")
    stage.publish(change("a", "1"))
    stage.pass_time(1.5)
    publisher = stage.control.publisher
    publisher.record_summary(stage.now, stage.relay.summary())
    progress = publisher.progress(stage.now, 1)
    assert (progress.followers, progress.applied, progress.laggards) == (30, 30, ())
    for number in range(20):
        stage.stalled.add(f"f{number}")
    stage.publish(change("a", "2"))
    stage.followers["f25"].rejected(stage.now, 2, "line 4: field `port`")
    stage.pass_time(1.5)
    publisher.record_summary(stage.now, stage.relay.summary())
    progress = publisher.progress(stage.now, 2)
    assert (progress.followers, progress.applied, progress.rejected) == (30, 10, 1)
    assert len(progress.laggards) == 16
    assert {laggard.applied_revision for laggard in progress.laggards} == {1}
    assert publisher.progress(stage.now + 60.0, 2).silent_relays == ("relay-1",)


def test_a_summary_has_a_bounded_size():
    stage = new_stage()
    for number in range(200):
        stage.follower("f" * 50 + str(number)).rejected(0.0, 1, "x" * 500)
    stage.pass_time(2.0)
    assert len(encode_frame(stage.relay.summary())) < 8_000
