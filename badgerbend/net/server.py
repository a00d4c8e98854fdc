"""The serving side of HTTP/1.1: one protocol object a connection, one `Exchange` a request.

A handler is called with each whole request and answers by `Exchange.respond`, now or later. A connection answers
its requests in order, one at a time. A peer that closes its connection is told to the exchange it was waiting
for, by `on_gone`.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import httptools

REASONS = {s.value: s.phrase.encode() for s in HTTPStatus}
SWEEP_S = 0.5  # how often slow readers and idle connections are looked for
MOST_WAITING = 8  # requests sent ahead of their answers before reading stops
Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Sizes in bytes, times in seconds."""

    max_connections: int = 10_000
    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    read_timeout_s: float = 10.0  # for one request to arrive; the first counts from the connection's start
    idle_timeout_s: float = 75.0  # between requests
    silent_timeout_s: float = 75.0  # before the first one has begun
    max_kept: int = 10_000  # with more connections open, each answer is the last on its own


class Exchange:
    """One request and its one answer."""

    __slots__ = ("_connection", "body", "gone", "headers", "keep_alive", "method", "on_gone", "target")

    def __init__(
        self, connection: _Connection, method: bytes, target: bytes, headers: dict[bytes, bytes], keep: bool
    ) -> None:
        self._connection = connection
        self.method, self.target, self.headers, self.keep_alive = method, target, headers, keep
        self.body = b""
        self.gone = False
        self.on_gone: Callable[[], None] | None = None

    @property
    def connection_key(self) -> int:
        """The same for all exchanges of one connection."""
        return id(self._connection)

    def respond(self, status: int, body: bytes, content_type: bytes, extra: Headers = ()) -> bool:
        """Writes the answer. False if the peer has gone or was answered before: then nothing is written."""
        if self.gone or self._connection.active is not self:
            return False
        self._connection.write_answer(self, status, body, content_type, extra)
        return True

    def drop(self) -> None:
        """Closes the connection without an answer."""
        if not self.gone and self._connection.active is self:
            self._connection.abort()


Handler = Callable[[Exchange], None]


class HttpServer:
    """A listening socket and its connections."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler, self.limits = handler, limits
        self.connections: set[_Connection] = set()
        self.closing = False
        self.turned_away = 0
        self.address = ("", 0)  # once it listens
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._emptied: asyncio.Future[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens; returns the port. Raises OSError where the address is taken or not ours."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self, loop), host, port, backlog=1024)
        self._sweeper = loop.call_later(SWEEP_S, self._sweep, loop)
        bound = self._server.sockets[0].getsockname()
        self.address = (str(bound[0]), int(bound[1]))
        return self.address[1]

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    async def close(self, grace_s: float) -> int:
        """Stops listening, lets open exchanges end, cuts what is left after `grace_s`; returns how many."""
        loop = asyncio.get_running_loop()
        self.stop_listening()
        self.closing = True
        for connection in list(self.connections):
            connection.close_if_idle()
        if self.connections:
            self._emptied = loop.create_future()
            await asyncio.wait([self._emptied], timeout=grace_s)
        cut = len(self.connections)
        for connection in list(self.connections):
            connection.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()
        return cut

    def make_room(self) -> bool:
        """Cuts the connection that can best be spared: one with no request held; silent or idle before half read,
        the longest first. False if all hold requests."""
        spare = [c for c in self.connections if c.active is None and not c.waiting]
        if not spare:
            return False
        victim = min(spare, key=lambda c: (c.reading, c.since))
        self.connections.discard(victim)
        victim.abort()
        return True

    def forget(self, connection: _Connection) -> None:
        self.connections.discard(connection)
        if not self.connections and self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self._sweeper = loop.call_later(SWEEP_S, self._sweep, loop)


class _Connection(asyncio.Protocol):
    def __init__(self, server: HttpServer, loop: asyncio.AbstractEventLoop) -> None:
        self.server, self.loop = server, loop
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.active: Exchange | None = None
        self.waiting: deque[Exchange] = deque()
        self.since = loop.time()  # when the request being read began, or the last one ended
        self.asked = False  # a request came whole
        self.reading = False
        self.blocked_since: float | None = None
        self.refusing = False
        self.paused = False
        self._reset()

    def _reset(self) -> None:
        self.target, self.headers, self.chunks = b"", dict[bytes, bytes](), list[bytes]()
        self.head_bytes = self.body_bytes = 0
        self.head_done = False

    # -- asyncio's side
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if len(self.server.connections) >= self.server.limits.max_connections and not self.server.make_room():
            self.server.turned_away += 1
            transport.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.forget(self)
        self.transport = None
        del self.parser  # it points back here: else each connection waits for the garbage collector
        lost, self.active = [*([self.active] if self.active else []), *self.waiting], None
        self.waiting.clear()
        for exchange in lost:
            exchange.gone = True
            if exchange.on_gone is not None:
                exchange.on_gone()

    def data_received(self, data: bytes) -> None:
        if self.refusing:
            return
        if not self.reading:
            self.reading = True
            self.since = self.loop.time() if self.asked else self.since
        if not self.head_done:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except _TooMuch as err:
            self.refuse(err.status, err.text)
        except httptools.HttpParserCallbackError as err:
            cause = err.__context__
            if isinstance(cause, _TooMuch):
                self.refuse(cause.status, cause.text)
            else:
                raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.refuse(400, b"malformed HTTP")
        else:
            if not self.head_done and self.head_bytes > self.server.limits.max_head_bytes:
                self.refuse(431, b"header section too large")

    def pause_writing(self) -> None:
        self.blocked_since = self.loop.time()

    def resume_writing(self) -> None:
        self.blocked_since = None

    # -- httptools' side
    def on_message_begin(self) -> None:
        self.reading = True

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in self.headers and key in (b"host", b"content-length", b"transfer-encoding"):
            raise _TooMuch(400, b"a header that may come once came twice")
        self.headers[key] = self.headers[key] + b", " + value if key in self.headers else value

    def on_headers_complete(self) -> None:
        self.head_done = True
        limits = self.server.limits
        if self.head_bytes > limits.max_head_bytes + limits.max_body_bytes:
            raise _TooMuch(431, b"header section too large")
        if sum(len(k) + len(v) for k, v in self.headers.items()) > limits.max_head_bytes:
            raise _TooMuch(431, b"header section too large")
        if b"content-length" in self.headers and b"transfer-encoding" in self.headers:
            raise _TooMuch(400, b"both a length and a transfer encoding")
        length = self.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > limits.max_body_bytes:
            raise _TooMuch(413, b"body too large")
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > self.server.limits.max_body_bytes:
            raise _TooMuch(413, b"body too large")
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        keep = self.parser.should_keep_alive()
        exchange = Exchange(self, self.parser.get_method(), self.target, self.headers, keep)
        exchange.body = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        self._reset()
        self.reading, self.since, self.asked = False, self.loop.time(), True
        if self.active is None:
            self.active = exchange
            self._serve(exchange)
            return
        self.waiting.append(exchange)
        if len(self.waiting) >= MOST_WAITING and self.transport and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    # -- answers
    def write_answer(
        self, exchange: Exchange, status: int, body: bytes, content_type: bytes, extra: Headers
    ) -> None:
        transport = self.transport
        if transport is None:
            return
        crowded = len(self.server.connections) > self.server.limits.max_kept
        ending = self.server.closing or self.refusing or crowded
        keep = exchange.keep_alive and (not ending or bool(self.waiting))
        head = [b"HTTP/1.1 %d %s\r\ncontent-length: %d\r\n" % (status, REASONS.get(status, b"-"), len(body))]
        if content_type:
            head.append(b"content-type: %s\r\n" % content_type)
        for name, value in extra:
            head.append(b"%s: %s\r\n" % (name, value))
        head.append(b"\r\n" if keep else b"connection: close\r\n\r\n")
        if exchange.method != b"HEAD":
            head.append(body)
        transport.write(b"".join(head))
        self.active = None
        self.since = self.loop.time()
        if not keep:
            transport.close()
        elif self.waiting:
            self.loop.call_soon(self._next)

    def _next(self) -> None:
        if self.active is None and self.waiting and self.transport:
            self.active = self.waiting.popleft()
            if self.paused and len(self.waiting) < MOST_WAITING // 2:
                self.paused = False
                self.transport.resume_reading()
            self._serve(self.active)

    def _serve(self, exchange: Exchange) -> None:
        """A handler that breaks costs its own request an error, and nobody else anything."""
        try:
            self.server.handler(exchange)
        except Exception as err:
            self.loop.call_exception_handler({"message": "a handler broke", "exception": err})
            exchange.respond(500, b"internal error", b"text/plain")

    def refuse(self, status: int, text: bytes) -> None:
        """Answers what cannot be read, once, and closes; after the answers to what was read before it."""
        self.refusing = True
        if self.transport is None:
            return
        if self.active is not None:
            self.transport.pause_reading()
            return
        head = b"HTTP/1.1 %d %s\r\ncontent-length: %d\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n"
        self.transport.write(head % (status, REASONS[status], len(text)) + text)
        self.transport.close()

    def close_if_idle(self) -> None:
        if self.active is None and not self.reading and self.transport:
            self.transport.close()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()

    def sweep(self, now: float) -> None:
        limits = self.server.limits
        if self.blocked_since is not None and now - self.blocked_since > limits.read_timeout_s:
            self.abort()  # it does not read what it asked for
        elif self.reading and now - self.since > limits.read_timeout_s:
            self.refuse(408, b"the request took too long to arrive")
        elif now - self.since > (limits.idle_timeout_s if self.asked else limits.silent_timeout_s):
            self.close_if_idle()


class _TooMuch(Exception):
    def __init__(self, status: int, text: bytes) -> None:
        super().__init__(text)
        self.status, self.text = status, text
