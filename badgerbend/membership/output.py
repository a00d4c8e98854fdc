"""What the membership protocol returns to its caller: datagrams to send, and events."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.membership.members import Address
from badgerbend.membership.messages import MemberState


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """An event: a member has joined, or its state, incarnation, address or metadata has changed."""

    name: str
    address: Address
    state: MemberState
    incarnation: int
    metadata: str


@dataclass(frozen=True, slots=True)
class Datagram:
    """An encoded message to send to the address of another member; the sender still has to seal it."""

    destination: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class SwimOutput:
    """Datagrams to send and events to handle, both in order."""

    datagrams: list[Datagram]
    events: list[MemberChanged]
