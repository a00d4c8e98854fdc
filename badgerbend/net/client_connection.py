"""A connection of the HTTP client: idle, or with one call in flight; it parses the response."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast

import httptools

from badgerbend.net.calls import Call, CallResult, Reply
from badgerbend.net.pool_limits import PoolLimits
from badgerbend.net.request_parser import HEADER_OVERHEAD_BYTES, MAX_HEADERS
from badgerbend.net.transport_cycle import break_reference_cycle

MAX_HEAD_BYTES = 65_536  # of a response, or of what else comes without content


class ConnectionPool(Protocol):
    """What a connection needs of its pool.

    idle: connections without a call. open: all connections. unsolicited: responses received without a request.
    reserved_bytes: taken by the incomplete answers of all connections.
    """

    limits: PoolLimits
    idle: list[ClientConnection]
    open: set[ClientConnection]
    unsolicited: int
    reserved_bytes: int
    closed: bool

    def limit_memory(self) -> None:
        """Fails answers while incomplete ones take too much memory together."""


class ClientConnection(asyncio.Protocol):
    """A connection of a pool: idle, or with one call in flight."""

    def __init__(self, pool: ConnectionPool, loop: asyncio.AbstractEventLoop) -> None:
        self.pool, self.loop = pool, loop
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.idle_since = loop.time()
        self.parser = httptools.HttpResponseParser(self)
        self.headers, self.body = dict[bytes, bytes](), bytearray()
        self.size = 0  # taken by the incomplete answer
        self._header_count = self._bytes_without_content = 0
        self.completed: tuple[Call, Reply] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self.pool.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        break_reference_cycle(self.transport)
        self.transport = None
        del self.parser  # breaks the reference cycle; else connections stay until the garbage collector runs
        self._reset_answer()  # the call of an aborted poll may refer to this connection for longer
        self.pool.open.discard(self)
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        call, self.call = self.call, None
        if call is not None:
            call.finish(Reply(CallResult.RESET, 0, {}, b""))

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def start(self, call: Call) -> None:
        assert self.transport is not None
        self.call, call.connection = call, self
        self._reset_answer()
        self.transport.write(call.data)

    def data_received(self, data: bytes) -> None:
        if self.call is None:  # a response without a request: responses no longer match the requests
            self.pool.unsolicited += 1
            self.abort()
            return
        self.call.received += len(data)
        is_valid = self._parse(data)
        if self.completed is None:
            if is_valid and self._bytes_without_content <= MAX_HEAD_BYTES:
                self.pool.limit_memory()
            else:
                self.fail()
            return
        if not is_valid:  # the answer is complete, and what follows it is none
            self.pool.unsolicited += 1
            self.abort()
        # The callback is called here and not by the parser, which would report its exceptions as a malformed response.
        (call, reply), self.completed = self.completed, None
        call.finish(reply)

    def _parse(self, data: bytes) -> bool:
        """Parses input; returns whether all of it is valid."""
        self._bytes_without_content += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return False
        return True

    def fail(self) -> None:
        """Ends the call because of its answer, and closes the connection."""
        call, self.call = self.call, None
        self._reset_answer()
        self.abort()
        if call is not None:
            call.finish(Reply(CallResult.MALFORMED, 0, {}, b""))

    def _reset_answer(self) -> None:
        self.headers, self.body = {}, bytearray()
        self._header_count = self._bytes_without_content = 0
        self.pool.reserved_bytes -= self.size
        self.size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise ValueError("response has too many headers")
        self.headers[name.lower()] = value
        self._reserve(len(name) + len(value) + HEADER_OVERHEAD_BYTES)

    def on_headers_complete(self) -> None:
        self._bytes_without_content = 0

    def on_body(self, body: bytes) -> None:
        self._bytes_without_content = 0
        self.body += body
        self._reserve(len(body))

    def _reserve(self, size: int) -> None:
        self.size += size
        self.pool.reserved_bytes += size
        if self.size > self.pool.limits.max_answer_bytes:
            raise ValueError("response exceeds the size limit")

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:  # an interim response such as 100 Continue
            self._reset_answer()
            return
        if self.call is None:
            raise ValueError("response without a request")
        call, self.call = self.call, None
        reply = Reply(CallResult.ANSWER, status, self.headers, bytes(self.body))
        self._reset_answer()
        if self.parser.should_keep_alive():
            self.loop.call_soon(self.release)  # after the parser has consumed the rest of the data
        else:
            self.abort()
        self.completed = (call, reply)

    def release(self) -> None:
        """Returns the connection to the pool, unless it is closing or has been reused in the meantime."""
        if self.call is None and self.usable():
            if self.pool.closed:
                self.abort()
                return
            self.idle_since = self.loop.time()
            self.pool.idle.append(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
