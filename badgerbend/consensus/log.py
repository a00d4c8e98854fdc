"""A voter's log in memory: a snapshot and the entries after it.

Changes made here do not reach the disk by themselves: `durability` numbers the records that the owner persists.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from badgerbend.consensus.messages import Entry, EntryKind, Snapshot

EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


class Configuration(NamedTuple):
    """The voters, and the index of the entry or snapshot that states them."""

    voters: tuple[str, ...]
    entry_index: int


class Log:
    """Entries in a row from the snapshot's index on. Indices count from 1."""

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = list(entries)

    @property
    def snapshot_index(self) -> int:
        """The index of the last entry within the snapshot; 0 where there is no snapshot."""
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        """The index of the last entry, or that of the snapshot."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or that of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Return an entry's term; None where it is not known: within the snapshot, or beyond the end."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if self.snapshot_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entries_after(self, index: int) -> Sequence[Entry]:
        """Return the entries beyond an index that is not before the snapshot's."""
        return self.entries[index - self.snapshot_index :]

    def entry(self, index: int) -> Entry:
        """Return the entry at an index that is after the snapshot's."""
        return self.entries[index - self.snapshot_index - 1]

    def from_first_missing(self, entries: Sequence[Entry]) -> Sequence[Entry]:
        """Return the entries from the first that this log lacks, or has of another term.

        entries: in a row, after the snapshot's index.
        """
        for position, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def last_possible_match(self, index: int, term: int, committed: int) -> int:
        """Return the last index at which a leader's log may agree with this one.

        The leader has an entry of `term` at `index`, where this log has none of that term. Entries here of a later term
        cannot be in the leader's log before that index; what is committed is.
        """
        match = min(index - 1, self.last_index)
        while match > committed and (self.term_at(match) or 0) > term:
            match -= 1
        return match

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries in a row that begin at most one beyond the last; what stood in their place is replaced."""
        del self.entries[entries[0].index - self.snapshot_index - 1 :]
        self.entries += entries

    def restore(self, snapshot: Snapshot) -> None:
        """Replace all up to a snapshot's index, and the rest too where this log does not match it."""
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = list(self.entries_after(snapshot.index)) if matches else []
        self.snapshot = snapshot

    def configuration(self) -> Configuration:
        """Return the latest configuration in the log, whether committed or not."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.CONFIGURATION:
                return Configuration(entry.voters(), entry.index)
        return Configuration(self.snapshot.voters, self.snapshot_index)
