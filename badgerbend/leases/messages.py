"""Messages about leases, the commands of the voters' log, and messages between brokers for the duties. Pure.

All are arrays in MessagePack, so that field names are not on the wire, but their order is. Every size is bounded when a
message is decoded, before anything in it is believed.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES, Number, Text, TextOrNone, decode_typed

MAX_DUTIES = 16  # of one broker: a message about all of them fits into a datagram
MAX_REQUEST_DELAY_S = 60.0
MAX_SERVERS = 16  # named in one datagram
MAX_KEY_BYTES = 64
MAX_VALUE_BYTES = MAX_COMMAND_BYTES - 200  # the rest is left for the command around the value
Load = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # parts in flight at a broker
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # milliseconds
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # parts a millisecond
Timestamp = Annotated[float, msgspec.Meta(ge=0, le=1e15)]  # milliseconds since 1970

# -- commands of the log


class GrantLease(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Grants a duty that is free to a broker; the index of the log's entry is the epoch of the lease.

    previous_epoch: of the last lease on the duty, 0 if there was none; the command has no effect if it is another.
    """

    duty: Text
    holder: Text
    previous_epoch: Number


class ReleaseLease(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Ends the lease of this epoch, which has expired or was returned by its holder."""

    duty: Text
    epoch: Number


class PutValue(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Stores a value that the fleet agrees on, such as the version in force. An empty value removes the key.

    previous_index: the index of the log entry that stored the value to be replaced, 0 if there must be none. The
    command has no effect if the present value is from another entry.
    """

    key: Key
    value: Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
    previous_index: Number


Command = GrantLease | ReleaseLease | PutValue

# -- between brokers and voters


class Candidacy(msgspec.Struct, array_like=True, frozen=True):
    """A broker's candidacy for one duty, or the renewal of its lease on it.

    epoch: of the lease that it holds, 0 if it holds none. is_local: whether the broker is at the duty's own site.
    is_failing: the broker runs, but its acts on the duty have no effect.
    """

    duty: Text
    epoch: Number
    is_local: bool
    is_failing: bool


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A broker states its candidacies, and asks for a renewal of the leases that it holds.

    seq: the broker's own number, sent back in the reply. address: where other brokers reach it.
    """

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
    """A broker returns leases under which it acts no more. is_departing: it is a candidate for nothing any more."""

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
    """Servers, by name, that a broker suspects; sent to the broker that checks the health of servers."""

    source: Text
    duty: Text
    servers: Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class ProbeResult(msgspec.Struct, array_like=True, frozen=True):
    """The result of one health check. age_ms: how long ago the check was started."""

    server: Text
    succeeded: bool
    latency_ms: Duration
    age_ms: Duration


class ProbeReport(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """An act of the broker that checks the health of servers: its results, under the epoch of its lease."""

    source: Text
    duty: Text
    epoch: Number
    results: Annotated[tuple[ProbeResult, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class BudgetDemand(msgspec.Struct, array_like=True, frozen=True):
    """What a broker would send to a server that is warming up, or to a recovering site, and what its own share is.

    started_ms: when the server started, as the endpoint list states it, so that a message about an earlier start of
    the same server means nothing now; 0 for a site. acknowledged_request: the number of the request whose grant the
    broker goes by, 0 if it has none.
    """

    resource: Text
    started_ms: Timestamp
    own_rate: Rate
    demand_rate: Rate
    acknowledged_request: Number


class BudgetRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A broker's demands, sent to the allocator. seq: the broker's own number, sent back in the reply."""

    source: Text
    duty: Text
    seq: Number
    demands: Annotated[tuple[BudgetDemand, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class BudgetGrant(msgspec.Struct, array_like=True, frozen=True):
    """What a broker may send to a resource, in place of its own share."""

    resource: Text
    started_ms: Timestamp
    rate: Rate


class BudgetReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """An act of the allocator, in reply to a `BudgetRequest`: its grants count from when that was sent."""

    source: Text
    duty: Text
    epoch: Number
    seq: Number
    grants: Annotated[tuple[BudgetGrant, ...], msgspec.Meta(max_length=MAX_SERVERS)]


PeerMessage = SuspicionReport | ProbeReport | BudgetRequest | BudgetReply

_encoder = msgspec.msgpack.Encoder()
_command_decoder = msgspec.msgpack.Decoder(Command)
_message_decoder = msgspec.msgpack.Decoder(Message)
_peer_message_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode(message: Message | Command | PeerMessage) -> bytes:
    """The bytes of a message or command."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Reads a message between brokers and voters. Raises MalformedMessageError."""
    return decode_typed(_message_decoder, data)


def decode_peer_message(data: bytes) -> PeerMessage:
    """Reads a message between brokers. Raises MalformedMessageError."""
    return decode_typed(_peer_message_decoder, data)


def decode_command(data: bytes) -> Command:
    """Reads a command of the log. Raises MalformedMessageError."""
    return decode_typed(_command_decoder, data)
