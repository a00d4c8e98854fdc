"""The feed's pure cores: what is published, what a follower takes and refuses, what a relay holds back."""

import math
import zlib

import pytest

from badgerbend.consensus import messages as voting
from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import Snapshot
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.raft import RaftConfig
from badgerbend.feed.commands import split_publication
from badgerbend.feed.configuration import ActiveConfiguration, RejectedConfiguration, UnusableConfigurationError
from badgerbend.feed.content import Content
from badgerbend.feed.control import ControlNode, ControlTuning, Propose
from badgerbend.feed.errors import (
    DigestMismatchError,
    MalformedMessageError,
    NoProgressError,
    OutOfSequenceError,
    RevisionGapError,
    SignatureError,
    StaleEpochError,
    TamperedChangesError,
)
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import Connect, Disconnect, FollowerTuning, RelayAddress
from badgerbend.feed.framing import FRAME_HEADER, FrameReader, encode_frame
from badgerbend.feed.log import PublicationLog, Retention, changes_digest
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.messages import (
    Change,
    Checkpoint,
    Heartbeat,
    Publication,
    SnapshotBegin,
    SnapshotPiece,
    encode_changes,
    signed_bytes,
)
from badgerbend.feed.publisher import Publisher, PublisherTuning
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed.snapshot import SnapshotAssembly
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import GrantLease, encode
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import Voter
from tests.feed_stage import ADDRESS, SIGNER, VERIFIER, Control, Stage, change
from tests.replacing import replace_attribute

MANY = 3000
DEFAULT_RETENTION = Retention()


def stage(**tuning):
    control = Control()
    control.grant()
    return Stage(control, RelayTuning(**tuning))


def full_stage(retention=DEFAULT_RETENTION, **tuning):
    """A stage whose feed holds a list of many nodes."""
    control = Control(retention)
    control.grant()
    rows = [change(f"node/{i}", f"ready at 10.0.{i // 256}.{i % 256}:80 " + "x" * 40) for i in range(MANY)]
    made = Stage(control, RelayTuning(**tuning))
    made.publish(*rows[: MANY // 2])
    made.publish(*rows[MANY // 2 :])
    return made


def signed(log, epoch, *changes, revision=None):
    """A publication as the publisher would make it on top of a log."""
    revision = log.revision + 1 if revision is None else revision
    content, digest = log.content.digest_after(changes), changes_digest(changes)
    signature = SIGNER.sign(signed_bytes(epoch, revision, content, digest))
    return Publication(Checkpoint(epoch, revision, content, digest, signature), changes)


def entries(log):
    return dict(log.content.items())


# -- content and its digest


def test_equal_content_has_equal_digests_whatever_the_way():
    one, other = Content(), Content()
    one.apply([change("a", "1"), change("b", "2"), change("a", "3")])
    other.apply([change("c", "9"), change("b", "2"), change("a", "3"), change("c", None)])
    assert one.digest() == other.digest()
    other.apply([change("b", "20")])
    assert one.digest() != other.digest()


def test_keys_and_values_do_not_run_into_each_other():
    one, other = Content(), Content()
    one.apply([change("ab", "c")])
    other.apply([change("a", "bc")])
    assert one.digest() != other.digest()


def test_changes_are_undone_in_reverse_order():
    content = Content()
    content.apply([change("a", "1")])
    before = content.digest()
    undo = content.apply([change("a", "2"), change("a", None), change("b", "1"), change("a", "3")])
    content.apply(undo)
    assert content.digest() == before and dict(content.items()) == {"a": b"1"}


def test_the_difference_between_contents_leads_from_one_to_the_other():
    one, other = Content(), Content()
    one.apply([change("a", "1"), change("b", "2")])
    other.apply([change("b", "3"), change("c", "4")])
    one.apply(one.changes_to(other))
    assert one.digest() == other.digest() and dict(one.items()) == dict(other.items())


# -- frames


def test_frames_come_out_whole_however_they_are_cut():
    messages = [Heartbeat(1, n, 3) for n in range(5)]
    data = b"".join(encode_frame(message) for message in messages)
    reader = FrameReader()
    found = [message for at in range(len(data)) for message in reader.feed(data[at : at + 1])]
    assert found == messages


@pytest.mark.parametrize("damage", ["checksum", "length", "type"])
def test_a_damaged_frame_is_refused(damage):
    data = bytearray(encode_frame(Heartbeat(1, 2, 3)))
    if damage == "checksum":
        data[-1] ^= 1
    elif damage == "length":
        data[0] = 255
    else:
        body = b"\x91\x63"
        data = bytearray(FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body)
    with pytest.raises(MalformedMessageError):
        list(FrameReader().feed(bytes(data)))


def test_a_piece_that_unpacks_to_too_much_is_refused():
    begin = SnapshotBegin(PublicationLog().checkpoint, 1)
    with pytest.raises(MalformedMessageError):
        SnapshotAssembly(begin).add(SnapshotPiece(0, zlib.compress(bytes(4 * 1024 * 1024))))


# -- the log


def test_the_log_takes_only_what_follows():
    log = PublicationLog(Retention())
    log.append(signed(log, 5, change("a", "1")))
    with pytest.raises(RevisionGapError):
        log.append(signed(log, 5, change("a", "2"), revision=3))
    with pytest.raises(StaleEpochError):
        log.append(signed(log, 4, change("a", "2")))
    good = signed(log, 5, change("a", "2"))
    with pytest.raises(TamperedChangesError):
        log.append(Publication(good.checkpoint, (change("a", "other"),)))
    log.content.apply([change("b", "not published")])
    with pytest.raises(DigestMismatchError):
        log.append(good)
    assert log.revision == 1 and entries(log) == {"a": b"1", "b": b"not published"}


def test_compaction_keeps_as_many_publications_as_it_may():
    log = PublicationLog(Retention(publications=3))
    for value in range(10):
        log.append(signed(log, 1, change("a", str(value))))
    assert log.oldest_revision == 7
    assert [log.next_after(revision).checkpoint.revision for revision in (7, 8, 9)] == [8, 9, 10]
    assert log.next_after(10) is None
    assert log.digest_at(6) is None and log.digest_at(7) is not None
    assert log.digest_at(10) == log.content.digest()


def test_compaction_by_bytes():
    log = PublicationLog(Retention(bytes=2000))
    for value in range(10):
        log.append(signed(log, 1, change("a", str(value) * 500)))
    assert 0 < log.revision - log.oldest_revision <= 3


# -- the agreed log


def test_a_publication_needs_the_lease():
    control = Control()
    publication = signed(control.machine.log, 1, change("a", "1"))
    assert not any(control.command(part) for part in split_publication(publication))
    epoch = control.grant()
    assert [
        control.command(part) for part in split_publication(signed(control.machine.log, epoch, change("a", "1")))
    ] == [True]


def test_a_publisher_with_an_old_epoch_publishes_nothing():
    control = Control()
    old = control.grant()
    late = split_publication(signed(control.machine.log, old, change("a", "late")))
    new = control.grant(holder="control-2")
    assert new > old
    assert not any(control.command(part) for part in late)
    assert control.publish(0.0, change("a", "new")) == ()
    assert entries(control.machine.log) == {"a": b"new"} and control.machine.log.epoch == new


def test_a_large_publication_comes_in_parts_and_a_lost_part_leaves_nothing():
    control = Control()
    epoch = control.grant()
    parts = split_publication(signed(control.machine.log, epoch, change("a", "x" * 5000)))
    assert len(parts) > 5
    for part in parts[:2] + parts[3:]:
        assert not control.command(part)
    assert control.machine.log.revision == 0
    for part in parts:
        control.command(part)
    assert control.machine.log.revision == 1


def test_the_deposed_publishers_half_does_not_mix_with_the_new_ones():
    control = Control()
    old = control.grant()
    half = split_publication(signed(control.machine.log, old, change("a", "x" * 3000)))
    control.command(half[0])
    new = control.grant(holder="control-2")
    parts = split_publication(signed(control.machine.log, new, change("a", "y" * 3000)))
    taken = [control.command(part) for part in (parts[0], half[1], *parts[1:], *half[1:])]
    assert sum(taken) == 1 and entries(control.machine.log) == {"a": b"y" * 3000}


def test_the_machines_state_survives_dump_and_load_in_the_middle_of_a_publication():
    control = Control()
    epoch = control.grant()
    control.publish(0.0, change("a", "1"))
    parts = split_publication(signed(control.machine.log, epoch, change("b", "x" * 3000)))
    for part in parts[:-1]:
        control.command(part)
    called = []
    copy = FeedStateMachine(Retention(), lambda: called.append(True))
    copy.load(control.machine.dump())
    assert called and copy.dump() == control.machine.dump()
    copy.apply(99, parts[-1])
    control.command(parts[-1])
    assert copy.dump() == control.machine.dump() and copy.log.revision == 2
    assert copy.table.lease(PUBLISH_LEASE).epoch == epoch


def test_a_repeated_proposal_publishes_once():
    control = Control()
    epoch = control.grant()
    parts = split_publication(signed(control.machine.log, epoch, change("a", "1")))
    assert [control.command(part) for part in parts * 3] == [True, False, False]


# -- the publisher


def test_changes_whose_revision_another_publication_took_go_out_again():
    control = Control()
    epoch = control.grant()
    earlier = signed(control.machine.log, epoch, change("a", "proposed before the lease was lost and found again"))
    assert control.publisher.submit(0.0, [change("b", "accepted after")]) == ()
    control.publisher.tick(0.0)
    control.publisher.take_commands()
    for command in split_publication(earlier):  # the earlier proposal was late, and is the first to arrive
        control.command(command)
    control.publisher.log_advanced(0.0)
    control.pump(0.0)
    assert control.machine.log.revision == 2
    assert entries(control.machine.log) == {"a": earlier.changes[0].value, "b": b"accepted after"}


def test_a_bad_change_is_refused_with_its_whole_batch():
    control = Control(check=lambda change: "line 3: field `wait` is no number" if change.value == b"bad" else "")
    control.grant()
    problems = control.publish(0.0, change("configuration/a", "bad"), change("b", "1"))
    assert [(p.key, p.reason) for p in problems] == [("configuration/a", "line 3: field `wait` is no number")]
    assert control.machine.log.revision == 0


def test_a_change_larger_than_a_publication_is_refused():
    control = Control()
    control.grant()
    (problem,) = control.publish(0.0, Change("a", bytes(400_000)))
    assert "at most" in problem.reason


def test_changes_within_a_batch_go_out_together_and_the_later_one_stands():
    control = Control(tuning=PublisherTuning(batch_window=0.05))
    control.grant()
    control.publish(0.0, change("a", "1"))
    control.publish(0.04, change("a", "2"), change("b", "1"))
    assert control.machine.log.revision == 0
    control.pump(0.06)
    assert control.machine.log.revision == 1
    assert entries(control.machine.log) == {"a": b"2", "b": b"1"}


def test_a_lost_proposal_is_made_again():
    control = Control()
    control.grant()
    control.publisher.submit(0.0, [change("a", "1")])
    control.publisher.tick(0.0)
    assert control.publisher.take_commands()  # and lost
    control.pump(0.5)
    assert control.machine.log.revision == 0
    control.pump(1.1)
    assert control.machine.log.revision == 1


def test_a_proposal_that_does_not_come_about_is_repeated_less_and_less_often():
    control = Control(tuning=PublisherTuning(batch_window=0.0, retry_interval=1.0, max_retry_interval=8.0))
    control.grant()
    control.publisher.submit(0.0, [change("a", "1")])
    control.publisher.tick(0.0)
    repeated_at = []
    for _ in range(6):
        repeated_at.append(control.publisher.next_at)
        control.publisher.tick(control.publisher.next_at)
    assert repeated_at == [1.0, 3.0, 7.0, 15.0, 23.0, 31.0]


def test_a_deposed_publisher_gives_back_what_it_did_not_publish():
    control = Control()
    control.grant()
    control.publisher.submit(0.0, [change("a", "1")])
    control.publisher.tick(0.0)
    control.publisher.submit(0.0, [change("b", "2")])
    assert control.publisher.lease_lost() == (change("a", "1"), change("b", "2"))
    control.publisher.tick(5.0)
    assert len(control.publisher.take_commands()) == 0


def test_more_than_one_publication_of_changes_goes_out_one_after_the_other():
    made = full_stage()
    assert made.control.machine.log.revision >= 2
    assert len(made.control.machine.log.content) == MANY


# -- follower and relay


def test_a_new_follower_gets_the_content_and_then_each_change():
    made = full_stage(retention=Retention(publications=1))
    follower = made.follower("a")
    assert follower.log.content.digest() == made.relay.log.content.digest()
    assert len(made.installed["a"]) == 1 and len(made.installed["a"][0].changes) == MANY
    made.publish(change("node/7", None))
    assert made.installed["a"][1].changes == (change("node/7", None),)
    assert follower.log.checkpoint == made.relay.log.checkpoint
    assert made.relay.snapshots_started == 1


def test_a_follower_resumes_from_its_revision_without_a_snapshot():
    made = full_stage()
    follower = made.follower("a")
    begun, sent = made.relay.snapshots_started, made.sent_bytes["a"]
    made.disconnect("a")
    for value in range(300):
        made.publish(change("configuration/a", str(value)))
    made.pass_time(2.0)
    assert follower.log.checkpoint == made.relay.log.checkpoint
    assert made.relay.snapshots_started == begun
    assert [i.revision for i in made.installed["a"]][-300:] == list(
        range(made.relay.log.revision - 299, made.relay.log.revision + 1)
    )
    assert made.sent_bytes["a"] - sent < 300 * 400


def test_a_follower_behind_the_compaction_gets_a_snapshot():
    made = full_stage(retention=Retention(publications=10))
    follower = made.follower("a")
    made.disconnect("a")
    begun = made.relay.snapshots_started
    for value in range(50):
        made.publish(change("configuration/a", str(value)))
    made.pass_time(2.0)
    assert follower.log.checkpoint == made.relay.log.checkpoint
    assert made.relay.snapshots_started == begun + 1
    assert made.installed["a"][-1].changes == (change("configuration/a", "49"),)


def test_a_snapshot_of_nothing_is_whole_at_once():
    made = stage()
    made.publish(change("a", "1"))
    made.publish(change("a", None))
    follower = made.follower("late")
    assert follower.log.checkpoint == made.relay.log.checkpoint and made.relay.snapshots_started == 1
    made.publish(change("b", "1"))
    assert entries(follower.log) == {"b": b"1"} and made.rejected["late"] == []


def test_a_drain_wins_over_a_snapshot_of_earlier_content():
    made = full_stage(retention=Retention(publications=100), send_window=60_000)
    made.hold.add("a")
    follower = made.follower("a")
    made.publish(change("node/5", "draining"))
    assert follower.log.revision == 0
    made.release("a")
    assert follower.log.content.get("node/5") == b"draining"
    made.publish(change("node/6", "draining"))
    assert follower.log.checkpoint == made.relay.log.checkpoint


def test_two_changes_of_one_key_in_one_batch():
    made = stage()
    follower = made.follower("a")
    made.publish(change("node/1", "ready"), change("node/1", "draining"))
    made.publish(change("node/2", "ready"), change("node/2", None))
    assert entries(follower.log) == {"node/1": b"draining"}
    assert follower.log.checkpoint == made.relay.log.checkpoint


@pytest.mark.parametrize("lie", ["changes", "checkpoint", "frame"])
def test_a_relay_that_lies_is_left_and_changes_nothing(lie):
    made = stage()
    follower = made.follower("a")
    made.publish(change("node/1", "ready"))
    before = entries(follower.log)
    reader = FrameReader()

    def damage(data):
        (message,) = reader.feed(data)
        if not isinstance(message, Publication):
            return data
        if lie == "changes":
            return encode_frame(Publication(message.checkpoint, (change("node/1", "gone"),)))
        if lie == "checkpoint":
            forged = signed(PublicationLog(), 1, change("node/1", "gone")).checkpoint
            c = message.checkpoint
            return encode_frame(
                Publication(
                    Checkpoint(c.epoch, c.revision, forged.content_digest, c.changes_digest, c.signature),
                    message.changes,
                )
            )
        return data[:-1] + bytes([data[-1] ^ 1])

    made.damage = damage
    made.publish(change("node/1", "draining"))
    expected = {"changes": TamperedChangesError, "checkpoint": SignatureError, "frame": MalformedMessageError}[lie]
    assert [type(error) for error in made.rejected["a"]] == [expected]
    assert entries(follower.log) == before and follower.log.revision == 1
    made.damage = None
    made.pass_time(1.0)
    assert entries(follower.log) == {"node/1": b"draining"}  # it was the only relay there is


def test_half_a_frame_and_silence_is_left_for_another_try():
    made = stage()
    follower = made.follower("a", progress_timeout=2.0)
    made.damage = lambda data: data[: len(data) // 2]
    made.publish(change("node/1", "ready"))
    made.damage = lambda data: b""
    made.pass_time(4.5)
    made.damage = None
    made.pass_time(8.0)
    assert follower.log.checkpoint == made.relay.log.checkpoint
    assert follower.attempt > 1


def test_a_replica_that_was_damaged_is_replaced_by_a_snapshot():
    made = stage()
    follower = made.follower("a")
    made.publish(change("node/1", "ready"), change("node/2", "ready"))
    follower.log.content.apply([change("node/1", "flipped")])
    made.publish(change("node/3", "ready"))
    assert [type(error) for error in made.rejected["a"]] == [DigestMismatchError]
    made.pass_time(1.0)
    assert follower.log.checkpoint == made.relay.log.checkpoint
    assert follower.log.content.digest() == made.relay.log.content.digest()
    assert made.relay.snapshots_started == 1


def test_a_replica_that_was_damaged_is_replaced_on_resumption_though_nothing_new_is_published():
    made = stage()
    follower = made.follower("a")
    made.publish(change("node/1", "ready"), change("node/2", "ready"))
    made.disconnect("a")
    follower.log.content.apply([change("node/1", "flipped")])
    made.pass_time(2.0)
    assert entries(follower.log) == {"node/1": b"ready", "node/2": b"ready"}
    assert made.rejected["a"] == [] and made.relay.snapshots_started == 1


def test_an_image_older_than_a_followers_replica_is_not_sent_to_it():
    made = full_stage(retention=Retention(publications=3))
    made.publish(change("node/1", "one"))
    made.publish(change("node/1", "two"))
    follower = made.follower("a")  # with an image of this revision
    made.publish(change("node/1", "three"))
    made.disconnect("a")
    follower.log.content.apply([change("node/2", "flipped")])
    made.pass_time(2.0)
    assert made.rejected["a"] == [] and made.relay.snapshots_started == 2
    assert follower.log.content.digest() == made.relay.log.content.digest()


def test_a_damaged_replica_ahead_of_its_relay_waits_for_a_later_revision():
    made = stage()
    follower = made.follower("a")
    made.publish(change("a", "1"))
    made.publish(change("a", "2"))
    made.disconnect("a")
    follower.log.content.apply([change("a", "flipped")])
    newest, made.relay.log = made.relay.log, PublicationLog(Retention())
    made.pass_time(2.0)
    assert made.rejected["a"] == [] and follower.log.revision == 2
    made.relay.log = newest
    made.publish(change("b", "3"))
    assert entries(follower.log) == {"a": b"2", "b": b"3"}


def test_a_relay_whose_snapshot_is_not_the_signed_one_is_left_for_a_while():
    made = stage()
    made.publish(change("a", "1"))
    relays = [ADDRESS, RelayAddress("relay-2", "north", "127.0.0.1", 2)]
    follower = Follower("a", "north", relays, VERIFIER, FollowerTuning(start_jitter=0.0), 1)
    follower.start(0.0)
    follower.tick(0.0)
    (first,) = follower.take_actions()
    follower.connected(0.0, first.attempt)
    altered = zlib.compress(encode_changes((change("a", "2"),)))
    follower.received(0.0, first.attempt, SnapshotBegin(made.relay.log.checkpoint, 1))
    follower.received(0.0, first.attempt, SnapshotPiece(0, altered))
    assert follower.log.revision == 0
    for second in range(1, 50):
        follower.take_actions()
        follower.tick(float(second))
        assert all(a.relay != first.relay for a in follower.take_actions() if isinstance(a, Connect))
        follower.closed(float(second), follower.attempt)


def test_a_revision_that_goes_back_is_not_followed():
    made = stage()
    follower = made.follower("a")
    for value in range(5):
        made.publish(change("a", str(value)))
    restored = Control()
    epoch = restored.grant()
    while epoch <= made.control.machine.log.epoch:
        epoch = restored.grant()
    made.disconnect("a")
    made.control, made.relay.log = restored, restored.machine.log
    made.publish(change("a", "of a backup"))
    made.pass_time(2.0)
    assert follower.log.revision == 5 and entries(follower.log) == {"a": b"4"}
    assert follower.age_s(made.now) >= 2.0  # what this relay holds says nothing of the replica
    for value in range(5):
        made.publish(change("a", f"anew {value}"))
    made.pass_time(2.0)
    assert follower.log.checkpoint == restored.machine.log.checkpoint
    # the new publisher's revision 5 replaces that of the old one, which nobody publishes any more
    assert [i.revision for i in made.installed["a"]] == [1, 2, 3, 4, 5, 5, 6]
    assert follower.age_s(made.now) <= 1.0


def test_a_snapshot_out_of_place_is_refused():
    made = stage()
    follower = made.follower("a")
    made.publish(change("a", "1"))
    follower.received(made.now, follower.attempt, SnapshotPiece(0, b""))
    made.settle()
    assert [type(error) for error in made.rejected["a"]] == [OutOfSequenceError]


def test_a_follower_that_stood_still_does_not_believe_the_heartbeats_that_waited():
    made = stage()
    follower = made.follower("a")
    made.publish(change("a", "1"))
    made.pass_time(1.0)
    late = made.now + follower.tuning.heartbeat_timeout + 1.0
    age_s = follower.age_s(late)
    checkpoint = follower.log.checkpoint
    follower.received(late, follower.attempt, Heartbeat(checkpoint.epoch, checkpoint.revision, 0))
    assert follower.age_s(late) == age_s
    assert [type(action) for action in follower.take_actions()] == [Disconnect]


def test_a_relay_that_announces_and_does_not_send_is_left():
    made = stage()
    follower = made.follower("a", progress_timeout=5.0)
    reader = FrameReader()

    def withhold(data):
        (message,) = reader.feed(data)
        return data if isinstance(message, Heartbeat) else b""

    made.damage = withhold
    made.publish(change("a", "1"))
    made.pass_time(8.0)
    assert [type(error) for error in made.rejected["a"]] == [NoProgressError]
    assert follower.log.revision == 0


def test_the_age_grows_while_nothing_is_confirmed():
    made = stage()
    follower = made.follower("a")
    made.pass_time(2.0)
    assert follower.age_s(made.now) <= 1.0
    for _ in range(20):  # the relay beats on but hears of no leader
        made.now += 0.5
        made.relay.tick(made.now)
        made.settle()
    assert 9.0 <= follower.age_s(made.now) <= 12.0


# -- backpressure and pacing


def test_a_follower_that_takes_nothing_holds_a_window_at_most_and_is_cut():
    made = stage(send_window=10_000, stall_timeout=3.0)
    made.follower("slow", heartbeat_timeout=20.0)
    fast = made.follower("fast")
    made.hold.add("slow")
    for value in range(100):
        made.publish(change("a", str(value) * 500))
    held = sum(len(data) for _, data in made.held["slow"])
    assert held < 10_000 + 3_000
    assert fast.log.checkpoint == made.relay.log.checkpoint
    made.pass_time(5.0)
    assert ("slow", "takes nothing") in made.closed
    made.release("slow")
    made.pass_time(3.0)
    assert made.followers["slow"].log.checkpoint == made.relay.log.checkpoint


def test_a_follower_that_falls_behind_the_compaction_with_a_full_window_is_sent_nothing_more():
    made = stage()
    made.control.machine.log.retention = Retention(publications=4)
    made.follower("a")
    before = made.sent_bytes["a"]
    made.publish(change("node/1", "x" * 1000))
    size = made.sent_bytes["a"] - before
    made.relay.tuning = RelayTuning(send_window=2 * size + 1)  # the third frame of this size is the last that fits
    made.sent_bytes.clear()
    made.hold.add("a")
    for value in range(10):
        made.publish(change("node/1", "x" * 999 + str(value)))
    assert made.sent_bytes["a"] == 3 * size
    made.release("a")
    made.pass_time(1.0)
    assert made.followers["a"].log.checkpoint == made.relay.log.checkpoint
    assert made.relay.snapshots_started == 1


def test_snapshots_that_end_together_behind_the_compaction_begin_anew():
    made = full_stage(retention=Retention(publications=1), snapshot_burst_bytes=100, snapshot_bytes_per_second=100)
    followers = [made.follower(name) for name in ("a", "b")]
    for value in range(3):
        made.publish(change("node/1", str(value)))
    made.relay.tuning = RelayTuning()  # now all of both may go out in one turn
    made.pass_time(1.0)
    assert all(f.log.checkpoint == made.relay.log.checkpoint for f in followers)


def test_a_follower_that_is_slow_gets_all_in_order():
    made = stage(send_window=2_000)
    slow = made.follower("slow")
    made.hold.add("slow")
    for value in range(40):
        made.publish(change("a", str(value) * 100))
    made.release("slow")
    assert [i.revision for i in made.installed["slow"]] == list(range(1, 41))
    assert slow.log.checkpoint == made.relay.log.checkpoint


def test_snapshots_are_packed_once_and_paced_in_number():
    made = full_stage(retention=Retention(publications=1), max_concurrent_snapshots=3)
    images = set()
    for number in range(10):
        made.hold.add(f"f{number}")
        made.follower(f"f{number}")
    images = {id(s.image) for s in made.relay.sessions.values() if s.image is not None}
    assert made.relay.snapshots_started <= 3 + sum(s.image is None for s in made.relay.sessions.values())
    assert len(images) <= 1
    for number in range(10):
        made.release(f"f{number}")
    made.pass_time(1.0)
    assert all(f.log.checkpoint == made.relay.log.checkpoint for f in made.followers.values())


def test_snapshots_are_paced_in_bytes():
    made = full_stage(
        retention=Retention(publications=1), snapshot_bytes_per_second=20_000, snapshot_burst_bytes=10_000
    )
    for number in range(8):
        made.follower(f"f{number}")
    first = sum(made.sent_bytes.values())
    made.pass_time(1.0)
    second = sum(made.sent_bytes.values())
    image = made.relay.transfers.cache.image_for(made.relay.log, made.relay.tuning.max_image_lag)
    whole = sum(len(image.piece_frame(index)) for index in range(image.piece_count))
    assert first <= 10_000 + whole + 2_000
    assert second - first <= 20_000 + whole + 2_000
    made.pass_time(8 * whole / 20_000 + 2.0)
    assert all(f.log.checkpoint == made.relay.log.checkpoint for f in made.followers.values())


def test_a_snapshot_that_ends_amid_the_end_of_another_is_not_sent_on():
    """Compaction passes the first snapshot's revision: at its end its follower queues again, and the second ends."""
    made = full_stage(
        Retention(publications=2), max_concurrent_snapshots=2, snapshot_burst_bytes=1, snapshot_bytes_per_second=1
    )
    made.publish(change("node/1", "ready"))
    first = made.follower("a")
    for i in range(4):
        made.publish(change("node/1", f"draining {i}"))
    second = made.follower("b")
    assert [made.relay.snapshots_started, first.log.revision, second.log.revision] == [2, 0, 0]
    made.relay.tuning = RelayTuning()
    made.pass_time(1.0)
    for follower in (first, second):
        assert follower.log.checkpoint == made.relay.log.checkpoint


def test_a_connection_that_does_not_say_who_it_is_ends():
    made = stage(hello_timeout=2.0)
    made.relay.opened(0.0, 99)
    made.sessions[99] = "nobody"
    made.follower("nobody", start=False)
    made.pass_time(4.0)
    assert ("nobody", "no hello") in made.closed


# -- a voter with the feed's machine


def voter_of(*names):
    kept = PersistentState(log=Log(voting.Snapshot(0, 0, names, b"")))
    return Voter("a", kept, RaftConfig(), LeaseTiming(), 1, 0.0, FeedStateMachine(DEFAULT_RETENTION))


def heard(term, leader, previous, commit, *entries):
    """A leader's message; previous: index and term of the entry before these."""
    return voting.AppendEntries(term, leader, *previous, entries, commit, 1)


def test_a_voter_that_follows_is_confirmed_by_a_leader_that_knows_what_was_agreed_on():
    voter = voter_of("a", "b", "c")
    voter.receive_from_voter(1.0, heard(1, "b", (0, 0), 0, voting.Entry(1, 1, voting.EntryKind.NOOP)))
    assert voter.confirmed_at == -math.inf  # nothing of its term is committed
    voter.receive_from_voter(2.0, heard(1, "b", (1, 1), 1))
    assert voter.confirmed_at == 2.0
    voter.receive_from_voter(3.0, heard(2, "c", (1, 1), 1, voting.Entry(2, 2, voting.EntryKind.NOOP)))
    assert voter.confirmed_at == 2.0  # a new leader, that may not know yet what the last one committed
    voter.receive_from_voter(4.0, heard(2, "c", (2, 2), 3))
    assert voter.confirmed_at == 2.0  # the leader has committed what this voter lacks
    voter.receive_from_voter(5.0, heard(2, "c", (2, 2), 2))
    assert voter.confirmed_at == 5.0
    voter.receive_from_voter(6.0, heard(1, "b", (1, 1), 1))
    assert voter.confirmed_at == 5.0  # a leader of the past


def test_a_voter_that_leads_is_confirmed_as_of_when_it_asked():
    voter = voter_of("a")
    now = 0.0
    while not voter.is_leader:
        now = voter.next_at
        voter.tick(now)
        for number, _ in voter.drain_output().records:
            voter.persisted(now, number)
    assert voter.confirmed_at == -math.inf
    voter.confirm(now + 1.0)
    voter.tick(now + 2.0)
    assert voter.confirmed_at == now + 1.0


# -- summaries


def test_the_publisher_knows_who_has_a_revision_in_force_and_who_lags():
    made = stage()
    for number in range(30):
        made.follower(f"f{number}")
    made.publish(change("a", "1"))
    made.pass_time(1.5)
    publisher = made.control.publisher
    publisher.record_summary(made.now, made.relay.summary())
    progress = publisher.progress(made.now, 1)
    assert (progress.followers, progress.applied, progress.laggards) == (30, 30, ())
    for number in range(20):
        made.hold.add(f"f{number}")
    made.publish(change("a", "2"))
    made.followers["f25"].rejected(made.now, 2, "line 4: field `port`")
    made.pass_time(1.5)
    publisher.record_summary(made.now, made.relay.summary())
    progress = publisher.progress(made.now, 2)
    assert (progress.followers, progress.applied, progress.rejected) == (30, 10, 1)
    assert len(progress.laggards) == 16 and {laggard.applied_revision for laggard in progress.laggards} == {1}
    assert publisher.progress(made.now + 60.0, 2).silent_relays == ("relay-1",)


def test_a_summary_has_a_bounded_size():
    made = stage()
    for number in range(200):
        made.follower("f" * 50 + str(number)).rejected(0.0, 1, "x" * 500)
    made.pass_time(2.0)
    assert len(encode_frame(made.relay.summary())) < 8_000


# -- the configuration in force


def test_a_configuration_is_in_force_from_the_next_turn_and_what_began_ends_under_its_own():
    def read(data):
        if data == b"bad":
            raise UnusableConfigurationError("line 2: field `wait`")
        return data.decode()

    held = ActiveConfiguration(read, "first")
    began_under = held.current
    assert held.stage(4, b"second") == ""
    assert held.current.settings == "first"
    assert held.activate() and not held.activate()
    assert (held.current.revision, held.current.settings) == (4, "second")
    assert began_under.settings == "first"
    assert held.stage(5, b"bad") == "line 2: field `wait`"
    assert (
        not held.activate()
        and held.current.revision == 4
        and held.rejected == RejectedConfiguration(5, "line 2: field `wait`")
    )


# -- the choice of relays


def test_a_follower_prefers_its_region_and_comes_home():
    relays = [RelayAddress(f"r{n}", region, "127.0.0.1", n) for n, region in enumerate(["south", "north", "east"], 1)]
    follower = Follower("a", "north", relays, VERIFIER, FollowerTuning(start_jitter=0.0, failback_interval=60.0), 1)
    follower.start(0.0)
    follower.tick(0.0)
    (first,) = follower.take_actions()
    assert isinstance(first, Connect) and first.relay.region == "north"
    follower.closed(0.0, first.attempt)
    follower.tick(1.0)
    (second,) = follower.take_actions()
    assert isinstance(second, Connect) and second.relay.region != "north"
    follower.connected(1.0, second.attempt)
    follower.take_actions()
    for second_ in range(1, 61):
        follower.received(1.0 + second_, second.attempt, Heartbeat(0, 0, 0))
        follower.tick(1.0 + second_)
    actions = [action for action in follower.take_actions() if isinstance(action, Connect | Disconnect)]
    assert isinstance(actions[0], Disconnect)
    follower.tick(62.0)
    actions += [action for action in follower.take_actions() if isinstance(action, Connect)]
    assert actions[-1].relay.region == "north"


def test_failed_attempts_back_off_with_jitter():
    pauses = []
    for seed in range(40):
        follower = Follower("a", "north", [ADDRESS], VERIFIER, FollowerTuning(start_jitter=0.0), seed)
        follower.start(0.0)
        now = 0.0
        for _ in range(12):
            now = follower.next_at
            follower.tick(now)
            (connect,) = [a for a in follower.take_actions() if isinstance(a, Connect)]
            follower.closed(now, connect.attempt)
            pauses.append(follower.next_at - now)
    last = pauses[11::12]
    assert max(last) <= 10.0 and max(last) > 8.0 and min(last) < 2.0
    assert max(pauses[0::12]) <= 0.1


def test_a_relay_that_is_cut_off_is_left_for_another_and_kept_where_there_is_none():
    relays = [RelayAddress(f"r{n}", "north", "127.0.0.1", n) for n in (1, 2)]
    tuning = FollowerTuning(start_jitter=0.0, staleness_limit=5.0, stale_retry_interval=30.0)
    follower = Follower("a", "north", relays, VERIFIER, tuning, 1)

    def connect(now):
        follower.tick(now)
        (action,) = [action for action in follower.take_actions() if isinstance(action, Connect)]
        follower.connected(now, action.attempt)
        follower.take_actions()
        return action

    def heartbeats(attempt, since, until, **fields):
        for at in range(since, until):
            follower.received(float(at), attempt, Heartbeat(0, 0, 60_000, **fields))
        return [action for action in follower.take_actions() if isinstance(action, Disconnect)]

    follower.start(0.0)
    first = connect(0.0)
    assert heartbeats(first.attempt, 1, 6) == []  # it may just have been started
    assert heartbeats(first.attempt, 6, 9, snapshot_pending=True) == []
    assert heartbeats(first.attempt, 9, 10) == [Disconnect(first.attempt)]
    second = connect(10.0)
    assert second.relay != first.relay
    assert heartbeats(second.attempt, 11, 24) == []  # both are cut off: it stays with one
    assert heartbeats(second.attempt, 24, 41) == [Disconnect(second.attempt)]  # the first may be back by now


def test_a_follower_behind_by_more_than_the_content_is_loaded_at_the_pace_of_snapshots():
    made = stage(send_window=1_000)
    made.follower("a")
    made.publish(change("a", "x" * 900))
    made.disconnect("a")
    for value in range(5):
        made.publish(change("a", str(value) * 900))
    made.pass_time(1.0)
    assert made.relay.snapshots_started == 1 and len(made.installed["a"]) == 2
    assert made.followers["a"].log.checkpoint == made.relay.log.checkpoint


def test_bytes_of_a_log_are_those_of_its_frames():
    log = PublicationLog(Retention(publications=5))
    for value in range(9):
        log.append(signed(log, 1, change("a", str(value) * value)))
    frames = {revision: len(log.next_after(revision).frame) for revision in range(4, 9)}
    assert [log.bytes_after(r) for r in range(4, 10)] == [
        sum(n for at, n in frames.items() if at >= r) for r in range(4, 10)
    ]
    log.content.apply([change("b", "1234"), change("b", "12"), change("c", None)])
    assert log.content.size_bytes == sum(len(key) + len(value) for key, value in log.content.items())


def test_a_large_publication_is_proposed_in_bursts_and_what_is_agreed_on_is_not_sent_again():
    machine = FeedStateMachine(Retention())
    voter = Voter(
        "v0", PersistentState(Log(Snapshot(0, 0, ("v0", "v1"), b""))), RaftConfig(), LeaseTiming(), 1, 0.0, machine
    )
    holder = LeaseHolder("v0", "v0", {PUBLISH_LEASE: True}, ("v0", "v1"), LeaseTiming(), 2, 0.0)
    holder.voter_selection.follow("v1")
    publisher = Publisher(machine.log, lambda change: "", SIGNER, PublisherTuning(batch_window=0.0, retry_interval=1.0))
    relay = Relay("v0", machine.log, RelayTuning())
    node = ControlNode(voter, holder, machine, publisher, relay, 0.0, ControlTuning(proposal_burst=3))
    machine.apply(1, encode(GrantLease(PUBLISH_LEASE, "v0", 0)))
    replace_attribute(holder, "may_act", lambda now, duty: 1)
    node.synchronize(0.0)
    assert publisher.submit(0.0, [change("a", "x" * 6000)]) == ()

    def proposed(now):
        node.tick(now)
        node.synchronize(now)
        return [action.command for action in node.take_actions() if isinstance(action, Propose)]

    whole = []
    for place in range(20):
        burst = proposed(place * 0.01)
        assert len(burst) <= 3
        whole += burst
    assert len(whole) > 6 and node.next_at > 0.2
    for command in whole[:4] + whole[5:]:  # one is lost
        machine.apply(2, command)
    again = [command for place in range(20) for command in proposed(1.1 + place * 0.01)]
    assert again == [whole[4]]
    machine.apply(3, again[0])
    assert machine.log.revision == 1
