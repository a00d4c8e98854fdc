"""The merge: sorted series of many parts become one sorted stream, replicas' samples once each.

Only chunks whose times overlap with another part's are opened; all others pass through as bytes. Of samples with one
time the same is kept whoever came first: a number before a NaN, then the greater bit pattern. Held at any time: one
series of each part, and the samples of one stretch of overlapping chunks.
"""

from __future__ import annotations

import heapq
import math
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import groupby

from badgerbend.remote import xor
from badgerbend.remote.series import XOR, BadPart, Block, Samples, Series

CHUNK_SAMPLES = 120  # of a chunk written anew, as Prometheus writes them


class TooMuch(Exception):
    """A limit that was passed, in words for the client."""


@dataclass(slots=True)
class Limits:
    """What one query may bring together; counted as it comes, so that nothing beyond is held."""

    series: int = 100_000
    samples: int = 50_000_000
    overlapping: int = 2_000_000  # samples of one stretch of overlapping chunks, opened in memory


def merged(parts: Iterable[Iterable[Series]], limits: Limits) -> Iterator[Series]:
    """One stream of the parts' series, each checked already. Raises TooMuch, BadPart."""
    samples = 0
    rows = heapq.merge(*parts, key=lambda series: series.labels)
    for place, (labels, same) in enumerate(groupby(rows, key=lambda series: series.labels)):
        if place >= limits.series:
            raise TooMuch(f"more than {limits.series} series")
        found = list(same)
        blocks = found[0].blocks if len(found) == 1 else _together(found, limits)
        samples += sum(_size(block) for block in blocks)
        if samples > limits.samples:
            raise TooMuch(f"more than {limits.samples} samples")
        yield Series(labels, blocks)


def _size(block: Block) -> int:
    return int.from_bytes(block.data[:2], "big") if block.kind == XOR else 0


def _together(found: list[Series], limits: Limits) -> list[Block]:
    """The chunks of one series from several parts."""
    out: list[Block] = []
    stretch: list[Block] = []
    end = 0
    for block in heapq.merge(*(s.blocks for s in found), key=lambda block: (block.first_ms, block.last_ms, block.data)):
        if stretch and block.first_ms > end:
            out += _one(stretch, limits)
            stretch = []
        if not stretch or block != stretch[-1]:  # the same chunk of a replica needs no opening
            stretch.append(block)
        end = max(end, block.last_ms) if len(stretch) > 1 else block.last_ms
    return out + _one(stretch, limits) if stretch else out


def _one(stretch: list[Block], limits: Limits) -> list[Block]:
    """A stretch of chunks that overlap, as chunks that don't."""
    if len(stretch) == 1:
        return stretch
    if any(block.kind != XOR for block in stretch):
        raise BadPart("replicas differ in chunks that are passed on unread")
    if sum(map(_size, stretch)) > limits.overlapping:
        raise TooMuch(f"more than {limits.overlapping} samples in chunks that overlap")
    try:
        samples = once(heapq.merge(*(xor.decode(block.data) for block in stretch), key=lambda sample: sample[0]))
    except xor.BadChunk as err:
        raise BadPart(f"a chunk: {err}") from err
    return packed(samples)


def once(samples: Iterable[tuple[int, float]]) -> Samples:
    """Samples in the order of their times, one for each time."""
    out: Samples = []
    for at, value in samples:
        if not out or at > out[-1][0]:
            out.append((at, value))
        elif at < out[-1][0]:
            raise BadPart("samples out of the order of their times")
        elif _weight(value) > _weight(out[-1][1]):
            out[-1] = (at, value)
    return out


def _weight(value: float) -> tuple[bool, bytes]:
    return not math.isnan(value), struct.pack(">d", value)


def packed(samples: Samples) -> list[Block]:
    """Samples as chunks of the usual size."""
    some = (samples[at : at + CHUNK_SAMPLES] for at in range(0, len(samples), CHUNK_SAMPLES))
    return [Block(s[0][0], s[-1][0], xor.encode(s)) for s in some]
