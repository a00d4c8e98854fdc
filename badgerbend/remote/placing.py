"""Which shard holds a series, and which shards a query must ask.

A series is placed by XXH64 of the values of some of its labels, the placing labels, in the order of their names: each
name and value in UTF-8 with a byte 0xFF after it, which UTF-8 never has. A missing label counts as empty, as it does to
matchers. A query that names the only values that each placing label can have touches their shards alone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from itertools import product

import xxhash

from badgerbend.remote.matchers import Matcher

MOST_COMBINATIONS = 256  # of named values; beyond, all shards are asked


def shard_of(labels: Mapping[str, str], by: Iterable[str], shards: int) -> int:
    """The shard of a series; `by`: the placing labels."""
    digest = xxhash.xxh64()
    for name in sorted(by):
        digest.update(name.encode() + b"\xff" + labels.get(name, "").encode() + b"\xff")
    return int(digest.intdigest() % shards)


def shards_of(matchers: list[Matcher], by: tuple[str, ...], shards: int) -> list[int]:
    """The shards that can hold what a query asks for, in order; none where its matchers exclude each other."""
    named: list[frozenset[str]] = []
    combinations = 1
    for name in by:
        values: frozenset[str] | None = None
        for m in matchers:
            own = m.values() if m.name == name else None
            if own is not None:
                values = own if values is None else values & own
        if values is None:
            return list(range(shards))
        named.append(values)
        combinations *= len(values)
    if combinations > MOST_COMBINATIONS:
        return list(range(shards))
    return sorted({shard_of(dict(zip(by, each, strict=True)), by, shards) for each in product(*named)})
