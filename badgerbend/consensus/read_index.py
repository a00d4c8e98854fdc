"""Linearizable reads that do not rely on clocks: a round of heartbeats confirms each one (Ongaro 2014, 6.4)."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from badgerbend.consensus.events import ReadConfirmed
from badgerbend.consensus.replica import Replica


class PendingRead(NamedTuple):
    """A read that is confirmed once a majority has replied to this round of heartbeats."""

    heartbeat_round: int
    token: int


class ReadIndex:
    """Reads that wait for a round of heartbeats, in the order of the rounds."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.pending: deque[PendingRead] = deque()

    def reset(self) -> None:
        """Drop all reads, at the start and at the end of a term of leadership."""
        self.pending.clear()

    def add(self, heartbeat_round: int, token: int) -> None:
        """Add a read that a later round of heartbeats will confirm."""
        self.pending.append(PendingRead(heartbeat_round, token))

    def confirm(self, quorum_round: int) -> None:
        """Confirm the reads of all rounds up to this one, to which a majority has replied."""
        while self.pending and self.pending[0].heartbeat_round <= quorum_round:
            read = self.pending.popleft()
            self.replica.events.append(ReadConfirmed(read.token))
