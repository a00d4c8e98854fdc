"""Linearizable reads without a clock: each is confirmed by a round of heartbeats (Ongaro 2014, 6.4)."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from badgerbend.consensus.events import ReadConfirmed
from badgerbend.consensus.replica import Replica


class PendingRead(NamedTuple):
    """A read that is confirmed once a majority has answered this round of heartbeats."""

    heartbeat_round: int
    token: int


class ReadIndex:
    """Reads that wait for their round of heartbeats, in the order of the rounds."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.pending: deque[PendingRead] = deque()

    def reset(self) -> None:
        """Drop all reads, at the start and the end of a term of leadership."""
        self.pending.clear()

    def add(self, heartbeat_round: int, token: int) -> None:
        """Confirm a read by a round of heartbeats that has not begun yet."""
        self.pending.append(PendingRead(heartbeat_round, token))

    def confirm(self, answered_round: int) -> None:
        """Confirm the reads of all rounds up to this one, which a majority has answered."""
        while self.pending and self.pending[0].heartbeat_round <= answered_round:
            read = self.pending.popleft()
            self.replica.events.append(ReadConfirmed(read.token))
