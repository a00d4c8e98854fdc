"""Messages, frames and commands of the feed, and datagrams between control machines, keep their encoding.

Machines of different versions could not communicate if an encoding changed.
"""

import typing

import pytest

from badgerbend.feed.commands import PublishPart, decode_part, decode_publication, split_publication
from badgerbend.feed.framing import FrameReader, encode_frame
from badgerbend.feed.messages import (
    Change,
    Checkpoint,
    Heartbeat,
    Hello,
    Laggard,
    Message,
    Publication,
    SnapshotBegin,
    SnapshotPiece,
    Status,
    Summary,
    decode,
    decode_changes,
    encode,
    encode_changes,
)
from badgerbend.feed_service import control_wire
from tests.test_wire_bytes_consensus import MESSAGES as CONSENSUS_MESSAGES
from tests.test_wire_bytes_leases import MESSAGES as DUTIES_MESSAGES
from tests.test_wire_bytes_leases import PEER_MESSAGES
from tests.wire_bytes import assert_same_bytes, fixture_bytes, fixture_keys

CHECKPOINT = Checkpoint(
    epoch=51,
    revision=61,
    content_digest=bytes(range(16)),
    changes_digest=bytes(range(16, 32)),
    signature=bytes(range(64, 128)),
)
CHANGES = (Change(key="replaced", value=b"\x00value\xff"), Change(key="removed", value=None))
PUBLICATION = Publication(checkpoint=CHECKPOINT, changes=CHANGES)
SUMMARY = Summary(
    relay="c1",
    revision=61,
    followers=9,
    applied=7,
    rejected=1,
    oldest_applied=58,
    laggards=(Laggard(name="f1", applied_revision=59, rejected_revision=60, reason="too old"),),
)

MESSAGES = {
    "feed/message/publication": PUBLICATION,
    "feed/message/heartbeat": Heartbeat(epoch=51, revision=61, age_ms=250, snapshot_pending=True),
    "feed/message/snapshot-begin": SnapshotBegin(checkpoint=CHECKPOINT, piece_count=3),
    "feed/message/snapshot-piece": SnapshotPiece(index=2, compressed=b"\x00packed\xff"),
    "feed/message/hello": Hello(name="f1", epoch=51, revision=60, digest=bytes(range(32, 48)), wants_snapshot=True),
    "feed/message/status": Status(applied_revision=60, rejected_revision=61, reason="unknown key", age_ms=125),
    "feed/message/summary": SUMMARY,
}


@pytest.mark.parametrize("key", MESSAGES)
def test_message_keeps_its_bytes(key):
    assert_same_bytes(key, MESSAGES[key], encode, decode)


def test_changes_keep_their_bytes():
    assert_same_bytes("feed/changes", CHANGES, encode_changes, decode_changes)


def test_messages_without_optional_fields_are_decoded_with_defaults():
    assert decode(bytes.fromhex("9402010203")) == Heartbeat(epoch=1, revision=2, age_ms=3, snapshot_pending=False)
    hello = Hello(name="f", epoch=1, revision=2, digest=bytes(16), wants_snapshot=False)
    assert decode(bytes.fromhex("9505a1660102c410" + "00" * 16)) == hello


def test_signed_payload_keeps_its_bytes():
    expected = b"badgerbend feed 1\0" + (51).to_bytes(8, "big") + (61).to_bytes(8, "big") + bytes(range(32))
    assert CHECKPOINT.signed_bytes() == expected


def test_frame_keeps_its_bytes():
    expected = fixture_bytes("feed/frame/heartbeat")
    heartbeat = MESSAGES["feed/message/heartbeat"]
    assert encode_frame(heartbeat) == expected
    assert list(FrameReader().feed(expected)) == [heartbeat]


def test_command_keeps_its_bytes():
    expected = fixture_bytes("feed/command/publish-part")
    assert split_publication(PUBLICATION) == [expected]
    part = PublishPart(
        epoch=51,
        revision=61,
        publication_id=bytes.fromhex("d977b87cf7e1749a"),
        part_index=0,
        part_count=1,
        data=fixture_bytes("feed/message/publication"),
    )
    assert decode_part(expected) == part
    assert decode_publication(part.data) == PUBLICATION


def test_large_publication_is_split_into_the_same_parts():
    value = bytes(range(256)) * 4
    commands = split_publication(Publication(checkpoint=CHECKPOINT, changes=(Change(key="large", value=value),)))
    assert commands == [fixture_bytes("feed/command/large-part-0"), fixture_bytes("feed/command/large-part-1")]
    parts = [decode_part(command) for command in commands]
    positions = [(part.epoch, part.revision, part.part_index, part.part_count) for part in parts]
    assert positions == [
        (51, 61, 0, 2),
        (51, 61, 1, 2),
    ]
    assert decode_publication(parts[0].data + parts[1].data).changes[0].value == value


def test_every_message_has_a_fixture():
    assert {type(message) for message in MESSAGES.values()} == set(typing.get_args(Message))
    assert fixture_keys("feed/message/") == set(MESSAGES)


# -- Datagrams between control machines: a letter precedes the message.


def test_datagram_with_a_proposal():
    command = fixture_bytes("feed/command/publish-part")
    assert control_wire.encode_proposal(command) == b"p" + command
    assert control_wire.decode(b"p" + command) == control_wire.Proposal(command)


def test_datagram_with_a_summary():
    expected = b"u" + fixture_bytes("feed/message/summary")
    assert control_wire.encode_summary(SUMMARY) == expected
    assert control_wire.decode(expected) == SUMMARY


@pytest.mark.parametrize(
    ("letter", "key", "message"),
    [
        *((b"v", key, message) for key, message in CONSENSUS_MESSAGES.items()),
        *((b"s", key, message) for key, message in DUTIES_MESSAGES.items()),
        *((b"a", key, message) for key, message in PEER_MESSAGES.items()),
    ],
)
def test_other_datagrams_are_read_as_between_brokers(letter, key, message):
    assert control_wire.decode(letter + fixture_bytes(key)) == message
