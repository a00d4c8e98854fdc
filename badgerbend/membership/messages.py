"""Messages of the membership protocol, and their encoding as datagrams.

Each message is a MessagePack array that begins with its tag. Decoding checks sizes and ranges.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import Annotated

import msgspec

MAX_DATAGRAM_BYTES = 1400  # a datagram fits in one Ethernet frame, including its seal
SEAL_BYTES = 64  # reserved for the seal, which authenticates a datagram
MAX_ARRAY_HEADER_BYTES = 3  # of a MessagePack array with up to 65535 items
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
OptionalText = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class MalformedMessageError(Exception):
    """A datagram that cannot be decoded: it is no message of this protocol, or a value is out of range.

    reason: what is wrong with it. size_bytes: its length.
    """

    def __init__(self, reason: str, size_bytes: int) -> None:
        super().__init__(f"datagram of {size_bytes} bytes: {reason}")
        self.reason = reason
        self.size_bytes = size_bytes


class MemberState(IntEnum):
    """The state of a member. Within one incarnation the greater state overrides the smaller one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The name of this state in status pages, metric labels and logs, which is part of their interface."""
        return _STATE_LABELS[self]


_STATE_LABELS = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
    MemberState.LEFT: "left",
}


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member, as it is gossiped.

    reporter: the member that reports it; updates of different reporters confirm a suspicion. metadata: set by the
    member itself, here to the address from which its knowledge can be fetched.
    """

    name: Text
    host: Text
    port: Port
    state: MemberState
    incarnation: Number
    reporter: OptionalText = ""
    metadata: OptionalText = ""


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks a member for an `Ack`. target: its name, or empty if the name is unknown, as for a seed."""

    seq: Number
    target: OptionalText
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The reply to a `Ping` or an `IndirectPing`. sender: the member that was pinged."""

    seq: Number
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class IndirectPing(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Asks another member to ping the target. The reply is an `Ack`, or a `Nack` if the target does not reply."""

    seq: Number
    target: Text
    host: Text
    port: Port
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The reply to an `IndirectPing` whose target has not replied in time."""

    seq: Number
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class Sync(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A part of the sender's full state. reply_requested: the receiver is to send its own full state in return."""

    reply_requested: bool
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


Message = Ping | Ack | IndirectPing | Nack | Sync
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as the body of a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode the body of a datagram. Raises MalformedMessageError."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedMessageError(f"more than {MAX_DATAGRAM_BYTES} bytes", len(data))
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise MalformedMessageError(str(err), len(data)) from err


def with_updates(message: Message, updates: Sequence[MemberUpdate]) -> Message:
    """Return the message with as many of the updates, from the first one on, as fit into one datagram."""
    remaining_bytes = MAX_DATAGRAM_BYTES - SEAL_BYTES - len(encode(message)) - MAX_ARRAY_HEADER_BYTES
    fitting = 0
    for update in updates:
        remaining_bytes -= len(_ENCODER.encode(update))
        if remaining_bytes < 0:
            break
        fitting += 1
    return msgspec.structs.replace(message, updates=tuple(updates[:fitting]))
