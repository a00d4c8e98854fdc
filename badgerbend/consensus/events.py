"""Events that `Raft` reports to its owner: applied entries, changes of leader, and confirmed reads."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.consensus.messages import Entry


@dataclass(frozen=True, slots=True)
class EntryApplied:
    """An entry was committed; if it is a command, it was applied to the state machine."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class BecameLeader:
    """This voter leads and has committed an entry of its own term, so it knows everything that was ever committed."""

    term: int


@dataclass(frozen=True, slots=True)
class BecameFollower:
    """This voter does not lead, or no longer does. leader: the voter that does, or empty while unknown."""

    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """At some time after `Raft.read_index` was called, this voter led and knew everything committed until then."""

    token: int


Event = EntryApplied | BecameLeader | BecameFollower | ReadConfirmed
