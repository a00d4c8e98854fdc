"""HTTP/1.1 client: a pool of persistent connections to one address, with one request at a time on each.

Cancelling a request closes its connection, since HTTP/1.1 has no other way to notify the server. The next request then
needs a new handshake; `Pool.opened` counts the handshakes that were started, including those that failed.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import cast

import httptools

from badgerbend.net.request_parser import HEADER_OVERHEAD_BYTES, MAX_HEADERS

MAX_HEAD_BYTES = 65_536  # of a response, or of what else comes without content
MAX_INCOMPLETE_ANSWERS = 2  # incomplete answers of the largest size that the connections of a pool hold together


class CallResult(Enum):
    """How a call ended."""

    ANSWER = auto()
    CONNECT_FAILED = auto()  # no byte of the request was written
    RESET = auto()  # the connection broke after at least a part of the request was written
    MALFORMED = auto()  # the response was not valid HTTP or exceeded the size limit


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Times in seconds, sizes in bytes."""

    connect_timeout_s: float = 0.25
    idle_s: float = 15.0
    max_answer_bytes: int = 4_194_304


class Reply:
    """The result of a call; status, headers and body are set if a response was received."""

    __slots__ = ("body", "headers", "result", "status")

    def __init__(self, result: CallResult, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.result, self.status, self.headers, self.body = result, status, headers, body


class Call:
    """A request in flight. `abort` cancels it: its callback is not called."""

    __slots__ = ("connect_task", "connection", "data", "done", "on_reply", "received", "send_by")

    def __init__(self, data: bytes, on_reply: Callable[[Reply], None], send_by: float) -> None:
        self.data, self.on_reply, self.send_by = data, on_reply, send_by
        self.connection: _Connection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.done = False
        self.received = 0  # bytes of the response so far

    def abort(self) -> None:
        if not self.done:
            self.done = True
            if self.connection is not None:
                self.connection.abort()
            elif self.connect_task is not None:
                self.connect_task.cancel()

    def finish(self, reply: Reply) -> None:
        """Calls the callback, unless the call is finished or cancelled."""
        if not self.done:
            self.done = True
            self.on_reply(reply)


class Pool:
    """Connections to one server. The most recently used one is reused first, so that surplus ones can idle out."""

    def __init__(self, host: str, port: int, limits: PoolLimits) -> None:
        self.host, self.port, self.limits = host, port, limits
        self.idle: list[_Connection] = []
        self.open: set[_Connection] = set()
        self.opened = 0
        self.unsolicited = 0  # responses received without a request
        self.reserved_bytes = 0  # taken by the incomplete answers of all connections
        self.closed = False
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def request(self, data: bytes, on_reply: Callable[[Reply], None], send_by: float = math.inf) -> Call:
        """Sends a complete request, head and body. The callback is called with the reply, never before this returns.

        send_by: deadline on the loop's clock; a request without a connection by then is not sent.
        """
        call = Call(data, on_reply, send_by)
        while self.idle:
            connection = self.idle.pop()
            if connection.usable():
                connection.start(call)
                return call
        call.connect_task = asyncio.get_running_loop().create_task(self._connect(call))
        self._connect_tasks.add(call.connect_task)
        call.connect_task.add_done_callback(self._connect_tasks.discard)
        return call

    def preconnect(self, done: Callable[[bool], None]) -> None:
        """Opens a connection before it is needed, unless one is idle. `done` is called with whether it succeeded."""
        if not self.idle and not self.closed:
            connect_task = asyncio.get_running_loop().create_task(self._preconnect(done))
            self._connect_tasks.add(connect_task)
            connect_task.add_done_callback(self._connect_tasks.discard)

    async def _preconnect(self, done: Callable[[bool], None]) -> None:
        connection = await self._open_connection()
        if connection is not None:
            connection.release()
        done(connection is not None)

    async def _open_connection(self) -> _Connection | None:
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self.limits.connect_timeout_s):
                _, connection = await loop.create_connection(lambda: _Connection(self, loop), self.host, self.port)
        except (OSError, TimeoutError):
            return None
        return connection

    async def _connect(self, call: Call) -> None:
        connection = await self._open_connection()
        is_late = asyncio.get_running_loop().time() > call.send_by
        if connection is not None and is_late and not call.done:
            connection.release()
            call.finish(Reply(CallResult.CONNECT_FAILED, 0, {}, b""))
        elif connection is None:
            call.finish(Reply(CallResult.CONNECT_FAILED, 0, {}, b""))
        elif call.done or self.closed:
            connection.release()
        else:
            connection.start(call)

    def limit_memory(self) -> None:
        """Fails the answers that have come least far, while incomplete ones take too much memory together."""
        while self.reserved_bytes > MAX_INCOMPLETE_ANSWERS * self.limits.max_answer_bytes:
            min((connection for connection in self.open if connection.size), key=lambda c: c.size).fail()

    def close_idle(self) -> None:
        while self.idle:
            self.idle.pop().abort()

    def sweep(self, now: float) -> None:
        """Closes connections that have been idle for too long."""
        while self.idle and now - self.idle[0].idle_since > self.limits.idle_s:
            self.idle.pop(0).abort()

    def close(self) -> None:
        self.closed = True
        self.idle.clear()
        for connection in list(self.open):
            connection.abort()
        for connect_task in list(self._connect_tasks):
            connect_task.cancel()


class _Connection(asyncio.Protocol):
    """A connection of a pool: idle, or with one call in flight."""

    def __init__(self, pool: Pool, loop: asyncio.AbstractEventLoop) -> None:
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
