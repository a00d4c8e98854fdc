"""HTTP/1.1 server: one protocol object per connection, one `Exchange` per request.

A handler is called with each complete request and responds with `Exchange.respond`, at once or later. A connection
serves its requests in order, one at a time. If the peer closes the connection, `on_disconnect` of each open exchange is
called. The connection therefore keeps reading while a response is pending; while reading is paused, it polls the socket
for a hang-up.

The last response on a connection is followed by a lingering close: the write side is shut down, and further input is
read and discarded within bounds. Closing a socket with unread bytes would reset the connection, and the reset can
overtake the response.
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

from badgerbend.net.acceptor import Acceptor, Listener, accept_from
from badgerbend.net.held_memory import HeldMemory
from badgerbend.net.receive_delay import receive_delay_s
from badgerbend.net.request_parser import Request, RequestParser
from badgerbend.net.unparsed_input import UnparsedInput

REASONS = {s.value: s.phrase.encode() for s in HTTPStatus}
SWEEP_INTERVAL_S = 0.5  # between checks for slow readers and idle connections
HANG_UP_POLL_S = 0.05  # between checks for a hang-up of the peer while reading is paused
MAX_PIPELINED = 8  # requests parsed ahead of the current one; further input stays unparsed
PARSE_CHUNK_BYTES = 4096  # parsed at a time: a few requests
MAX_UNPARSED_BYTES = 16_384  # buffered before reading is paused
FULL_READ_BYTES = 65_536  # a read of fewer bytes leaves none in the kernel
LINGER_S, LINGER_BYTES = 0.5, 262_144  # bounds of a lingering close: the response needs time to reach the client
HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Sizes in bytes, times in seconds."""

    max_connections: int = 10_000
    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    read_timeout_s: float = 10.0  # to receive one request; for the first, counted from the start of the connection
    idle_timeout_s: float = 75.0  # between requests
    first_byte_timeout_s: float = 75.0  # before the first byte of the first request
    # Beyond this number of connections, not counting lingering ones, a connection is closed after a response unless
    # further requests on it were received.
    max_keep_alive: int = 10_000
    # Held by all connections together; beyond it, requests are refused where the most is held.
    max_held_bytes: int = 67_108_864


class Exchange:
    """One request and its one response."""

    __slots__ = (
        "_connection",
        "body",
        "disconnected",
        "headers",
        "is_shed",
        "keep_alive",
        "method",
        "on_disconnect",
        "received_at",
        "size",
        "target",
    )

    def __init__(self, connection: _Connection, request: Request, received_at: float) -> None:
        self._connection = connection
        self.received_at = received_at  # when its last byte was received, on the loop's clock
        self.method, self.target, self.headers = request.method, request.target, request.headers
        self.keep_alive, self.body = request.keep_alive, request.body
        self.size = request.size  # an estimate of the bytes that it takes in memory
        self.is_shed = False  # refused for lack of memory while it waited
        self.disconnected = False
        self.on_disconnect: Callable[[], None] | None = None

    def shed(self) -> None:
        """Drops what the request holds; it will be refused in its turn."""
        self.is_shed, self.headers, self.body, self.size = True, {}, b"", 0

    @property
    def connection_key(self) -> int:
        """A key that all exchanges of one connection share."""
        return id(self._connection)

    def client_has_left(self) -> bool:
        """Whether the peer has closed the connection, read or not yet; if so, the connection is aborted."""
        return self.disconnected or self._connection.abort_if_peer_left()

    def hold(self, size: int) -> bool:
        """Counts further memory that is held for this request until its response. Returns False if there is none."""
        return not self.disconnected and self._connection.active is self and self._connection.hold(size)

    def respond(self, status: int, body: bytes, content_type: bytes, extra: Headers = ()) -> bool:
        """Writes the response. Returns False, and writes nothing, if the peer has disconnected or was answered."""
        if self.disconnected or self._connection.active is not self:
            return False
        self._connection.write_answer(self, status, body, content_type, extra)
        return True

    def drop(self) -> None:
        """Aborts the connection without a response."""
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
        self.held = HeldMemory(limits.max_held_bytes, limits.max_connections)
        self.address = ("", 0)  # set by `start`
        self._listener: Listener | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._emptied: asyncio.Future[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Starts to listen; returns the port. Raises OSError if the address is in use or is not of this host."""
        loop = asyncio.get_running_loop()
        listener = await bound_socket(loop, host, port)
        self._listener = await accept_from(loop, listener, lambda: _Connection(self, loop))
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep, loop)
        bound = listener.getsockname()
        self.address = (str(bound[0]), int(bound[1]))
        return self.address[1]

    @property
    def accepts_failed(self) -> int:
        """Accepts that failed because of a lack of descriptors or memory; 0 once the server stops listening."""
        return self._listener.failures if isinstance(self._listener, Acceptor) else 0

    def stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def close(self, grace_s: float) -> int:
        """Stops listening, waits up to `grace_s` for open exchanges, then aborts the remaining connections.

        Returns how many of these had open requests.
        """
        loop = asyncio.get_running_loop()
        listener = self._listener
        self.stop_listening()
        self.closing = True
        if isinstance(listener, Acceptor):
            await listener.wait_connected()
        for connection in list(self.connections):
            connection.close_if_idle()
        if self.connections:
            self._emptied = loop.create_future()
            await asyncio.wait([self._emptied], timeout=grace_s)
        cut_off = sum(connection.has_open_requests() for connection in self.connections)
        for connection in list(self.connections):
            connection.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()
        return cut_off

    def evict_connection(self) -> bool:
        """Aborts one connection without an open request or unsent data, to make room for another.

        Prefers connections that linger, then idle ones, then those with a partly received request, each time the
        oldest. One with unread input is chosen only if there is no other. Returns False if there is none to abort.
        """
        candidates = [c for c in self.connections if not c.has_open_requests() and not c.has_unsent_data()]
        candidates.sort(key=lambda c: (not c.lingering, c.reading, c.phase_started_at))
        victim = next(
            (c for c in candidates if c.lingering or not c.has_unread_input()), candidates[0] if candidates else None
        )
        if victim is None:
            return False
        self.connections.discard(victim)
        victim.abort()
        return True

    def exceeds_keep_alive_limit(self) -> bool:
        """Whether there are too many connections to keep them alive after a response."""
        return len(self.connections) - self.lingering > self.limits.max_keep_alive

    def remove(self, connection: _Connection) -> None:
        """Removes a connection that has been lost."""
        self.connections.discard(connection)
        if not self.connections and self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        for connection in list(self.connections):
            connection.sweep(now)
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep, loop)


async def bound_socket(loop: asyncio.AbstractEventLoop, host: str, port: int) -> socket.socket:
    """Creates a listening socket and binds it. Raises OSError."""
    family: int = socket.AF_INET
    address: tuple[object, ...] = (host, port)
    try:
        socket.inet_pton(family, host)
    except OSError:  # a host name or IPv6; the resolver opens files and sockets, so it is used only for these
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
    """A connection of a client: parses requests, serves them in order and writes the responses."""

    def __init__(self, server: HttpServer, loop: asyncio.AbstractEventLoop) -> None:
        self.server, self.loop = server, loop
        self.transport: asyncio.Transport | None = None
        self.parser = RequestParser(server.limits.max_head_bytes, server.limits.max_body_bytes)
        self.active: Exchange | None = None
        self.pipelined: deque[Exchange] = deque()
        # The latest of: connection made, request begun, request received, response written, lingering close begun.
        self.phase_started_at = loop.time()
        self.has_received_request = False  # a complete request was received
        self.reading = False
        self.write_blocked_since: float | None = None
        self.rejection: tuple[int, bytes] | None = None  # to be sent after the responses to earlier requests
        self.unparsed = UnparsedInput()  # input beyond the requests that are parsed ahead
        self.discarded_bytes = 0  # received after the last request that is served
        self.lingering = self.paused = False
        self._unread_since: float | None = None  # since when input may have waited in the kernel, if it may
        self._turn_scheduled = False  # the next request is served in the next iteration of the event loop
        self._in_handler = False  # a response that is written now was made without waiting
        self._timer: asyncio.TimerHandle | None = None  # of the lingering close, or of polling for a hang-up
        self.waiting_bytes = 0  # taken by input that is not being served yet
        self.serving_bytes = 0  # taken by the request that is being served, or by its unsent response

    # -- callbacks of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        if len(self.server.connections) >= self.server.limits.max_connections and not self.server.evict_connection():
            self.server.rejected_connections += 1
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)  # so that the end of unsent output is reported
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.remove(self)
        self.transport = None
        self.server.lingering -= self.lingering
        if self._timer is not None:
            self._timer.cancel()
        self.parser.close()
        lost, self.active = [*([self.active] if self.active else []), *self.pipelined], None
        self.pipelined.clear()
        self._drop_input()
        self._set_serving(0)
        for exchange in lost:
            exchange.disconnected = True
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def data_received(self, data: bytes) -> None:
        if self.lingering or self.rejection is not None:
            self._discard(len(data))
            return
        if not self.reading:
            self.reading = True
            self.phase_started_at = self.loop.time() if self.has_received_request else self.phase_started_at
        received_at = self._received_at(len(data))
        if self.unparsed or len(data) > PARSE_CHUNK_BYTES:
            self.unparsed.append(data, received_at)
            self._parse_buffered()
        else:
            self._parse(data, received_at)
        self._report_waiting()

    def _received_at(self, size: int) -> float:
        """When the last byte of a read was received, or earlier: as the kernel says, or since reading was paused."""
        received_at = self.loop.time() - (receive_delay_s(self.transport) if self.transport is not None else 0.0)
        if self._unread_since is not None:
            received_at = min(received_at, self._unread_since)
            if size < FULL_READ_BYTES:
                self._unread_since = None
        return received_at

    def _parse_buffered(self) -> None:
        """Parses buffered input until enough requests are parsed ahead."""
        while self.unparsed and len(self.pipelined) < MAX_PIPELINED and self.transport and self.rejection is None:
            self._parse(*self.unparsed.take(PARSE_CHUNK_BYTES))
        self._set_paused(len(self.unparsed) > MAX_UNPARSED_BYTES)

    def _report_waiting(self) -> None:
        """Reports the memory that waiting input takes. It may be shed at once."""
        size = len(self.unparsed) + self.parser.partial_size + sum(exchange.size for exchange in self.pipelined)
        if size != self.waiting_bytes:
            self.server.held.set_waiting(self, size)

    def hold(self, size: int) -> bool:
        """Counts further memory that is held for the active request, if it is admitted."""
        if not self.server.held.admits(size, self.serving_bytes):
            return False
        self._set_serving(self.serving_bytes + size)
        return True

    def _set_serving(self, size: int) -> None:
        self.server.held.add_serving(size - self.serving_bytes)
        self.serving_bytes = size

    def shed_waiting(self) -> None:
        """Refuses the requests that wait, in their order, and the one that is being received, which is the last."""
        for exchange in self.pipelined:
            exchange.shed()
        self._drop_input()
        self._set_paused(False)
        self.reject(503, b"too much input is held")

    def _drop_input(self) -> None:
        """Discards input that is not a complete request."""
        self.unparsed.clear()
        self.parser.abandon()
        self._report_waiting()

    def _set_paused(self, paused: bool) -> None:
        """Pauses or resumes reading. While it is paused, asyncio does not report that the peer closes."""
        if paused == self.paused or self.transport is None or self.transport.is_closing():
            return
        self.paused = paused
        if paused:
            if self._unread_since is None:
                self._unread_since = self.loop.time()
            self.transport.pause_reading()
            self._timer = self.loop.call_later(HANG_UP_POLL_S, self._poll_for_hang_up)
        else:
            self.transport.resume_reading()
            if self._timer is not None:
                self._timer.cancel()

    def abort_if_peer_left(self) -> bool:
        """Aborts the connection if the peer has closed or reset it; returns whether it has."""
        if not self._has_events(HANG_UP_EVENTS):
            return False
        self.abort()
        return True

    def _poll_for_hang_up(self) -> None:
        if not self.abort_if_peer_left():
            self._timer = self.loop.call_later(HANG_UP_POLL_S, self._poll_for_hang_up)

    def _has_events(self, events: int) -> bool:
        """Whether the socket has one of these poll events."""
        if self.transport is None or (sock := self.transport.get_extra_info("socket")) is None:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), events)
        return bool(poll.poll(0))

    def has_unread_input(self) -> bool:
        """Whether the socket has input that this iteration of the loop has yet to read."""
        return self._has_events(select.POLLIN)

    def has_open_requests(self) -> bool:
        """Whether a request still needs a response."""
        return self.active is not None or bool(self.pipelined)

    def has_unsent_data(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def _discard(self, count: int) -> None:
        self.discarded_bytes += count
        if self.discarded_bytes <= LINGER_BYTES:
            return
        if self.lingering:
            self.abort()
        else:  # responses are still pending
            self._set_paused(True)

    def _linger(self) -> None:
        """Starts a lingering close, which ends once the peer closes or a bound is reached."""
        if self.transport is None or self.lingering:
            return
        self._set_paused(False)
        self.lingering, self.phase_started_at, self.discarded_bytes = True, self.loop.time(), 0
        self.server.lingering += 1
        self._drop_input()
        try:
            self.transport.write_eof()
        except OSError:  # the peer has reset the connection, and the loop has yet to read that
            self.transport.abort()
        else:
            self._timer = self.loop.call_later(LINGER_S, self._linger_timeout)

    def _linger_timeout(self) -> None:
        """Waits on while data is unsent, for a slow client; the sweep aborts a client that does not read at all."""
        if self.has_unsent_data():
            self._timer = self.loop.call_later(LINGER_S, self._linger_timeout)
        else:
            self.abort()

    def _parse(self, data: bytes, received_at: float) -> None:
        parser = self.parser
        requests = parser.feed(data)
        for request in requests:
            if self.lingering:  # received in one chunk with the last request that is served
                return
            self._request_received(request, received_at)
        if requests:
            self.reading = parser.in_request
        if parser.error is not None:
            self.reject(parser.error.status, parser.error.text)
        elif parser.expects_continue and self.transport and not self.lingering:
            parser.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _request_received(self, request: Request, received_at: float) -> None:
        exchange = Exchange(self, request, received_at)
        self.reading, self.phase_started_at, self.has_received_request = False, self.loop.time(), True
        self.pipelined.append(exchange)
        self._begin_next()

    def pause_writing(self) -> None:
        self.write_blocked_since = self.loop.time()

    def resume_writing(self) -> None:
        self.write_blocked_since = None
        if self.active is None:
            self._set_serving(0)
            self._schedule_turn()  # a write that fails in this callback would confuse asyncio

    # -- responses
    def write_answer(self, exchange: Exchange, status: int, body: bytes, content_type: bytes, extra: Headers) -> None:
        transport = self.transport
        if transport is None:
            return
        should_close = self.server.closing or self.server.exceeds_keep_alive_limit()
        more = bool(self.pipelined or self.unparsed) or self.rejection is not None
        keep = exchange.keep_alive and (more or not should_close)
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
        self._set_serving(transport.get_write_buffer_size())
        self.phase_started_at = self.loop.time()
        if not keep:
            self.pipelined.clear()  # later requests are not served
            self._linger()
        elif more or self._in_handler:
            self._schedule_turn()

    def _schedule_turn(self) -> None:
        """Lets the next request be served in the next iteration of the event loop, after other connections' events."""
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.loop.call_soon(self._take_turn)

    def _take_turn(self) -> None:
        """Serves the next request, or what follows the last one, and parses further input."""
        self._turn_scheduled = False
        if not self._may_begin():
            return
        if self.pipelined:
            if len(self.pipelined) <= MAX_PIPELINED // 2:
                self._parse_buffered()
            self._begin_next()
        elif self.rejection is not None:
            self.reject(*self.rejection)
        elif self.unparsed:
            self._parse_buffered()
        self._report_waiting()

    def _may_begin(self) -> bool:
        """Whether a request may be served: none is open, the last response is sent, and its turn has ended."""
        if self.transport is None or self.lingering or self._turn_scheduled:
            return False
        return self.active is None and self.write_blocked_since is None

    def _begin_next(self) -> None:
        """Serves the request that has waited longest. No other function makes a request the active one."""
        if self.pipelined and self._may_begin():
            self.active = self.pipelined.popleft()
            self._serve(self.active)

    def _serve(self, exchange: Exchange) -> None:
        """Calls the handler. An exception fails only its own request, with a status of 500."""
        self._in_handler = True
        try:
            if exchange.is_shed or not self.server.held.admits(exchange.size):
                exchange.respond(503, b"too much input is held", b"text/plain")
                return
            self._set_serving(exchange.size)
            self.server.handler(exchange)
        except Exception as err:
            self.loop.call_exception_handler({"message": "the request handler raised an exception", "exception": err})
            exchange.respond(500, b"internal error", b"text/plain")
        finally:
            self._in_handler = False

    def reject(self, status: int, text: bytes) -> None:
        """Rejects invalid input once and closes the connection, after the responses to earlier requests."""
        if self.lingering or self.transport is None or self.transport.is_closing():
            return
        if self.rejection is None:
            self.rejection = (status, text)
            self._drop_input()
        if self.has_open_requests():
            return
        head = b"HTTP/1.1 %d %s\r\ncontent-length: %d\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n"
        self.transport.write(head % (status, REASONS[status], len(text)) + text)
        self._linger()

    def close_if_idle(self) -> None:
        """Closes the connection if it is between requests and has no unread input."""
        busy = self.has_open_requests() or self.reading or self.lingering
        if not busy and self.transport and not self.has_unread_input():
            self.transport.close()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()

    def sweep(self, now: float) -> None:
        limits = self.server.limits
        if self.write_blocked_since is not None and now - self.write_blocked_since > limits.read_timeout_s:
            self.abort()  # the client does not read its response
        elif self.lingering:
            pass  # the lingering close has its own bounds
        elif self.reading and not self.has_open_requests() and now - self.phase_started_at > limits.read_timeout_s:
            self.reject(408, b"the request took too long to arrive")
        elif now - self.phase_started_at > (
            limits.idle_timeout_s if self.has_received_request else limits.first_byte_timeout_s
        ):
            self.close_if_idle()
