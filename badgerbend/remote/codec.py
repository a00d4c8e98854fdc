"""Encodes and decodes requests and answers of remote read. Size limits are checked before data is decompressed."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import cramjam
from google.protobuf.message import DecodeError

from badgerbend.remote import remote_pb2 as pb
from badgerbend.remote import xor
from badgerbend.remote.frames import frame
from badgerbend.remote.matchers import BadMatcher, Matcher, compile_matcher
from badgerbend.remote.merge import to_chunks
from badgerbend.remote.series import XOR, BadPart, Chunk, Labels, Series

SAMPLES, CHUNKS = 0, 1
MAX_FRAME_BYTES = 1 << 20  # of chunks in a frame; a longer series continues in the next frame, as in Prometheus


class BadRequest(ValueError):
    """A request is invalid or exceeds a limit; the message is sent to the client."""


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits on a request. decompressed_bytes: its size after decompression."""

    decompressed_bytes: int = 1 << 20
    queries: int = 64
    matchers: int = 64
    span_ms: int = 400 * 24 * 3600 * 1000


@dataclass(frozen=True, slots=True)
class Hints:
    """How the client intends to use the samples. Servers may ignore the hints."""

    step_ms: int = 0
    func: str = ""
    start_ms: int = 0
    end_ms: int = 0
    range_ms: int = 0


@dataclass(frozen=True, slots=True)
class ReadQuery:
    """One query of a request. Its times are in milliseconds, and both are inclusive."""

    start_ms: int
    end_ms: int
    matchers: tuple[Matcher, ...]
    hints: Hints


def decode_request(body: bytes, limits: ReadLimits) -> tuple[list[ReadQuery], int]:
    """The queries of a request and the first accepted response type that is supported. Raises BadRequest."""
    message = pb.ReadRequest()
    try:
        message.ParseFromString(decompress(body, limits.decompressed_bytes))
    except DecodeError as err:
        raise BadRequest(f"no ReadRequest: {err}") from err
    if len(message.queries) > limits.queries:
        raise BadRequest(f"{len(message.queries)} queries, {limits.queries} are allowed")
    accepted = list(message.accepted_response_types) or [SAMPLES]
    response_type = next((kind for kind in accepted if kind in (SAMPLES, CHUNKS)), None)
    if response_type is None:
        raise BadRequest(f"accepted response types {accepted}: none of them is known here")
    return [_decode_query(query, index, limits) for index, query in enumerate(message.queries)], response_type


def _decode_query(query: pb.Query, index: int, limits: ReadLimits) -> ReadQuery:
    start, end = query.start_timestamp_ms, query.end_timestamp_ms
    if end < start:
        raise BadRequest(f"query {index} ends at {end}, before its start at {start}")
    if end - start > limits.span_ms:
        raise BadRequest(f"query {index} spans {end - start} ms, {limits.span_ms} are allowed")
    if not 0 < len(query.matchers) <= limits.matchers:
        raise BadRequest(f"query {index} has {len(query.matchers)} matchers, 1 to {limits.matchers} are allowed")
    try:
        matchers = tuple(compile_matcher(m.type, m.name, m.value) for m in query.matchers)
    except BadMatcher as err:
        raise BadRequest(f"query {index}: {err}") from err
    hints = query.hints
    return ReadQuery(
        start, end, matchers, Hints(hints.step_ms, hints.func, hints.start_ms, hints.end_ms, hints.range_ms)
    )


def decompress(body: bytes, max_bytes: int) -> bytes:
    """Decompresses a snappy block.

    The block's header states the decompressed size, so a block that is too large is rejected before decompression.
    Raises BadRequest.
    """
    size = shift = 0
    for byte in body[:5]:
        size |= (byte & 0x7F) << shift
        shift += 7
        if byte < 0x80:
            break
    else:
        raise BadRequest("no snappy block")
    if size > max_bytes:
        raise BadRequest(f"{size} bytes unpacked, {max_bytes} are allowed")
    try:
        return bytes(cramjam.snappy.decompress_raw(body))
    except cramjam.DecompressionError as err:
        raise BadRequest(f"no snappy block: {err}") from err


def encode_request(queries: Iterable[ReadQuery], response_type: Any) -> bytes:
    """Encodes a request to a server; the inverse of `decode_request`."""
    out = pb.ReadRequest(accepted_response_types=[response_type])
    for query in queries:
        hints = query.hints
        out.queries.add(
            start_timestamp_ms=query.start_ms,
            end_timestamp_ms=query.end_ms,
            matchers=[pb.LabelMatcher(**_matcher_fields(m)) for m in query.matchers],
            hints=pb.ReadHints(
                step_ms=hints.step_ms,
                func=hints.func,
                start_ms=hints.start_ms,
                end_ms=hints.end_ms,
                range_ms=hints.range_ms,
            ),
        )
    return bytes(cramjam.snappy.compress_raw(out.SerializeToString()))


def _matcher_fields(m: Matcher) -> dict[str, Any]:
    return {"type": m.kind, "name": m.name, "value": m.value}


# -- Answers.
def encode_frames(index: int, series: Iterable[Series], max_bytes: int = MAX_FRAME_BYTES) -> Iterator[bytes]:
    """Yields the answer to one query as frames; no more than one frame is held in memory."""
    for each in series:
        pending: list[Chunk] = []
        size = 0
        for chunk in each.chunks:
            if pending and size + len(chunk.data) > max_bytes:
                yield _frame(index, each.labels, pending)
                pending, size = [], 0
            pending.append(chunk)
            size += len(chunk.data)
        yield _frame(index, each.labels, pending)


def _frame(index: int, labels: Labels, chunks: list[Chunk]) -> bytes:
    encoded = [pb.Chunk(**_chunk_fields(chunk)) for chunk in chunks]
    series = pb.ChunkedSeries(labels=[pb.Label(name=n, value=v) for n, v in labels], chunks=encoded)
    return frame(pb.ChunkedReadResponse(chunked_series=[series], query_index=index).SerializeToString())


def _chunk_fields(chunk: Chunk) -> dict[str, Any]:
    return {"min_time_ms": chunk.first_ms, "max_time_ms": chunk.last_ms, "type": chunk.encoding, "data": chunk.data}


def encode_samples(results: Iterable[Iterable[Series]], queries: list[ReadQuery]) -> bytes:
    """Encodes and compresses the answers to all queries, with samples within their times only.

    Raises BadPart for an invalid chunk, and for one that does not hold float samples.
    """
    out = pb.ReadResponse()
    for series, query in zip(results, queries, strict=True):
        result = out.results.add()
        for each in series:
            samples = [s for chunk in each.chunks for s in _samples(chunk, each.labels) if _is_within(s[0], query)]
            if samples:
                result.timeseries.add(
                    labels=[pb.Label(name=n, value=v) for n, v in each.labels],
                    samples=[pb.Sample(timestamp=t, value=v) for t, v in samples],
                )
    return bytes(cramjam.snappy.compress_raw(out.SerializeToString()))


def _is_within(timestamp: int, query: ReadQuery) -> bool:
    return query.start_ms <= timestamp <= query.end_ms


def _samples(chunk: Chunk, labels: Labels) -> Iterator[tuple[int, float]]:
    if chunk.encoding != XOR:
        raise BadPart(f"{labels}: histograms are supported in streamed chunks only")
    try:
        yield from xor.decode(chunk.data)
    except xor.BadChunk as err:
        raise BadPart(f"{labels}: invalid chunk: {err}") from err


def decode_frames(messages: Iterable[bytes]) -> Iterator[tuple[int, Series]]:
    """Decodes a server's frames into series, each with the index of its query.

    A series that continues over several frames is joined. Raises BadPart.
    """
    current: tuple[int, Series] | None = None
    for message in messages:
        response = pb.ChunkedReadResponse()
        try:
            response.ParseFromString(message)
        except DecodeError as err:
            raise BadPart(f"invalid ChunkedReadResponse: {err}") from err
        for each in response.chunked_series:
            labels = tuple((x.name, x.value) for x in each.labels)
            chunks = [Chunk(c.min_time_ms, c.max_time_ms, c.data, c.type) for c in each.chunks]
            if current is not None and current[0] == response.query_index and current[1].labels == labels:
                current[1].chunks.extend(chunks)
                continue
            if current is not None:
                yield current
            current = response.query_index, Series(labels, chunks)
    if current is not None:
        yield current


def decode_samples(body: bytes, max_bytes: int) -> Iterator[tuple[int, Series]]:
    """Decodes a server's answer of samples into series, like `decode_frames`. Raises BadPart."""
    response = pb.ReadResponse()
    try:
        response.ParseFromString(decompress(body, max_bytes))
    except (BadRequest, DecodeError) as err:
        raise BadPart(f"invalid ReadResponse: {err}") from err
    for index, result in enumerate(response.results):
        for each in result.timeseries:
            if each.histograms:
                raise BadPart("histograms are supported in streamed chunks only")
            samples = [(s.timestamp, s.value) for s in each.samples]
            if any(a[0] >= b[0] for a, b in zip(samples, samples[1:], strict=False)):
                raise BadPart("samples are not sorted by timestamp")
            yield index, Series(tuple((x.name, x.value) for x in each.labels), to_chunks(samples))
