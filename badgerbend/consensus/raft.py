"""Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) as a pure state machine.

The inputs are messages (`Raft.step`), time (`Raft.tick`) and reports of what is on disk (`Raft.persisted`). The
outputs are records to persist, messages to send and events, all returned by `Raft.take_ready`. Times are seconds on any
monotonic clock. `Raft` combines components that are modules of their own: elections with pre-vote, replication with
check-quorum, the follower's log, reads confirmed by a round of heartbeats, leadership transfer, and membership changes
by one voter at a time.

A message that makes a promise, such as a vote or an acknowledgement of entries, is held back until the records behind
it are on disk. A candidate's vote for itself and a leader's own entries also count only from then on.
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

# Events and types are part of this module's interface, because callers of Raft need them.
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

    persistent_state: the state replayed from its records; `Raft` owns it from then on. state_machine: loaded from the
    snapshot, if there is one. seed: for the random election timeouts. election_class, replication_class: components
    that a subclass may replace.
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
        """The replication progress of each follower by name; empty while this voter does not lead."""
        return self.leadership.replication.progress

    @property
    def next_at(self) -> float:
        """The time at which `tick` next has something to do."""
        return self.leadership.replication.heartbeat_at if self.is_leader else self.election.deadline

    def step(self, now: float, message: Message) -> None:
        """Handle a message from another voter."""
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
        """Run what is due at `now`."""
        if not self.is_leader:
            self.election.tick(now)
            return
        if self.leadership.replication.has_quorum(now):
            self.leadership.tick(now)
        else:
            self._become_follower(now, self.term, "")

    def propose(self, now: float, data: bytes) -> int | None:
        """Propose a command; return its index, or None if it is rejected.

        A command is rejected if this voter does not lead or is transferring leadership, or if the command is too long.
        It is committed once `EntryApplied` reports an entry with that index and the term of the proposal; any other
        entry with that index means that the command was lost.
        """
        if not self.is_leader or self.leadership.transfer.in_progress or len(data) > MAX_COMMAND_BYTES:
            return None
        index = self.leadership.append_entry(now, EntryKind.COMMAND, data)
        self._step_down_if_removed(now)
        return index

    def read_index(self, now: float, token: int) -> bool:
        """Request a `ReadConfirmed(token)` event; return False if this voter is not an established leader.

        The event is dropped if the leader is deposed before the read is confirmed.
        """
        if not self.is_established_leader:
            return False
        self.leadership.add_read(now, token)
        return True

    def change_membership(self, now: float, name: str, *, add: bool) -> MembershipRefusal | None:
        """Add a voter once it has caught up, or remove one; return why the change is refused, or None."""
        refusal = self.leadership.change_membership(now, name, add=add)
        self._step_down_if_removed(now)
        return refusal

    def transfer_leadership(self, now: float, to: str = "") -> bool:
        """Begin to transfer leadership to the named voter, or to the most up-to-date one if the name is empty.

        Returns False if no transfer can begin.
        """
        return self.is_leader and self.leadership.begin_transfer(now, to)

    def persisted(self, now: float, sequence: int) -> None:
        """Note that all records up to this sequence number are on disk."""
        self.durability.persisted(sequence)
        if self.election.persisted(now):
            self._become_leader(now)
        if self.is_leader:
            self.leadership.advance_commit(now)
            self._step_down_if_removed(now)

    def take_ready(self) -> Ready:
        """Return the work that has accumulated since the last call.

        The messages need not wait for these records: messages that must wait are held back until `persisted`.
        """
        return Ready(self.durability.take_records(), self.durability.take_messages(), self.take_events())

    def take_events(self) -> list[Event]:
        """Return the events since the last call, in order."""
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
        if self.election.ignores(now, request):
            return
        if request.term > self.term and not request.pre_vote:
            self._become_follower(now, request.term, "")
        self.election.handle_request(now, request)

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
        """Become a follower in this term, which is the current or a later one. leader: empty while unknown."""
        if term > self.term:
            self.enter_term(term)
        if self.is_leader or leader != self.leader:
            self.events.append(BecameFollower(term, leader))
        self.role = Role.FOLLOWER
        self.leader = leader
        self.leadership.stop()
        self.election.reset_deadline(now)

    def _step_down_if_removed(self, now: float) -> None:
        if self.leadership.must_step_down:
            self._become_follower(now, self.term, "")
