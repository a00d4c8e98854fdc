"""A UDP socket whose datagrams are sealed. The seal covers the sender's address, as others reach it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from badgerbend.net.seal import DatagramSealer, UnsealError

Address = tuple[str, int]


def address_text(address: Address) -> str:
    """The address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


def sender_id(address: Address) -> bytes:
    """The sender that the seal of a datagram from this address covers."""
    return address_text(address).encode()


class SealedSocket(asyncio.DatagramProtocol):
    """Calls `body`, which subclasses define, with the body of each datagram whose seal is valid.

    own_address: the address where others reach this socket.
    """

    def __init__(self, sealer: DatagramSealer) -> None:
        self.sealer = sealer
        self.own_address: Address = ("", 0)
        self.transport: asyncio.DatagramTransport | None = None
        self.loop = asyncio.get_running_loop()
        self.received = self.refused = self.sent = self.bytes = 0

    async def open(self, host: str, port: int) -> int:
        """Binds the socket; returns the port. Raises OSError."""
        await self.loop.create_datagram_endpoint(lambda: self, (host, port))
        assert self.transport is not None
        bound = int(self.transport.get_extra_info("sockname")[1])
        self.own_address = (host, bound)
        return bound

    def send(self, address: Address, body: bytes, still_valid: Callable[[], bool] | None = None) -> None:
        """Seals and sends a body. still_valid: called right before sending; if it returns False, nothing is sent.

        A process that was paused after it composed the body thus sends nothing that is no longer true.
        """
        if self.transport is None:
            return
        data = self.sealer.seal(body, sender_id(self.own_address))
        if still_valid is not None and not still_valid():
            return
        self.sent += 1
        self.bytes += len(data)
        self.transport.sendto(data, address)

    def body(self, body: bytes, source: Address) -> None:
        """Handles the body of a datagram whose seal is valid."""
        raise NotImplementedError

    def close_socket(self) -> None:
        if self.transport is not None:
            self.transport.close()

    # -- callbacks of asyncio
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.received += 1
        source = (addr[0], addr[1])
        try:
            body = self.sealer.open(data, sender_id(source))
        except UnsealError:
            self.refused += 1
            return
        self.body(body, source)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors, as of a port that nobody listens on; the timeouts of the protocols cover them."""
