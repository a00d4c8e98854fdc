"""A voter's log in memory: a snapshot and the entries after it.

Changing the log does not write it to disk: `durability` collects the records that the owner persists.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from badgerbend.consensus.messages import Entry, EntryKind, Snapshot

EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


class Configuration(NamedTuple):
    """The voters, and the index of the entry or snapshot that defines them."""

    voters: tuple[str, ...]
    entry_index: int


class Log:
    """Contiguous entries that follow the snapshot's index. Indices count from 1."""

    def __init__(self, snapshot: Snapshot = EMPTY_SNAPSHOT, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = list(entries)

    @property
    def snapshot_index(self) -> int:
        """The index of the last entry that the snapshot covers; 0 if there is no snapshot."""
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
        """Return the term of an entry; None if it is unknown: the snapshot covers it, or the log ends before it."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if self.snapshot_index < index <= self.last_index:
            return self.entry(index).term
        return None

    def entries_after(self, index: int) -> Sequence[Entry]:
        """Return the entries after an index, which must not be less than the snapshot's."""
        return self.entries[index - self.snapshot_index :]

    def entry(self, index: int) -> Entry:
        """Return the entry at an index, which must be greater than the snapshot's."""
        return self.entries[index - self.snapshot_index - 1]

    def skip_matching(self, entries: Sequence[Entry]) -> Sequence[Entry]:
        """Return the entries from the first one on that this log lacks or has with another term.

        entries: contiguous, and after the snapshot's index.
        """
        for position, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def last_possible_match(self, index: int, term: int, committed: int) -> int:
        """Return the last index at which a leader's log may agree with this one.

        The leader has an entry of `term` at `index`, and this log does not. Terms never decrease along a log, so the
        leader's log has no entry of a later term before `index`. Committed entries always agree.
        """
        match = min(index - 1, self.last_index)
        while match > committed and (self.term_at(match) or 0) > term:
            match -= 1
        return match

    def append(self, entries: Sequence[Entry]) -> None:
        """Append contiguous entries, which begin at most one after the last; they replace any entries from there on."""
        del self.entries[entries[0].index - self.snapshot_index - 1 :]
        self.entries += entries

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the log up to a snapshot's index, and all of it if its entry at that index does not match."""
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = list(self.entries_after(snapshot.index)) if matches else []
        self.snapshot = snapshot

    def configuration(self) -> Configuration:
        """Return the latest configuration in the log, whether committed or not."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.CONFIGURATION:
                return Configuration(entry.voters(), entry.index)
        return Configuration(self.snapshot.voters, self.snapshot_index)
