"""The format of a datagram between brokers: a one-byte tag of the protocol, then the encoded message."""

from __future__ import annotations

from badgerbend.consensus import messages as consensus_messages
from badgerbend.leases import messages as lease_messages

CONSENSUS_TAG = b"v"  # messages between voters
LEASE_TAG = b"s"  # messages between a broker and a voter
PEER_TAG = b"a"  # messages between brokers, for a duty
Message = consensus_messages.Message | lease_messages.Message | lease_messages.PeerMessage
MalformedMessageError = consensus_messages.MalformedMessageError


def encode_consensus_message(message: consensus_messages.Message) -> bytes:
    """Encodes a message between voters as a datagram."""
    return CONSENSUS_TAG + consensus_messages.encode(message)


def encode_lease_message(message: lease_messages.Message) -> bytes:
    """Encodes a message between a broker and a voter as a datagram."""
    return LEASE_TAG + lease_messages.encode(message)


def encode_peer_message(message: lease_messages.PeerMessage) -> bytes:
    """Encodes a message between brokers as a datagram."""
    return PEER_TAG + lease_messages.encode(message)


def decode(datagram: bytes) -> Message:
    """Decodes a datagram. Raises MalformedMessageError for an unknown tag or a message of the wrong shape."""
    tag = datagram[:1]
    content = datagram[1:]
    if tag == CONSENSUS_TAG:
        return consensus_messages.decode(content)
    if tag == LEASE_TAG:
        return lease_messages.decode(content)
    if tag == PEER_TAG:
        return lease_messages.decode_peer_message(content)
    raise MalformedMessageError(f"unknown datagram tag {tag!r}")
