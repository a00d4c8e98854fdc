"""Datagrams of the membership protocol keep their bytes."""

import typing

import pytest

from badgerbend.membership.messages import Ack, Message, Nack, Ping, PingReq, State, Sync, Update, decode, encode
from tests.wire_bytes import assert_same_bytes, fixture_keys

SENDER = Update(name="b1", host="10.0.0.1", port=7001, state=State.ALIVE, incarnation=21, by="", info="10.0.0.1:8001")
NEWS = (
    Update(name="b2", host="10.0.0.2", port=7002, state=State.SUSPECT, incarnation=22, by="b3", info=""),
    Update(name="b4", host="10.0.0.4", port=7004, state=State.DEAD, incarnation=24, by="b5", info="x"),
    Update(name="b6", host="10.0.0.6", port=7006, state=State.LEFT, incarnation=26, by="", info=""),
)

MESSAGES = {
    "membership/ping": Ping(seq=31, target="b2", me=SENDER, news=NEWS),
    "membership/ping-seed": Ping(seq=32, target="", me=SENDER, news=()),
    "membership/ack": Ack(seq=33, me=SENDER, news=NEWS),
    "membership/indirect-ping": PingReq(seq=34, target="b2", host="10.0.0.2", port=7002, me=SENDER, news=NEWS),
    "membership/nack": Nack(seq=35, me=SENDER, news=NEWS),
    "membership/sync": Sync(reply=True, me=SENDER, news=NEWS),
}


@pytest.mark.parametrize("key", MESSAGES)
def test_message_keeps_its_bytes(key):
    assert_same_bytes(key, MESSAGES[key], encode, decode)


def test_short_forms_are_decoded_with_their_defaults():
    sender = Update(name="b", host="h", port=1, state=State.ALIVE, incarnation=0, by="", info="")
    assert decode(bytes.fromhex("93020595a162a168010000")) == Ack(seq=5, me=sender, news=())


def test_every_message_has_a_fixture():
    assert {type(message) for message in MESSAGES.values()} == set(typing.get_args(Message))
    assert fixture_keys("membership/") == set(MESSAGES)
    assert {update.state for update in (SENDER, *NEWS)} == set(State)
