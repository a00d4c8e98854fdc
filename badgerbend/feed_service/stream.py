"""Messages of the feed over one TCP connection, as an asyncio protocol."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from badgerbend.feed.errors import FeedError, MalformedMessageError
from badgerbend.feed.framing import FrameReader
from badgerbend.feed.messages import Message

WRITE_HIGH = 64 * 1024  # unsent bytes above which the connection counts as full
WRITE_LOW = 16 * 1024  # unsent bytes at or below which a full connection becomes writable again


class StreamListener(Protocol):
    """Receives the events of connections. There are no further events after the listener aborts a connection."""

    def stream_opened(self, stream: MessageStream) -> None:
        """The connection is established."""

    def stream_message(self, stream: MessageStream, message: Message) -> None:
        """A message was received."""

    def stream_malformed(self, stream: MessageStream, error: FeedError) -> None:
        """Invalid bytes were received; the connection stays open until it is aborted."""

    def stream_writable(self, stream: MessageStream) -> None:
        """The connection was full and now accepts further frames."""

    def stream_closed(self, stream: MessageStream) -> None:
        """The peer or the network has closed the connection."""


class MessageStream(asyncio.Protocol):
    """One connection.

    number: identifies the connection to its listener. full: more than WRITE_HIGH bytes are unsent.
    """

    def __init__(self, listener: StreamListener, number: int) -> None:
        self.listener = listener
        self.number = number
        self.full = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._ended = False

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes that the socket has not accepted yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def write(self, frame: bytes) -> None:
        """Send a frame. Does nothing if the connection has ended."""
        if self._transport is not None and not self._ended:
            self.bytes_sent += len(frame)
            self._transport.write(frame)

    def abort(self) -> None:
        """Close the connection immediately and discard its unsent bytes."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    # The methods of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify the listener, unless it has aborted the connection while it was being established."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(WRITE_HIGH, WRITE_LOW)
        if self._ended:
            self._transport.abort()
        else:
            self.listener.stream_opened(self)

    def data_received(self, data: bytes) -> None:
        """Pass complete messages on to the listener."""
        self.bytes_received += len(data)
        try:
            for message in self._reader.feed(data):
                if self._ended:
                    return
                self.listener.stream_message(self, message)
        except MalformedMessageError as error:
            if not self._ended:
                self.listener.stream_malformed(self, error)

    def pause_writing(self) -> None:
        """Note that more than WRITE_HIGH bytes are unsent."""
        self.full = True

    def resume_writing(self) -> None:
        """Notify the listener that no more than WRITE_LOW bytes are unsent."""
        self.full = False
        if not self._ended:
            self.listener.stream_writable(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the listener, unless it has aborted the connection itself."""
        if not self._ended:
            self._ended = True
            self.listener.stream_closed(self)
