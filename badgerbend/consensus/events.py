"""What `Raft` tells its owner: entries that are committed, who leads, and reads that are confirmed."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.consensus.messages import Entry


@dataclass(frozen=True, slots=True)
class EntryApplied:
    """An entry is committed, and the machine was given it if it is a command."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class BecameLeader:
    """This voter leads, and knows all that was ever acknowledged."""

    term: int


@dataclass(frozen=True, slots=True)
class BecameFollower:
    """This voter does not lead, or no longer. leader: empty while unknown."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """At some moment after `read` was called this voter was the leader, and knew all acknowledged before it."""

    token: int


Event = EntryApplied | BecameLeader | BecameFollower | ReadConfirmed
