"""Accepts connections on a listening socket, a few in each iteration of the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

BACKLOG = 1024
"""Connections that the kernel queues until they are accepted."""

MAX_ACCEPTS_PER_ITERATION = 4
"""Connections accepted in one loop iteration. It takes two iterations until a limit on connections counts them, so this
bounds by how much the limit can be exceeded."""

ACCEPT_RETRY_S = 0.01
"""Pause once all accepts of an iteration have failed. asyncio pauses for a second, in which requests miss their
deadlines unread and disconnected clients go unnoticed."""


MAX_FAILURES_WHILE_CLOSING = 100
"""Accepts that may fail while a listener closes, before the connections that are still queued are given up."""


class Listener(Protocol):
    """Accepts connections until it is closed."""

    def close(self) -> None: ...


async def accept_from(
    loop: asyncio.AbstractEventLoop, listener: socket.socket, factory: Callable[[], asyncio.Protocol]
) -> Listener:
    """Accepts connections on a bound socket.

    Loops other than asyncio's own (uvloop) accept in native code, all queued connections in one iteration, and handle
    failures themselves.
    """
    listener.listen(BACKLOG)
    if not isinstance(loop, asyncio.SelectorEventLoop):
        return await loop.create_server(factory, sock=listener, backlog=BACKLOG)
    acceptor = Acceptor(loop, listener, factory)
    acceptor.start()
    return acceptor


class Acceptor:
    """Creates a protocol for each incoming connection. It owns the listening socket and closes it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listener: socket.socket, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._factory = factory
        self._connect_tasks: set[asyncio.Task[object]] = set()
        self._retry_timer: asyncio.TimerHandle | None = None
        self.failures = 0  # accepts that failed because of a lack of descriptors or memory

    def start(self) -> None:
        """Starts to accept connections."""
        self._retry_timer = None
        self._loop.add_reader(self._listener.fileno(), self._accept_some)

    def close(self) -> None:
        """Accepts the connections that are already established, then stops listening.

        A connection that is still in the kernel's queue may carry a request, and closing the listener would reset it.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        else:
            self._loop.remove_reader(self._listener.fileno())
        for _ in range(MAX_FAILURES_WHILE_CLOSING):
            try:
                while self._accept_one():
                    pass
                break
            except OSError:
                self.failures += 1
        self._listener.close()

    async def wait_connected(self) -> None:
        """Waits until every accepted connection has its protocol.

        Until then, only this acceptor tracks the connection.
        """
        if self._connect_tasks:
            await asyncio.wait(self._connect_tasks)

    def _accept_some(self) -> None:
        failures = 0
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            try:
                if not self._accept_one():
                    break
            except OSError:
                failures += 1
        self.failures += failures
        if failures == MAX_ACCEPTS_PER_ITERATION:
            self._loop.remove_reader(self._listener.fileno())
            self._retry_timer = self._loop.call_later(ACCEPT_RETRY_S, self.start)

    def _accept_one(self) -> bool:
        """Accepts one connection; returns whether there may be more. Raises OSError, as for a lack of descriptors."""
        try:
            connection, _ = self._listener.accept()
        except BlockingIOError:
            return False
        except (InterruptedError, ConnectionError):  # the latter if the connection broke before it was accepted
            return True
        connection.setblocking(False)
        # asyncio sets this option on sockets that it creates itself. Without it, Nagle's algorithm may delay a response
        # until the previous one is acknowledged.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._connect(connection))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return True

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._factory, connection)
        except OSError:
            connection.close()
