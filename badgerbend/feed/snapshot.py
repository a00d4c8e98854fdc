"""Snapshots in pieces: a relay compresses them once for all its followers, and followers assemble them.

This module does no I/O.
"""

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

PIECE_TARGET_BYTES = 64 * 1024  # size of the entries before compression; a larger entry is a piece of its own
ENTRY_OVERHEAD_BYTES = 16  # upper bound of what encoding adds to a key and its value
assert MAX_VALUE_BYTES + PIECE_TARGET_BYTES <= 2 * MAX_PIECE_BYTES


class SnapshotImage:
    """An immutable image of the content at one revision, as frames. Each piece is compressed on first use."""

    def __init__(self, content: Content, checkpoint: Checkpoint) -> None:
        self.checkpoint = checkpoint
        self._groups = list(_grouped(content))
        self._frames: list[bytes | None] = [None] * len(self._groups)
        self.begin_frame = encode_frame(SnapshotBegin(checkpoint, len(self._groups)))

    @property
    def piece_count(self) -> int:
        """The number of pieces, not counting the frame that starts the snapshot."""
        return len(self._groups)

    def piece_frame(self, index: int) -> bytes:
        """Return the frame of a piece."""
        piece = self._frames[index]
        if piece is None:
            compressed = zlib.compress(encode_changes(self._groups[index]))
            piece = encode_frame(SnapshotPiece(index, compressed))
            self._frames[index] = piece
            self._groups[index] = ()
        return piece


def _grouped(content: Content) -> Iterator[tuple[Change, ...]]:
    """Group entries into pieces of about PIECE_TARGET_BYTES."""
    group: list[Change] = []
    size = 0
    for key, value in content.items():
        entry = len(key.encode()) + len(value) + ENTRY_OVERHEAD_BYTES
        if group and size + entry > PIECE_TARGET_BYTES:
            yield tuple(group)
            group = []
            size = 0
        group.append(Change(key, value))
        size += entry
    if group:
        yield tuple(group)


class SnapshotAssembly:
    """Collects the pieces of one snapshot, separately from the replica until all of them have been received."""

    def __init__(self, begin: SnapshotBegin) -> None:
        self.checkpoint = begin.checkpoint
        self.content = Content()
        self._piece_count = begin.piece_count
        self._next_index = 0

    @property
    def complete(self) -> bool:
        """Whether all pieces have been received."""
        return self._next_index == self._piece_count

    def add(self, piece: SnapshotPiece) -> None:
        """Add the next piece. Raises OutOfSequenceError or MalformedMessageError."""
        if piece.index != self._next_index or self.complete:
            text = f"received piece {piece.index} of a snapshot where piece {self._next_index} was expected"
            raise OutOfSequenceError(text, received=piece.index, expected=self._next_index)
        self.content.apply(decode_changes(_decompress(piece.compressed)))
        self._next_index += 1


def _decompress(compressed: bytes) -> bytes:
    """Decompress a piece. Raises MalformedMessageError, also if the result exceeds the maximum size of a piece."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, 2 * MAX_PIECE_BYTES)
    except zlib.error as error:
        raise MalformedMessageError(f"cannot decompress a piece of a snapshot: {error}") from error
    if not decompressor.eof:
        raise MalformedMessageError(f"a piece of a snapshot is truncated or larger than {2 * MAX_PIECE_BYTES} bytes")
    return data
