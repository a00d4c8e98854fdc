"""The part of a lease service that the duties use: the socket, and the leases that the broker holds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgerbend.discovery.members import parse_address
from badgerbend.leases.holder import LeaseHolder
from badgerbend.net.udp import Address, SealedSocket


class DutySocket:
    """Sends datagrams between brokers for the duties, and tells whether this broker may act on a duty.

    holder: None until the service has started; until then the broker may not act and sends nothing to holders.
    clock: of the leases, in seconds.
    """

    def __init__(self, socket: SealedSocket, clock: Callable[[], float]) -> None:
        self.holder: LeaseHolder | None = None
        self._socket = socket
        self._clock = clock

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the socket."""
        return self._socket.loop

    @property
    def own_address(self) -> Address:
        """The address where other brokers reach this one."""
        return self._socket.own_address

    def may_act(self, duty: str) -> int | None:
        """Returns the epoch under which this broker may act on a duty now, or None if it may not."""
        return self.holder.may_act(self._clock(), duty) if self.holder is not None else None

    def send(self, address: Address, body: bytes, still_valid: Callable[[], bool] | None = None) -> None:
        """Sends a datagram. still_valid: called right before sending; if it returns False, nothing is sent."""
        self._socket.send(address, body, still_valid)

    def send_to_holder(self, duty: str, body: bytes) -> None:
        """Sends a datagram to the holder of a duty's lease, if the holder and its address are known."""
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
