"""What `Raft` notifies its owner of: applied entries, who leads, and confirmed reads."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.consensus.messages import Entry


@dataclass(frozen=True, slots=True)
class EntryApplied:
    """An entry is committed; a command was applied to the state machine."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class BecameLeader:
    """This voter leads and has committed an entry of its own term, so that it knows all that was ever committed."""

    term: int


@dataclass(frozen=True, slots=True)
class BecameFollower:
    """This voter does not lead, or no longer does. leader: who does; empty while unknown."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """At some moment after `Raft.read_index` was called this voter led, and knew all that was committed by then."""

    token: int


Event = EntryApplied | BecameLeader | BecameFollower | ReadConfirmed
