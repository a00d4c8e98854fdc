"""The content of the feed at one revision, keys and values, with a digest that proves two replicas equal.

Keys fall into a fixed number of buckets; the digest is the hash of the buckets' hashes, so that a change costs the
hash of one bucket and not that of the whole.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b

from badgerbend.feed.messages import DIGEST_BYTES, Change

BUCKET_COUNT = 256  # part of the protocol: both sides hash alike


def hash_bytes(data: bytes) -> bytes:
    """The hash that digests are made of."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def bucket_index(key: str) -> int:
    return blake2b(key.encode(), digest_size=1).digest()[0]


EMPTY_BUCKET = hash_bytes(b"")


def _size_of(key: str, value: bytes | None) -> int:
    """Bytes of an entry, none where there is none."""
    return 0 if value is None else len(key.encode()) + len(value)


class Content:
    """Keys and values by bucket. Changes are applied in place; `apply` gives back what undoes them."""

    __slots__ = ("_buckets", "_digests", "_stale", "size_bytes")

    def __init__(self) -> None:
        self._buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKET_COUNT)]
        self._digests = [EMPTY_BUCKET] * BUCKET_COUNT
        self._stale = set[int]()  # buckets whose digest is to be made anew
        self.size_bytes = 0  # bytes of all keys and values

    def __len__(self) -> int:
        return sum(map(len, self._buckets))

    def get(self, key: str) -> bytes | None:
        return self._buckets[bucket_index(key)].get(key)

    def items(self) -> Iterator[tuple[str, bytes]]:
        """All entries, bucket by bucket."""
        for bucket in self._buckets:
            yield from bucket.items()

    def apply(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Applies changes in their order: of two of one key the later stands. What undoes them is returned."""
        undo = []
        for change in changes:
            place = bucket_index(change.key)
            bucket = self._buckets[place]
            replaced = bucket.get(change.key)
            undo.append(Change(change.key, replaced))
            if change.value is None:
                bucket.pop(change.key, None)
            else:
                bucket[change.key] = change.value
            self.size_bytes += _size_of(change.key, change.value) - _size_of(change.key, replaced)
            self._stale.add(place)
        undo.reverse()
        return tuple(undo)

    def digest(self) -> bytes:
        """Equal for equal content, whatever the way it came about."""
        for place in self._stale:
            self._digests[place] = self._bucket_digest(place)
        self._stale.clear()
        return hash_bytes(b"".join(self._digests))

    def digest_after(self, changes: Iterable[Change]) -> bytes:
        """The digest that these changes would lead to; the content stays as it is."""
        undo = self.apply(changes)
        digest = self.digest()
        self.apply(undo)
        return digest

    def copy(self) -> Content:
        """A content of its own that shares keys and values with this one."""
        other = Content()
        other._buckets = [dict(bucket) for bucket in self._buckets]
        other._digests = list(self._digests)
        other._stale = set(self._stale)
        other.size_bytes = self.size_bytes
        return other

    def changes_to(self, other: Content) -> tuple[Change, ...]:
        """What turns this content into the other one."""
        changes = []
        for mine, theirs in zip(self._buckets, other._buckets, strict=True):
            changes += [Change(key, None) for key in mine if key not in theirs]
            changes += [Change(key, value) for key, value in theirs.items() if mine.get(key) != value]
        return tuple(changes)

    def _bucket_digest(self, place: int) -> bytes:
        parts = []
        for key, value in sorted(self._buckets[place].items()):
            name = key.encode()
            parts += [len(name).to_bytes(4, "big"), name, len(value).to_bytes(4, "big"), value]
        return hash_bytes(b"".join(parts))
