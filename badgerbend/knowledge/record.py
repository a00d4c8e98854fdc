"""The record of what one broker has observed, with a version, size limits and typed fields.

It contains only what the broker observed itself, never what it learned from peers: an old observation that is passed on
would otherwise look fresh. Observations have ages instead of timestamps, because the clocks of different machines are
not compared. Servers are identified by their names on the endpoint list, since their numbers differ between brokers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated

import msgspec

from badgerbend import api

VERSION = 1
MAX_SERVERS = 2000
MAX_ANSWERS = 400
MAX_REDUNDANCY_CHOICES = 200
MAX_RECORD_BYTES = 1_000_000
MAX_MS = 1e9
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MS)]


class RecordError(Exception):
    """The data is not a record that this broker can read."""


class RecordTooLargeError(RecordError):
    """The record is longer than `MAX_RECORD_BYTES`."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"record has {size_bytes} bytes; at most {MAX_RECORD_BYTES} are allowed")
        self.size_bytes = size_bytes


class MalformedRecordError(RecordError):
    """The record cannot be decoded, or has a value out of range. reason: what is wrong with it."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed record: {reason}")
        self.reason = reason


class RecordVersionError(RecordError):
    """The record has a version that this broker does not support."""

    def __init__(self, version: int) -> None:
        super().__init__(f"record has version {version}; this broker supports version {VERSION}")
        self.version = version


class ServerObservation(msgspec.Struct, array_like=True, frozen=True):
    """What was observed of one server.

    time_ms: its typical latency for a part; age_ms: the time since that was observed; dead: whether it has refused or
    reset connections since.
    """

    name: Name
    time_ms: Milliseconds
    age_ms: Milliseconds
    dead: bool = False


class AnswerLatency(msgspec.Struct, array_like=True, frozen=True):
    """The latency of one part. censored: the part was cancelled or lost, so its latency would have been longer."""

    age_ms: Milliseconds
    latency_ms: Milliseconds
    censored: bool


class KnowledgeRecord(msgspec.Struct, frozen=True):
    """What one broker has observed. Field names are part of the encoding.

    broker, zone: the index and the zone of the broker; open_parts: its parts in flight; servers: the most recently
    observed first; answers: the oldest first; chosen: the chosen redundancy, in rows of the number of parts needed,
    the number of all parts and the number of attempts sent.
    """

    version: int
    broker: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    zone: Annotated[int, msgspec.Meta(ge=0, le=255)]
    open_parts: Annotated[int, msgspec.Meta(ge=0, le=100_000_000)]
    servers: Annotated[tuple[ServerObservation, ...], msgspec.Meta(max_length=MAX_SERVERS)]
    answers: Annotated[tuple[AnswerLatency, ...], msgspec.Meta(max_length=MAX_ANSWERS)]
    chosen: Annotated[tuple[tuple[int, int, int], ...], msgspec.Meta(max_length=MAX_REDUNDANCY_CHOICES)] = ()


_DECODER = msgspec.msgpack.Decoder(KnowledgeRecord)
_ENCODER = msgspec.msgpack.Encoder()


def encode(record: KnowledgeRecord) -> bytes:
    """Encode a record in MessagePack."""
    return _ENCODER.encode(record)


def decode(data: bytes) -> KnowledgeRecord:
    """Decode a record. Raises RecordError if it is too large, malformed or of another version."""
    if len(data) > MAX_RECORD_BYTES:
        raise RecordTooLargeError(len(data))
    try:
        record = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise MalformedRecordError(str(err)) from err
    if record.version != VERSION:
        raise RecordVersionError(record.version)
    return record


def make_record(
    observations: api.Observations,
    names: Mapping[int, str],
    broker: int,
    zone: int,
    open_parts: int,
    chosen: Mapping[tuple[int, int], int],
) -> KnowledgeRecord:
    """Make a record of a broker's own observations, limited to the most recently observed servers.

    names: of servers, by their numbers in the observations; chosen: the number of attempts sent, by the number of parts
    needed and the number of all parts.
    """
    latest = sorted(observations.nodes, key=lambda observation: observation.age_ms)[:MAX_SERVERS]
    servers = tuple(
        ServerObservation(
            names[observation.node],
            min(observation.response_time_ms, MAX_MS),
            min(observation.age_ms, MAX_MS),
            observation.is_down,
        )
        for observation in latest
        if observation.node in names
    )
    answers = tuple(
        AnswerLatency(min(age_ms, MAX_MS), min(latency_ms, MAX_MS), censored)
        for age_ms, latency_ms, censored in observations.answers[-MAX_ANSWERS:]
    )
    choices = list(chosen.items())[:MAX_REDUNDANCY_CHOICES]
    rows = tuple((needed, parts, attempts) for (needed, parts), attempts in choices)
    return KnowledgeRecord(VERSION, broker, zone, open_parts, servers, answers, rows)


def aged(record: KnowledgeRecord, by_ms: float) -> KnowledgeRecord:
    """Return the record with all ages increased by the time that it spent in transit or in a file.

    A negative time counts as 0, so that no observation becomes younger.
    """
    increase_ms = max(by_ms, 0.0)
    servers = tuple(
        ServerObservation(server.name, server.time_ms, min(server.age_ms + increase_ms, MAX_MS), server.dead)
        for server in record.servers
    )
    answers = tuple(
        AnswerLatency(min(answer.age_ms + increase_ms, MAX_MS), answer.latency_ms, answer.censored)
        for answer in record.answers
    )
    return msgspec.structs.replace(record, servers=servers, answers=answers)
