"""Datagrams of the membership protocol: small typed arrays in MessagePack, bounded before they are believed."""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

MOST_BYTES = 1400  # a datagram stays within one Ethernet frame, seal included
SEAL_BYTES = 64
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class State(IntEnum):
    """What is held of a member. At one incarnation the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Update(msgspec.Struct, array_like=True, frozen=True):
    """One piece of news. `by`: who says so, for suspicions, which weigh by how many say so."""

    name: Text
    host: Text
    port: Port
    state: State
    incarnation: Number
    by: Annotated[str, msgspec.Meta(max_length=64)] = ""
    info: Annotated[str, msgspec.Meta(max_length=64)] = ""  # the member's own, as where to ask it for more


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    seq: Number
    target: Annotated[str, msgspec.Meta(max_length=64)]  # empty: whoever is there, as a seed is asked
    me: Update
    news: tuple[Update, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    seq: Number
    me: Update
    news: tuple[Update, ...] = ()


class PingReq(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks another to ping for us; it answers with an Ack, or a Nack where it hears nothing in time."""

    seq: Number
    target: Text
    host: Text
    port: Port
    me: Update
    news: tuple[Update, ...] = ()


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    seq: Number
    me: Update
    news: tuple[Update, ...] = ()


class Sync(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A part of all that its sender holds. `reply`: the same is asked for in return."""

    reply: bool
    me: Update
    news: tuple[Update, ...] = ()


Message = Ping | Ack | PingReq | Nack | Sync
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


class MalformedMessageError(Exception):
    """A datagram that is none of ours, or out of bounds."""


def encode(message: Message) -> bytes:
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Raises Malformed."""
    if len(data) > MOST_BYTES:
        raise MalformedMessageError(f"{len(data)} bytes")
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise MalformedMessageError(str(err)) from err


def fill(message: Message, news: list[Update]) -> tuple[Message, int]:
    """The message with as much of the news, from the front, as a datagram holds; and how much that is."""
    room = MOST_BYTES - SEAL_BYTES - len(encode(message)) - 3
    taken = 0
    for update in news:
        room -= len(_ENCODER.encode(update))
        if room < 0:
            break
        taken += 1
    return msgspec.structs.replace(message, news=tuple(news[:taken])), taken
