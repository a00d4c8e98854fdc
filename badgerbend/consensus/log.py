"""A voter's log in memory: a snapshot, and the entries after it. Pure; what changes it is written by its owner."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from badgerbend.consensus.messages import Entry, EntryKind, HardState, LogEntries, Record, Snapshot

EMPTY = Snapshot(0, 0, (), b"")


class Configuration(NamedTuple):
    """The voters, and the index of the entry or snapshot that states them."""

    voters: tuple[str, ...]
    entry_index: int


class Log:
    """Indices count from 1; `base` is the snapshot's index, 0 where there is none."""

    def __init__(self, snapshot: Snapshot = EMPTY, entries: Iterable[Entry] = ()) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = list(entries)

    @property
    def snapshot_index(self) -> int:
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """None where it is not held: before the snapshot, or beyond the end."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if self.snapshot_index < index <= self.last_index:
            return self.entries[index - self.snapshot_index - 1].term
        return None

    def after(self, index: int) -> Sequence[Entry]:
        """Entries beyond an index that is held."""
        return self.entries[index - self.snapshot_index :]

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.snapshot_index - 1]

    def missing(self, entries: Sequence[Entry]) -> Sequence[Entry]:
        """Of entries in a row after the base, all from the first that this log does not hold with the same term."""
        for position, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                return entries[position:]
        return ()

    def last_possible_match(self, index: int, term: int, committed: int) -> int:
        """The last index at which a log may agree with this one, if it has `term` at `index`, where this one differs.

        A whole term that the other cannot hold there is passed over at once; what is committed agrees.
        """
        match = min(index - 1, self.last_index)
        while match > committed and (self.term_at(match) or 0) > term:
            match -= 1
        return match

    def append(self, entries: Sequence[Entry]) -> None:
        """In a row, from an index that is held or follows the last; what stood there is replaced."""
        del self.entries[entries[0].index - self.snapshot_index - 1 :]
        self.entries += entries

    def take(self, snapshot: Snapshot) -> None:
        """The snapshot takes the place of all up to its index, and of all else if the log does not fit on it."""
        fits = self.term_at(snapshot.index) == snapshot.term
        self.entries = list(self.after(snapshot.index)) if fits else []
        self.snapshot = snapshot

    def configuration(self) -> Configuration:
        """Return the latest configuration in the log, whether committed or not."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.CONFIGURATION:
                return Configuration(entry.voters(), entry.index)
        return Configuration(self.snapshot.voters, self.snapshot_index)


@dataclass(slots=True)
class PersistentState:
    """What a voter's disk says: the sum of its records."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)

    def replay(self, record: Record) -> None:
        """Raises ValueError for one that cannot follow what came before it."""
        match record:
            case HardState(term, voted_for):
                if term < self.term or (term == self.term and self.voted_for and voted_for != self.voted_for):
                    raise ValueError(f"a vote in term {term} after one in term {self.term}")
                self.term = term
                self.voted_for = voted_for
            case LogEntries(entries):
                if not self.log.snapshot_index < entries[0].index <= self.log.last_index + 1:
                    raise ValueError(f"entry {entries[0].index} after {self.log.last_index}")
                self.log.append(entries)
            case Snapshot():
                self.log.take(record)

    def records(self) -> list[Record]:
        """The fewest records that say the same. Added up, they are a copy."""
        out: list[Record] = [HardState(self.term, self.voted_for)]
        if self.log.snapshot != EMPTY:
            out.append(self.log.snapshot)
        if self.log.entries:
            out.append(LogEntries(tuple(self.log.entries)))
        return out
