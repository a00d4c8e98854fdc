"""A call of the HTTP client: a request in flight, and how it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol


class CallResult(Enum):
    """How a call ended."""

    ANSWER = auto()
    CONNECT_FAILED = auto()  # no byte of the request was written
    RESET = auto()  # the connection broke after at least a part of the request was written
    MALFORMED = auto()  # the response was not valid HTTP or exceeded the size limit


class CallConnection(Protocol):
    """The connection on which a call is in flight."""

    def abort(self) -> None:
        """Closes the connection."""


class Reply:
    """The result of a call; status, headers and body are set if a response was received."""

    __slots__ = ("body", "headers", "result", "status")

    def __init__(self, result: CallResult, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.result, self.status, self.headers, self.body = result, status, headers, body


class Call:
    """A request in flight. `abort` cancels it: its callback is not called."""

    __slots__ = ("connect_task", "connection", "data", "done", "on_reply", "received", "send_by")

    def __init__(self, data: bytes, on_reply: Callable[[Reply], None], send_by: float) -> None:
        self.data, self.on_reply, self.send_by = data, on_reply, send_by
        self.connection: CallConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.done = False
        self.received = 0  # bytes of the response so far

    def abort(self) -> None:
        if not self.done:
            self.done = True
            if self.connection is not None:
                self.connection.abort()
            elif self.connect_task is not None:
                self.connect_task.cancel()

    def finish(self, reply: Reply) -> None:
        """Calls the callback, unless the call is finished or cancelled."""
        if not self.done:
            self.done = True
            self.on_reply(reply)
