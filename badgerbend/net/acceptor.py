"""Accepts connections on a listening socket, a few in each turn of the loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

BACKLOG = 1024
"""Connections that the kernel holds for us."""

ACCEPTS_A_TURN = 4
"""Connections accepted in one turn: two turns pass before a limit on connections sees these."""

RETRY_S = 0.01
"""Pause after an accept that failed. asyncio waits a second, in which requests pass their deadlines unread, and the
connections of clients that have left are still to be read."""


CLOSING_TRIES = 100
"""Accepts that may fail while a listener closes, before what still waits there is given up."""


class Listener(Protocol):
    """What accepts connections until it is closed."""

    def close(self) -> None: ...


async def accept_from(
    loop: asyncio.AbstractEventLoop, listener: socket.socket, factory: Callable[[], asyncio.Protocol]
) -> Listener:
    """Accepts what comes in at a bound socket. Other loops than asyncio's own (uvloop) accept without Python code, all
    that waits in one turn, and need no help with failures."""
    listener.listen(BACKLOG)
    if not isinstance(loop, asyncio.SelectorEventLoop):
        return await loop.create_server(factory, sock=listener, backlog=BACKLOG)
    acceptor = Acceptor(loop, listener, factory)
    acceptor.start()
    return acceptor


class Acceptor:
    """Makes a protocol of each connection that comes in. The listener is closed with it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listener: socket.socket, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._factory = factory
        self._connecting: set[asyncio.Task[object]] = set()
        self._retry: asyncio.TimerHandle | None = None
        self.failures = 0  # accepts that failed, for want of descriptors or memory

    def start(self) -> None:
        """Begins to accept."""
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept_some)

    def close(self) -> None:
        """Takes what has connected already, and stops listening. What the kernel has accepted for us may hold a
        request, and would be reset with it."""
        if self._retry is not None:
            self._retry.cancel()
        else:
            self._loop.remove_reader(self._listener.fileno())
        for _ in range(CLOSING_TRIES):
            try:
                while self._accept_one():
                    pass
                break
            except OSError:
                self.failures += 1
        self._listener.close()

    async def settled(self) -> None:
        """Returns once all that was accepted has its protocol: until then nobody else knows of these connections."""
        if self._connecting:
            await asyncio.wait(self._connecting)

    def _accept_some(self) -> None:
        failures = 0
        for _ in range(ACCEPTS_A_TURN):
            try:
                if not self._accept_one():
                    break
            except OSError:
                failures += 1
        self.failures += failures
        if failures == ACCEPTS_A_TURN:
            self._loop.remove_reader(self._listener.fileno())
            self._retry = self._loop.call_later(RETRY_S, self.start)

    def _accept_one(self) -> bool:
        """Whether there may be another one to accept. Raises OSError for want of descriptors or memory, or the like."""
        try:
            connection, _ = self._listener.accept()
        except BlockingIOError:
            return False
        except (InterruptedError, ConnectionError):  # a connection that broke before it was accepted among them
            return True
        connection.setblocking(False)
        # asyncio sets it where it made the socket itself: without it an answer may wait for the last one's receipt
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._connect(connection))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return True

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError:
            connection.close()
