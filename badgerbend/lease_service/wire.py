"""One datagram: a letter that says whose it is, then the message."""

from __future__ import annotations

from badgerbend.consensus import messages as voting
from badgerbend.leases import messages as saying

VOTING, SAYING, ACTING = b"v", b"s", b"a"
Said = voting.Message | saying.Message | saying.PeerMessage
MalformedMessageError = voting.MalformedMessageError


def voter_body(message: voting.Message) -> bytes:
    return VOTING + voting.encode(message)


def broker_body(message: saying.Message) -> bytes:
    return SAYING + saying.encode(message)


def peer_body(act: saying.PeerMessage) -> bytes:
    return ACTING + saying.encode(act)


def read(body: bytes) -> Said:
    """Raises Malformed."""
    match body[:1]:
        case b"v":
            return voting.decode(body[1:])
        case b"s":
            return saying.decode(body[1:])
        case b"a":
            return saying.decode_peer_message(body[1:])
    raise MalformedMessageError(f"letter {body[:1]!r}")
