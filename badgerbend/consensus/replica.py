"""The state that the components of a Raft voter share: its term, vote, log and role, and the applied entries.

The components read this state and change it through the methods of `Replica`, which add whatever must survive a restart
to the records that the owner persists.
"""

from __future__ import annotations

from collections.abc import Sequence

from badgerbend.consensus.durability import Durability
from badgerbend.consensus.events import BecameLeader, EntryApplied, Event
from badgerbend.consensus.messages import Entry, EntryKind, HardState, Message, Snapshot
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.snapshots import take_snapshot
from badgerbend.consensus.types import RaftConfig, Role, StateMachine


class Replica:
    """One copy of the replicated log, and the voter's role in the current term.

    leader: the voter known to lead the term, or an empty string. configuration: the latest one in the log, which is in
    force even before it is committed. events: those that the owner has not taken yet.
    """

    def __init__(
        self, name: str, persistent_state: PersistentState, state_machine: StateMachine, config: RaftConfig
    ) -> None:
        self.name = name
        self.state_machine = state_machine
        self.config = config
        self.term = persistent_state.term
        self.voted_for = persistent_state.voted_for
        self.log = persistent_state.log
        if self.log.snapshot_index:
            state_machine.load(self.log.snapshot.state)
        self.commit_index = self.log.snapshot_index
        self.last_applied = self.log.snapshot_index
        self.configuration = self.log.configuration()
        self.role = Role.FOLLOWER
        self.leader = ""
        self.durability = Durability(self.log.last_index)
        self.events: list[Event] = []
        self._announced_term = 0

    @property
    def voters(self) -> tuple[str, ...]:
        """The names of all voters in the latest configuration."""
        return self.configuration.voters

    @property
    def other_voters(self) -> list[str]:
        """The names of all voters but this one."""
        return [voter for voter in self.voters if voter != self.name]

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads the current term."""
        return self.role is Role.LEADER

    @property
    def is_established_leader(self) -> bool:
        """Whether this voter leads and has committed an entry of its own term, so it knows all committed entries."""
        return self.is_leader and self.log.term_at(self.commit_index) == self.term

    def send(self, to: str, message: Message, after: int = 0) -> None:
        """Send a message once the record with the number `after` is persisted; 0 sends it immediately."""
        self.durability.send(to, message, after)

    def send_once_persisted(self, to: str, message: Message) -> None:
        """Send a message that makes a promise, once all records written so far are persisted."""
        self.send(to, message, self.durability.last_sequence)

    def enter_term(self, term: int) -> None:
        """Enter a later term, in which this voter has not voted yet."""
        self.term = term
        self.voted_for = ""
        self.durability.write(HardState(term, ""))

    def enter_next_term_as_candidate(self) -> int:
        """Enter the next term with a vote for itself; return the sequence number of that record."""
        self.term += 1
        self.voted_for = self.name
        return self.durability.write(HardState(self.term, self.name))

    def vote_for(self, candidate: str) -> None:
        """Vote for a candidate in the current term."""
        self.voted_for = candidate
        self.durability.write(HardState(self.term, candidate))

    def append(self, entries: Sequence[Entry]) -> None:
        """Append contiguous entries; they replace any entries from the index of the first one on."""
        self.log.append(entries)
        self.durability.write_entries(entries)
        replaces_configuration = entries[0].index <= self.configuration.entry_index
        if replaces_configuration or any(entry.kind is EntryKind.CONFIGURATION for entry in entries):
            self.configuration = self.log.configuration()

    def restore(self, snapshot: Snapshot) -> None:
        """Replace the state machine and the beginning of the log by a leader's snapshot."""
        self._install(snapshot)
        self.state_machine.load(snapshot.state)
        self.commit_index = snapshot.index
        self.last_applied = snapshot.index

    def commit(self, index: int) -> None:
        """Commit and apply all entries up to an index, and compact the log if it is due."""
        self.commit_index = index
        while self.last_applied < index:
            self._apply(self.log.entry(self.last_applied + 1))
        if self.is_established_leader and self._announced_term != self.term:
            self._announced_term = self.term
            self.events.append(BecameLeader(self.term))
        if self.last_applied - self.log.snapshot_index >= self.config.compact_after_entries:
            self._install(take_snapshot(self.log, self.last_applied, self.state_machine.dump()))

    def _apply(self, entry: Entry) -> None:
        self.last_applied = entry.index
        if entry.kind is EntryKind.COMMAND:
            self.state_machine.apply(entry.index, entry.data)
        self.events.append(EntryApplied(entry))

    def _install(self, snapshot: Snapshot) -> None:
        self.log.restore(snapshot)
        self.durability.write_snapshot(snapshot, self.log.last_index)
        self.configuration = self.log.configuration()
