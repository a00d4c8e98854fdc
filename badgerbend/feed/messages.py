"""Messages between relays, followers and the publisher: typed MessagePack arrays whose sizes are checked on decoding.

This module does no I/O.
"""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from badgerbend.feed.errors import MalformedMessageError

MAX_FRAME_BYTES = 512 * 1024  # size of one encoded message, such as a publication or a piece of a snapshot
MAX_CHANGES = 8192  # in one publication
MAX_VALUE_BYTES = 256 * 1024  # size of one value
MAX_PIECE_BYTES = 256 * 1024  # nominal size of a decompressed piece of a snapshot; twice this size is the hard limit
MAX_LAGGARDS = 16  # followers listed by name in a summary
DIGEST_BYTES = 16
SIGNATURE_BYTES = 64

MessageType = TypeVar("MessageType")
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Value = Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Digest = Annotated[bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
Signature = Annotated[bytes, msgspec.Meta(min_length=SIGNATURE_BYTES, max_length=SIGNATURE_BYTES)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]
Reason = Annotated[str, msgspec.Meta(max_length=200)]


class Change(msgspec.Struct, array_like=True, frozen=True):
    """The new value of a key, or None to remove the key."""

    key: Key
    value: Value | None


class Checkpoint(msgspec.Struct, array_like=True, frozen=True):
    """The state of the content at a revision, signed by the publisher.

    changes_digest: digest of the changes since the previous revision.
    """

    epoch: Number
    revision: Number
    content_digest: Digest
    changes_digest: Digest
    signature: Signature

    def signed_bytes(self) -> bytes:
        """Return the payload that the signature covers."""
        return signed_bytes(self.epoch, self.revision, self.content_digest, self.changes_digest)


def signed_bytes(epoch: int, revision: int, content_digest: bytes, changes_digest: bytes) -> bytes:
    """Return the payload that a publisher signs. Its length is fixed, so that no two checkpoints share a payload."""
    return (
        b"badgerbend feed 1\0"
        + epoch.to_bytes(8, "big")
        + revision.to_bytes(8, "big")
        + content_digest
        + changes_digest
    )


# -- From a relay to a follower.


class Publication(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A batch of changes that leads from the previous revision to the revision of the checkpoint."""

    checkpoint: Checkpoint
    changes: Annotated[tuple[Change, ...], msgspec.Meta(max_length=MAX_CHANGES)]


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """The position of the relay and the age of its log.

    The age is the time since the relay last knew that its log contained all committed publications. snapshot_pending:
    the follower is waiting for its snapshot, and the position is the follower's own.
    """

    epoch: Number
    revision: Number
    age_ms: Milliseconds
    snapshot_pending: bool = False


class SnapshotBegin(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The start of a snapshot that is sent in `piece_count` pieces."""

    checkpoint: Checkpoint
    piece_count: Annotated[int, msgspec.Meta(ge=0, le=65536)]


class SnapshotPiece(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A piece of a snapshot: a MessagePack array of changes, compressed with zlib."""

    index: Number
    compressed: Annotated[bytes, msgspec.Meta(max_length=MAX_FRAME_BYTES)]


# -- From a follower to its relay.


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """The first message of a follower: the position and digest of its replica.

    wants_snapshot: the replica is damaged, so that the follower needs a snapshot at any position.
    """

    name: Name
    epoch: Number
    revision: Number
    digest: Digest
    wants_snapshot: bool = False


class Status(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """What a follower has applied.

    rejected_revision: revision of the newest configuration if the follower cannot use it, else 0.
    """

    applied_revision: Number
    rejected_revision: Number
    reason: Reason
    age_ms: Milliseconds


# -- From a relay to the publisher.


class Laggard(msgspec.Struct, array_like=True, frozen=True):
    """A follower that has not applied the newest revision."""

    name: Name
    applied_revision: Number
    rejected_revision: Number
    reason: Reason


class Summary(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The state of a relay's followers in a message of bounded size.

    applied: number of followers that have applied `revision`. rejected: number of followers that cannot use the
    configuration. oldest_applied: the lowest revision that any follower has applied. laggards: some of the followers
    that have not applied `revision`.
    """

    relay: Name
    revision: Number
    followers: Number
    applied: Number
    rejected: Number
    oldest_applied: Number
    laggards: Annotated[tuple[Laggard, ...], msgspec.Meta(max_length=MAX_LAGGARDS)]


Message = Publication | Heartbeat | SnapshotBegin | SnapshotPiece | Hello | Status | Summary

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_changes_decoder = msgspec.msgpack.Decoder(tuple[Change, ...])


def encode(message: Message) -> bytes:
    """Encode a message without a frame header."""
    return _encoder.encode(message)


def decode_with(decoder: msgspec.msgpack.Decoder[MessageType], data: bytes) -> MessageType:
    """Decode untrusted bytes. Raises MalformedMessageError."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError(str(error)) from error


def decode(data: bytes) -> Message:
    """Decode a message. Raises MalformedMessageError."""
    return decode_with(_decoder, data)


def encode_changes(changes: tuple[Change, ...]) -> bytes:
    """Encode changes for digests and for pieces of snapshots."""
    return _encoder.encode(changes)


def decode_changes(data: bytes) -> tuple[Change, ...]:
    """Decode changes. Raises MalformedMessageError."""
    return decode_with(_changes_decoder, data)
