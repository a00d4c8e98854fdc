"""Framing of messages in a byte stream: length, checksum, message. This module does no I/O."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

from badgerbend.feed.errors import MalformedMessageError
from badgerbend.feed.messages import MAX_FRAME_BYTES, Message, decode, encode

FRAME_HEADER = struct.Struct(">II")  # length and CRC-32 of the encoded message


def encode_frame(message: Message) -> bytes:
    """Encode a message with its frame header."""
    data = encode(message)
    return FRAME_HEADER.pack(len(data), zlib.crc32(data)) + data


class FrameReader:
    """Decodes messages from chunks of any size. The stream is unusable once `feed` has raised an error."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Buffer a chunk and iterate over the messages that are now complete. Raises MalformedMessageError."""
        self._buffer += data
        start = 0
        try:
            while len(self._buffer) - start >= FRAME_HEADER.size:
                length, checksum = FRAME_HEADER.unpack_from(self._buffer, start)
                if length > MAX_FRAME_BYTES:
                    raise MalformedMessageError(
                        f"a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
                    )
                end = start + FRAME_HEADER.size + length
                if len(self._buffer) < end:
                    return
                body = bytes(self._buffer[start + FRAME_HEADER.size : end])
                start = end
                if zlib.crc32(body) != checksum:
                    raise MalformedMessageError("the checksum of a frame does not match")
                yield decode(body)
        finally:
            del self._buffer[:start]
