"""Commands of the agreed log that publish: a publication in parts, since an entry of the log is small.

Parts may reach the log's leader in any order and more than once, as datagrams do.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.consensus.messages import MAX_COMMAND_BYTES
from badgerbend.feed.content import hashed
from badgerbend.feed.errors import TooLargeError
from badgerbend.feed.messages import MOST_CHANGES, Number, Publication, read

PART_BYTES = MAX_COMMAND_BYTES - 60  # of a publication's bytes in one entry: the rest is the command's head
MOST_PARTS = 400
WHOLE_BYTES = 8  # of the hash that tells two publications of one revision apart
MOST_PUBLICATION = PART_BYTES * MOST_PARTS  # bytes of an encoded publication


class PublishPart(msgspec.Struct, array_like=True, frozen=True, tag="publish"):
    """One part of a publication, which takes effect once all of its parts are there. whole: tells it from others."""

    epoch: Number
    revision: Number
    whole: Annotated[bytes, msgspec.Meta(min_length=WHOLE_BYTES, max_length=WHOLE_BYTES)]
    part: Annotated[int, msgspec.Meta(ge=0, lt=MOST_PARTS)]
    parts: Annotated[int, msgspec.Meta(ge=1, le=MOST_PARTS)]
    data: Annotated[bytes, msgspec.Meta(max_length=PART_BYTES)]


_encoder = msgspec.msgpack.Encoder()
_part_decoder = msgspec.msgpack.Decoder(PublishPart)
_publication_decoder = msgspec.msgpack.Decoder(Publication)


def split(publication: Publication) -> list[bytes]:
    """The commands that publish it, in order. Raises TooLarge."""
    data = _encoder.encode(publication)
    if len(data) > MOST_PUBLICATION or len(publication.changes) > MOST_CHANGES:
        raise TooLargeError(f"a publication of {len(data)} bytes; {MOST_PUBLICATION} at most")
    pieces = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
    checkpoint, whole = publication.checkpoint, hashed(data)[:WHOLE_BYTES]
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
    return read(_publication_decoder, data)
