"""Requests and answers of remote read: bytes in, checked values out, and back. Limits hold before any unpacking."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import cramjam
from google.protobuf.message import DecodeError

from badgerbend.remote import remote_pb2 as pb
from badgerbend.remote import xor
from badgerbend.remote.frames import frame
from badgerbend.remote.matchers import BadMatcher, Matcher, matcher
from badgerbend.remote.merge import packed
from badgerbend.remote.series import XOR, BadPart, Block, Labels, Series

SAMPLES, CHUNKS = 0, 1
FRAME_BYTES = 1 << 20  # of chunks in a frame, beyond which a series goes on in the next; as Prometheus frames them


class BadRequest(ValueError):
    """A request that cannot be served, in words for the client."""


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """What a request may bring. unpacked_bytes: after decompression."""

    unpacked_bytes: int = 1 << 20
    queries: int = 64
    matchers: int = 64
    span_ms: int = 400 * 24 * 3600 * 1000


@dataclass(frozen=True, slots=True)
class Hints:
    """What a client means to do with the samples; it binds nobody."""

    step_ms: int = 0
    func: str = ""
    start_ms: int = 0
    end_ms: int = 0
    range_ms: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """One query of a request: both times included, milliseconds."""

    start_ms: int
    end_ms: int
    matchers: tuple[Matcher, ...]
    hints: Hints


def request(body: bytes, limits: ReadLimits) -> tuple[list[Read], int]:
    """The queries of a request and the type of answer: the first accepted one that is known. Raises BadRequest."""
    got = pb.ReadRequest()
    try:
        got.ParseFromString(unpacked(body, limits.unpacked_bytes))
    except DecodeError as err:
        raise BadRequest(f"no ReadRequest: {err}") from err
    if len(got.queries) > limits.queries:
        raise BadRequest(f"{len(got.queries)} queries, {limits.queries} are allowed")
    accepted = list(got.accepted_response_types) or [SAMPLES]
    kind = next((kind for kind in accepted if kind in (SAMPLES, CHUNKS)), None)
    if kind is None:
        raise BadRequest(f"accepted response types {accepted}: none of them is known here")
    return [_read(query, place, limits) for place, query in enumerate(got.queries)], kind


def _read(query: pb.Query, place: int, limits: ReadLimits) -> Read:
    start, end = query.start_timestamp_ms, query.end_timestamp_ms
    if end < start:
        raise BadRequest(f"query {place} ends at {end}, before its start at {start}")
    if end - start > limits.span_ms:
        raise BadRequest(f"query {place} spans {end - start} ms, {limits.span_ms} are allowed")
    if not 0 < len(query.matchers) <= limits.matchers:
        raise BadRequest(f"query {place} has {len(query.matchers)} matchers, 1 to {limits.matchers} are allowed")
    try:
        matchers = tuple(matcher(m.type, m.name, m.value) for m in query.matchers)
    except BadMatcher as err:
        raise BadRequest(f"query {place}: {err}") from err
    h = query.hints
    return Read(start, end, matchers, Hints(h.step_ms, h.func, h.start_ms, h.end_ms, h.range_ms))


def unpacked(body: bytes, most: int) -> bytes:
    """A snappy block, whose first bytes tell its size: refused before it is unpacked. Raises BadRequest."""
    size = shift = 0
    for byte in body[:5]:
        size |= (byte & 0x7F) << shift
        shift += 7
        if byte < 0x80:
            break
    else:
        raise BadRequest("no snappy block")
    if size > most:
        raise BadRequest(f"{size} bytes unpacked, {most} are allowed")
    try:
        return bytes(cramjam.snappy.decompress_raw(body))
    except cramjam.DecompressionError as err:
        raise BadRequest(f"no snappy block: {err}") from err


def asked(reads: Iterable[Read], kind: Any) -> bytes:
    """A request as it goes to a server, the reverse of `request`."""
    out = pb.ReadRequest(accepted_response_types=[kind])
    for read in reads:
        h = read.hints
        out.queries.add(
            start_timestamp_ms=read.start_ms,
            end_timestamp_ms=read.end_ms,
            matchers=[pb.LabelMatcher(**_fields(m)) for m in read.matchers],
            hints=pb.ReadHints(
                step_ms=h.step_ms, func=h.func, start_ms=h.start_ms, end_ms=h.end_ms, range_ms=h.range_ms
            ),
        )
    return bytes(cramjam.snappy.compress_raw(out.SerializeToString()))


def _fields(m: Matcher) -> dict[str, Any]:
    return {"type": m.kind, "name": m.name, "value": m.value}


# -- Answers.
def streamed(place: int, series: Iterable[Series], most: int = FRAME_BYTES) -> Iterator[bytes]:
    """One query's answer as frames, one after the other: nothing beyond a frame is held."""
    for one in series:
        some: list[Block] = []
        size = 0
        for block in one.blocks:
            if some and size + len(block.data) > most:
                yield _frame(place, one.labels, some)
                some, size = [], 0
            some.append(block)
            size += len(block.data)
        yield _frame(place, one.labels, some)


def _frame(place: int, labels: Labels, blocks: list[Block]) -> bytes:
    chunks = [pb.Chunk(**_chunk(block)) for block in blocks]
    series = pb.ChunkedSeries(labels=[pb.Label(name=n, value=v) for n, v in labels], chunks=chunks)
    return frame(pb.ChunkedReadResponse(chunked_series=[series], query_index=place).SerializeToString())


def _chunk(block: Block) -> dict[str, Any]:
    return {"min_time_ms": block.first_ms, "max_time_ms": block.last_ms, "type": block.kind, "data": block.data}


def sampled(results: Iterable[Iterable[Series]], reads: list[Read]) -> bytes:
    """All queries' answers as samples within their times, packed. Raises BadPart for chunks that are none."""
    out = pb.ReadResponse()
    for series, read in zip(results, reads, strict=True):
        result = out.results.add()
        for one in series:
            found = [s for block in one.blocks for s in _samples(block, one.labels) if _within(s[0], read)]
            if found:
                result.timeseries.add(
                    labels=[pb.Label(name=n, value=v) for n, v in one.labels],
                    samples=[pb.Sample(timestamp=t, value=v) for t, v in found],
                )
    return bytes(cramjam.snappy.compress_raw(out.SerializeToString()))


def _within(at: int, read: Read) -> bool:
    return read.start_ms <= at <= read.end_ms


def _samples(block: Block, labels: Labels) -> Iterator[tuple[int, float]]:
    if block.kind != XOR:
        raise BadPart(f"{labels}: histograms are read as streamed chunks only")
    try:
        yield from xor.decode(block.data)
    except xor.BadChunk as err:
        raise BadPart(f"{labels}: a chunk: {err}") from err


def from_chunks(messages: Iterable[bytes]) -> Iterator[tuple[int, Series]]:
    """A server's frames as series with their query's place; those that go on over frames are joined. Raises BadPart."""
    held: tuple[int, Series] | None = None
    for message in messages:
        got = pb.ChunkedReadResponse()
        try:
            got.ParseFromString(message)
        except DecodeError as err:
            raise BadPart(f"no ChunkedReadResponse: {err}") from err
        for one in got.chunked_series:
            labels = tuple((x.name, x.value) for x in one.labels)
            blocks = [Block(c.min_time_ms, c.max_time_ms, c.data, c.type) for c in one.chunks]
            if held is not None and held[0] == got.query_index and held[1].labels == labels:
                held[1].blocks.extend(blocks)
                continue
            if held is not None:
                yield held
            held = got.query_index, Series(labels, blocks)
    if held is not None:
        yield held


def from_samples(body: bytes, most: int) -> Iterator[tuple[int, Series]]:
    """A server's sampled answer, as `from_chunks`. Raises BadPart."""
    got = pb.ReadResponse()
    try:
        got.ParseFromString(unpacked(body, most))
    except (BadRequest, DecodeError) as err:
        raise BadPart(f"no ReadResponse: {err}") from err
    for place, result in enumerate(got.results):
        for one in result.timeseries:
            if one.histograms:
                raise BadPart("histograms are read as streamed chunks only")
            samples = [(s.timestamp, s.value) for s in one.samples]
            if any(a[0] >= b[0] for a, b in zip(samples, samples[1:], strict=False)):
                raise BadPart("samples out of the order of their times")
            yield place, Series(tuple((x.name, x.value) for x in one.labels), packed(samples))
