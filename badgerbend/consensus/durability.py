"""Records that are not on disk yet, and the messages that wait for them.

Records are numbered in the order in which they are written. The owner of the voter persists them and reports the number
up to which they are on disk.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from badgerbend.consensus.messages import Entry, LogEntries, Message, Record, Snapshot
from badgerbend.consensus.ready import OutboundMessage, SequencedRecord


class UnpersistedEntries(NamedTuple):
    """Once the record with this number is on disk, so are all entries up to this index."""

    sequence: int
    last_index: int


class DeferredMessage(NamedTuple):
    """A message that may be sent once the record with this number is on disk."""

    sequence: int
    to: str
    message: Message


class Durability:
    """Tracks which records are on disk, and releases messages that wait for one.

    last_sequence: the number of the last record. persisted_sequence: the number of the last one on disk.
    persisted_index: the index of the last entry on disk. records, messages: those that the owner has not taken yet.
    """

    def __init__(self, last_index: int) -> None:
        self.last_sequence = 0
        self.persisted_sequence = 0
        self.persisted_index = last_index
        self.records: list[SequencedRecord] = []
        self.messages: list[OutboundMessage] = []
        self.unpersisted_entries: deque[UnpersistedEntries] = deque()
        self.deferred_messages: deque[DeferredMessage] = deque()

    def write(self, record: Record) -> int:
        """Add a record to be persisted; return its number."""
        self.last_sequence += 1
        self.records.append(SequencedRecord(self.last_sequence, record))
        return self.last_sequence

    def write_entries(self, entries: Sequence[Entry]) -> None:
        """Add contiguous entries, which replace all entries from the index of the first one on."""
        self._truncate(entries[0].index - 1)
        sequence = self.write(LogEntries(tuple(entries)))
        self.unpersisted_entries.append(UnpersistedEntries(sequence, entries[-1].index))

    def write_snapshot(self, snapshot: Snapshot, last_index: int) -> None:
        """Add a snapshot that replaces the beginning of the log.

        last_index: the index of the last log entry once the snapshot is in place.
        """
        self._truncate(last_index)
        sequence = self.write(snapshot)
        self.unpersisted_entries.append(UnpersistedEntries(sequence, snapshot.index))

    def send(self, to: str, message: Message, after: int) -> None:
        """Send a message once the record with the number `after` is on disk; 0 sends it immediately."""
        if after > self.persisted_sequence:
            self.deferred_messages.append(DeferredMessage(after, to, message))
        else:
            self.messages.append(OutboundMessage(to, message))

    def persisted(self, sequence: int) -> None:
        """Note that all records up to this number are on disk."""
        self.persisted_sequence = max(self.persisted_sequence, sequence)
        while self.unpersisted_entries and self.unpersisted_entries[0].sequence <= self.persisted_sequence:
            entries = self.unpersisted_entries.popleft()
            self.persisted_index = max(self.persisted_index, entries.last_index)
        while self.deferred_messages and self.deferred_messages[0].sequence <= self.persisted_sequence:
            deferred = self.deferred_messages.popleft()
            self.messages.append(OutboundMessage(deferred.to, deferred.message))

    def take_records(self) -> list[SequencedRecord]:
        """Return the records written since the last call, in order."""
        records = self.records
        self.records = []
        return records

    def take_messages(self) -> list[OutboundMessage]:
        """Return the messages that may be sent and have not been returned before."""
        messages = self.messages
        self.messages = []
        return messages

    def _truncate(self, last_index: int) -> None:
        """Note that the entries after this index were replaced, so earlier records do not make the new ones durable."""
        self.persisted_index = min(self.persisted_index, last_index)
        self.unpersisted_entries = deque(
            UnpersistedEntries(entries.sequence, min(entries.last_index, last_index))
            for entries in self.unpersisted_entries
        )
