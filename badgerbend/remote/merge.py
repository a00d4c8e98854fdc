"""Merges the sorted series of many parts into one sorted stream without duplicate samples of replicas.

Only chunks whose times overlap with chunks of another part are decoded; all others pass through as bytes. If replicas
have different samples with the same timestamp, the choice does not depend on the order of the parts: a number is
preferred to a NaN, then the greater bit pattern wins. At any time, memory holds one series of each part and the samples
of one run of overlapping chunks.
"""

from __future__ import annotations

import heapq
import math
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import groupby

from badgerbend.remote import xor
from badgerbend.remote.series import XOR, BadPart, Chunk, Samples, Series

CHUNK_SAMPLES = 120  # samples in a chunk that is encoded again, the same as in Prometheus


class LimitExceeded(Exception):
    """The query exceeds a limit; the message is sent to the client."""


@dataclass(slots=True)
class Limits:
    """Limits on the result of one query, enforced while it is merged, so that no excess data is held in memory."""

    series: int = 100_000
    samples: int = 50_000_000
    overlapping: int = 2_000_000  # samples of one run of overlapping chunks, which are decoded in memory


def merge_series(parts: Iterable[Iterable[Series]], limits: Limits) -> Iterator[Series]:
    """Merges the parts, whose order was validated before, into one stream. Raises LimitExceeded, BadPart."""
    samples = 0
    rows = heapq.merge(*parts, key=lambda series: series.labels)
    for index, (labels, group) in enumerate(groupby(rows, key=lambda series: series.labels)):
        if index >= limits.series:
            raise LimitExceeded(f"more than {limits.series} series")
        replicas = list(group)
        chunks = replicas[0].chunks if len(replicas) == 1 else _merge_replicas(replicas, limits)
        samples += sum(_sample_count(chunk) for chunk in chunks)
        if samples > limits.samples:
            raise LimitExceeded(f"more than {limits.samples} samples")
        yield Series(labels, chunks)


def _sample_count(chunk: Chunk) -> int:
    return int.from_bytes(chunk.data[:2], "big") if chunk.encoding == XOR else 0


def _merge_replicas(replicas: list[Series], limits: Limits) -> list[Chunk]:
    """Merges the chunks of one series that several parts hold."""
    result: list[Chunk] = []
    overlap: list[Chunk] = []
    end_ms = 0
    for chunk in heapq.merge(
        *(s.chunks for s in replicas), key=lambda chunk: (chunk.first_ms, chunk.last_ms, chunk.data)
    ):
        if overlap and chunk.first_ms > end_ms:
            result += _merge_overlapping(overlap, limits)
            overlap = []
        if not overlap or chunk != overlap[-1]:  # an identical chunk of a replica need not be decoded
            overlap.append(chunk)
        end_ms = max(end_ms, chunk.last_ms) if len(overlap) > 1 else chunk.last_ms
    return result + _merge_overlapping(overlap, limits) if overlap else result


def _merge_overlapping(overlap: list[Chunk], limits: Limits) -> list[Chunk]:
    """Decodes a run of overlapping chunks and encodes its samples as chunks that do not overlap."""
    if len(overlap) == 1:
        return overlap
    if any(chunk.encoding != XOR for chunk in overlap):
        raise BadPart("replicas have different chunks in an encoding that cannot be merged")
    if sum(map(_sample_count, overlap)) > limits.overlapping:
        raise LimitExceeded(f"more than {limits.overlapping} samples in chunks that overlap")
    try:
        samples = deduplicate(heapq.merge(*(xor.decode(chunk.data) for chunk in overlap), key=lambda sample: sample[0]))
    except xor.BadChunk as err:
        raise BadPart(f"invalid chunk: {err}") from err
    return to_chunks(samples)


def deduplicate(samples: Iterable[tuple[int, float]]) -> Samples:
    """One sample for each timestamp. Raises BadPart if the timestamps are out of order."""
    result: Samples = []
    for timestamp, value in samples:
        if not result or timestamp > result[-1][0]:
            result.append((timestamp, value))
        elif timestamp < result[-1][0]:
            raise BadPart("samples are not sorted by timestamp")
        elif _precedence(value) > _precedence(result[-1][1]):
            result[-1] = (timestamp, value)
    return result


def _precedence(value: float) -> tuple[bool, bytes]:
    return not math.isnan(value), struct.pack(">d", value)


def to_chunks(samples: Samples) -> list[Chunk]:
    """Encodes samples as chunks of CHUNK_SAMPLES."""
    groups = (samples[start : start + CHUNK_SAMPLES] for start in range(0, len(samples), CHUNK_SAMPLES))
    return [Chunk(s[0][0], s[-1][0], xor.encode(s)) for s in groups]
