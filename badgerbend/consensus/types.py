"""What an owner of `Raft` gives it, and what a voter can be."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol


class StateMachine(Protocol):
    """What the log is for. The same commands in the same order leave the same state, wherever."""

    def apply(self, index: int, data: bytes) -> None: ...

    def dump(self) -> bytes: ...

    def load(self, state: bytes) -> None: ...


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
    FOLLOWER = auto()
    PRE_CANDIDATE = auto()  # whether it would be given votes
    CANDIDATE = auto()
    LEADER = auto()
