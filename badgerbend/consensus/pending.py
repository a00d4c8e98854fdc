"""What a voter waits for: its disk, a round of heartbeats, or the one that takes over from it."""

from __future__ import annotations

from typing import NamedTuple

from badgerbend.consensus.messages import Message


class UnsyncedEntries(NamedTuple):
    """Once this write is on disk, so are all entries up to this index."""

    write: int
    last_index: int


class HeldMessage(NamedTuple):
    """A message that may be sent once this write is on disk."""

    write: int
    to: str
    message: Message


class OwnVote(NamedTuple):
    """A candidate's vote for itself, which counts once this write is on disk."""

    write: int
    term: int


class PendingRead(NamedTuple):
    """A read that is confirmed once a majority has answered this round of heartbeats."""

    heartbeat_round: int
    token: int


class Transfer(NamedTuple):
    """Leadership is handed to this voter, unless it has not taken it by then."""

    to: str
    until: float
