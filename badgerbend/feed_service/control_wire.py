"""Datagrams between control machines: a letter that says whose one is, then the message."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.feed import messages
from badgerbend.feed.errors import MalformedMessageError as MalformedSummary
from badgerbend.feed.messages import Summary
from badgerbend.lease_service import wire

PROPOSAL, SUMMARY = b"p", b"u"
MalformedMessageError = wire.MalformedMessageError


@dataclass(frozen=True, slots=True)
class Proposal:
    """A command for the agreed log, from the publisher to the leader."""

    command: bytes


ControlMessage = wire.Message | Proposal | Summary


def encode_proposal(command: bytes) -> bytes:
    return PROPOSAL + command


def encode_summary(summary: Summary) -> bytes:
    return SUMMARY + messages.encode(summary)


def decode(body: bytes) -> ControlMessage:
    """Raises Malformed."""
    match body[:1]:
        case b"p":
            return Proposal(body[1:])
        case b"u":
            return _summary(body[1:])
    return wire.decode(body)


def _summary(data: bytes) -> Summary:
    try:
        message = messages.decode(data)
    except MalformedSummary as error:
        raise MalformedMessageError(str(error)) from error
    if not isinstance(message, Summary):
        raise MalformedMessageError(f"{type(message).__name__} where a summary was due")
    return message
