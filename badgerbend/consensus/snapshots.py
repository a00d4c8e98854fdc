"""Snapshots in the place of a log's beginning: taken by compaction, or received from a leader in chunks."""

from __future__ import annotations

from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import EntryKind, InstallSnapshot, Snapshot


def compacted(log: Log, index: int, state: bytes) -> Snapshot:
    """Return a snapshot of all up to an index that the log holds.

    state: the state machine's after the entry at that index.
    """
    voters = log.snapshot.voters
    for entry in log.entries[: index - log.snapshot_index]:
        if entry.kind is EntryKind.CONFIGURATION:
            voters = entry.voters()
    term = log.term_at(index)
    assert term is not None
    return Snapshot(index, term, voters, state)


class IncomingSnapshot:
    """The chunks received of one snapshot, from its beginning without a gap."""

    def __init__(self, message: InstallSnapshot) -> None:
        self._term = message.term
        self._index = message.index
        self._size = message.size
        self._state = bytearray()

    def includes(self, message: InstallSnapshot) -> bool:
        """Whether a message carries a chunk of this snapshot, sent by the leader of the same term."""
        return (message.term, message.index, message.size) == (self._term, self._index, self._size)

    def add(self, message: InstallSnapshot) -> None:
        """Take the chunk that comes next; any other is dropped, and will be sent again."""
        if message.offset == len(self._state):
            self._state += message.data

    @property
    def received_bytes(self) -> int:
        """How many bytes were received."""
        return len(self._state)

    @property
    def complete(self) -> bool:
        """Whether all bytes were received."""
        return len(self._state) >= self._size

    def snapshot(self, message: InstallSnapshot) -> Snapshot:
        """Return the snapshot once it is complete. message: the one that carried its last chunk."""
        return Snapshot(message.index, message.snapshot_term, message.voters, bytes(self._state))
