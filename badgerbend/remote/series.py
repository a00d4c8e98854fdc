"""Series as the merge sees them: sorted labels, and chunks in time. What a server sends is checked on the way in."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

Labels = tuple[tuple[str, str], ...]
Samples = list[tuple[int, float]]
XOR = 1


class BadPart(Exception):
    """A server's answer that breaks the protocol's order: an error of that part, which is tried elsewhere."""


@dataclass(frozen=True, slots=True)
class Block:
    """A chunk: its first and last sample's time in milliseconds, and its bytes. kind: XOR, or passed on unread."""

    first_ms: int
    last_ms: int
    data: bytes
    kind: int = XOR


@dataclass(slots=True)
class Series:
    labels: Labels
    blocks: list[Block]


def checked(part: Iterable[Series], name: str) -> Iterator[Series]:
    """A part's series, refused where they are out of order: the merge holds one series of each part, and no more.

    Raises BadPart, which names the part.
    """
    before: Labels | None = None
    for series in part:
        labels = series.labels
        if any(a[0] >= b[0] for a, b in zip(labels, labels[1:], strict=False)):
            raise BadPart(f"{name}: labels out of order, or one twice: {labels}")
        if before is not None and before >= labels:
            raise BadPart(f"{name}: series {labels} comes after {before}")
        end = None
        for block in series.blocks:
            if block.last_ms < block.first_ms or (end is not None and block.first_ms <= end):
                raise BadPart(f"{name}: chunks of {labels} are out of order")
            end = block.last_ms
        before = labels
        yield series
