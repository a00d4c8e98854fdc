"""Replication from a relay to followers: snapshots, resumption and damaged replicas."""

from badgerbend.feed.errors import (
    DigestMismatchError,
)
from badgerbend.feed.log import PublicationLog, Retention
from tests.feed_harness import FULL_NODE_COUNT, Control, change, entries, full_harness, new_harness


def test_a_new_follower_gets_a_snapshot_and_then_each_change():
    harness = full_harness(retention=Retention(publications=1))
    follower = harness.follower("a")
    assert follower.log.content.digest() == harness.relay.log.content.digest()
    assert len(harness.installed["a"]) == 1
    assert len(harness.installed["a"][0].changes) == FULL_NODE_COUNT
    harness.publish(change("node/7", None))
    assert harness.installed["a"][1].changes == (change("node/7", None),)
    assert follower.log.checkpoint == harness.relay.log.checkpoint
    assert harness.relay.snapshots_started == 1


def test_a_follower_resumes_from_its_revision_without_a_snapshot():
    harness = full_harness()
    follower = harness.follower("a")
    started, sent = harness.relay.snapshots_started, harness.sent_bytes["a"]
    harness.disconnect("a")
    for value in range(300):
        harness.publish(change("configuration/a", str(value)))
    harness.pass_time(2.0)
    assert follower.log.checkpoint == harness.relay.log.checkpoint
    assert harness.relay.snapshots_started == started
    assert [i.revision for i in harness.installed["a"]][-300:] == list(
        range(harness.relay.log.revision - 299, harness.relay.log.revision + 1)
    )
    assert harness.sent_bytes["a"] - sent < 300 * 400


def test_a_follower_behind_compaction_gets_a_snapshot():
    harness = full_harness(retention=Retention(publications=10))
    follower = harness.follower("a")
    harness.disconnect("a")
    started = harness.relay.snapshots_started
    for value in range(50):
        harness.publish(change("configuration/a", str(value)))
    harness.pass_time(2.0)
    assert follower.log.checkpoint == harness.relay.log.checkpoint
    assert harness.relay.snapshots_started == started + 1
    assert harness.installed["a"][-1].changes == (change("configuration/a", "49"),)


def test_a_snapshot_of_empty_content_is_complete_without_pieces():
    harness = new_harness()
    harness.publish(change("a", "1"))
    harness.publish(change("a", None))
    follower = harness.follower("late")
    assert follower.log.checkpoint == harness.relay.log.checkpoint
    assert harness.relay.snapshots_started == 1
    harness.publish(change("b", "1"))
    assert entries(follower.log) == {"b": b"1"}
    assert harness.rejected["late"] == []


def test_a_later_change_wins_over_a_snapshot_of_earlier_content():
    harness = full_harness(retention=Retention(publications=100), send_window=60_000)
    harness.stalled.add("a")
    follower = harness.follower("a")
    harness.publish(change("node/5", "draining"))
    assert follower.log.revision == 0
    harness.resume("a")
    assert follower.log.content.get("node/5") == b"draining"
    harness.publish(change("node/6", "draining"))
    assert follower.log.checkpoint == harness.relay.log.checkpoint


def test_two_changes_of_one_key_in_one_batch():
    harness = new_harness()
    follower = harness.follower("a")
    harness.publish(change("node/1", "ready"), change("node/1", "draining"))
    harness.publish(change("node/2", "ready"), change("node/2", None))
    assert entries(follower.log) == {"node/1": b"draining"}
    assert follower.log.checkpoint == harness.relay.log.checkpoint


def test_a_damaged_replica_is_replaced_by_a_snapshot():
    harness = new_harness()
    follower = harness.follower("a")
    harness.publish(change("node/1", "ready"), change("node/2", "ready"))
    follower.log.content.apply([change("node/1", "flipped")])
    harness.publish(change("node/3", "ready"))
    assert [type(error) for error in harness.rejected["a"]] == [DigestMismatchError]
    harness.pass_time(1.0)
    assert follower.log.checkpoint == harness.relay.log.checkpoint
    assert follower.log.content.digest() == harness.relay.log.content.digest()
    assert harness.relay.snapshots_started == 1


def test_a_damaged_replica_is_replaced_on_resumption_without_a_new_publication():
    harness = new_harness()
    follower = harness.follower("a")
    harness.publish(change("node/1", "ready"), change("node/2", "ready"))
    harness.disconnect("a")
    follower.log.content.apply([change("node/1", "flipped")])
    harness.pass_time(2.0)
    assert entries(follower.log) == {"node/1": b"ready", "node/2": b"ready"}
    assert harness.rejected["a"] == []
    assert harness.relay.snapshots_started == 1


def test_an_image_older_than_a_followers_replica_is_not_sent_to_it():
    harness = full_harness(retention=Retention(publications=3))
    harness.publish(change("node/1", "one"))
    harness.publish(change("node/1", "two"))
    follower = harness.follower("a")  # its snapshot caches an image of this revision
    harness.publish(change("node/1", "three"))
    harness.disconnect("a")
    follower.log.content.apply([change("node/2", "flipped")])
    harness.pass_time(2.0)
    assert harness.rejected["a"] == []
    assert harness.relay.snapshots_started == 2
    assert follower.log.content.digest() == harness.relay.log.content.digest()


def test_a_damaged_replica_ahead_of_its_relay_waits_for_a_later_revision():
    harness = new_harness()
    follower = harness.follower("a")
    harness.publish(change("a", "1"))
    harness.publish(change("a", "2"))
    harness.disconnect("a")
    follower.log.content.apply([change("a", "flipped")])
    newest, harness.relay.log = harness.relay.log, PublicationLog(Retention())
    harness.pass_time(2.0)
    assert harness.rejected["a"] == []
    assert follower.log.revision == 2
    harness.relay.log = newest
    harness.publish(change("b", "3"))
    assert entries(follower.log) == {"a": b"2", "b": b"3"}


def test_an_earlier_revision_is_not_followed():
    harness = new_harness()
    follower = harness.follower("a")
    for value in range(5):
        harness.publish(change("a", str(value)))
    restored = Control()
    epoch = restored.grant()
    while epoch <= harness.control.machine.log.epoch:
        epoch = restored.grant()
    harness.disconnect("a")
    harness.control, harness.relay.log = restored, restored.machine.log
    harness.publish(change("a", "of a backup"))
    harness.pass_time(2.0)
    assert follower.log.revision == 5
    assert entries(follower.log) == {"a": b"4"}
    assert follower.age_s(harness.now) >= 2.0  # the age of a relay at another revision does not apply to the replica
    for value in range(5):
        harness.publish(change("a", f"anew {value}"))
    harness.pass_time(2.0)
    assert follower.log.checkpoint == restored.machine.log.checkpoint
    # The new publisher's revision 5 replaces that of the old publisher, which is no longer served.
    assert [i.revision for i in harness.installed["a"]] == [1, 2, 3, 4, 5, 5, 6]
    assert follower.age_s(harness.now) <= 1.0
