"""One request and its one response, as a handler sees them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from badgerbend.net.http_connection import OUT_OF_TIME
from badgerbend.net.request_parser import Request
from badgerbend.net.responses import Headers


class Connection(Protocol):
    """What an exchange needs from the connection that it belongs to.

    active: the exchange that is being served.
    """

    active: Exchange | None

    def write_answer(self, status: int, body: bytes, content_type: bytes, extra: Headers) -> None:
        """Writes the response of the active exchange."""

    def reserve(self, size: int) -> bool:
        """Counts further memory that is held for the active request, if it is admitted."""

    def abort_if_peer_left(self) -> bool:
        """Aborts the connection if the peer has closed or reset it; returns whether it has."""

    def may_hide_end(self) -> bool:
        """Whether the peer may have left unnoticed: it has sent more than is accepted, and not all of it was read."""

    def abort(self) -> None:
        """Closes the connection without sending what is unsent."""


class Exchange:
    """One request and its one response."""

    __slots__ = (
        "_connection",
        "_request",
        "disconnected",
        "headers",
        "method",
        "on_disconnect",
        "on_expiry",
        "received_at",
        "size",
        "target",
    )

    def __init__(self, connection: Connection, request: Request) -> None:
        self._connection, self._request = connection, request
        self.received_at = request.received_at  # when its last byte was received, on the loop's clock
        self.method, self.target, self.headers = request.method, request.target, request.headers
        self.size = request.size  # an estimate of the bytes that it takes in memory
        self.disconnected = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_expiry: Callable[[], None] | None = None  # responds at once; see `expire`

    @property
    def body(self) -> bytes:
        """The body of the request, until it is dropped."""
        return self._request.body

    def drop_body(self) -> None:
        """Drops the body, which the connection would hold until the response."""
        self._request.body = b""

    def disconnect(self) -> None:
        """The connection is lost: no response can be written."""
        self.disconnected = True
        if self.on_disconnect is not None:
            self.on_disconnect()

    def expire(self) -> None:
        """Ends the request, as the client's time is over for one that waits behind it on its connection."""
        if self.on_expiry is not None:
            self.on_expiry()
        else:
            self.respond(OUT_OF_TIME.status, OUT_OF_TIME.text, b"text/plain")

    @property
    def connection_key(self) -> int:
        """A key that all exchanges of one connection share."""
        return id(self._connection)

    def waited_ms(self, now: float) -> float:
        """How long ago the request was received: before it was read, or behind another request."""
        return (now - self.received_at) * 1000.0

    def client_has_left(self) -> bool:
        """Whether the peer has closed the connection, read or not yet; if so, the connection is aborted."""
        return self.disconnected or self._connection.abort_if_peer_left()

    def client_may_have_left(self) -> bool:
        """Whether the end of the connection may lie behind input that is not accepted and not read yet."""
        return self._connection.may_hide_end()

    def reserve(self, size: int) -> bool:
        """Counts further memory that is held for this request until its response. Returns False if there is none."""
        return not self.disconnected and self._connection.active is self and self._connection.reserve(size)

    def respond(self, status: int, body: bytes, content_type: bytes, extra: Headers = ()) -> bool:
        """Writes the response. Returns False, and writes nothing, if the peer has disconnected or was answered."""
        if self.disconnected or self._connection.active is not self:
            return False
        self._connection.write_answer(status, body, content_type, extra)
        return True

    def drop(self) -> None:
        """Aborts the connection without a response."""
        if not self.disconnected and self._connection.active is self:
            self._connection.abort()


Handler = Callable[[Exchange], None]
