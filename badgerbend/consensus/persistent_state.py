"""The state from which a voter starts, replayed from its records."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import assert_never

from badgerbend.consensus.log import EMPTY_SNAPSHOT, Log
from badgerbend.consensus.messages import HardState, LogEntries, Record, Snapshot


class InvalidRecordError(ValueError):
    """A record that cannot follow those before it. record: the decoded record."""

    def __init__(self, record: Record, problem: str) -> None:
        super().__init__(problem)
        self.record = record


@dataclass(slots=True)
class PersistentState:
    """A voter's term, vote and log after the records that were replayed."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)

    def replay(self, record: Record) -> None:
        """Apply the next record. Raises InvalidRecordError if it cannot follow those before it."""
        match record:
            case HardState():
                self._apply_hard_state(record)
            case LogEntries():
                self._append(record)
            case Snapshot():
                self.log.restore(record)
            case _:
                assert_never(record)

    def records(self) -> list[Record]:
        """Return the fewest records that replay to this state."""
        records: list[Record] = [HardState(self.term, self.voted_for)]
        if self.log.snapshot != EMPTY_SNAPSHOT:
            records.append(self.log.snapshot)
        if self.log.entries:
            records.append(LogEntries(tuple(self.log.entries)))
        return records

    def _apply_hard_state(self, record: HardState) -> None:
        changes_vote = record.term == self.term and self.voted_for != "" and record.voted_for != self.voted_for
        if record.term < self.term or changes_vote:
            raise InvalidRecordError(record, f"vote in term {record.term} after a vote in term {self.term}")
        self.term = record.term
        self.voted_for = record.voted_for

    def _append(self, record: LogEntries) -> None:
        first_index = record.entries[0].index
        if not self.log.snapshot_index < first_index <= self.log.last_index + 1:
            raise InvalidRecordError(record, f"entry {first_index} cannot follow entry {self.log.last_index}")
        self.log.append(record.entries)
