"""Sealed datagrams keep their bytes: key number, incarnation of the sender, counter, body and truncated MAC."""

from badgerbend.net.seal import DatagramSealer
from tests.wire_bytes import fixture_bytes

KEY = b"0123456789abcdef"
OTHER_KEY = b"fedcba9876543210"
INCARNATION = 1700000000123
SENDER = b"10.0.0.1:7001"
BODY = b"\x00body\xff"


def test_sealed_datagrams_keep_their_bytes():
    sealer = DatagramSealer((KEY, OTHER_KEY), INCARNATION)
    assert sealer.seal(BODY, SENDER).hex() == fixture_bytes("net/first-sealed-datagram").hex()
    assert sealer.seal(BODY, SENDER).hex() == fixture_bytes("net/second-sealed-datagram").hex()


def test_sealed_datagrams_are_opened():
    receiver = DatagramSealer((OTHER_KEY, KEY), INCARNATION + 1)
    assert receiver.open(fixture_bytes("net/first-sealed-datagram"), SENDER) == BODY
    assert receiver.open(fixture_bytes("net/second-sealed-datagram"), SENDER) == BODY
