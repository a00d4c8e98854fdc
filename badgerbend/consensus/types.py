"""What the owner of a `Raft` object provides, and the roles of a voter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol


class StateMachine(Protocol):
    """Applies committed commands. It must be deterministic: the same commands in order give the same state."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply a command. index: that of its entry, which increases from call to call."""
        ...

    def dump(self) -> bytes:
        """Return the whole state, for a snapshot."""
        ...

    def load(self, state: bytes) -> None:
        """Replace the whole state by one that `dump` has returned."""
        ...


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timing and compaction.

    election_timeout_s: a voter that hears from no leader for one to two of these timeouts starts an election.
    heartbeat_interval_s: the time between a leader's rounds of heartbeats.
    compact_after_entries: a snapshot is taken once this many entries have been applied since the last one.
    """

    election_timeout_s: float = 1.0
    heartbeat_interval_s: float = 0.2
    compact_after_entries: int = 1000


class Role(Enum):
    """The role of a voter in its term."""

    FOLLOWER = auto()
    PRE_CANDIDATE = auto()  # asks the other voters whether they would vote for it
    CANDIDATE = auto()
    LEADER = auto()
