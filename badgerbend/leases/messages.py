"""What brokers and voters say about duties, and the commands of the log; typed arrays in MessagePack, bounded."""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES, Number, Text, TextOrNone, decode_typed

MAX_DUTIES = 16  # that one broker stands for: a message about all of them fits a datagram
MAX_REQUEST_DELAY_S = 60.0
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
    """The duty is free, and `previous_epoch` was its last: it goes to `holder`, and the entry's index is its epoch."""

    duty: Text
    holder: Text
    previous_epoch: Number


class ReleaseLease(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The lease of this epoch is over: its time has run out, or its holder gave it back."""

    duty: Text
    epoch: Number


class PutFact(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A fact that the fleet agrees on, as which version is in force. previous_index: of the entry that it
    replaces, 0 where there must be none. An empty value takes it back."""

    key: Key
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
    previous_index: Number


Command = GrantLease | ReleaseLease | PutFact

# -- between brokers and voters


class Candidacy(msgspec.Struct, array_like=True, frozen=True):
    """A broker's word on one duty. epoch: of the lease it holds, 0 for none. is_local: whether it is at the duty's own
    site. is_failing: it is up, but its acts come to nothing."""

    duty: Text
    epoch: Number
    is_local: bool
    is_failing: bool


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A broker stands for these duties, and renews what it holds of them. seq: of its own, sent back in the answer.
    address: where other brokers reach it."""

    source: Text
    seq: Number
    address: Text
    load: Load
    is_voter: bool
    candidacies: Annotated[tuple[Candidacy, ...], msgspec.Meta(max_length=MAX_DUTIES)]


class LeaseId(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One lease: no two leases on a duty have the same epoch."""

    duty: Text
    epoch: Number


class LeaseReturn(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A broker has stopped acting and gives leases back. is_departing: it stands for nothing any more."""

    source: Text
    seq: Number
    returned_leases: Annotated[tuple[LeaseId, ...], msgspec.Meta(max_length=MAX_DUTIES)]
    is_departing: bool


class LeaseState(msgspec.Struct, array_like=True, frozen=True):
    """Who holds a lease, as the leader states it, and the holder's address where that is known.

    renewed: the lease runs anew from when the answered `LeaseRequest` was sent. should_yield: another candidate is
    better placed, and the holder is asked to return the lease.
    """

    duty: Text
    holder: TextOrNone
    address: TextOrNone
    epoch: Number
    renewed: bool
    should_yield: bool


class LeaseReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A voter's reply. seq: of the `LeaseRequest` or `LeaseReturn`, 0 where it answers none.

    leader: the voter to send requests to; empty while there is none. is_leader: whether that is the sender.
    request_delay_s: how long a broker that holds nothing may wait before its next request, since there are enough
    other candidates that send theirs often.
    """

    source: Text
    seq: Number
    leader: TextOrNone
    is_leader: bool
    leases: Annotated[tuple[LeaseState, ...], msgspec.Meta(max_length=MAX_DUTIES)]
    request_delay_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_REQUEST_DELAY_S)] = 0.0


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
    succeeded: bool
    latency_ms: Took
    age_ms: Took


class ProbeReport(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """An act of probing: what its holder found, under its epoch."""

    source: Text
    duty: Text
    epoch: Number
    results: Annotated[tuple[ProbeResult, ...], msgspec.Meta(max_length=MAX_SERVERS)]


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
