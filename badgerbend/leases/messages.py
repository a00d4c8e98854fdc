"""What brokers and voters say about duties, and the commands of the log; typed arrays in MessagePack, bounded."""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES, Number, Text, TextOrNone, decode_typed

MAX_DUTIES = 16  # that one broker stands for: a message about all of them fits a datagram
MAX_WAIT_S = 60.0
MAX_SERVERS = 16  # that one datagram names
MAX_KEY_BYTES = 64
MAX_VALUE_BYTES = MAX_COMMAND_BYTES - 200
Load = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Took = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # milliseconds
Pace = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Time = Annotated[float, msgspec.Meta(ge=0, le=1e15)]

# -- commands of the log


class GrantLease(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The duty is free, and `over` was its last epoch: it goes to `holder`, and the entry's index is its epoch."""

    duty: Text
    holder: Text
    over: Number


class ReleaseLease(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The lease of this epoch is over: its time has run out, or its holder gave it back."""

    duty: Text
    epoch: Number


class PutFact(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A fact that the fleet agrees on, as which version is in force. over: the index of the word it replaces, 0 where
    there must be none. An empty value takes it back."""

    key: Key
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
    over: Number


Command = GrantLease | ReleaseLease | PutFact

# -- between brokers and voters


class Candidacy(msgspec.Struct, array_like=True, frozen=True):
    """A broker's word on one duty. epoch: of the lease it holds, 0 for none. near: whether it is at the duty's own
    site. failing: it is up, but its acts come to nothing."""

    duty: Text
    epoch: Number
    near: bool
    failing: bool


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A broker stands for these duties, and renews what it holds of them. seq: of its own, sent back in the answer.
    at: where other brokers reach it."""

    source: Text
    seq: Number
    at: Text
    load: Load
    votes: bool
    stands: Annotated[tuple[Candidacy, ...], msgspec.Meta(max_length=MAX_DUTIES)]


class LeaseReturn(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A broker has stopped acting and gives leases back: duty and epoch. gone: it stands for nothing any more."""

    source: Text
    seq: Number
    held: Annotated[tuple[tuple[Text, Number], ...], msgspec.Meta(max_length=MAX_DUTIES)]
    gone: bool


class LeaseState(msgspec.Struct, array_like=True, frozen=True):
    """Who holds a duty, by its leader, and where it is reached, where that is known. renewed: the lease runs anew from
    when the answered `Want` was sent. yields: somebody better placed waits, the holder is asked to give it back."""

    duty: Text
    holder: TextOrNone
    at: TextOrNone
    epoch: Number
    renewed: bool
    yields: bool


class LeaseReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A voter's answer. seq: of the `Want` or `Leave`, 0 where it comes unasked. leader: whom to ask; empty while there
    is none. leads: whether that is the voter that speaks. wait_s: others stand who show themselves often enough; a
    broker that holds nothing need not for so long."""

    source: Text
    seq: Number
    leader: TextOrNone
    leads: bool
    lines: Annotated[tuple[LeaseState, ...], msgspec.Meta(max_length=MAX_DUTIES)]
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)] = 0.0


Message = LeaseRequest | LeaseReturn | LeaseReply

# -- between brokers, for a duty


class SuspicionReport(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Servers, by name, that a broker doubts: a word to whoever probes them."""

    source: Text
    duty: Text
    servers: Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class ProbeResult(msgspec.Struct, array_like=True, frozen=True):
    """What a probe found: whether the server served it, how long that took, how long ago it was sent, in ms."""

    server: Text
    served: bool
    took_ms: Took
    age_ms: Took


class ProbeReport(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """An act of probing: what its holder found, under its epoch."""

    source: Text
    duty: Text
    epoch: Number
    rows: Annotated[tuple[ProbeResult, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class BudgetDemand(msgspec.Struct, array_like=True, frozen=True):
    """What a broker would send to a cold server or a returning site, and what its own share is, in parts a ms. started:
    as the list states it, so that a word on an earlier start of the same server speaks of nothing now. heard: the ask
    whose answer the broker keeps to, 0 for none."""

    thing: Text
    started: Time
    own: Pace
    wanted: Pace
    heard: Number


class BudgetRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A broker's word to the dealer of cold allowance. seq: of its own, sent back with the slices."""

    source: Text
    duty: Text
    seq: Number
    needs: Annotated[tuple[BudgetDemand, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class BudgetGrant(msgspec.Struct, array_like=True, frozen=True):
    """What a broker may send to a thing, in the place of its own share, in parts a ms."""

    thing: Text
    started: Time
    pace: Pace


class BudgetReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """An act of dealing, the answer to an `Ask`: its slices last from when that was sent."""

    source: Text
    duty: Text
    epoch: Number
    seq: Number
    slices: Annotated[tuple[BudgetGrant, ...], msgspec.Meta(max_length=MAX_SERVERS)]


PeerMessage = SuspicionReport | ProbeReport | BudgetRequest | BudgetReply

_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_message_decoder = msgspec.msgpack.Decoder(Message)
_act_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode(what: Message | Command | PeerMessage) -> bytes:
    return _encoder.encode(what)


def decode(data: bytes) -> Message:
    """Raises Malformed."""
    return decode_typed(_message_decoder, data)


def decode_peer_message(data: bytes) -> PeerMessage:
    """Raises Malformed."""
    return decode_typed(_act_decoder, data)


def decode_command(data: bytes) -> Command:
    """Raises Malformed."""
    return decode_typed(_command_decoder, data)
