"""Send windows, eviction of slow followers, and rate limiting of snapshots."""

from badgerbend.feed.log import Retention
from badgerbend.feed.relay_types import RelayTuning
from tests.feed_harness import change, full_harness, new_harness


def test_a_stalled_follower_has_at_most_a_window_in_flight_and_is_evicted():
    harness = new_harness(send_window=10_000, stall_timeout=3.0)
    harness.follower("slow", heartbeat_timeout=20.0)
    fast = harness.follower("fast")
    harness.stalled.add("slow")
    for value in range(100):
        harness.publish(change("a", str(value) * 500))
    buffered_bytes = sum(len(data) for _, data in harness.buffered["slow"])
    assert buffered_bytes < 10_000 + 3_000
    assert fast.log.checkpoint == harness.relay.log.checkpoint
    harness.pass_time(5.0)
    assert ("slow", "send window full for too long") in harness.closed
    harness.resume("slow")
    harness.pass_time(3.0)
    assert harness.followers["slow"].log.checkpoint == harness.relay.log.checkpoint


def test_a_follower_behind_compaction_is_sent_nothing_while_its_window_is_full():
    harness = new_harness()
    harness.control.machine.log.retention = Retention(publications=4)
    harness.follower("a")
    before = harness.sent_bytes["a"]
    harness.publish(change("node/1", "x" * 1000))
    size = harness.sent_bytes["a"] - before
    harness.relay.tuning = RelayTuning(send_window=2 * size + 1)  # the third frame of this size fills the window
    harness.sent_bytes.clear()
    harness.stalled.add("a")
    for value in range(10):
        harness.publish(change("node/1", "x" * 999 + str(value)))
    assert harness.sent_bytes["a"] == 3 * size
    harness.resume("a")
    harness.pass_time(1.0)
    assert harness.followers["a"].log.checkpoint == harness.relay.log.checkpoint
    assert harness.relay.snapshots_started == 1


def test_snapshots_that_complete_together_behind_compaction_are_started_again():
    harness = full_harness(retention=Retention(publications=1), snapshot_burst_bytes=100, snapshot_bytes_per_second=100)
    followers = [harness.follower(name) for name in ("a", "b")]
    for value in range(3):
        harness.publish(change("node/1", str(value)))
    harness.relay.tuning = RelayTuning()  # both snapshots can now be sent completely in one turn
    harness.pass_time(1.0)
    assert all(f.log.checkpoint == harness.relay.log.checkpoint for f in followers)


def test_a_slow_follower_gets_all_publications_in_order():
    harness = new_harness(send_window=2_000)
    slow = harness.follower("slow")
    harness.stalled.add("slow")
    for value in range(40):
        harness.publish(change("a", str(value) * 100))
    harness.resume("slow")
    assert [i.revision for i in harness.installed["slow"]] == list(range(1, 41))
    assert slow.log.checkpoint == harness.relay.log.checkpoint


def test_snapshots_share_one_image_and_are_limited_in_number():
    harness = full_harness(retention=Retention(publications=1), max_concurrent_snapshots=3)
    images = set()
    for number in range(10):
        harness.stalled.add(f"f{number}")
        harness.follower(f"f{number}")
    images = {id(s.image) for s in harness.relay.sessions.values() if s.image is not None}
    assert harness.relay.snapshots_started <= 3 + sum(s.image is None for s in harness.relay.sessions.values())
    assert len(images) <= 1
    for number in range(10):
        harness.resume(f"f{number}")
    harness.pass_time(1.0)
    assert all(f.log.checkpoint == harness.relay.log.checkpoint for f in harness.followers.values())


def test_snapshots_are_limited_in_bytes_per_second():
    harness = full_harness(
        retention=Retention(publications=1), snapshot_bytes_per_second=20_000, snapshot_burst_bytes=10_000
    )
    for number in range(8):
        harness.follower(f"f{number}")
    first = sum(harness.sent_bytes.values())
    harness.pass_time(1.0)
    second = sum(harness.sent_bytes.values())
    image = harness.relay.transfers.cache.image_for(harness.relay.log, harness.relay.tuning.max_image_lag)
    image_bytes = sum(len(image.piece_frame(index)) for index in range(image.piece_count))
    assert first <= 10_000 + image_bytes + 2_000
    assert second - first <= 20_000 + image_bytes + 2_000
    harness.pass_time(8 * image_bytes / 20_000 + 2.0)
    assert all(f.log.checkpoint == harness.relay.log.checkpoint for f in harness.followers.values())


def test_a_snapshot_completed_by_the_completion_of_another_is_not_continued():
    """Completing one transfer may complete another one, which must not be continued afterwards.

    Compaction has dropped the publications after the first snapshot. When that snapshot is complete, its follower is
    queued for another one, and this run of the queue also completes the second snapshot.
    """
    harness = full_harness(
        Retention(publications=2), max_concurrent_snapshots=2, snapshot_burst_bytes=1, snapshot_bytes_per_second=1
    )
    harness.publish(change("node/1", "ready"))
    first = harness.follower("a")
    for i in range(4):
        harness.publish(change("node/1", f"draining {i}"))
    second = harness.follower("b")
    assert [harness.relay.snapshots_started, first.log.revision, second.log.revision] == [2, 0, 0]
    harness.relay.tuning = RelayTuning()
    harness.pass_time(1.0)
    for follower in (first, second):
        assert follower.log.checkpoint == harness.relay.log.checkpoint


def test_queued_snapshots_begin_once_all_transfers_have_completed_together():
    # They waited for ever: no transfer was left whose progress would have begun the next one.
    harness = full_harness(
        retention=Retention(publications=1),
        max_concurrent_snapshots=2,
        snapshot_burst_bytes=1,
        snapshot_bytes_per_second=1,
    )
    followers = [harness.follower(f"f{number}") for number in range(7)]
    assert harness.relay.snapshots_started == 2
    harness.relay.tuning = RelayTuning(max_concurrent_snapshots=2)  # both can now be sent completely in one turn
    harness.pass_time(1.0)
    assert all(follower.log.checkpoint == harness.relay.log.checkpoint for follower in followers)
    assert harness.relay.snapshots_started == 7


def test_a_connection_without_a_hello_is_evicted():
    harness = new_harness(hello_timeout=2.0)
    harness.relay.opened(0.0, 99)
    harness.sessions[99] = "nobody"
    harness.follower("nobody", start=False)
    harness.pass_time(4.0)
    assert ("nobody", "no hello received") in harness.closed


def test_a_follower_that_lacks_more_bytes_than_the_content_has_receives_a_snapshot():
    harness = new_harness(send_window=1_000)
    harness.follower("a")
    harness.publish(change("a", "x" * 900))
    harness.disconnect("a")
    for value in range(5):
        harness.publish(change("a", str(value) * 900))
    harness.pass_time(1.0)
    assert harness.relay.snapshots_started == 1
    assert len(harness.installed["a"]) == 2
    assert harness.followers["a"].log.checkpoint == harness.relay.log.checkpoint
