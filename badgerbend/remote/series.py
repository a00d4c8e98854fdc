"""Series as they are merged: labels sorted by name, chunks by time. Servers' answers are validated on arrival."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

Labels = tuple[tuple[str, str], ...]
Samples = list[tuple[int, float]]
XOR = 1


class BadPart(Exception):
    """A server's answer that violates the protocol. It is an error of that part, which is retried on another server."""


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk: the times of its first and last sample in milliseconds, and its bytes.

    encoding: XOR; chunks of any other encoding are passed on without being decoded.
    """

    first_ms: int
    last_ms: int
    data: bytes
    encoding: int = XOR


@dataclass(slots=True)
class Series:
    """A series of one part, or of the merged answer."""

    labels: Labels
    chunks: list[Chunk]


def validate_order(series_list: Iterable[Series], name: str) -> Iterator[Series]:
    """Yields a part's series and rejects those that are out of order.

    The merge relies on the order, because it keeps only one series of each part in memory. Raises BadPart with the
    name of the part.
    """
    previous: Labels | None = None
    for series in series_list:
        labels = series.labels
        if any(a[0] >= b[0] for a, b in zip(labels, labels[1:], strict=False)):
            raise BadPart(f"{name}: labels are duplicated or out of order: {labels}")
        if previous is not None and previous >= labels:
            raise BadPart(f"{name}: series {labels} is duplicated or out of order: it follows {previous}")
        end_ms = None
        for chunk in series.chunks:
            if chunk.last_ms < chunk.first_ms or (end_ms is not None and chunk.first_ms <= end_ms):
                raise BadPart(f"{name}: chunks of series {labels} overlap or are out of order")
            end_ms = chunk.last_ms
        previous = labels
        yield series
