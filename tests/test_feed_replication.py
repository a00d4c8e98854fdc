"""Follower and relay: snapshots, resumption, and damaged replicas."""

from badgerbend.feed.errors import (
    DigestMismatchError,
)
from badgerbend.feed.log import PublicationLog, Retention
from tests.feed_stage import MANY, Control, change, entries, full_stage, new_stage


def test_a_new_follower_gets_a_snapshot_and_then_each_change():
    stage = full_stage(retention=Retention(publications=1))
    follower = stage.follower("a")
    assert follower.log.content.digest() == stage.relay.log.content.digest()
    assert len(stage.installed["a"]) == 1
    assert len(stage.installed["a"][0].changes) == MANY
    stage.publish(change("node/7", None))
    assert stage.installed["a"][1].changes == (change("node/7", None),)
    assert follower.log.checkpoint == stage.relay.log.checkpoint
    assert stage.relay.snapshots_started == 1


def test_a_follower_resumes_from_its_revision_without_a_snapshot():
    stage = full_stage()
    follower = stage.follower("a")
    begun, sent = stage.relay.snapshots_started, stage.sent_bytes["a"]
    stage.disconnect("a")
    for value in range(300):
        stage.publish(change("configuration/a", str(value)))
    stage.pass_time(2.0)
    assert follower.log.checkpoint == stage.relay.log.checkpoint
    assert stage.relay.snapshots_started == begun
    assert [i.revision for i in stage.installed["a"]][-300:] == list(
        range(stage.relay.log.revision - 299, stage.relay.log.revision + 1)
    )
    assert stage.sent_bytes["a"] - sent < 300 * 400


def test_a_follower_behind_the_compaction_gets_a_snapshot():
    stage = full_stage(retention=Retention(publications=10))
    follower = stage.follower("a")
    stage.disconnect("a")
    begun = stage.relay.snapshots_started
    for value in range(50):
        stage.publish(change("configuration/a", str(value)))
    stage.pass_time(2.0)
    assert follower.log.checkpoint == stage.relay.log.checkpoint
    assert stage.relay.snapshots_started == begun + 1
    assert stage.installed["a"][-1].changes == (change("configuration/a", "49"),)


def test_a_snapshot_of_empty_content_is_complete_at_once():
    stage = new_stage()
    stage.publish(change("a", "1"))
    stage.publish(change("a", None))
    follower = stage.follower("late")
    assert follower.log.checkpoint == stage.relay.log.checkpoint
    assert stage.relay.snapshots_started == 1
    stage.publish(change("b", "1"))
    assert entries(follower.log) == {"b": b"1"}
    assert stage.rejected["late"] == []


def test_a_later_change_wins_over_a_snapshot_of_earlier_content():
    stage = full_stage(retention=Retention(publications=100), send_window=60_000)
    stage.stalled.add("a")
    follower = stage.follower("a")
    stage.publish(change("node/5", "draining"))
    assert follower.log.revision == 0
    stage.resume("a")
    assert follower.log.content.get("node/5") == b"draining"
    stage.publish(change("node/6", "draining"))
    assert follower.log.checkpoint == stage.relay.log.checkpoint


def test_two_changes_of_one_key_in_one_batch():
    stage = new_stage()
    follower = stage.follower("a")
    stage.publish(change("node/1", "ready"), change("node/1", "draining"))
    stage.publish(change("node/2", "ready"), change("node/2", None))
    assert entries(follower.log) == {"node/1": b"draining"}
    assert follower.log.checkpoint == stage.relay.log.checkpoint


def test_a_damaged_replica_is_replaced_by_a_snapshot():
    stage = new_stage()
    follower = stage.follower("a")
    stage.publish(change("node/1", "ready"), change("node/2", "ready"))
    follower.log.content.apply([change("node/1", "flipped")])
    stage.publish(change("node/3", "ready"))
    assert [type(error) for error in stage.rejected["a"]] == [DigestMismatchError]
    stage.pass_time(1.0)
    assert follower.log.checkpoint == stage.relay.log.checkpoint
    assert follower.log.content.digest() == stage.relay.log.content.digest()
    assert stage.relay.snapshots_started == 1


def test_a_damaged_replica_is_replaced_on_resumption_without_a_new_publication():
    stage = new_stage()
    follower = stage.follower("a")
    stage.publish(change("node/1", "ready"), change("node/2", "ready"))
    stage.disconnect("a")
    follower.log.content.apply([change("node/1", "flipped")])
    stage.pass_time(2.0)
    assert entries(follower.log) == {"node/1": b"ready", "node/2": b"ready"}
    assert stage.rejected["a"] == []
    assert stage.relay.snapshots_started == 1


def test_an_image_older_than_a_followers_replica_is_not_sent_to_it():
    stage = full_stage(retention=Retention(publications=3))
    stage.publish(change("node/1", "one"))
    stage.publish(change("node/1", "two"))
    follower = stage.follower("a")  # with an image of this revision
    stage.publish(change("node/1", "three"))
    stage.disconnect("a")
    follower.log.content.apply([change("node/2", "flipped")])
    stage.pass_time(2.0)
    assert stage.rejected["a"] == []
    assert stage.relay.snapshots_started == 2
    assert follower.log.content.digest() == stage.relay.log.content.digest()


def test_a_damaged_replica_ahead_of_its_relay_waits_for_a_later_revision():
    stage = new_stage()
    follower = stage.follower("a")
    stage.publish(change("a", "1"))
    stage.publish(change("a", "2"))
    stage.disconnect("a")
    follower.log.content.apply([change("a", "flipped")])
    newest, stage.relay.log = stage.relay.log, PublicationLog(Retention())
    stage.pass_time(2.0)
    assert stage.rejected["a"] == []
    assert follower.log.revision == 2
    stage.relay.log = newest
    stage.publish(change("b", "3"))
    assert entries(follower.log) == {"a": b"2", "b": b"3"}


def test_an_earlier_revision_is_not_followed():
    stage = new_stage()
    follower = stage.follower("a")
    for value in range(5):
        stage.publish(change("a", str(value)))
    restored = Control()
    epoch = restored.grant()
    while epoch <= stage.control.machine.log.epoch:
        epoch = restored.grant()
    stage.disconnect("a")
    stage.control, stage.relay.log = restored, restored.machine.log
    stage.publish(change("a", "of a backup"))
    stage.pass_time(2.0)
    assert follower.log.revision == 5
    assert entries(follower.log) == {"a": b"4"}
    assert follower.age_s(stage.now) >= 2.0  # what this relay holds says nothing of the replica
    for value in range(5):
        stage.publish(change("a", f"anew {value}"))
    stage.pass_time(2.0)
    assert follower.log.checkpoint == restored.machine.log.checkpoint
    # the new publisher's revision 5 replaces that of the old one, which nobody publishes any more
    assert [i.revision for i in stage.installed["a"]] == [1, 2, 3, 4, 5, 5, 6]
    assert follower.age_s(stage.now) <= 1.0
