"""Datagrams of the membership protocol keep their encoding."""

import typing

import pytest

from badgerbend.membership.messages import (
    Ack,
    IndirectPing,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    Sync,
    decode,
    encode,
)
from tests.wire_bytes import assert_same_bytes, fixture_keys

SENDER = MemberUpdate(
    name="b1",
    host="10.0.0.1",
    port=7001,
    state=MemberState.ALIVE,
    incarnation=21,
    reporter="",
    metadata="10.0.0.1:8001",
)
UPDATES = (
    MemberUpdate(
        name="b2", host="10.0.0.2", port=7002, state=MemberState.SUSPECT, incarnation=22, reporter="b3", metadata=""
    ),
    MemberUpdate(
        name="b4", host="10.0.0.4", port=7004, state=MemberState.DEAD, incarnation=24, reporter="b5", metadata="x"
    ),
    MemberUpdate(
        name="b6", host="10.0.0.6", port=7006, state=MemberState.LEFT, incarnation=26, reporter="", metadata=""
    ),
)

MESSAGES = {
    "membership/ping": Ping(seq=31, target="b2", sender=SENDER, updates=UPDATES),
    "membership/ping-seed": Ping(seq=32, target="", sender=SENDER, updates=()),
    "membership/ack": Ack(seq=33, sender=SENDER, updates=UPDATES),
    "membership/indirect-ping": IndirectPing(
        seq=34, target="b2", host="10.0.0.2", port=7002, sender=SENDER, updates=UPDATES
    ),
    "membership/nack": Nack(seq=35, sender=SENDER, updates=UPDATES),
    "membership/sync": Sync(reply_requested=True, sender=SENDER, updates=UPDATES),
}


@pytest.mark.parametrize("key", MESSAGES)
def test_message_keeps_its_bytes(key):
    assert_same_bytes(key, MESSAGES[key], encode, decode)


def test_short_forms_are_decoded_with_their_defaults():
    sender = MemberUpdate(name="b", host="h", port=1, state=MemberState.ALIVE, incarnation=0, reporter="", metadata="")
    assert decode(bytes.fromhex("93020595a162a168010000")) == Ack(seq=5, sender=sender, updates=())


def test_every_message_has_a_fixture():
    assert {type(message) for message in MESSAGES.values()} == set(typing.get_args(Message))
    assert fixture_keys("membership/") == set(MESSAGES)
    assert {update.state for update in (SENDER, *UPDATES)} == set(MemberState)
