"""Datagrams of the membership protocol: small typed arrays in MessagePack, bounded before they are believed."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1400  # a datagram stays within one Ethernet frame, seal included
SEAL_BYTES = 64  # reserved for the seal
MAX_ARRAY_HEADER_BYTES = 3  # of a MessagePack array with up to 65535 items
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class MemberState(IntEnum):
    """What is held of a member. At one incarnation the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """One piece of news. `by`: who says so, for suspicions, which weigh by how many say so."""

    name: Text
    host: Text
    port: Port
    state: MemberState
    incarnation: Number
    reporter: Annotated[str, msgspec.Meta(max_length=64)] = ""
    metadata: Annotated[str, msgspec.Meta(max_length=64)] = ""  # the member's own, as where to ask it for more


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    seq: Number
    target: Annotated[str, msgspec.Meta(max_length=64)]  # empty: whoever is there, as a seed is asked
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    seq: Number
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class IndirectPing(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks another to ping for us; it answers with an Ack, or a Nack where it hears nothing in time."""

    seq: Number
    target: Text
    host: Text
    port: Port
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    seq: Number
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Sync(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A part of all that its sender holds. `reply`: the same is asked for in return."""

    reply_requested: bool
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | Ack | IndirectPing | Nack | Sync
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


class MalformedMessageError(Exception):
    """A datagram that is none of ours, or out of bounds."""


def encode(message: Message) -> bytes:
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Raises Malformed."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedMessageError(f"{len(data)} bytes")
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise MalformedMessageError(str(err)) from err


def with_updates(message: Message, updates: Sequence[MemberUpdate]) -> Message:
    """Return the message with as many of the updates, from the front, as one datagram holds."""
    remaining_bytes = MAX_DATAGRAM_BYTES - SEAL_BYTES - len(encode(message)) - MAX_ARRAY_HEADER_BYTES
    fitting = 0
    for update in updates:
        remaining_bytes -= len(_ENCODER.encode(update))
        if remaining_bytes < 0:
            break
        fitting += 1
    return msgspec.structs.replace(message, updates=tuple(updates[:fitting]))
