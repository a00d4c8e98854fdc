"""Sends a process's messages to voters and lease candidates, by datagram or within the process itself."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from badgerbend.consensus import messages as consensus_messages
from badgerbend.lease_service import wire
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import LeaseReply, LeaseRequest, LeaseReturn
from badgerbend.net.udp import Address, SealedSocket


class LeaseRequestHandler(Protocol):
    """What a messenger needs of the voter of this process."""

    def handle_lease_message(self, message: LeaseRequest | LeaseReturn, source: Address) -> None:
        """Handles a candidate's message. source: where to send the reply."""


class LeaseMessenger:
    """Sends messages to other processes by datagram, and those to the process itself without the socket.

    Requests to the process itself go to its own voter, replies to `on_own_reply`, which is called by the event loop and
    never while a message is being sent. name: of this process among the voters, if it is a voter.
    """

    def __init__(
        self,
        socket: SealedSocket,
        name: str,
        voter_addresses: Mapping[str, Address],
        on_own_reply: Callable[[LeaseReply], None],
    ) -> None:
        self.socket = socket
        self.name = name
        self.voter_addresses = voter_addresses
        self.on_own_reply = on_own_reply
        self._closed = False

    def close(self) -> None:
        """Drops later replies to the process itself."""
        self._closed = True

    def send_to_voter(self, name: str, message: consensus_messages.Message) -> None:
        """Sends a consensus message. Sends nothing if the address of the voter is not configured."""
        address = self.voter_addresses.get(name)
        if address is not None:
            self.socket.send(address, wire.encode_consensus_message(message))

    def send_reply(self, address: Address, reply: LeaseReply) -> None:
        """Sends a voter's reply to a lease candidate."""
        if address == self.socket.own_address:
            self.socket.loop.call_soon(self._deliver_own_reply, reply)
        else:
            self.socket.send(address, wire.encode_lease_message(reply))

    def send_pending_requests(self, holder: LeaseHolder, own_voter: LeaseRequestHandler | None) -> bool:
        """Sends the lease holder's messages to voters. Returns whether there were any."""
        pending = holder.drain_output()
        for voter, message in pending:
            if voter == self.name and own_voter is not None:
                own_voter.handle_lease_message(message, self.socket.own_address)
            elif voter in self.voter_addresses:
                self.socket.send(self.voter_addresses[voter], wire.encode_lease_message(message))
        return bool(pending)

    def _deliver_own_reply(self, reply: LeaseReply) -> None:
        if not self._closed:
            self.on_own_reply(reply)
