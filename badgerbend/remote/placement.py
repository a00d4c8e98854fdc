"""Placement of series on shards: which shard holds a series, and to which shards a query must be sent.

The shard of a series is derived from the XXH64 digest of some of its labels, the placement labels, in the order of
their names. Each name and each value is hashed in UTF-8, followed by a byte 0xFF, which never occurs in UTF-8. A
missing label counts as empty, as in matchers. A query whose matchers list all possible values of each placement label
is sent only to the shards of these values.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from itertools import product

import xxhash

from badgerbend.remote.matchers import Matcher

MAX_COMBINATIONS = 256  # of values of the placement labels; with more, the query is sent to all shards


def shard_of(labels: Mapping[str, str], placement_labels: Iterable[str], shards: int) -> int:
    """The shard that holds a series with these labels."""
    digest = xxhash.xxh64()
    for name in sorted(placement_labels):
        digest.update(name.encode() + b"\xff" + labels.get(name, "").encode() + b"\xff")
    return int(digest.intdigest() % shards)


def shards_of(matchers: list[Matcher], placement_labels: tuple[str, ...], shards: int) -> list[int]:
    """The shards that can hold series matched by a query, in order; empty if its matchers exclude each other."""
    values_by_label: list[frozenset[str]] = []
    combinations = 1
    for name in placement_labels:
        values: frozenset[str] | None = None
        for m in matchers:
            matcher_values = m.values() if m.name == name else None
            if matcher_values is not None:
                values = matcher_values if values is None else values & matcher_values
        if values is None:
            return list(range(shards))
        values_by_label.append(values)
        combinations *= len(values)
    if combinations > MAX_COMBINATIONS:
        return list(range(shards))
    return sorted(
        {
            shard_of(dict(zip(placement_labels, combination, strict=True)), placement_labels, shards)
            for combination in product(*values_by_label)
        }
    )
