"""Frames in a stream and pieces of snapshots that are split, truncated or damaged."""

import zlib

import pytest

from badgerbend.feed.errors import (
    MalformedMessageError,
)
from badgerbend.feed.framing import FRAME_HEADER, FrameReader, encode_frame
from badgerbend.feed.log import PublicationLog
from badgerbend.feed.messages import (
    Heartbeat,
    SnapshotBegin,
    SnapshotPiece,
)
from badgerbend.feed.snapshot import SnapshotAssembly


def test_frames_are_decoded_from_chunks_of_any_size():
    messages = [Heartbeat(1, n, 3) for n in range(5)]
    data = b"".join(encode_frame(message) for message in messages)
    reader = FrameReader()
    decoded = [message for index in range(len(data)) for message in reader.feed(data[index : index + 1])]
    assert decoded == messages


@pytest.mark.parametrize("damage", ["checksum", "length", "type"])
def test_a_damaged_frame_is_rejected(damage):
    data = bytearray(encode_frame(Heartbeat(1, 2, 3)))
    if damage == "checksum":
        data[-1] ^= 1
    elif damage == "length":
        data[0] = 255
    else:
        body = b"\x91\x63"
        data = bytearray(FRAME_HEADER.pack(len(body), zlib.crc32(body)) + body)
    with pytest.raises(MalformedMessageError):
        list(FrameReader().feed(bytes(data)))


def test_a_piece_that_decompresses_to_too_much_is_rejected():
    begin = SnapshotBegin(PublicationLog().checkpoint, 1)
    with pytest.raises(MalformedMessageError):
        SnapshotAssembly(begin).add(SnapshotPiece(0, zlib.compress(bytes(4 * 1024 * 1024))))
