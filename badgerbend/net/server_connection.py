"""One connection of an HTTP/1.1 server: it parses requests, serves them in order and writes the responses.

Requests are served one at a time. The connection reads on while a response is pending: the end of a connection lies
behind all that its peer has sent, so a peer that has left would go unnoticed otherwise. What waits meanwhile is bounded
by the memory that all connections hold; beyond it, input is refused and discarded.

The last response on a connection is followed by a lingering close: the write side is shut down, and further input is
read and discarded within bounds. Closing a socket with unread bytes would reset the connection, and the reset can
overtake the response.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

from badgerbend.net.exchange import Exchange, Handler
from badgerbend.net.memory_budget import MemoryBudget
from badgerbend.net.receive_delay import receive_delay_s
from badgerbend.net.request_parser import Rejection, Request, RequestParser
from badgerbend.net.responses import CONTINUE, Headers, encode_response
from badgerbend.net.server_limits import ServerLimits
from badgerbend.net.socket_events import has_unread_input, peer_has_left
from badgerbend.net.unparsed_input import UnparsedInput

MAX_PIPELINED = 8  # requests parsed ahead of the current one; further input stays unparsed
PARSE_CHUNK_BYTES = 4096  # parsed at a time: a few requests
# While responses are pending, input that is refused is discarded at this rate at most, to leave time for others.
DISCARD_BYTES, DISCARD_INTERVAL_S = 1_048_576, 0.01
OUT_OF_MEMORY = Rejection(503, b"too much input is held")
LINGER_S, LINGER_BYTES = 0.5, 262_144  # bounds of a lingering close: the response needs time to reach the client


class Server(Protocol):
    """What a connection needs from its server.

    memory: bounds what all connections hold. closing: the server shuts down. lingering: the number of connections in a
    lingering close.
    """

    handler: Handler
    limits: ServerLimits
    memory: MemoryBudget
    closing: bool
    lingering: int

    def admit(self, connection: ServerConnection) -> bool:
        """Adds a connection, or returns False if there are too many."""

    def remove(self, connection: ServerConnection) -> None:
        """Removes a connection that has been lost."""

    def exceeds_keep_alive_limit(self) -> bool:
        """Whether there are too many connections to keep them alive after a response."""


class ServerConnection(asyncio.Protocol):
    """A connection of a client; it is created by its server."""

    def __init__(self, server: Server, loop: asyncio.AbstractEventLoop) -> None:
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
        self.rejection: Rejection | None = None  # to be sent after the responses to earlier requests
        self.unparsed = UnparsedInput()  # input beyond the requests that are parsed ahead
        self.discarded_bytes = 0  # received after the last request that is served
        self.discarded_in_interval = 0
        self.lingering = self.paused = False
        self._turn_scheduled = False  # the next request is served in the next iteration of the event loop
        self._in_handler = False  # a response that is written now was made without waiting
        self._timer: asyncio.TimerHandle | None = None  # of the lingering close, or of a pause while input is discarded
        self.waiting_bytes = 0  # taken by input that is not being served yet
        self.serving_bytes = 0  # taken by the request that is being served, or by its unsent response

    # -- callbacks of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        if not self.server.admit(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)  # so that the end of unsent output is reported

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
        received_at = self.loop.time() - (receive_delay_s(self.transport) if self.transport is not None else 0.0)
        if self.unparsed or len(data) > PARSE_CHUNK_BYTES:
            self.unparsed.append(data, received_at)
            self._parse_buffered()
        else:
            self._parse(data, received_at)
        self._report_waiting()

    def _parse_buffered(self) -> None:
        """Parses buffered input until enough requests are parsed ahead."""
        while self.unparsed and len(self.pipelined) < MAX_PIPELINED and self.transport and self.rejection is None:
            self._parse(*self.unparsed.take(PARSE_CHUNK_BYTES))

    def _report_waiting(self) -> None:
        """Reports the memory that waiting input takes. It may be shed at once."""
        size = len(self.unparsed) + self.parser.partial_size + sum(exchange.size for exchange in self.pipelined)
        if size != self.waiting_bytes:
            self.server.memory.set_waiting(self, size)

    def reserve(self, size: int) -> bool:
        """Counts further memory that is held for the active request, if it is admitted."""
        if not self.server.memory.admits(size, self.serving_bytes):
            return False
        self._set_serving(self.serving_bytes + size)
        return True

    def _set_serving(self, size: int) -> None:
        self.server.memory.add_serving(size - self.serving_bytes)
        self.serving_bytes = size

    def shed_waiting(self) -> None:
        """Refuses the requests that wait, in their order, and the one that is being received, which is the last."""
        for exchange in self.pipelined:
            exchange.shed()
        self._drop_input()
        self.reject(OUT_OF_MEMORY)

    def _drop_input(self) -> None:
        """Discards input that is not a complete request."""
        self.unparsed.clear()
        self.parser.abandon()
        self._report_waiting()

    def abort_if_peer_left(self) -> bool:
        """Aborts the connection if the peer has closed or reset it; returns whether it has."""
        if not peer_has_left(self.transport):
            return False
        self.abort()
        return True

    def has_unread_input(self) -> bool:
        """Whether the socket has input that this iteration of the loop has yet to read."""
        return has_unread_input(self.transport)

    def has_open_requests(self) -> bool:
        """Whether a request still needs a response."""
        return self.active is not None or bool(self.pipelined)

    def has_unsent_data(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def _discard(self, count: int) -> None:
        """Discards input behind the last request that is served."""
        self.discarded_bytes += count
        if self.lingering:
            if self.discarded_bytes > LINGER_BYTES:
                self.abort()
            return
        self.discarded_in_interval += count
        if self.discarded_in_interval > DISCARD_BYTES and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()
            self._timer = self.loop.call_later(DISCARD_INTERVAL_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.discarded_in_interval = False, 0
            self.transport.resume_reading()

    def _linger(self) -> None:
        """Starts a lingering close, which ends once the peer closes or a bound is reached."""
        if self.transport is None or self.lingering:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._resume_reading()
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
            self.reject(parser.error)
        else:
            self._continue_if_expected()

    def _continue_if_expected(self) -> None:
        """Tells a client that waits for it to send its body; not before the responses to its earlier requests."""
        if self.parser.expects_continue and self.transport and not (self.lingering or self.has_open_requests()):
            self.parser.expects_continue = False
            self.transport.write(CONTINUE)

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
        transport.write(encode_response(status, body, content_type, extra, keep, exchange.method != b"HEAD"))
        self.active = None
        self._set_serving(transport.get_write_buffer_size())
        self.phase_started_at = self.loop.time()
        if not keep:
            self.pipelined.clear()  # later requests are not served
            self._linger()
            return
        self._continue_if_expected()
        if more or self._in_handler:
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
            self.reject(self.rejection)
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
            if exchange.is_shed or not self.server.memory.admits(exchange.size):
                exchange.respond(OUT_OF_MEMORY.status, OUT_OF_MEMORY.text, b"text/plain")
                return
            self._set_serving(exchange.size)
            self.server.handler(exchange)
        except Exception as err:
            self.loop.call_exception_handler({"message": "the request handler raised an exception", "exception": err})
            exchange.respond(500, b"internal error", b"text/plain")
        finally:
            self._in_handler = False

    def reject(self, rejection: Rejection) -> None:
        """Rejects invalid input once and closes the connection, after the responses to earlier requests."""
        if self.lingering or self.transport is None or self.transport.is_closing():
            return
        if self.rejection is None:
            self.rejection = rejection
            self._drop_input()
        if self.has_open_requests():
            return
        self.transport.write(encode_response(rejection.status, rejection.text, b"text/plain"))
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
            self.reject(Rejection(408, b"the request took too long to arrive"))
        elif now - self.phase_started_at > (
            limits.idle_timeout_s if self.has_received_request else limits.first_byte_timeout_s
        ):
            self.close_if_idle()
