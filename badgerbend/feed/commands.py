"""Commands of the agreed log that publish. A publication is split into parts, since an entry of the log is small.

Parts may reach the log's leader in any order and more than once, as datagrams do. Pure.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES
from badgerbend.feed.content import hash_bytes
from badgerbend.feed.errors import PublicationTooLargeError
from badgerbend.feed.messages import MAX_CHANGES, Number, Publication, decode_with

COMMAND_HEAD_BYTES = 60  # of an encoded part, beside its data
MAX_PART_BYTES = MAX_COMMAND_BYTES - COMMAND_HEAD_BYTES  # of a publication's bytes in one entry
MAX_PARTS = 400
PUBLICATION_ID_BYTES = 8  # of the hash that distinguishes publications of the same revision
MAX_PUBLICATION_BYTES = MAX_PART_BYTES * MAX_PARTS  # of an encoded publication


class PublishPart(msgspec.Struct, array_like=True, frozen=True, tag="publish"):
    """One part of a publication, which takes effect once all of its parts are there."""

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
    """Encode a publication as commands, in order. Raises PublicationTooLargeError."""
    data = _encoder.encode(publication)
    if len(data) > MAX_PUBLICATION_BYTES or len(publication.changes) > MAX_CHANGES:
        raise PublicationTooLargeError(len(data), MAX_PUBLICATION_BYTES)
    pieces = [data[start : start + MAX_PART_BYTES] for start in range(0, len(data), MAX_PART_BYTES)]
    checkpoint = publication.checkpoint
    publication_id = hash_bytes(data)[:PUBLICATION_ID_BYTES]
    return [
        _encoder.encode(PublishPart(checkpoint.epoch, checkpoint.revision, publication_id, index, len(pieces), piece))
        for index, piece in enumerate(pieces)
    ]


def decode_part(data: bytes) -> PublishPart | None:
    """Decode a part; None for a command of another kind."""
    try:
        return _part_decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def decode_publication(data: bytes) -> Publication:
    """Decode the joined parts of a publication. Raises MalformedMessageError."""
    return decode_with(_publication_decoder, data)
