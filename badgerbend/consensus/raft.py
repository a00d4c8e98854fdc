"""Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) as a pure state machine.

Time, messages and reports of what reached the disk go in by `Raft.step`, `Raft.tick` and `Raft.persisted`; records to
persist, messages to send and events come out by `Raft.take_ready`. Times are seconds on any clock that does not go
backwards. `Raft` joins the parts, which are in modules of their own: elections with pre-vote, replication with
check-quorum, the follower's log, reads confirmed by a round of heartbeats, transfer of leadership, and changes of
membership by one voter at a time.

A message that promises something is held back until the disk has it: a vote, entries acknowledged. A candidate's vote
for itself and a leader's own share of a majority count only then, too.
"""

from __future__ import annotations

from typing import assert_never

from badgerbend.consensus.election import Election
from badgerbend.consensus.events import BecameFollower, BecameLeader, EntryApplied, Event, ReadConfirmed
from badgerbend.consensus.follower import Follower
from badgerbend.consensus.leadership import Leadership
from badgerbend.consensus.membership import MembershipRefusal
from badgerbend.consensus.messages import (
    MAX_COMMAND_BYTES,
    AppendEntries,
    AppendEntriesReply,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotReply,
    Message,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.progress import Progress
from badgerbend.consensus.ready import Ready
from badgerbend.consensus.replica import Replica
from badgerbend.consensus.replication import Replication
from badgerbend.consensus.types import RaftConfig, Role, StateMachine

# Events and types are part of this module's interface: who uses Raft needs them.
__all__ = [
    "BecameFollower",
    "BecameLeader",
    "EntryApplied",
    "Raft",
    "RaftConfig",
    "ReadConfirmed",
    "Ready",
    "Role",
    "StateMachine",
]


class Raft(Replica):
    """One voter, or a server that waits to become one.

    persistent_state: what its records add up to; it belongs to `Raft` from then on. state_machine: loaded from the
    snapshot, where there is one. seed: of the election timeouts. election_class, replication_class: parts that a
    subclass may replace.
    """

    election_class: type[Election] = Election
    replication_class: type[Replication] = Replication

    def __init__(
        self,
        name: str,
        persistent_state: PersistentState,
        state_machine: StateMachine,
        config: RaftConfig,
        seed: int,
        now: float,
    ) -> None:
        super().__init__(name, persistent_state, state_machine, config)
        self.election = self.election_class(self, seed, now)
        self.leadership = Leadership(self, self.replication_class(self))
        self.follower = Follower(self)

    @property
    def progress(self) -> dict[str, Progress]:
        """What a leader knows of each follower, by name; empty on any other voter."""
        return self.leadership.replication.progress

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return self.leadership.replication.heartbeat_at if self.is_leader else self.election.deadline

    def step(self, now: float, message: Message) -> None:
        """Handle a message of another voter."""
        if message.source == self.name:
            return
        if isinstance(message, RequestVote):
            self._handle_request_vote(now, message)
            return
        is_granted_pre_vote = isinstance(message, RequestVoteReply) and message.pre_vote and message.granted
        if message.term > self.term and not is_granted_pre_vote:
            self._become_follower(now, message.term, "")
        if message.term >= self.term:
            self._handle(now, message)
        elif isinstance(message, AppendEntries | InstallSnapshot):  # of an earlier term
            self._reject_former_leader(message.source)

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        if not self.is_leader:
            self.election.tick(now)
            return
        if self.leadership.replication.has_quorum(now):
            self.leadership.tick(now)
        else:
            self._become_follower(now, self.term, "")

    def propose(self, now: float, data: bytes) -> int | None:
        """Propose a command; return its index, or None where this voter does not lead or transfers leadership.

        The command is committed once `EntryApplied` has an entry with that index and the present term; any other entry
        with that index means that the command was lost.
        """
        if not self.is_leader or self.leadership.transfer.in_progress or len(data) > MAX_COMMAND_BYTES:
            return None
        index = self.leadership.append_entry(now, EntryKind.COMMAND, data)
        self._step_down_if_removed(now)
        return index

    def read_index(self, now: float, token: int) -> bool:
        """Ask for `ReadConfirmed(token)`; return False where this voter does not lead.

        No event comes if the leader is deposed before the read is confirmed.
        """
        if not self.is_established_leader:
            return False
        self.leadership.add_read(now, token)
        return True

    def change_membership(self, now: float, name: str, *, add: bool) -> MembershipRefusal | None:
        """Add a voter, once it has caught up, or remove one; return why that is refused, or None."""
        refusal = self.leadership.change_membership(now, name, add=add)
        self._step_down_if_removed(now)
        return refusal

    def transfer_leadership(self, now: float, to: str = "") -> bool:
        """Transfer leadership to a voter, or to the most advanced one; return False where that cannot be begun."""
        return self.is_leader and self.leadership.begin_transfer(now, to)

    def persisted(self, now: float, sequence: int) -> None:
        """Note that all records up to this number are on disk."""
        self.durability.persisted(sequence)
        if self.election.persisted(now):
            self._become_leader(now)
        if self.is_leader:
            self.leadership.advance_commit(now)
            self._step_down_if_removed(now)

    def take_ready(self) -> Ready:
        """Return what has to be done since the last call.

        The messages do not have to wait for these records: those that must are held back until `persisted`.
        """
        return Ready(self.durability.take_records(), self.durability.take_messages(), self.take_events())

    def take_events(self) -> list[Event]:
        """Return the events since they were last taken, in their order."""
        events = self.events
        self.events = []
        return events

    def _reject_former_leader(self, name: str) -> None:
        reply = AppendEntriesReply(
            term=self.term,
            source=self.name,
            success=False,
            index=self.log.last_index,
            heartbeat_round=0,
        )
        self.send_once_persisted(name, reply)

    def _handle_request_vote(self, now: float, request: RequestVote) -> None:
        if request.term < self.term:
            self.election.reject(request)
            return
        if self.election.disregards(now, request):
            return
        if request.term > self.term and not request.pre_vote:
            self._become_follower(now, request.term, "")
        self.election.answer(now, request)

    def _handle(
        self,
        now: float,
        message: RequestVoteReply
        | AppendEntries
        | AppendEntriesReply
        | InstallSnapshot
        | InstallSnapshotReply
        | TimeoutNow,
    ) -> None:
        """Handle a message of the current term."""
        match message:
            case RequestVoteReply():
                if self.election.handle_reply(now, message):
                    self._become_leader(now)
            case AppendEntries():
                self._accept_leader(now, message.source)
                self.follower.handle_append(message)
            case AppendEntriesReply():
                self.leadership.handle_append_reply(now, message)
                self._step_down_if_removed(now)
            case InstallSnapshot():
                self._accept_leader(now, message.source)
                self.follower.handle_snapshot(message)
            case InstallSnapshotReply():
                self.leadership.handle_snapshot_reply(now, message)
                self._step_down_if_removed(now)
            case TimeoutNow():
                follows_sender = self.role is Role.FOLLOWER and message.source == self.leader
                if follows_sender and self.name in self.voters:
                    self.election.campaign(now, leadership_transfer=True)
            case _:
                assert_never(message)

    def _accept_leader(self, now: float, leader: str) -> None:
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self._become_follower(now, self.term, leader)
        self.election.note_leader_contact(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self.leader = self.name
        self.leadership.start(now)

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        """Follow in this term, which is the current one or a later one. leader: empty while unknown."""
        if term > self.term:
            self.enter_term(term)
        if self.is_leader or leader != self.leader:
            self.events.append(BecameFollower(term, leader))
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leadership.stop()
        self.election.reset_deadline(now)

    def _step_down_if_removed(self, now: float) -> None:
        if self.leadership.is_over:
            self._become_follower(now, self.term, "")
