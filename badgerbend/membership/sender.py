"""Sends messages. Each one carries the local member's state and as many gossiped updates as fit into the datagram."""

from __future__ import annotations

from itertools import count

from badgerbend.membership.broadcasts import BroadcastQueue, retransmit_limit
from badgerbend.membership.context import SwimContext
from badgerbend.membership.members import Address, Member
from badgerbend.membership.messages import (
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    Sync,
    encode,
    with_updates,
)
from badgerbend.membership.output import Datagram


class MessageSender:
    """Encodes messages for other members, and collects them until they are taken."""

    def __init__(self, context: SwimContext, broadcasts: BroadcastQueue) -> None:
        self._local = context.local
        self._members = context.members
        self._broadcasts = broadcasts
        self._retransmit_multiplier = context.config.retransmit_multiplier
        self._sequence_numbers = count(1)
        self._datagrams: list[Datagram] = []

    def take_datagrams(self) -> list[Datagram]:
        """Return the datagrams collected since the last call, in order."""
        datagrams = self._datagrams
        self._datagrams = []
        return datagrams

    def send(self, destination: Address, message: Message, receiver: str = "") -> None:
        """Send a message with gossiped updates. receiver: the name of the member at the destination, if known."""
        message = with_updates(message, self._gossip_for(receiver))
        limit = retransmit_limit(self._retransmit_multiplier, len(self._members))
        self._broadcasts.mark_sent(message.updates, limit)
        self._datagrams.append(Datagram(destination, encode(message)))

    def ping(self, destination: Address, target: str = "") -> int:
        """Send a ping; return its sequence number. target: the name of the member at the destination, if known."""
        seq = next(self._sequence_numbers)
        self.send(destination, Ping(seq, target, self._local.make_update()), receiver=target)
        return seq

    def send_full_state(self, destination: Address, *, reply_requested: bool) -> None:
        """Send the state of all members in as many datagrams as it takes; only the first one requests a reply."""
        remaining = [self._full_state_update(member) for member in self._members.by_name.values()]
        while True:
            message = with_updates(Sync(reply_requested, self._local.make_update()), remaining)
            self._datagrams.append(Datagram(destination, encode(message)))
            remaining = remaining[len(message.updates) :]
            reply_requested = False
            if not remaining or not message.updates:
                return

    def _full_state_update(self, member: Member) -> MemberUpdate:
        """Return the update about another member that is sent in an exchange of the full state."""
        return member.make_update(member.state, self._local.name if member.state == MemberState.SUSPECT else "")

    def _gossip_for(self, receiver: str) -> list[MemberUpdate]:
        """Return the updates to send to a receiver.

        If the receiver itself is suspected or dead, that comes first, so that it can refute it immediately.
        """
        updates = [update for update in self._broadcasts.pending() if update.name != receiver]
        member = self._members.get(receiver)
        if member is not None and member.state in (MemberState.SUSPECT, MemberState.DEAD):
            updates.insert(0, member.make_update(member.state, self._local.name))
        return updates
