"""Datagrams between control machines: one byte that identifies the kind, followed by the encoded message.

Kinds that are not defined here are defined by `lease_service.wire`.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.feed import messages
from badgerbend.feed.errors import MalformedMessageError as MalformedFeedMessageError
from badgerbend.feed.messages import Summary
from badgerbend.lease_service import wire

PROPOSAL = b"p"
SUMMARY = b"u"
MalformedMessageError = wire.MalformedMessageError


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command for the replicated log, sent by the publisher to the leader."""

    command: bytes


ControlMessage = wire.Message | Proposal | Summary


def encode_proposal(command: bytes) -> bytes:
    """Encode the datagram that proposes a command."""
    return PROPOSAL + command


def encode_summary(summary: Summary) -> bytes:
    """Encode the datagram that reports what the followers of a relay have applied."""
    return SUMMARY + messages.encode(summary)


def decode(body: bytes) -> ControlMessage:
    """Decode the message of a datagram. Raises MalformedMessageError."""
    kind = body[:1]
    if kind == PROPOSAL:
        return Proposal(body[1:])
    if kind == SUMMARY:
        return _decode_summary(body[1:])
    return wire.decode(body)


def _decode_summary(data: bytes) -> Summary:
    try:
        message = messages.decode(data)
    except MalformedFeedMessageError as error:
        raise MalformedMessageError(str(error)) from error
    if not isinstance(message, Summary):
        raise MalformedMessageError(f"{type(message).__name__} received where a summary was expected")
    return message
