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
    """election_s: who hears no leader for one to two of these stands; beat_s: a leader is heard so often.

    compact: a snapshot is taken after so many entries.
    """

    election_s: float = 1.0
    beat_s: float = 0.2
    compact: int = 1000


class Role(Enum):
    FOLLOWER = auto()
    ASKING = auto()  # whether it would be given votes
    CANDIDATE = auto()
    LEADER = auto()
