"""How long data waited in the kernel before it was read, as the kernel reports it (`tcp(7)`, `TCP_INFO`)."""

from __future__ import annotations

import asyncio
import socket
import struct

LAST_DATA_RECV = struct.Struct("<52xI")
"""`tcpi_last_data_recv` in `struct tcp_info`: milliseconds since the last data segment was received."""


def receive_delay_s(transport: asyncio.BaseTransport) -> float:
    """Seconds since the last bytes were received on a transport's socket; 0 if that is unknown.

    A process that was stalled, or accepted a connection late, reads a request long after the kernel received it,
    and the client's deadline counts from the receipt.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return 0.0
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECV.size)
    except (OSError, TypeError, AttributeError):  # not Linux, not TCP, or a socket without getsockopt
        return 0.0
    if len(info) < LAST_DATA_RECV.size:
        return 0.0
    (milliseconds,) = LAST_DATA_RECV.unpack(info)
    return float(milliseconds) / 1000.0
