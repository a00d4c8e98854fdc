"""Commands of the replicated log that carry publications.

The size of a log entry is limited, so a publication is split into parts. Parts travel in datagrams and may therefore
reach the leader in any order and more than once. This module does no I/O.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES
from badgerbend.feed.content import hash_bytes
from badgerbend.feed.errors import PublicationTooLargeError
from badgerbend.feed.messages import MAX_CHANGES, Number, Publication, decode_with

COMMAND_OVERHEAD_BYTES = 60  # upper bound of the size of an encoded part without its data
MAX_PART_BYTES = MAX_COMMAND_BYTES - COMMAND_OVERHEAD_BYTES  # data of one part
MAX_PARTS = 400
PUBLICATION_ID_BYTES = 8  # length of the hash prefix that distinguishes publications of the same revision
MAX_PUBLICATION_BYTES = MAX_PART_BYTES * MAX_PARTS  # size of an encoded publication


class PublishPart(msgspec.Struct, array_like=True, frozen=True, tag="publish"):
    """One part of a publication. The publication takes effect once all of its parts have been applied."""

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
    """Encode a publication as a list of commands, one for each part. Raises PublicationTooLargeError."""
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
    """Decode a part, or return None for a command of another kind."""
    try:
        return _part_decoder.decode(data)
    except msgspec.MsgspecError:
        return None


def decode_publication(data: bytes) -> Publication:
    """Decode the joined parts of a publication. Raises MalformedMessageError."""
    return decode_with(_publication_decoder, data)
