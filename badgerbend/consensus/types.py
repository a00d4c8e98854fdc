"""What an owner of `Raft` provides, and the roles of a voter."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol


class StateMachine(Protocol):
    """What committed commands are applied to. The same commands in the same order must leave the same state."""

    def apply(self, index: int, data: bytes) -> None:
        """Apply a command. index: of its entry, which only grows."""
        ...

    def dump(self) -> bytes:
        """Return the whole state, for a snapshot."""
        ...

    def load(self, state: bytes) -> None:
        """Replace the whole state by one that `dump` returned."""
        ...


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timing, in seconds, and compaction.

    election_timeout_s: a voter that hears no leader for one to two of these starts an election.
    heartbeat_interval_s: time between a leader's rounds of heartbeats.
    compact_after_entries: a snapshot is taken once so many entries were applied since the last one.
    """

    election_timeout_s: float = 1.0
    heartbeat_interval_s: float = 0.2
    compact_after_entries: int = 1000


class Role(Enum):
    """A voter's part in its term."""

    FOLLOWER = auto()
    PRE_CANDIDATE = auto()  # asks whether it would be elected
    CANDIDATE = auto()
    LEADER = auto()
