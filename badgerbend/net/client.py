"""The asking side of HTTP/1.1: a pool of kept connections to one address, one request at a time on each.

Calling a request off closes its connection: HTTP/1.1 has no other way to tell the server. What that costs is a
new handshake for the next request; `Pool.opened` counts them.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import cast

import httptools


class CallResult(Enum):
    """How a request ended."""

    ANSWER = auto()
    CONNECT_FAILED = auto()  # nothing of the request was written
    RESET = auto()  # the connection broke after the request was written, in whole or in part
    MALFORMED = auto()  # the answer was no HTTP, or longer than allowed


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Times in seconds, sizes in bytes."""

    connect_timeout_s: float = 0.25
    idle_s: float = 15.0
    max_answer_bytes: int = 4_194_304


class Reply:
    __slots__ = ("body", "headers", "result", "status")

    def __init__(self, result: CallResult, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.result, self.status, self.headers, self.body = result, status, headers, body


class Call:
    """A request under way; `abort` ends it without a reply."""

    __slots__ = ("begin_by", "connection", "data", "done", "on_reply", "opening", "received")

    def __init__(self, data: bytes, on_reply: Callable[[Reply], None], begin_by: float) -> None:
        self.data, self.on_reply, self.begin_by = data, on_reply, begin_by
        self.connection: _Connection | None = None
        self.opening: asyncio.Task[None] | None = None
        self.done = False
        self.received = 0  # bytes of the answer so far

    def abort(self) -> None:
        if not self.done:
            self.done = True
            if self.connection is not None:
                self.connection.abort()
            elif self.opening is not None:
                self.opening.cancel()

    def finish(self, reply: Reply) -> None:
        if not self.done:
            self.done = True
            self.on_reply(reply)


class Pool:
    """Connections to one server. The last one used is used first, so that the others can go idle and close."""

    def __init__(self, host: str, port: int, limits: PoolLimits) -> None:
        self.host, self.port, self.limits = host, port, limits
        self.idle: list[_Connection] = []
        self.open: set[_Connection] = set()
        self.opened = 0
        self.unsolicited = 0  # answers that came to no request
        self.closed = False
        self._openings: set[asyncio.Task[None]] = set()

    def request(self, data: bytes, on_reply: Callable[[Reply], None], begin_by: float = math.inf) -> Call:
        """Sends a whole request, head and body. The reply comes by the callback, never before this returns.

        begin_by: on the loop's clock; what has no connection by then is not sent.
        """
        call = Call(data, on_reply, begin_by)
        while self.idle:
            connection = self.idle.pop()
            if connection.usable():
                connection.start(call)
                return call
        call.opening = asyncio.get_running_loop().create_task(self._connect(call))
        self._openings.add(call.opening)
        call.opening.add_done_callback(self._openings.discard)
        return call

    def preconnect(self, done: Callable[[bool], None]) -> None:
        """Opens a connection before it is needed, unless one is idle; `done` tells whether it came about."""
        if not self.idle and not self.closed:
            opening = asyncio.get_running_loop().create_task(self._preconnect(done))
            self._openings.add(opening)
            opening.add_done_callback(self._openings.discard)

    async def _preconnect(self, done: Callable[[bool], None]) -> None:
        connection = await self._connection()
        if connection is not None:
            connection.free()
        done(connection is not None)

    async def _connection(self) -> _Connection | None:
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self.limits.connect_timeout_s):
                _, connection = await loop.create_connection(lambda: _Connection(self, loop), self.host, self.port)
        except (OSError, TimeoutError):
            return None
        return connection

    async def _connect(self, call: Call) -> None:
        connection = await self._connection()
        late = asyncio.get_running_loop().time() > call.begin_by
        if connection is not None and late and not call.done:
            connection.free()
            call.finish(Reply(CallResult.CONNECT_FAILED, 0, {}, b""))
        elif connection is None:
            call.finish(Reply(CallResult.CONNECT_FAILED, 0, {}, b""))
        elif call.done or self.closed:
            connection.free()
        else:
            connection.start(call)

    def close_idle(self) -> None:
        while self.idle:
            self.idle.pop().abort()

    def sweep(self, now: float) -> None:
        """Closes what has been idle for too long."""
        while self.idle and now - self.idle[0].since > self.limits.idle_s:
            self.idle.pop(0).abort()

    def close(self) -> None:
        self.closed = True
        self.idle.clear()
        for connection in list(self.open):
            connection.abort()
        for opening in list(self._openings):
            opening.cancel()


class _Connection(asyncio.Protocol):
    def __init__(self, pool: Pool, loop: asyncio.AbstractEventLoop) -> None:
        self.pool, self.loop = pool, loop
        self.transport: asyncio.Transport | None = None
        self.call: Call | None = None
        self.since = loop.time()
        self.parser = httptools.HttpResponseParser(self)
        self.headers, self.chunks, self.size = dict[bytes, bytes](), list[bytes](), 0
        self.ready: tuple[Call, Reply] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.pool.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        del self.parser  # it points back here: else each connection waits for the garbage collector
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
        self.headers, self.chunks, self.size = {}, [], 0
        self.transport.write(call.data)

    def data_received(self, data: bytes) -> None:
        if self.call is None:  # an answer to nothing: this connection cannot be trusted
            self.pool.unsolicited += 1
            self.abort()
            return
        self.call.received += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            call, self.call = self.call, None
            self.abort()
            if call is not None:
                call.finish(Reply(CallResult.MALFORMED, 0, {}, b""))
            return
        if self.ready is not None:  # told only now: what breaks over an answer must not pass for a bad answer
            (call, reply), self.ready = self.ready, None
            call.finish(reply)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value
        self.size += len(name) + len(value)
        self._check()

    def on_body(self, body: bytes) -> None:
        self.chunks.append(body)
        self.size += len(body)
        self._check()

    def _check(self) -> None:
        if self.size > self.pool.limits.max_answer_bytes:
            raise ValueError("the answer is longer than allowed")

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:  # 100 Continue and the like come before the answer
            self.headers, self.chunks = {}, []
            return
        call, self.call = self.call, None
        body = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        reply = Reply(CallResult.ANSWER, status, self.headers, body)
        if self.parser.should_keep_alive():
            self.loop.call_soon(self.free)  # after the parser has seen the rest of what came
        else:
            self.abort()
        if call is not None:
            self.ready = (call, reply)

    def free(self) -> None:
        """Back to the pool, unless it is closing or was taken meanwhile."""
        if self.call is None and self.usable():
            if self.pool.closed:
                self.abort()
                return
            self.since = self.loop.time()
            self.pool.idle.append(self)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
