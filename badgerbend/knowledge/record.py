"""The record of what one broker has seen: versioned, bounded, typed. Ages only, no clock is compared.

It holds what the broker saw itself, never what it was told, so that no news of news can pass as fresh. Servers go by
their names on the list, since numbers are each broker's own.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec

from badgerbend import api

VERSION = 1
MAX_SERVERS, MAX_ANSWERS, MAX_RECORD_BYTES = 2000, 400, 1_000_000
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Ms = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class ServerObservation(msgspec.Struct, array_like=True, frozen=True):
    """time_ms: a usual part's; age_ms: since that was seen; dead: it refused or broke connections since."""

    name: Name
    time_ms: Ms
    age_ms: Ms
    dead: bool = False


class AnswerLatency(msgspec.Struct, array_like=True, frozen=True):
    """A part's latency; censored: it was called off, lost, or is longer than that."""

    age_ms: Ms
    latency_ms: Ms
    censored: bool


class KnowledgeRecord(msgspec.Struct, frozen=True):
    """All of it. zone, broker: whose; open_parts: its own load."""

    version: int
    broker: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    zone: Annotated[int, msgspec.Meta(ge=0, le=255)]
    open_parts: Annotated[int, msgspec.Meta(ge=0, le=100_000_000)]
    servers: Annotated[tuple[ServerObservation, ...], msgspec.Meta(max_length=MAX_SERVERS)]
    answers: Annotated[tuple[AnswerLatency, ...], msgspec.Meta(max_length=MAX_ANSWERS)]
    chosen: Annotated[tuple[tuple[int, int, int], ...], msgspec.Meta(max_length=200)] = ()  # m, k, r


class RecordError(Exception):
    """Bytes that are no record of this version, or out of bounds."""


_DECODER = msgspec.msgpack.Decoder(KnowledgeRecord)
_ENCODER = msgspec.msgpack.Encoder()


def encode(record: KnowledgeRecord) -> bytes:
    return _ENCODER.encode(record)


def decode(data: bytes) -> KnowledgeRecord:
    """Raises BadRecord."""
    if len(data) > MAX_RECORD_BYTES:
        raise RecordError(f"{len(data)} bytes")
    try:
        record = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise RecordError(str(err)) from err
    if record.version != VERSION:
        raise RecordError(f"version {record.version}; this broker reads {VERSION}")
    return record


def make_record(
    known: api.Observations,
    names: Mapping[int, str],
    broker: int,
    zone: int,
    open_parts: int,
    chosen: Mapping[tuple[int, int], int],
) -> KnowledgeRecord:
    """A record of what the module has seen; the freshest servers where there are too many."""
    seen = sorted(known.nodes, key=lambda s: s.age_ms)[:MAX_SERVERS]
    servers = tuple(
        ServerObservation(names[s.node], min(s.time_ms, 1e9), min(s.age_ms, 1e9), s.dead)
        for s in seen
        if s.node in names
    )
    answers = tuple(AnswerLatency(min(a, 1e9), min(ms, 1e9), gone) for a, ms, gone in known.answers[-MAX_ANSWERS:])
    rows = tuple((m, k, r) for (m, k), r in list(chosen.items())[:200])
    return KnowledgeRecord(VERSION, broker, zone, open_parts, servers, answers, rows)


def aged(record: KnowledgeRecord, by_ms: float) -> KnowledgeRecord:
    """The same seen so much longer ago: on its way, or on a disk."""
    grow: Callable[[float], float] = lambda age: min(age + max(by_ms, 0.0), 1e9)  # noqa: E731
    return msgspec.structs.replace(
        record,
        servers=tuple(ServerObservation(s.name, s.time_ms, grow(s.age_ms), s.dead) for s in record.servers),
        answers=tuple(AnswerLatency(grow(a.age_ms), a.latency_ms, a.censored) for a in record.answers),
    )
