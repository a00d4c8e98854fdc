"""One connection of an HTTP/1.1 server on asyncio; `http_connection` decides which request is served and when.

The connection reads on while a response is pending: the end of a connection lies behind all that its peer has sent, so
a peer that has left would go unnoticed otherwise. What waits meanwhile is bounded by the memory that all connections
hold; beyond it, input is refused and discarded.
"""

from __future__ import annotations

import asyncio
import math
from typing import cast

from badgerbend.net.connection_states import State
from badgerbend.net.discarded_input import DiscardedInput
from badgerbend.net.exchange import Exchange
from badgerbend.net.expiry_timer import EXPIRY_MARGIN_S, ExpiryTimer
from badgerbend.net.http_connection import OUT_OF_MEMORY, UNREAD_INPUT, HttpConnection
from badgerbend.net.memory_budget import MemoryShare
from badgerbend.net.receive_delay import receive_delay_s
from badgerbend.net.request_parser import Rejection
from badgerbend.net.responses import Headers
from badgerbend.net.server_interface import Server
from badgerbend.net.socket_events import has_unread_input, peer_has_left
from badgerbend.net.transport_cycle import break_reference_cycle
from badgerbend.net.turn_queue import Priority

CLOSING = State.CLOSING
FULL_READ_BYTES = 65_536  # a read of fewer bytes leaves nothing unread, as an event loop reads more than that at a time
MAX_HIDDEN_END_S = 0.05  # no request begins for a client that may have left longer ago; it must not after 0.1 s


class ServerConnection(asyncio.Protocol):
    """A connection of a client; it is created by its server."""

    __slots__ = (
        "_drained_at",
        "_expiry",
        "_in_handler",
        "_sent_invalid",
        "_turn_scheduled",
        "active",
        "discarded",
        "http",
        "loop",
        "memory",
        "phase_started_at",
        "server",
        "transport",
        "write_blocked_since",
    )

    def __init__(self, server: Server, loop: asyncio.AbstractEventLoop) -> None:
        self.server, self.loop = server, loop
        self.transport: asyncio.Transport | None = None
        self.http = HttpConnection(server.limits, server.answer_by)
        self.active: Exchange | None = None
        # The latest of: connection made, request begun, request received, response written, lingering close begun.
        self.phase_started_at = loop.time()
        self.write_blocked_since: float | None = None
        self.discarded: DiscardedInput | None = None  # set once input was discarded
        self.memory = MemoryShare(server.memory, self._shed_waiting)
        self._turn_scheduled = False  # the next request is served in the connection's next turn
        self._sent_invalid = False  # the client has sent an invalid request
        self._drained_at = min(loop.time(), server.awake_at)  # when the socket had no more input than was read
        self._in_handler = False  # a response that is written now was made without waiting
        self._expiry: ExpiryTimer | None = None  # for requests that wait

    # -- callbacks of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        if not self.server.admit(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)  # so that the end of unsent output is reported

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.remove(self)
        break_reference_cycle(self.transport)
        self.transport = None
        self.server.lingering -= self.lingering
        if self.discarded is not None:
            self.discarded.cancel_timer()
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None  # it refers to this connection
        self.http.connection_lost()
        self.memory.release()
        lost, self.active = self.active, None
        if lost is not None:
            lost.disconnect()

    def data_received(self, data: bytes) -> None:
        http, count = self.http, self.http.received_requests
        now = self.loop.time()
        if len(data) < FULL_READ_BYTES:
            self._drained_at = now
        if not http.accepts_input:
            self._discarded_input().discard(len(data))
            return
        was_receiving = http.receiving
        received_at = now - (receive_delay_s(self.transport) if self.transport is not None else 0.0)
        earliest_at = min(received_at, self.server.awake_at)
        if self._sent_invalid:
            http.hold(data, earliest_at)
        else:
            http.receive(data, received_at, earliest_at)
        if http.received_requests != count or (not was_receiving and count):
            self.phase_started_at = now
        self._advance()
        self._after_parsing()

    def pause_writing(self) -> None:
        self.write_blocked_since = self.loop.time()
        self.http.output_blocked()

    def resume_writing(self) -> None:
        self.write_blocked_since = None
        self.http.output_sent()
        if self.active is None:
            self.memory.set_serving(0)
            self._schedule_turn()  # a write that fails in this callback would confuse asyncio

    # -- requests
    def _schedule_turn(self) -> None:
        """Lets input be parsed and the next request be served in a later iteration of the event loop."""
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self.server.turns.add(self, self._priority())

    def _priority(self) -> Priority:
        if self._sent_invalid:
            return Priority.INVALID
        return Priority.WAITING if self.http.has_more else Priority.PROMPT

    def take_turn(self) -> None:
        """Parses some of the input that waits, and serves the next request."""
        self._turn_scheduled = False
        if self.transport is None:
            return
        count = self.http.received_requests
        self.http.parse_ahead()
        if self.http.received_requests != count:
            self.phase_started_at = self.loop.time()
        self._advance()
        self._after_parsing()

    def _advance(self) -> None:
        """Serves the next request, unless a turn is to come."""
        if not self._turn_scheduled:
            self._serve_next()

    def _serve_next(self) -> None:
        """Serves the next request. What needs no handler is written first: it belongs to earlier ones, or ends."""
        if self.active is not None or self.transport is None:
            return
        if self.http.has_input_behind_next and self._is_end_unknown():
            if self.http.accepts_input:
                self._schedule_turn()  # the end of the connection may lie behind what is read next
                return
            self.http.refuse_parsed(UNREAD_INPUT)
        request = self.http.next_request()
        if request is None:
            output = self.http.output_without_handler(self._ends_idle())
            if output:
                self._write(output)
            request = self.http.next_request()
        if request is not None:
            self.active = Exchange(self, request)
            self._serve(self.active)

    def _serve(self, exchange: Exchange) -> None:
        """Calls the handler. An exception fails only its own request, with a status of 500."""
        self._in_handler = True
        try:
            if not self.server.memory.admits(exchange.size):
                exchange.respond(OUT_OF_MEMORY.status, OUT_OF_MEMORY.text, b"text/plain")
                return
            self.memory.set_serving(exchange.size)
            self.server.handler(exchange)
        except Exception as err:
            self.loop.call_exception_handler({"message": "the request handler raised an exception", "exception": err})
            exchange.respond(500, b"internal error", b"text/plain")
        finally:
            self._in_handler = False

    def _after_parsing(self) -> None:
        """Reports what waits now, and when the first that waits expires."""
        self._report_waiting()
        if self.http.can_parse_ahead:
            self._schedule_turn()
        if self.http.earliest_answer_by < math.inf:
            if self._expiry is None:
                self._expiry = ExpiryTimer(self.loop, self._expire)
            self._expiry.set_earliest(self.http.earliest_answer_by)

    def _expire(self) -> None:
        """Refuses the requests whose time is nearly over, and ends the one that they wait for."""
        if self.http.refuse_expired(self.loop.time() + EXPIRY_MARGIN_S):
            if self.active is not None:
                self.active.expire()
            self._serve_next()
        self._after_parsing()

    # -- responses
    def write_answer(self, status: int, body: bytes, content_type: bytes, extra: Headers) -> None:
        if self.transport is None:
            return
        self.active = None
        self._sent_invalid = self._sent_invalid or 400 <= status < 500
        self._write(self.http.respond(status, body, content_type, extra, self._ends_idle()))
        if self._in_handler or self.http.has_more or self.http.receiving:
            self._schedule_turn()

    def _ends_idle(self) -> bool:
        """Whether a response is the last one on this connection if no request waits behind it."""
        return self.server.closing or self.server.exceeds_keep_alive_limit()

    def _write(self, output: bytes) -> None:
        assert self.transport is not None
        self.transport.write(output)
        self.memory.set_serving(self.transport.get_write_buffer_size())
        self.phase_started_at = self.loop.time()
        if self.http.state is CLOSING:
            self._linger()

    def reject(self, rejection: Rejection) -> None:
        """Rejects further input and closes the connection, after the responses to earlier requests."""
        self.http.reject(rejection)
        self._report_waiting()
        self._advance()

    # -- memory
    def reserve(self, size: int) -> bool:
        """Counts further memory that is held for the active request, if it is admitted."""
        return self.memory.reserve(size)

    def _report_waiting(self) -> None:
        size = self.http.waiting_bytes
        if size != self.memory.waiting_bytes:
            self.memory.set_waiting(size)

    def _shed_waiting(self) -> None:
        """Refuses the requests that wait, in their order, and the one that is being received, which is the last."""
        self.http.refuse_waiting(OUT_OF_MEMORY)
        self._report_waiting()
        self._schedule_turn()

    # -- end
    @property
    def lingering(self) -> bool:
        """Whether the connection is in a lingering close."""
        return self.discarded is not None and self.discarded.lingering

    def _discarded_input(self) -> DiscardedInput:
        assert self.transport is not None
        if self.discarded is None:
            self.discarded = DiscardedInput(self.loop, self.transport)
        return self.discarded

    def _linger(self) -> None:
        self.server.lingering += 1
        self._report_waiting()
        self._discarded_input().linger()

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()

    def abort_if_peer_left(self) -> bool:
        """Aborts the connection if the peer has closed or reset it; returns whether it has."""
        if not peer_has_left(self.transport):
            return False
        self.abort()
        return True

    def may_hide_end(self) -> bool:
        """Whether the peer may have left unnoticed: it has sent more than is accepted, and not all of it was read."""
        return self.discarded is not None and self._is_end_unknown()

    def _is_end_unknown(self) -> bool:
        """Whether the end of the connection may have waited behind unread input for longer than is harmless."""
        is_recent = self.loop.time() - self._drained_at < MAX_HIDDEN_END_S
        return not is_recent and has_unread_input(self.transport)

    # -- idle and slow peers
    def has_unsent_data(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Closes the connection if it is between requests and has no unread input."""
        busy = self.http.has_open_requests or self.http.receiving or self.lingering
        if not busy and self.transport and not has_unread_input(self.transport):
            self.transport.close()
