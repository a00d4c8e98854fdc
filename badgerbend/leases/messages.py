"""Messages about leases, commands of the voters' log, and messages between brokers for the duties.

All are encoded as MessagePack arrays: the names of fields are not on the wire, but their order is. Decoding checks the
bounds of every size before anything in a message is used.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES, Number, Text, TextOrNone, decode_typed

MAX_DUTIES = 16  # per broker, so that a message about all of them fits into a datagram
MAX_REQUEST_DELAY_S = 60.0  # the longest delay that a voter may impose on a candidate
MAX_SERVERS = 16  # servers, or resources of the slow-start budget, in one datagram
MAX_KEY_BYTES = 64
MAX_VALUE_BYTES = MAX_COMMAND_BYTES - 200  # the rest is left for the command around the value
Load = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # parts in flight at a broker
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Duration = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # milliseconds
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # parts a millisecond
Timestamp = Annotated[float, msgspec.Meta(ge=0, le=1e15)]  # milliseconds since 1970

# -- commands of the log


class GrantLease(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Grants a free duty to a broker. The index of the log entry becomes the epoch of the lease.

    previous_epoch: of the last lease on the duty, 0 if there was none. The command has no effect if the table has
    another epoch.
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
    """A broker's candidacy for one duty, or its request to renew its lease on the duty.

    epoch: of the lease that it holds, 0 if it holds none. is_local: whether the broker is at the duty's own site.
    is_failing: the broker runs, but its work on the duty has no effect.
    """

    duty: Text
    epoch: Number
    is_local: bool
    is_failing: bool


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A broker's candidacies, and its request to renew the leases that it holds.

    seq: the sender's number of the request, returned in the reply. address: where other brokers reach the sender.
    """

    source: Text
    seq: Number
    address: Text
    load: Load
    is_voter: bool
    candidacies: Annotated[tuple[Candidacy, ...], msgspec.Meta(max_length=MAX_DUTIES)]


class LeaseId(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The identity of a lease: no two leases on a duty have the same epoch."""

    duty: Text
    epoch: Number


class LeaseReturn(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A broker's return of leases that it no longer uses. is_departing: it also ends all of its candidacies."""

    source: Text
    seq: Number
    returned_leases: Annotated[tuple[LeaseId, ...], msgspec.Meta(max_length=MAX_DUTIES)]
    is_departing: bool


class LeaseState(msgspec.Struct, array_like=True, frozen=True):
    """The holder of a duty's lease as the leader knows it, with the holder's address if that is known.

    renewed: the lease was renewed and counts from when the answered `LeaseRequest` was sent. should_yield: the holder
    is to return the lease, because another candidate is better placed or because the holder fails at the duty.
    """

    duty: Text
    holder: TextOrNone
    address: TextOrNone
    epoch: Number
    renewed: bool
    should_yield: bool


class LeaseReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A voter's reply. seq: of the `LeaseRequest` or `LeaseReturn`; 0 for a notification that answers neither.

    leader: the voter to send requests to; empty while there is none. is_leader: whether the sender leads.
    request_delay_s: how long a broker without a lease may wait before its next request, because enough other
    candidates send requests frequently.
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
    """The names of servers that a broker suspects, sent to the broker that runs the health checks."""

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
    """Results of health checks, sent by the broker that runs them, under the epoch of its lease."""

    source: Text
    duty: Text
    epoch: Number
    results: Annotated[tuple[ProbeResult, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class BudgetDemand(msgspec.Struct, array_like=True, frozen=True):
    """A broker's demand for a server that is warming up or a site that recovers, and its own rate for it.

    started_ms: the start time of the server from the endpoint list, so that messages about an earlier start of the
    same server do not apply; 0 for a site. acknowledged_request: the number of the request whose grant binds the
    broker, 0 if none does.
    """

    resource: Text
    started_ms: Timestamp
    own_rate: Rate
    demand_rate: Rate
    acknowledged_request: Number


class BudgetRequest(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A broker's demands, sent to the allocator. seq: the sender's number of the request, returned in the reply."""

    source: Text
    duty: Text
    seq: Number
    demands: Annotated[tuple[BudgetDemand, ...], msgspec.Meta(max_length=MAX_SERVERS)]


class BudgetGrant(msgspec.Struct, array_like=True, frozen=True):
    """The rate at which a broker may send to a resource, in place of its own rate."""

    resource: Text
    started_ms: Timestamp
    rate: Rate


class BudgetReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """The allocator's reply to a `BudgetRequest`, under the epoch of its lease.

    The broker counts the validity of the grants from when it sent that request.
    """

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
    """Encodes a message or command."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decodes a message between brokers and voters. Raises MalformedMessageError."""
    return decode_typed(_message_decoder, data)


def decode_peer_message(data: bytes) -> PeerMessage:
    """Decodes a message between brokers. Raises MalformedMessageError."""
    return decode_typed(_peer_message_decoder, data)


def decode_command(data: bytes) -> Command:
    """Decodes a command of the log. Raises MalformedMessageError."""
    return decode_typed(_command_decoder, data)
