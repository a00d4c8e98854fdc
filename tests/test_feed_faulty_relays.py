"""A follower's reaction to relays that send false or truncated data, send nothing, or are stale."""

import zlib

import pytest

from badgerbend.feed.errors import (
    MalformedMessageError,
    NoProgressError,
    OutOfSequenceError,
    SignatureError,
    TamperedChangesError,
)
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import Connect, Disconnect, FollowerTuning, RelayAddress
from badgerbend.feed.framing import FrameReader, encode_frame
from badgerbend.feed.log import PublicationLog
from badgerbend.feed.messages import (
    Checkpoint,
    Heartbeat,
    Publication,
    SnapshotBegin,
    SnapshotPiece,
    encode_changes,
)
from tests.feed_harness import ADDRESS, VERIFIER, change, entries, new_harness, signed_publication


@pytest.mark.parametrize("lie", ["changes", "checkpoint", "frame"])
def test_a_lying_relay_is_left_and_changes_nothing(lie):
    harness = new_harness()
    follower = harness.follower("a")
    harness.publish(change("node/1", "ready"))
    before = entries(follower.log)
    reader = FrameReader()

    def damage(data):
        (message,) = reader.feed(data)
        if not isinstance(message, Publication):
            return data
        if lie == "changes":
            return encode_frame(Publication(message.checkpoint, (change("node/1", "gone"),)))
        if lie == "checkpoint":
            forged = signed_publication(PublicationLog(), 1, change("node/1", "gone")).checkpoint
            c = message.checkpoint
            return encode_frame(
                Publication(
                    Checkpoint(c.epoch, c.revision, forged.content_digest, c.changes_digest, c.signature),
                    message.changes,
                )
            )
        return data[:-1] + bytes([data[-1] ^ 1])

    harness.damage = damage
    harness.publish(change("node/1", "draining"))
    expected = {"changes": TamperedChangesError, "checkpoint": SignatureError, "frame": MalformedMessageError}[lie]
    assert [type(error) for error in harness.rejected["a"]] == [expected]
    assert entries(follower.log) == before
    assert follower.log.revision == 1
    harness.damage = None
    harness.pass_time(1.0)
    assert entries(follower.log) == {"node/1": b"draining"}  # the relay is used again, since there is no other


def test_a_truncated_frame_without_further_data_leads_to_a_retry():
    harness = new_harness()
    follower = harness.follower("a", progress_timeout=2.0)
    harness.damage = lambda data: data[: len(data) // 2]
    harness.publish(change("node/1", "ready"))
    harness.damage = lambda data: b""
    harness.pass_time(4.5)
    harness.damage = None
    harness.pass_time(8.0)
    assert follower.log.checkpoint == harness.relay.log.checkpoint
    assert follower.attempt > 1


def test_a_relay_whose_snapshot_is_not_the_signed_one_is_quarantined():
    harness = new_harness()
    harness.publish(change("a", "1"))
    relays = [ADDRESS, RelayAddress("relay-2", "north", "127.0.0.1", 2)]
    follower = Follower("a", "north", relays, VERIFIER, FollowerTuning(start_jitter=0.0), 1)
    follower.start(0.0)
    follower.tick(0.0)
    (first,) = follower.take_actions()
    follower.connected(0.0, first.attempt)
    altered = zlib.compress(encode_changes((change("a", "2"),)))
    follower.received(0.0, first.attempt, SnapshotBegin(harness.relay.log.checkpoint, 1))
    follower.received(0.0, first.attempt, SnapshotPiece(0, altered))
    assert follower.log.revision == 0
    for second in range(1, 50):
        follower.take_actions()
        follower.tick(float(second))
        assert all(a.relay != first.relay for a in follower.take_actions() if isinstance(a, Connect))
        follower.closed(float(second), follower.attempt)


def test_a_piece_without_a_snapshot_is_rejected():
    harness = new_harness()
    follower = harness.follower("a")
    harness.publish(change("a", "1"))
    follower.received(harness.now, follower.attempt, SnapshotPiece(0, b""))
    harness.process_actions()
    assert [type(error) for error in harness.rejected["a"]] == [OutOfSequenceError]


def test_a_suspended_follower_ignores_buffered_heartbeats():
    harness = new_harness()
    follower = harness.follower("a")
    harness.publish(change("a", "1"))
    harness.pass_time(1.0)
    late = harness.now + follower.tuning.heartbeat_timeout + 1.0
    age_s = follower.age_s(late)
    checkpoint = follower.log.checkpoint
    follower.received(late, follower.attempt, Heartbeat(checkpoint.epoch, checkpoint.revision, 0))
    assert follower.age_s(late) == age_s
    assert [type(action) for action in follower.take_actions()] == [Disconnect]


def test_a_relay_without_progress_is_left():
    harness = new_harness()
    follower = harness.follower("a", progress_timeout=5.0)
    reader = FrameReader()

    def withhold(data):
        (message,) = reader.feed(data)
        return data if isinstance(message, Heartbeat) else b""

    harness.damage = withhold
    harness.publish(change("a", "1"))
    harness.pass_time(8.0)
    assert [type(error) for error in harness.rejected["a"]] == [NoProgressError]
    assert follower.log.revision == 0


def test_the_age_grows_while_nothing_is_confirmed():
    harness = new_harness()
    follower = harness.follower("a")
    harness.pass_time(2.0)
    assert follower.age_s(harness.now) <= 1.0
    for _ in range(20):  # the relay sends heartbeats, but its log is not confirmed
        harness.now += 0.5
        harness.relay.tick(harness.now)
        harness.process_actions()
    assert 9.0 <= follower.age_s(harness.now) <= 12.0
