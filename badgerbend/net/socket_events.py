"""What the kernel knows of a transport's socket that its event loop has not read yet (`poll(2)`)."""

from __future__ import annotations

import asyncio
import select

HANG_UP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peer_has_left(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the peer has closed or reset the connection. An end behind unread input that is full is not known."""
    return _has_events(transport, HANG_UP_EVENTS)


def has_unread_input(transport: asyncio.BaseTransport | None) -> bool:
    """Whether the socket has input that this iteration of the loop has yet to read."""
    return _has_events(transport, select.POLLIN)


def _has_events(transport: asyncio.BaseTransport | None, events: int) -> bool:
    if transport is None or (sock := transport.get_extra_info("socket")) is None:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))
