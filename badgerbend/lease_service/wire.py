"""The format of one datagram between brokers: a byte for the protocol, then the encoded message."""

from __future__ import annotations

from badgerbend.consensus import messages as consensus_messages
from badgerbend.leases import messages as lease_messages

CONSENSUS_TAG = b"v"  # between voters
LEASE_TAG = b"s"  # between a broker and a voter
PEER_TAG = b"a"  # between brokers, for a duty
Message = consensus_messages.Message | lease_messages.Message | lease_messages.PeerMessage
MalformedMessageError = consensus_messages.MalformedMessageError


def encode_consensus_message(message: consensus_messages.Message) -> bytes:
    """The datagram of a message between voters."""
    return CONSENSUS_TAG + consensus_messages.encode(message)


def encode_lease_message(message: lease_messages.Message) -> bytes:
    """The datagram of a message between a broker and a voter."""
    return LEASE_TAG + lease_messages.encode(message)


def encode_peer_message(message: lease_messages.PeerMessage) -> bytes:
    """The datagram of a message between brokers."""
    return PEER_TAG + lease_messages.encode(message)


def decode(datagram: bytes) -> Message:
    """The message of a datagram. Raises MalformedMessageError for an unknown tag or a message of the wrong shape."""
    tag = datagram[:1]
    content = datagram[1:]
    if tag == CONSENSUS_TAG:
        return consensus_messages.decode(content)
    if tag == LEASE_TAG:
        return lease_messages.decode(content)
    if tag == PEER_TAG:
        return lease_messages.decode_peer_message(content)
    raise MalformedMessageError(f"letter {tag!r}")
