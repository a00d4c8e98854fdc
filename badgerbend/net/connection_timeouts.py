"""The timeouts of a connection of the HTTP server, which its server checks at intervals."""

from __future__ import annotations

from badgerbend.net.request_parser import Rejection
from badgerbend.net.server_connection import ServerConnection


def check_timeouts(connection: ServerConnection, now: float) -> None:
    """Ends a connection whose client is too slow, or that has been idle for too long."""
    limits, waited_s = connection.server.limits, now - connection.phase_started_at
    blocked_since, http = connection.write_blocked_since, connection.http
    if blocked_since is not None and now - blocked_since > limits.read_timeout_s:
        connection.abort()  # the client does not read its response
    elif connection.lingering:
        pass  # the lingering close has its own bounds
    elif http.receiving and not http.has_open_requests and waited_s > limits.read_timeout_s:
        connection.reject(Rejection(408, b"the request took too long to arrive"))
    elif waited_s > (limits.idle_timeout_s if http.received_requests else limits.first_byte_timeout_s):
        connection.close_if_idle()
