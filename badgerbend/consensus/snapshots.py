"""Snapshots that replace the beginning of a log: taken by compaction, or received from a leader in chunks."""

from __future__ import annotations

from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import EntryKind, InstallSnapshot, Snapshot


def take_snapshot(log: Log, index: int, state: bytes) -> Snapshot:
    """Return a snapshot that replaces the log up to an index, which must be in the log.

    state: the dump of the state machine after the entry at that index.
    """
    voters = log.snapshot.voters
    for entry in log.entries[: index - log.snapshot_index]:
        if entry.kind is EntryKind.CONFIGURATION:
            voters = entry.voters()
    term = log.term_at(index)
    assert term is not None
    return Snapshot(index, term, voters, state)


class IncomingSnapshot:
    """The chunks received so far of one snapshot, from its beginning and without gaps."""

    def __init__(self, message: InstallSnapshot) -> None:
        self._term = message.term
        self._index = message.index
        self._size = message.size
        self._state = bytearray()

    def includes(self, message: InstallSnapshot) -> bool:
        """Whether a message carries a chunk of this snapshot, sent in the same term."""
        return (message.term, message.index, message.size) == (self._term, self._index, self._size)

    def add(self, message: InstallSnapshot) -> None:
        """Add the next chunk; any other chunk is dropped, and the leader will send it again."""
        if message.offset == len(self._state):
            self._state += message.data

    @property
    def received_bytes(self) -> int:
        """The number of bytes received."""
        return len(self._state)

    @property
    def complete(self) -> bool:
        """Whether all bytes have been received."""
        return len(self._state) >= self._size

    def snapshot(self, message: InstallSnapshot) -> Snapshot:
        """Return the complete snapshot. message: the one that carried the last chunk."""
        return Snapshot(message.index, message.snapshot_term, message.voters, bytes(self._state))
