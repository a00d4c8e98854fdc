"""HTTP/1.1 server: a listening socket and its connections.

A handler is called with each complete request and responds with `Exchange.respond`, at once or later. A connection
serves its requests in order, one at a time. If the peer closes the connection, `on_disconnect` of the exchange that is
being served is called.
"""

from __future__ import annotations

import asyncio
import math
import socket

from badgerbend.net.acceptor import Acceptor, Listener, accept_from
from badgerbend.net.awake_times import AwakeTimes
from badgerbend.net.connection_timeouts import check_timeouts
from badgerbend.net.exchange import Handler
from badgerbend.net.http_connection import AnswerBy, no_deadline
from badgerbend.net.memory_budget import MemoryBudget
from badgerbend.net.server_connection import ServerConnection
from badgerbend.net.server_limits import ServerLimits
from badgerbend.net.socket_events import has_unread_input
from badgerbend.net.turn_queue import TurnQueue

SWEEP_INTERVAL_S = 0.5  # between checks for slow readers and idle connections


class HttpServer:
    """A listening socket and its connections.

    answer_by: when the client of a request stops waiting, on the event loop's clock; asked of requests that wait behind
    others on their connection.
    """

    def __init__(self, handler: Handler, limits: ServerLimits, answer_by: AnswerBy = no_deadline) -> None:
        self.handler, self.limits, self.answer_by = handler, limits, answer_by
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self.rejected_connections = self.lingering = 0
        self.memory = MemoryBudget(limits.max_memory_bytes, limits.max_connections)
        self.turns = TurnQueue()
        self.address = ("", 0)  # set by `start`
        self._listener: Listener | None = None
        self._awake: AwakeTimes | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._emptied: asyncio.Future[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Starts to listen; returns the port. Raises OSError if the address is in use or is not of this host."""
        loop = asyncio.get_running_loop()
        listener = await bound_socket(loop, host, port)
        self._listener = await accept_from(loop, listener, lambda: ServerConnection(self, loop))
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep, loop)
        self._awake = AwakeTimes(loop)
        self._awake.start()
        bound = listener.getsockname()
        self.address = (str(bound[0]), int(bound[1]))
        return self.address[1]

    @property
    def accepts_failed(self) -> int:
        """Accepts that failed because of a lack of descriptors or memory; 0 once the server stops listening."""
        return self._listener.failures if isinstance(self._listener, Acceptor) else 0

    @property
    def awake_at(self) -> float:
        """What is read now was received after this time."""
        return math.inf if self._awake is None else self._awake.last_at

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
        cut_off = sum(connection.http.has_open_requests for connection in self.connections)
        for connection in list(self.connections):
            connection.abort()
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._awake is not None:
            self._awake.stop()
        return cut_off

    def admit(self, connection: ServerConnection) -> bool:
        """Adds a connection, or returns False if there are too many."""
        if len(self.connections) >= self.limits.max_connections and not self.evict_connection():
            self.rejected_connections += 1
            return False
        self.connections.add(connection)
        return True

    def evict_connection(self) -> bool:
        """Aborts one connection without an open request or unsent data, to make room for another.

        Prefers connections that linger, then idle ones, then those with a partly received request, each time the
        oldest. One with unread input is chosen only if there is no other. Returns False if there is none to abort.
        """
        candidates = [c for c in self.connections if not c.http.has_open_requests and not c.has_unsent_data()]
        candidates.sort(key=lambda c: (not c.lingering, c.http.receiving, c.phase_started_at))
        preferred = (c for c in candidates if c.lingering or not has_unread_input(c.transport))
        victim = next(preferred, candidates[0] if candidates else None)
        if victim is None:
            return False
        self.connections.discard(victim)
        victim.abort()
        return True

    def exceeds_keep_alive_limit(self) -> bool:
        """Whether there are too many connections to keep them alive after a response."""
        return len(self.connections) - self.lingering > self.limits.max_keep_alive

    def remove(self, connection: ServerConnection) -> None:
        """Removes a connection that has been lost."""
        self.connections.discard(connection)
        if not self.connections and self._emptied is not None and not self._emptied.done():
            self._emptied.set_result(None)

    def _sweep(self, loop: asyncio.AbstractEventLoop) -> None:
        now = loop.time()
        for connection in list(self.connections):
            check_timeouts(connection, now)
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
