"""What a voter's disk does not hold yet, and the messages that wait for it.

Writes are numbered in their order; the owner makes them durable and says up to which number they are.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from badgerbend.consensus.messages import Entry, LogEntries, Message, Record, Snapshot
from badgerbend.consensus.pending import HeldMessage, UnsyncedEntries
from badgerbend.consensus.ready import OutboundMessage, SequencedRecord


class Durability:
    """seq: the number of the last write. synced: of the last one on disk. durable: the last index on disk."""

    def __init__(self, last_index: int) -> None:
        self.seq = self.synced = 0
        self.durable = last_index
        self.writes: list[SequencedRecord] = []
        self.messages: list[OutboundMessage] = []
        self.unsynced: deque[UnsyncedEntries] = deque()
        self.held: deque[HeldMessage] = deque()

    def write(self, record: Record) -> int:
        """The write's number."""
        self.seq += 1
        self.writes.append(SequencedRecord(self.seq, record))
        return self.seq

    def write_entries(self, entries: Sequence[Entry]) -> None:
        """Entries in a row, in the place of all that stood from the first one's index on."""
        self._replaced_after(entries[0].index - 1)
        self.unsynced.append(UnsyncedEntries(self.write(LogEntries(tuple(entries))), entries[-1].index))

    def write_snapshot(self, snapshot: Snapshot, last_index: int) -> None:
        """A snapshot that replaces the log's beginning; last_index: of the log as it is then."""
        self._replaced_after(last_index)
        self.unsynced.append(UnsyncedEntries(self.write(snapshot), snapshot.index))

    def _replaced_after(self, index: int) -> None:
        """What stood beyond this index was replaced, so that no write made before makes it durable."""
        self.durable = min(self.durable, index)
        self.unsynced = deque(UnsyncedEntries(write, min(last, index)) for write, last in self.unsynced)

    def send(self, to: str, message: Message, after: int) -> None:
        """after: the write that must be on disk first; 0 for none."""
        if after > self.synced:
            self.held.append(HeldMessage(after, to, message))
        else:
            self.messages.append(OutboundMessage(to, message))

    def persisted(self, seq: int) -> None:
        """All writes up to this one are on disk."""
        self.synced = max(self.synced, seq)
        while self.unsynced and self.unsynced[0].write <= self.synced:
            self.durable = max(self.durable, self.unsynced.popleft().last_index)
        while self.held and self.held[0].write <= self.synced:
            held = self.held.popleft()
            self.messages.append(OutboundMessage(held.to, held.message))

    def take(self) -> tuple[list[SequencedRecord], list[OutboundMessage]]:
        """Writes in their order, and the messages that may be sent, since the last call."""
        taken = self.writes, self.messages
        self.writes, self.messages = [], []
        return taken
