"""Snapshots in the place of a log's beginning: taken by compaction, or received from a leader in pieces."""

from __future__ import annotations

from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import EntryKind, InstallSnapshot, Snapshot


def compacted(log: Log, index: int, state: bytes) -> Snapshot:
    """A snapshot of all up to an index that the log holds; `state` is the machine's after that entry."""
    voters = log.snapshot.voters
    for entry in log.entries[: index - log.snapshot_index]:
        voters = entry.voters() if entry.kind is EntryKind.CONFIGURATION else voters
    term = log.term_at(index)
    assert term is not None
    return Snapshot(index, term, voters, state)


class IncomingSnapshot:
    """The pieces that came of one snapshot, from its beginning without a gap."""

    def __init__(self, message: InstallSnapshot) -> None:
        self._term, self._index, self._size = message.term, message.index, message.size
        self._state = bytearray()

    def includes(self, message: InstallSnapshot) -> bool:
        """Whether a message carries a piece of this snapshot, sent by the leader of the same term."""
        return (message.term, message.index, message.size) == (self._term, self._index, self._size)

    def add(self, message: InstallSnapshot) -> None:
        """Takes the piece that comes next; another is passed over, and will be sent again."""
        if message.offset == len(self._state):
            self._state += message.data

    @property
    def received(self) -> int:
        """How many bytes came."""
        return len(self._state)

    @property
    def whole(self) -> bool:
        return len(self._state) >= self._size

    def snapshot(self, message: InstallSnapshot) -> Snapshot:
        """The snapshot, once it is whole, by the message that carried its last piece."""
        return Snapshot(message.index, message.snapshot_term, message.voters, bytes(self._state))
