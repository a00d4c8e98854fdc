"""Commands of the agreed log that publish: a publication in parts, since an entry of the log is small.

Parts may reach the log's leader in any order and more than once, as datagrams do.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES
from badgerbend.feed.content import hash_bytes
from badgerbend.feed.errors import PublicationTooLargeError
from badgerbend.feed.messages import MAX_CHANGES, Number, Publication, decode_with

MAX_PART_BYTES = MAX_COMMAND_BYTES - 60  # of a publication's bytes in one entry: the rest is the command's head
MAX_PARTS = 400
PUBLICATION_ID_BYTES = 8  # of the hash that tells two publications of one revision apart
MAX_PUBLICATION_BYTES = MAX_PART_BYTES * MAX_PARTS  # bytes of an encoded publication


class PublishPart(msgspec.Struct, array_like=True, frozen=True, tag="publish"):
    """One part of a publication, which takes effect once all of its parts are there. whole: tells it from others."""

    epoch: Number
    revision: Number
    publication_id: Annotated[bytes, msgspec.Meta(min_length=PUBLICATION_ID_BYTES, max_length=PUBLICATION_ID_BYTES)]
    part_index: Annotated[int, msgspec.Meta(ge=0, lt=MAX_PARTS)]
    part_count: Annotated[int, msgspec.Meta(ge=1, le=MAX_PARTS)]
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_PART_BYTES)]


_encoder = msgspec.msgpack.Encoder()
_part_decoder = msgspec.msgpack.Decoder(PublishPart)
_publication_decoder = msgspec.msgpack.Decoder(Publication)


def split_publication(publication: Publication) -> list[bytes]:
    """The commands that publish it, in order. Raises TooLarge."""
    data = _encoder.encode(publication)
    if len(data) > MAX_PUBLICATION_BYTES or len(publication.changes) > MAX_CHANGES:
        raise PublicationTooLargeError(len(data), MAX_PUBLICATION_BYTES)
    pieces = [data[at : at + MAX_PART_BYTES] for at in range(0, len(data), MAX_PART_BYTES)]
    checkpoint, whole = publication.checkpoint, hash_bytes(data)[:PUBLICATION_ID_BYTES]
    return [
        _encoder.encode(PublishPart(checkpoint.epoch, checkpoint.revision, whole, place, len(pieces), piece))
        for place, piece in enumerate(pieces)
    ]


def decode_part(data: bytes) -> PublishPart | None:
    """The part, or None where the command is another's."""
    try:
        return _part_decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def decode_publication(data: bytes) -> Publication:
    """Raises Malformed."""
    return decode_with(_publication_decoder, data)
