"""Frames of a streamed answer. Each has a length (uvarint), a checksum (CRC-32C, big-endian) and a message.

The checksum covers the message only. The reader performs no I/O: it takes bytes in pieces of any size and yields
messages.
"""

from __future__ import annotations

from collections.abc import Iterator

import google_crc32c

CONTENT_TYPE = b"application/x-streamed-protobuf; proto=prometheus.ChunkedReadResponse"
MAX_VARINT_BYTES = 10  # the length of a 64-bit number


class BadFrame(Exception):
    """The stream is malformed; no data after the error can be trusted."""


def frame(message: bytes) -> bytes:
    """Encodes a message as a frame."""
    header = bytearray()
    size = len(message)
    while size > 0x7F:
        header.append(size & 0x7F | 0x80)
        size >>= 7
    header.append(size)
    return bytes(header) + int(google_crc32c.value(message)).to_bytes(4, "big") + message


class FrameReader:
    """Splits a stream of bytes into messages of at most `max_message_bytes`."""

    def __init__(self, max_message_bytes: int) -> None:
        self.max_message_bytes, self.buffer = max_message_bytes, bytearray()

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Adds received bytes and yields the messages that are complete. Raises BadFrame."""
        self.buffer += data
        while True:
            header = self._header()
            if header is None:
                return
            size, offset = header
            if size > self.max_message_bytes:
                raise BadFrame(f"message has {size} bytes, but only {self.max_message_bytes} are allowed")
            if len(self.buffer) < offset + 4 + size:
                return
            message = bytes(self.buffer[offset + 4 : offset + 4 + size])
            if int(google_crc32c.value(message)) != int.from_bytes(self.buffer[offset : offset + 4], "big"):
                raise BadFrame("checksum does not match the message")
            del self.buffer[: offset + 4 + size]
            yield message

    def _header(self) -> tuple[int, int] | None:
        """The length of the next message and the offset of its checksum; None while the length is incomplete."""
        size = 0
        for offset, byte in enumerate(self.buffer[:MAX_VARINT_BYTES]):
            size |= (byte & 0x7F) << 7 * offset
            if byte < 0x80:
                return size, offset + 1
        if len(self.buffer) >= MAX_VARINT_BYTES:
            raise BadFrame("message length has more than 64 bits")
        return None

    def end(self) -> None:
        """Must be called when the stream ends. Raises BadFrame if it ends within a frame."""
        if self.buffer:
            raise BadFrame("stream ends within a frame")
