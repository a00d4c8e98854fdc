"""The stream of a chunked answer: frames of a length (uvarint), a checksum (CRC-32C, big end first) and a message.

The checksum is of the message alone. Pure: bytes in, messages out, in whatever pieces they come.
"""

from __future__ import annotations

from collections.abc import Iterator

import google_crc32c

CONTENT_TYPE = b"application/x-streamed-protobuf; proto=prometheus.ChunkedReadResponse"
MOST_VARINT = 10  # bytes of a 64-bit number


class BadFrame(Exception):
    """A stream that breaks its own rules; nothing after it can be trusted."""


def frame(message: bytes) -> bytes:
    """A message as it goes on the wire."""
    head = bytearray()
    size = len(message)
    while size > 0x7F:
        head.append(size & 0x7F | 0x80)
        size >>= 7
    head.append(size)
    return bytes(head) + int(google_crc32c.value(message)).to_bytes(4, "big") + message


class Frames:
    """Takes bytes as they come. `most`: bytes of one message; `end` tells whether the stream stopped between frames."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The messages that are whole by now. Raises BadFrame."""
        self.held += data
        while True:
            head = self._head()
            if head is None:
                return
            size, at = head
            if size > self.most:
                raise BadFrame(f"a message of {size} bytes, where {self.most} are allowed")
            if len(self.held) < at + 4 + size:
                return
            message = bytes(self.held[at + 4 : at + 4 + size])
            if int(google_crc32c.value(message)) != int.from_bytes(self.held[at : at + 4], "big"):
                raise BadFrame("the checksum is of another message")
            del self.held[: at + 4 + size]
            yield message

    def _head(self) -> tuple[int, int] | None:
        """The length of the next message and where its checksum begins; None while that is not all there."""
        size = 0
        for at, byte in enumerate(self.held[:MOST_VARINT]):
            size |= (byte & 0x7F) << 7 * at
            if byte < 0x80:
                return size, at + 1
        if len(self.held) >= MOST_VARINT:
            raise BadFrame("a length of more than 64 bits")
        return None

    def end(self) -> None:
        """The stream has ended. Raises BadFrame where that is within a frame."""
        if self.held:
            raise BadFrame("the stream ends within a frame")
