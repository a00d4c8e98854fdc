"""The serving side of HTTP/1.1: one protocol object a connection, one `Exchange` a request.

A handler is called with each whole request and answers by `Exchange.respond`, now or later. A connection answers
its requests in order, one at a time. A peer that closes its connection is told to the exchange it was waiting
for, by `on_disconnect`; so reading goes on while answers are waited for, and where it has to stop the socket is asked.

The last answer on a connection is followed by a lingering close: the write side is shut, and what still comes is read
and thrown away within bounds. A close over unread bytes would reset the connection, and the reset can overtake the
answer.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import cast

import httptools

from badgerbend.net.acceptor import Acceptor, Listener, accept_from
from badgerbend.net.arrival import unread_s

REASONS = {s.value: s.phrase.encode() for s in HTTPStatus}
SWEEP_S = 0.5  # how often slow readers and idle connections are looked for
HANG_UP_S = 0.05  # how often, while reading is paused, whether the peer has closed
MOST_WAITING = 8  # requests read ahead of their answers; what comes behind them waits unread
SLICE = 4096  # bytes read at a time: a few requests
MOST_AHEAD = 16_384  # bytes that wait unread before reading is paused
LINGER_S, LINGER_BYTES = 0.5, 262_144  # of a lingering close: the client needs a way there to read its answer
HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR
Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Sizes in bytes, times in seconds."""

    max_connections: int = 10_000
    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    read_timeout_s: float = 10.0  # for one request to arrive; the first counts from the connection's start
    idle_timeout_s: float = 75.0  # between requests
    first_byte_timeout_s: float = 75.0  # before the first one has begun
    max_keep_alive: int = 10_000  # with more connections open and not lingering, each answer is the last on its own


class Exchange:
    """One request and its one answer."""

    __slots__ = (
        "_connection",
        "body",
        "disconnected",
        "headers",
        "keep_alive",
        "method",
        "on_disconnect",
        "received_at",
        "target",
    )

    def __init__(
        self,
        connection: _Connection,
        method: bytes,
        target: bytes,
        headers: dict[bytes, bytes],
        keep: bool,
        received_at: float,
    ) -> None:
        self._connection = connection
        self.received_at = received_at  # when its last byte came, on the loop's clock
        self.method, self.target, self.headers, self.keep_alive = method, target, headers, keep
        self.body = b""
        self.disconnected = False
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def connection_key(self) -> int:
        """The same for all exchanges of one connection."""
        return id(self._connection)

    def client_has_left(self) -> bool:
        """Asks the socket whether the peer has closed, though that was not read yet; if so the exchange ends soon."""
        return self.disconnected or self._connection.peer_has_left()

    def respond(self, status: int, body: bytes, content_type: bytes, extra: Headers = ()) -> bool:
        """Writes the answer. False if the peer has gone or was answered before: then nothing is written."""
        if self.disconnected or self._connection.active is not self:
            return False
        self._connection.write_answer(self, status, body, content_type, extra)
        return True

    def drop(self) -> None:
        """Closes the connection without an answer."""
        if not self.disconnected and self._connection.active is self:
            self._connection.abort()


Handler = Callable[[Exchange], None]


class HttpServer:
    """A listening socket and its connections."""

    def __init__(self, handler: Handler, limits: ServerLimits) -> None:
        self.handler, self.limits = handler, limits
        self.connections: set[_Connection] = set()
        self.closing = False
        self.rejected_connections = self.lingering = 0
        self.address = ("", 0)  # once it listens
        self._listener: Listener | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._emptied: asyncio.Future[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens; returns the port. Raises OSError where the address is taken or not ours."""
        loop = asyncio.get_running_loop()
        listener = await bound_socket(loop, host, port)
        self._listener = await accept_from(loop, listener, lambda: _Connection(self, loop))
        self._sweeper = loop.call_later(SWEEP_S, self._sweep, loop)
        bound = listener.getsockname()
        self.address = (str(bound[0]), int(bound[1]))
        return self.address[1]

    @property
    def accepts_failed(self) -> int:
        """Accepts that failed for want of descriptors or memory, while it listens."""
        return self._listener.failures if isinstance(self._listener, Acceptor) else 0

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def close(self, grace_s: float) -> int:
        """Stops listening, lets open exchanges end, cuts what is left after `grace_s`; returns how many."""
        loop = asyncio.get_running_loop()
        listener = self._listener
        self.stop_listening()
        self.closing = True
        if isinstance(listener, Acceptor):
            await listener.settled()
        for connection in list(self.connections):
            connection.close_if_idle()
        if self.connections:
            self._emptied = loop.create_future()
            await asyncio.wait([self._emptied], timeout=grace_s)
        cut = sum(connection.holds() for connection in self.connections)
        for connection in list(self.connections):
            connection.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()
        return cut

    def make_room(self) -> bool:
        """Cuts the connection that can best be spared: one with no request held and no answer half written; one that
        lingers, then silent or idle, then half read, the longest first; with a request just arriving only if there is
        no other. False if all hold requests."""
        spare = [c for c in self.connections if not c.holds() and not c.writing()]
        spare.sort(key=lambda c: (not c.lingering, c.reading, c.since))
        victim = next((c for c in spare if c.lingering or not c.arriving()), spare[0] if spare else None)
        if victim is None:
            return False
        self.connections.discard(victim)
        victim.abort()
        return True

    def crowded(self) -> bool:
        return len(self.connections) - self.lingering > self.limits.max_keep_alive

    def forget(self, connection: _Connection) -> None:
        self.connections.discard(connection)
        if not self.connections and self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self._sweeper = loop.call_later(SWEEP_S, self._sweep, loop)


async def bound_socket(loop: asyncio.AbstractEventLoop, host: str, port: int) -> socket.socket:
    """A socket that has its address. Raises OSError."""
    family: int = socket.AF_INET
    address: tuple[object, ...] = (host, port)
    try:
        socket.inet_pton(family, host)
    except OSError:  # a name, or IPv6; only for these the resolver, which opens files and sockets of its own
        family, _, _, _, address = (await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM))[0]
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


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
        self.refusal: tuple[int, bytes] | None = None  # owed after the answers to what was read before
        self.ahead = bytearray()  # came behind more requests than are read ahead
        self.thrown = 0  # bytes that came after the last request that is served
        self.lingering = self.paused = False
        self._timer: asyncio.TimerHandle | None = None  # of the lingering close, or of looking for the peer's
        self._reset()

    def _reset(self) -> None:
        self.target, self.headers, self.chunks = b"", dict[bytes, bytes](), list[bytes]()
        self.head_bytes = self.body_bytes = 0
        self.head_done = False

    # -- asyncio's side
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if len(self.server.connections) >= self.server.limits.max_connections and not self.server.make_room():
            self.server.rejected_connections += 1
            transport.abort()
            return
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.forget(self)
        self.transport = None
        self.server.lingering -= self.lingering
        if self._timer is not None:
            self._timer.cancel()
        del self.parser  # it points back here: else each connection waits for the garbage collector
        lost, self.active = [*([self.active] if self.active else []), *self.waiting], None
        self.waiting.clear()
        for exchange in lost:
            exchange.disconnected = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def data_received(self, data: bytes) -> None:
        if self.lingering or self.refusal is not None:
            self._throw_away(len(data))
            return
        if not self.reading:
            self.reading = True
            self.since = self.loop.time() if self.asked else self.since
        if self.ahead or len(data) > SLICE:
            self.ahead += data
            self._read_on()
        else:
            self._parse(data)

    def _read_on(self) -> None:
        """Reads what waits, as far as requests are read ahead of their answers."""
        while self.ahead and len(self.waiting) < MOST_WAITING and self.transport and self.refusal is None:
            piece = bytes(self.ahead[:SLICE])
            del self.ahead[:SLICE]
            self._parse(piece)
        if self.refusal is not None:
            self.ahead.clear()
        self._pause(len(self.ahead) > MOST_AHEAD)

    def _pause(self, on: bool) -> None:
        """Stops reading, or goes on. While it is stopped nobody would hear that the peer closes."""
        if on == self.paused or self.transport is None or self.transport.is_closing():
            return
        self.paused = on
        if on:
            self.transport.pause_reading()
            self._timer = self.loop.call_later(HANG_UP_S, self._look_for_hang_up)
        else:
            self.transport.resume_reading()
            if self._timer is not None:
                self._timer.cancel()

    def peer_has_left(self) -> bool:
        """Whether the peer has closed or reset it; then it is cut."""
        if not self._polled(HUNG_UP):
            return False
        self.abort()
        return True

    def _look_for_hang_up(self) -> None:
        if not self.peer_has_left():
            self._timer = self.loop.call_later(HANG_UP_S, self._look_for_hang_up)

    def _polled(self, events: int) -> bool:
        """Whether one of these events waits at the socket."""
        if self.transport is None or (sock := self.transport.get_extra_info("socket")) is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), events)
        return bool(poll.poll(0))

    def arriving(self) -> bool:
        """Whether something waits to be read in this very turn."""
        return self._polled(select.POLLIN)

    def holds(self) -> bool:
        """Whether it has a request that is owed an answer."""
        return self.active is not None or bool(self.waiting)

    def writing(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def _throw_away(self, count: int) -> None:
        self.thrown += count
        if self.thrown <= LINGER_BYTES:
            return
        if self.lingering:
            self.abort()
        else:  # answers are still owed
            self._pause(True)

    def _linger(self) -> None:
        """Ends the connection once what was written is read, or the bounds are reached."""
        if self.transport is None or self.lingering:
            return
        self._pause(False)
        self.lingering, self.since, self.thrown = True, self.loop.time(), 0
        self.server.lingering += 1
        self.ahead.clear()
        try:
            self.transport.write_eof()
        except OSError:  # the peer reset it in this turn, and nobody has read that yet
            self.transport.abort()
        else:
            self._timer = self.loop.call_later(LINGER_S, self._lingered)

    def _lingered(self) -> None:
        """A client that reads slowly still gets the rest of its answer; one that does not read is the sweep's."""
        if self.writing():
            self._timer = self.loop.call_later(LINGER_S, self._lingered)
        else:
            self.abort()

    def _parse(self, data: bytes) -> None:
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
            if self.refusal is None and not self.head_done and self.head_bytes > self.server.limits.max_head_bytes:
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
        if self.headers.get(b"expect", b"").lower() == b"100-continue" and self.transport and not self.lingering:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        if self.body_bytes > self.server.limits.max_body_bytes:
            raise _TooMuch(413, b"body too large")
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        if self.lingering:  # it came in one piece with the last request that is answered
            return
        keep = self.parser.should_keep_alive()
        received_at = self.loop.time() - (unread_s(self.transport) if self.transport is not None else 0.0)
        exchange = Exchange(self, self.parser.get_method(), self.target, self.headers, keep, received_at)
        exchange.body = self.chunks[0] if len(self.chunks) == 1 else b"".join(self.chunks)
        self._reset()
        self.reading, self.since, self.asked = False, self.loop.time(), True
        if self.active is None:
            self.active = exchange
            self._serve(exchange)
            return
        self.waiting.append(exchange)

    # -- answers
    def write_answer(self, exchange: Exchange, status: int, body: bytes, content_type: bytes, extra: Headers) -> None:
        transport = self.transport
        if transport is None:
            return
        ending = self.server.closing or self.server.crowded()
        more = bool(self.waiting or self.ahead) or self.refusal is not None
        keep = exchange.keep_alive and (more or not ending)
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
            self.waiting.clear()  # requests behind the last answer were never taken
            self._linger()
        elif more:
            self.loop.call_soon(self._next)

    def _next(self) -> None:
        if self.active is not None or self.transport is None or self.lingering:
            return
        if self.waiting:
            self.active = self.waiting.popleft()
            if len(self.waiting) < MOST_WAITING // 2:
                self._read_on()
            self._serve(self.active)
        elif self.refusal is not None:
            self.refuse(*self.refusal)
        elif self.ahead:
            self._read_on()

    def _serve(self, exchange: Exchange) -> None:
        """A handler that breaks costs its own request an error, and nobody else anything."""
        try:
            self.server.handler(exchange)
        except Exception as err:
            self.loop.call_exception_handler({"message": "a handler broke", "exception": err})
            exchange.respond(500, b"internal error", b"text/plain")

    def refuse(self, status: int, text: bytes) -> None:
        """Answers what cannot be read, once, and closes; after the answers to what was read before it."""
        if self.lingering or self.transport is None or self.transport.is_closing():
            return
        self.refusal = self.refusal or (status, text)
        if self.holds():
            return
        head = b"HTTP/1.1 %d %s\r\ncontent-length: %d\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n"
        self.transport.write(head % (status, REASONS[status], len(text)) + text)
        self._linger()

    def close_if_idle(self) -> None:
        """Closes it between requests. One whose next request arrives in this very turn is read first."""
        busy = self.holds() or self.reading or self.lingering
        if not busy and self.transport and not self.arriving():
            self.transport.close()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()

    def sweep(self, now: float) -> None:
        limits = self.server.limits
        if self.blocked_since is not None and now - self.blocked_since > limits.read_timeout_s:
            self.abort()  # it does not read what it asked for
        elif self.lingering:
            pass  # it has its own bounds
        elif self.reading and not self.holds() and now - self.since > limits.read_timeout_s:
            self.refuse(408, b"the request took too long to arrive")
        elif now - self.since > (limits.idle_timeout_s if self.asked else limits.first_byte_timeout_s):
            self.close_if_idle()


class _TooMuch(Exception):
    def __init__(self, status: int, text: bytes) -> None:
        super().__init__(text)
        self.status, self.text = status, text
