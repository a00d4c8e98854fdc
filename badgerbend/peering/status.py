"""The status page of peers. The field names of its JSON are a public interface and do not change with attributes."""

from __future__ import annotations

import msgspec


class MemberStatus(msgspec.Struct, frozen=True):
    """One member of the group. address: HOST:PORT of its membership socket; trusted: whether its records are used."""

    name: str
    address: str
    state: str
    incarnation: int
    trusted: bool = msgspec.field(name="believed")


class PeersStatus(msgspec.Struct, frozen=True):
    """All members, and what was learned from them. pulls: rounds of requests so far; health_score: 0 means healthy."""

    pulls: int
    servers_learned: int = msgspec.field(name="learned")
    health_score: int = msgspec.field(name="health")
    members: tuple[MemberStatus, ...]
