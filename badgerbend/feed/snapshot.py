"""A snapshot in pieces: packed once by a relay for all who need it, and put together again by a follower."""

from __future__ import annotations

import zlib
from collections.abc import Iterator

from badgerbend.feed.content import Content
from badgerbend.feed.errors import MalformedMessageError, OutOfSequenceError
from badgerbend.feed.framing import encode_frame
from badgerbend.feed.messages import (
    MAX_PIECE_BYTES,
    MAX_VALUE_BYTES,
    Change,
    Checkpoint,
    SnapshotBegin,
    SnapshotPiece,
    decode_changes,
    encode_changes,
)

PIECE_TARGET_BYTES = 64 * 1024  # of keys and values before they are packed; one larger value makes a piece of its own
ENTRY_BYTES = 16  # what an entry's place in the message takes at most, beside its key and value
assert MAX_VALUE_BYTES + PIECE_TARGET_BYTES <= 2 * MAX_PIECE_BYTES


class SnapshotImage:
    """The content at one revision, frozen, as frames. A piece is packed when it is first asked for."""

    def __init__(self, content: Content, checkpoint: Checkpoint) -> None:
        self.checkpoint = checkpoint
        self._groups = list(_grouped(content))
        self._frames: list[bytes | None] = [None] * len(self._groups)
        self.begin_frame = encode_frame(SnapshotBegin(checkpoint, len(self._groups)))

    @property
    def piece_count(self) -> int:
        return len(self._groups)

    def piece_frame(self, index: int) -> bytes:
        """The frame of a piece."""
        found = self._frames[index]
        if found is None:
            packed = zlib.compress(encode_changes(self._groups[index]))
            found = self._frames[index] = encode_frame(SnapshotPiece(index, packed))
            self._groups[index] = ()
        return found


def _grouped(content: Content) -> Iterator[tuple[Change, ...]]:
    """Entries in groups of about PIECE_TARGET_BYTES."""
    group: list[Change] = []
    size = 0
    for key, value in content.items():
        entry = len(key.encode()) + len(value) + ENTRY_BYTES
        if group and size + entry > PIECE_TARGET_BYTES:
            yield tuple(group)
            group, size = [], 0
        group.append(Change(key, value))
        size += entry
    if group:
        yield tuple(group)


class SnapshotAssembly:
    """The pieces of one snapshot as they come, kept apart from what is in force until all of them are there."""

    def __init__(self, begin: SnapshotBegin) -> None:
        self.checkpoint = begin.checkpoint
        self.content = Content()
        self._piece_count = begin.piece_count
        self._next = 0

    @property
    def complete(self) -> bool:
        return self._next == self._piece_count

    def add(self, piece: SnapshotPiece) -> None:
        """Raises OutOfSequence or Malformed."""
        if piece.index != self._next or self.complete:
            text = f"piece {piece.index} of a snapshot, {self._next} was due"
            raise OutOfSequenceError(text, received=piece.index, expected=self._next)
        self.content.apply(decode_changes(_unpacked(piece.compressed)))
        self._next += 1


def _unpacked(packed: bytes) -> bytes:
    """Raises Malformed for what would unpack to more than a piece may hold."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, 2 * MAX_PIECE_BYTES)
    except zlib.error as err:
        raise MalformedMessageError(f"a piece that does not unpack: {err}") from err
    if not unpacker.eof:
        raise MalformedMessageError(f"a piece that is cut short or larger than {2 * MAX_PIECE_BYTES} bytes")
    return data
