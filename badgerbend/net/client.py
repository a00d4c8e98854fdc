"""HTTP/1.1 client: a pool of persistent connections to one address, with one request at a time on each.

Cancelling a request closes its connection, since HTTP/1.1 has no other way to notify the server. The next request then
needs a new handshake; `Pool.opened` counts the handshakes that were started, including those that failed.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from badgerbend.net.calls import Call, CallResult, Reply
from badgerbend.net.client_connection import ClientConnection
from badgerbend.net.pool_limits import PoolLimits

MAX_INCOMPLETE_ANSWERS = 2  # incomplete answers of the largest size that the connections of a pool hold together


class Pool:
    """Connections to one server. The most recently used one is reused first, so that surplus ones can idle out."""

    def __init__(self, host: str, port: int, limits: PoolLimits) -> None:
        self.host, self.port, self.limits = host, port, limits
        self.idle: list[ClientConnection] = []
        self.open: set[ClientConnection] = set()
        self.opened = 0
        self.unsolicited = 0  # responses received without a request
        self.reserved_bytes = 0  # taken by the incomplete answers of all connections
        self.closed = False
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def request(self, data: bytes, on_reply: Callable[[Reply], None], send_by: float = math.inf) -> Call:
        """Sends a complete request, head and body. The callback is called with the reply, never before this returns.

        send_by: deadline on the loop's clock; a request without a connection by then is not sent.
        """
        call = Call(data, on_reply, send_by)
        while self.idle:
            connection = self.idle.pop()
            if connection.usable():
                connection.start(call)
                return call
        call.connect_task = asyncio.get_running_loop().create_task(self._connect(call))
        self._connect_tasks.add(call.connect_task)
        call.connect_task.add_done_callback(self._connect_tasks.discard)
        return call

    def preconnect(self, done: Callable[[bool], None]) -> None:
        """Opens a connection before it is needed, unless one is idle. `done` is called with whether it succeeded."""
        if not self.idle and not self.closed:
            connect_task = asyncio.get_running_loop().create_task(self._preconnect(done))
            self._connect_tasks.add(connect_task)
            connect_task.add_done_callback(self._connect_tasks.discard)

    async def _preconnect(self, done: Callable[[bool], None]) -> None:
        connection = await self._open_connection()
        if connection is not None:
            connection.release()
        done(connection is not None)

    async def _open_connection(self) -> ClientConnection | None:
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self.limits.connect_timeout_s):
                _, connection = await loop.create_connection(lambda: ClientConnection(self, loop), self.host, self.port)
        except (OSError, TimeoutError):
            return None
        return connection

    async def _connect(self, call: Call) -> None:
        connection = await self._open_connection()
        is_late = asyncio.get_running_loop().time() > call.send_by
        if connection is not None and is_late and not call.done:
            connection.release()
            call.finish(Reply(CallResult.CONNECT_FAILED, 0, {}, b""))
        elif connection is None:
            call.finish(Reply(CallResult.CONNECT_FAILED, 0, {}, b""))
        elif call.done or self.closed:
            connection.release()
        else:
            connection.start(call)

    def limit_memory(self) -> None:
        """Fails the answers that have come least far, while incomplete ones take too much memory together."""
        while self.reserved_bytes > MAX_INCOMPLETE_ANSWERS * self.limits.max_answer_bytes:
            min((connection for connection in self.open if connection.size), key=lambda c: c.size).fail()

    def close_idle(self) -> None:
        while self.idle:
            self.idle.pop().abort()

    def sweep(self, now: float) -> None:
        """Closes connections that have been idle for too long."""
        while self.idle and now - self.idle[0].idle_since > self.limits.idle_s:
            self.idle.pop(0).abort()

    def close(self) -> None:
        self.closed = True
        self.idle.clear()
        for connection in list(self.open):
            connection.abort()
        for connect_task in list(self._connect_tasks):
            connect_task.cancel()
