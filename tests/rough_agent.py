"""A discovery agent that misbehaves on its sockets: slow, crowded, with dead connections or answers that end early."""

import asyncio
import time
from enum import Enum, auto
from http import HTTPStatus

import msgspec

from badgerbend.net.responses import REASONS
from badgerbend.standin.agent import Agent
from tests.replacing import replace_attribute

BACKLOG = 1024
CUT_AFTER_S = 0.01
HEAD_END = b"\r\n\r\n"


class Excess(Enum):
    """What happens to a connection beyond the limit."""

    WAITS = auto()  # it stays open, and is read once another one ends
    RESET = auto()
    REJECTED = auto()  # each request on it is answered with 503


class RoughAgent(Agent):
    """The stand-in for the agent, with further faults that a test sets.

    answers_stale: whether requests that arrived during a silence are answered when it ends; otherwise they never are.
    computes_early: whether a delayed answer states what was known when its request arrived. service_s: requests are
    handled one after the other, each for this long. max_connections, excess: the limit on connections, and what happens
    beyond it. connect_delay_s: a new connection is read this much later. pieces, piece_interval_s: answers are written
    in so many pieces. omits_draining: every answer is a whole list without the nodes that drain. cut_answers,
    rejected_answers: so many answers are reset in their middle, or replaced by 503. answered_at: when each revision was
    first answered in full, also to a poll that was given up.
    """

    def __init__(self):
        super().__init__()
        replace_attribute(self, "http", RoughServer(self))
        self.answers_stale = False
        self.computes_early = False
        self.service_s = 0.0
        self.max_connections = None
        self.excess = Excess.WAITS
        self.connect_delay_s = 0.0
        self.pieces = 1
        self.piece_interval_s = 0.0
        self.closes_after_answer = False
        self.is_chunked = False
        self.is_indented = False
        self.omits_draining = False
        self.cut_answers = 0
        self.rejected_answers = 0
        self.answered_at = {}
        self._stale = []
        self._busy_until = 0.0

    def full_list(self):
        full = super().full_list()
        if self.omits_draining:
            full["targets"] = [row for row in full["targets"] if row["state"] == "up"]
        return full

    def _send_changes(self, exchange, since):
        if self.omits_draining:
            exchange.respond(HTTPStatus.OK, msgspec.json.encode(self.full_list()), b"application/json")
        else:
            super()._send_changes(exchange, since)

    def speak(self):
        """Ends a silence."""
        self.silent = False
        stale, self._stale = self._stale, []
        for exchange in stale if self.answers_stale else ():
            self._begin(exchange)

    def receive(self, exchange):
        self.requests.append(exchange.target.decode())
        if self.silent:
            self._stale.append(exchange)
        else:
            self._begin(exchange)

    def _begin(self, exchange):
        loop = asyncio.get_running_loop()
        self._busy_until = max(self._busy_until, loop.time()) + self.service_s
        delay_s = self._busy_until - loop.time() + self.delay_s
        if self.computes_early:
            exchange.delay_s = delay_s
            delay_s = 0.0
        if delay_s:
            loop.call_later(delay_s, self._respond, exchange, exchange.target.decode())
        else:
            self._respond(exchange, exchange.target.decode())


class RoughExchange:
    """One request. delay_s: how much later than it is computed its answer is written."""

    def __init__(self, connection, target):
        self.connection = connection
        self.target = target
        self.delay_s = 0.0

    def respond(self, status, body, content_type):
        answer = (status, body, content_type, self.connection.agent.rev)
        asyncio.get_running_loop().call_later(self.delay_s, self.connection.write_answer, *answer)


class RoughServer:
    """The agent's listening socket and connections."""

    def __init__(self, agent):
        self.agent = agent
        self.address = ("", 0)
        self.connections = []  # in the order in which they came
        self._server = None

    async def start(self, host, port):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: RoughConnection(self), host, port, backlog=BACKLOG)
        self.address = self._server.sockets[0].getsockname()
        return self.address[1]

    async def close(self, _):
        self.stop()

    def stop(self):
        """Resets all connections and refuses new ones, as when the process dies."""
        self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def silence_connections(self):
        """Makes all established connections dead: they stay open, and nothing on them is read or answered any more."""
        for connection in self.connections:
            connection.is_dead = True

    def has_room_for(self, connection):
        limit = self.agent.max_connections
        return limit is None or self.connections.index(connection) < limit


class RoughConnection(asyncio.Protocol):
    """A connection of a broker to the agent."""

    def __init__(self, server):
        self.server = server
        self.agent = server.agent
        self.buffer = b""
        self.is_dead = False
        self.reads = False
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.append(self)
        if self.agent.excess is Excess.RESET and not self.server.has_room_for(self):
            transport.abort()
            return
        asyncio.get_running_loop().call_later(self.agent.connect_delay_s, self.read)

    def connection_lost(self, exc):
        self.server.connections.remove(self)
        for connection in list(self.server.connections):
            connection.read()

    def data_received(self, data):
        self.buffer += data
        if self.reads:
            self.read()

    def read(self):
        """Handles the requests that have arrived, if there is room for this connection."""
        if not self.server.has_room_for(self) and self.agent.excess is Excess.WAITS:
            return
        self.reads = True
        while HEAD_END in self.buffer:
            head, self.buffer = self.buffer.split(HEAD_END, 1)
            if self.is_dead:
                continue
            exchange = RoughExchange(self, head.split(b" ")[1])
            if self.server.has_room_for(self):
                self.agent.receive(exchange)
            else:
                self.agent.requests.append(exchange.target.decode())
                exchange.respond(HTTPStatus.SERVICE_UNAVAILABLE, b"", b"text/plain")

    def write_answer(self, status, body, content_type, revision):
        agent = self.agent
        if self.is_dead:
            return
        if agent.rejected_answers > 0:
            agent.rejected_answers -= 1
            status, body = HTTPStatus.SERVICE_UNAVAILABLE, b""
        is_cut = agent.cut_answers > 0
        agent.cut_answers -= is_cut
        if status == HTTPStatus.OK and not is_cut:
            written_at = time.monotonic() + (agent.pieces - 1) * agent.piece_interval_s
            agent.answered_at.setdefault(revision, written_at)
        data = self._encode(status, body, content_type)
        if is_cut:
            self._write(data[: len(data) // 2])
            asyncio.get_running_loop().call_later(CUT_AFTER_S, self.transport.abort)
            return
        size = -(-len(data) // agent.pieces)
        for number, at in enumerate(range(0, len(data), size)):
            piece = data[at : at + size]
            asyncio.get_running_loop().call_later(number * agent.piece_interval_s, self._write, piece)

    def _encode(self, status, body, content_type):
        if self.agent.is_indented and body:
            body = msgspec.json.format(body, indent=2)
        headers = b"content-type: %s\r\n" % content_type
        if self.agent.closes_after_answer:
            headers += b"connection: close\r\n"
        if self.agent.is_chunked:
            headers += b"transfer-encoding: chunked\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if body else b"0\r\n\r\n"
        else:
            headers += b"content-length: %d\r\n" % len(body)
        return b"HTTP/1.1 %d %s\r\n%s\r\n" % (status, REASONS[status], headers) + body

    def _write(self, data):
        if not self.transport.is_closing():
            self.transport.write(data)
