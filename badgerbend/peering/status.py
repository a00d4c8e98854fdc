"""The status page of peers. Field names of its JSON are part of the interface, and stay when attributes are renamed."""

from __future__ import annotations

import msgspec


class MemberStatus(msgspec.Struct, frozen=True):
    """One member of the group. address: HOST:PORT of its membership socket; trusted: its records are used."""

    name: str
    address: str
    state: str
    incarnation: int
    trusted: bool = msgspec.field(name="believed")


class PeersStatus(msgspec.Struct, frozen=True):
    """All members, and what was learned from them. pulls: rounds of requests; health_score: 0 is healthy."""

    pulls: int
    servers_learned: int = msgspec.field(name="learned")
    health_score: int = msgspec.field(name="health")
    members: tuple[MemberStatus, ...]
