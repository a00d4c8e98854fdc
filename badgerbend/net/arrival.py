"""How long what is read has lain in the kernel, by its own account (`tcp(7)`, `TCP_INFO`)."""

from __future__ import annotations

import asyncio
import socket
import struct

LAST_DATA_RECEIVED = struct.Struct("<52xI")
"""Milliseconds since the last segment with data came, in `struct tcp_info`."""


def unread_s(transport: asyncio.BaseTransport) -> float:
    """Seconds since the last bytes came on a transport's socket; 0 where that cannot be told.

    A process that is held up, or accepts a connection late, reads a request long after it came, and its client's
    deadline runs from then.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0.0
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
    except (OSError, TypeError, AttributeError):  # no Linux, no TCP, or a loop whose sockets do not tell
        return 0.0
    if len(info) < LAST_DATA_RECEIVED.size:
        return 0.0
    (milliseconds,) = LAST_DATA_RECEIVED.unpack(info)
    return float(milliseconds) / 1000.0
