"""What the duties of a broker use of its lease service: the socket, and the leases that it holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgerbend.discovery.members import parse_address
from badgerbend.leases.holder import LeaseHolder
from badgerbend.net.udp import Address, SealedSocket


class DutySocket:
    """Sends datagrams between brokers for a duty, and says whether this broker may act on one.

    holder: None until the service has started; nothing may be done until then. clock: of the leases, in seconds.
    """

    def __init__(self, socket: SealedSocket, clock: Callable[[], float]) -> None:
        self.holder: LeaseHolder | None = None
        self._socket = socket
        self._clock = clock

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop on which the socket is used."""
        return self._socket.loop

    @property
    def own(self) -> Address:
        """The address where others reach this broker."""
        return self._socket.own_address

    def may_act(self, duty: str) -> int | None:
        """The epoch under which this broker may act on a duty now, None if it may not."""
        return self.holder.may_act(self._clock(), duty) if self.holder is not None else None

    def send(self, address: Address, body: bytes, still: Callable[[], bool] | None = None) -> None:
        """Sends a datagram. still: asked last of all, nothing is sent where it says False."""
        self._socket.send(address, body, still)

    def send_to_holder(self, duty: str, body: bytes) -> None:
        """Sends to the holder of a duty's lease as last notified; nothing is sent where that is not known."""
        if self.holder is None:
            return
        lease = self.holder.duties[duty]
        if not (lease.holder and lease.holder_address):
            return
        try:
            address = parse_address(lease.holder_address)
        except ValueError:
            self._socket.refused += 1
            return
        self.send(address, body)
