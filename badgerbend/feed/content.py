"""The content of the feed at one revision: keys and values, with a digest that is equal for equal replicas.

Keys are distributed over a fixed number of buckets, and the digest is the hash of the bucket hashes. After a change,
only the hash of one bucket has to be computed again instead of a hash of all entries. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from hashlib import blake2b

from badgerbend.feed.messages import DIGEST_BYTES, Change

BUCKET_COUNT = 256  # part of the protocol: both sides must compute the same digest


def hash_bytes(data: bytes) -> bytes:
    """Return the BLAKE2b hash of DIGEST_BYTES bytes that all digests use."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def bucket_index(key: str) -> int:
    """Return the index of the bucket of a key."""
    return blake2b(key.encode(), digest_size=1).digest()[0]


EMPTY_BUCKET_DIGEST = hash_bytes(b"")


def _entry_size(key: str, value: bytes | None) -> int:
    """Return the size of an entry in bytes, 0 for a key without a value."""
    return 0 if value is None else len(key.encode()) + len(value)


class Content:
    """Keys and values by bucket. Changes are applied in place; `apply` returns the changes that undo them."""

    __slots__ = ("_buckets", "_digests", "_outdated", "size_bytes")

    def __init__(self) -> None:
        self._buckets: list[dict[str, bytes]] = [{} for _ in range(BUCKET_COUNT)]
        self._digests = [EMPTY_BUCKET_DIGEST] * BUCKET_COUNT
        self._outdated = set[int]()  # indexes of the buckets whose digest must be recomputed
        self.size_bytes = 0  # total size of all keys and values

    def __len__(self) -> int:
        return sum(map(len, self._buckets))

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None if the key is absent."""
        return self._buckets[bucket_index(key)].get(key)

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Iterate over all entries in the order of their buckets."""
        for bucket in self._buckets:
            yield from bucket.items()

    def apply(self, changes: Iterable[Change]) -> tuple[Change, ...]:
        """Apply changes in order, so that the last change of a key wins. Returns the changes that undo them."""
        undo = []
        for change in changes:
            index = bucket_index(change.key)
            bucket = self._buckets[index]
            replaced = bucket.get(change.key)
            undo.append(Change(change.key, replaced))
            if change.value is None:
                bucket.pop(change.key, None)
            else:
                bucket[change.key] = change.value
            self.size_bytes += _entry_size(change.key, change.value) - _entry_size(change.key, replaced)
            self._outdated.add(index)
        undo.reverse()
        return tuple(undo)

    def digest(self) -> bytes:
        """Return the digest, which depends on the entries only and not on the history of changes."""
        for index in self._outdated:
            self._digests[index] = self._bucket_digest(index)
        self._outdated.clear()
        return hash_bytes(b"".join(self._digests))

    def digest_after(self, changes: Iterable[Change]) -> bytes:
        """Return the digest that the content would have after these changes, without keeping them."""
        undo = self.apply(changes)
        digest = self.digest()
        self.apply(undo)
        return digest

    def copy(self) -> Content:
        """Return an independent copy, which shares the key and value objects."""
        other = Content()
        other._buckets = [dict(bucket) for bucket in self._buckets]
        other._digests = list(self._digests)
        other._outdated = set(self._outdated)
        other.size_bytes = self.size_bytes
        return other

    def changes_to(self, other: Content) -> tuple[Change, ...]:
        """Return the changes that turn this content into the other one."""
        changes = []
        for mine, theirs in zip(self._buckets, other._buckets, strict=True):
            changes += [Change(key, None) for key in mine if key not in theirs]
            changes += [Change(key, value) for key, value in theirs.items() if mine.get(key) != value]
        return tuple(changes)

    def _bucket_digest(self, index: int) -> bytes:
        parts = []
        for key, value in sorted(self._buckets[index].items()):
            encoded_key = key.encode()
            parts += [len(encoded_key).to_bytes(4, "big"), encoded_key, len(value).to_bytes(4, "big"), value]
        return hash_bytes(b"".join(parts))
