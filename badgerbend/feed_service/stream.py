"""Messages of the feed over one TCP connection, as an asyncio protocol."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

from badgerbend.feed.errors import FeedError, MalformedMessageError
from badgerbend.feed.framing import FrameReader
from badgerbend.feed.messages import Message

WRITE_HIGH = 64 * 1024  # bytes that wait for the socket before the connection counts as full
WRITE_LOW = 16 * 1024


class StreamListener(Protocol):
    """Who is told what happens on a connection."""

    def stream_opened(self, stream: MessageStream) -> None: ...

    def stream_message(self, stream: MessageStream, message: Message) -> None: ...

    def stream_malformed(self, stream: MessageStream, error: FeedError) -> None: ...

    def stream_writable(self, stream: MessageStream) -> None: ...

    def stream_closed(self, stream: MessageStream) -> None: ...


class MessageStream(asyncio.Protocol):
    """One connection. number: its owner's name for it."""

    def __init__(self, listener: StreamListener, number: int) -> None:
        self.listener, self.number = listener, number
        self.full = False
        self.bytes_sent = self.bytes_received = 0
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._ended = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the socket has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Sends a frame, if the connection still stands."""
        if self._transport is not None and not self._ended:
            self.bytes_sent += len(data)
            self._transport.write(data)

    def abort(self) -> None:
        """Closes the connection and forgets what still waits to be written; its owner hears no more of it."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    # -- asyncio's side
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(WRITE_HIGH, WRITE_LOW)
        if self._ended:
            self._transport.abort()
        else:
            self.listener.stream_opened(self)

    def data_received(self, data: bytes) -> None:
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
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        if not self._ended:
            self.listener.stream_writable(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._ended:
            self._ended = True
            self.listener.stream_closed(self)
