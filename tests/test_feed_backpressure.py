"""Send windows, eviction of slow followers, and the pace of snapshots."""

from badgerbend.feed.log import Retention
from badgerbend.feed.relay_types import RelayTuning
from tests.feed_stage import change, full_stage, new_stage


def test_a_stalled_follower_has_at_most_a_window_in_flight_and_is_evicted():
    stage = new_stage(send_window=10_000, stall_timeout=3.0)
    stage.follower("slow", heartbeat_timeout=20.0)
    fast = stage.follower("fast")
    stage.stalled.add("slow")
    for value in range(100):
        stage.publish(change("a", str(value) * 500))
    held = sum(len(data) for _, data in stage.buffered["slow"])
    assert held < 10_000 + 3_000
    assert fast.log.checkpoint == stage.relay.log.checkpoint
    stage.pass_time(5.0)
    assert ("slow", "takes nothing") in stage.closed
    stage.resume("slow")
    stage.pass_time(3.0)
    assert stage.followers["slow"].log.checkpoint == stage.relay.log.checkpoint


def test_a_follower_behind_the_compaction_with_a_full_window_is_sent_nothing_more():
    stage = new_stage()
    stage.control.machine.log.retention = Retention(publications=4)
    stage.follower("a")
    before = stage.sent_bytes["a"]
    stage.publish(change("node/1", "x" * 1000))
    size = stage.sent_bytes["a"] - before
    stage.relay.tuning = RelayTuning(send_window=2 * size + 1)  # the third frame of this size is the last that fits
    stage.sent_bytes.clear()
    stage.stalled.add("a")
    for value in range(10):
        stage.publish(change("node/1", "x" * 999 + str(value)))
    assert stage.sent_bytes["a"] == 3 * size
    stage.resume("a")
    stage.pass_time(1.0)
    assert stage.followers["a"].log.checkpoint == stage.relay.log.checkpoint
    assert stage.relay.snapshots_started == 1


def test_snapshots_that_end_together_behind_the_compaction_begin_anew():
    stage = full_stage(retention=Retention(publications=1), snapshot_burst_bytes=100, snapshot_bytes_per_second=100)
    followers = [stage.follower(name) for name in ("a", "b")]
    for value in range(3):
        stage.publish(change("node/1", str(value)))
    stage.relay.tuning = RelayTuning()  # now all of both may go out in one turn
    stage.pass_time(1.0)
    assert all(f.log.checkpoint == stage.relay.log.checkpoint for f in followers)


def test_a_slow_follower_gets_all_publications_in_order():
    stage = new_stage(send_window=2_000)
    slow = stage.follower("slow")
    stage.stalled.add("slow")
    for value in range(40):
        stage.publish(change("a", str(value) * 100))
    stage.resume("slow")
    assert [i.revision for i in stage.installed["slow"]] == list(range(1, 41))
    assert slow.log.checkpoint == stage.relay.log.checkpoint


def test_snapshots_share_one_image_and_are_limited_in_number():
    stage = full_stage(retention=Retention(publications=1), max_concurrent_snapshots=3)
    images = set()
    for number in range(10):
        stage.stalled.add(f"f{number}")
        stage.follower(f"f{number}")
    images = {id(s.image) for s in stage.relay.sessions.values() if s.image is not None}
    assert stage.relay.snapshots_started <= 3 + sum(s.image is None for s in stage.relay.sessions.values())
    assert len(images) <= 1
    for number in range(10):
        stage.resume(f"f{number}")
    stage.pass_time(1.0)
    assert all(f.log.checkpoint == stage.relay.log.checkpoint for f in stage.followers.values())


def test_snapshots_are_paced_in_bytes():
    stage = full_stage(
        retention=Retention(publications=1), snapshot_bytes_per_second=20_000, snapshot_burst_bytes=10_000
    )
    for number in range(8):
        stage.follower(f"f{number}")
    first = sum(stage.sent_bytes.values())
    stage.pass_time(1.0)
    second = sum(stage.sent_bytes.values())
    image = stage.relay.transfers.cache.image_for(stage.relay.log, stage.relay.tuning.max_image_lag)
    whole = sum(len(image.piece_frame(index)) for index in range(image.piece_count))
    assert first <= 10_000 + whole + 2_000
    assert second - first <= 20_000 + whole + 2_000
    stage.pass_time(8 * whole / 20_000 + 2.0)
    assert all(f.log.checkpoint == stage.relay.log.checkpoint for f in stage.followers.values())


def test_a_snapshot_completed_by_the_completion_of_another_is_not_continued():
    """Compaction passes the first snapshot's revision: at its end its follower queues again, and the second ends."""
    stage = full_stage(
        Retention(publications=2), max_concurrent_snapshots=2, snapshot_burst_bytes=1, snapshot_bytes_per_second=1
    )
    stage.publish(change("node/1", "ready"))
    first = stage.follower("a")
    for i in range(4):
        stage.publish(change("node/1", f"draining {i}"))
    second = stage.follower("b")
    assert [stage.relay.snapshots_started, first.log.revision, second.log.revision] == [2, 0, 0]
    stage.relay.tuning = RelayTuning()
    stage.pass_time(1.0)
    for follower in (first, second):
        assert follower.log.checkpoint == stage.relay.log.checkpoint


def test_a_connection_without_a_hello_is_evicted():
    stage = new_stage(hello_timeout=2.0)
    stage.relay.opened(0.0, 99)
    stage.sessions[99] = "nobody"
    stage.follower("nobody", start=False)
    stage.pass_time(4.0)
    assert ("nobody", "no hello") in stage.closed


def test_a_follower_behind_by_more_than_the_content_gets_a_paced_snapshot():
    stage = new_stage(send_window=1_000)
    stage.follower("a")
    stage.publish(change("a", "x" * 900))
    stage.disconnect("a")
    for value in range(5):
        stage.publish(change("a", str(value) * 900))
    stage.pass_time(1.0)
    assert stage.relay.snapshots_started == 1
    assert len(stage.installed["a"]) == 2
    assert stage.followers["a"].log.checkpoint == stage.relay.log.checkpoint
