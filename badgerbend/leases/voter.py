"""One voter: consensus on the log, the lease table that the log drives, and the lease manager while the voter leads.

The input is the time, messages of voters and brokers, and notifications of persisted records. The output is records to
persist and messages to send. `badgerbend.leases.manager` explains why renewals are safe without the log.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, assert_never

from badgerbend.consensus.events import BecameFollower, BecameLeader, EntryApplied, Event, ReadConfirmed
from badgerbend.consensus.messages import AppendEntries
from badgerbend.consensus.messages import Message as ConsensusMessage
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.raft import Raft
from badgerbend.consensus.types import RaftConfig, Role, StateMachine
from badgerbend.leases.manager import LeaseManager
from badgerbend.leases.messages import Command, LeaseReply, LeaseRequest, LeaseReturn, LeaseState, encode
from badgerbend.leases.table import LeaseTable
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter_output import LogLine, OutboundReply, VoterOutput

LEASE_CHECK_INTERVAL_S = 0.05  # how often a leader looks for expired leases: short compared with a lease
MAX_PENDING_RENEWALS = 4096  # requests waiting for a round of heartbeats; brokers repeat those that are dropped


class LeaseStateMachine(StateMachine, Protocol):
    """A state machine of the log that contains the lease table and possibly more state."""

    @property
    def table(self) -> LeaseTable:
        """The lease table, to which the state machine applies the commands about leases."""


@dataclass(frozen=True, slots=True)
class PendingRenewal:
    """A request that will be answered when a round of heartbeats has confirmed that this voter leads."""

    received_at: float
    request: LeaseRequest


@dataclass(frozen=True, slots=True)
class PendingConfirmation:
    """A call of `Voter.confirm` that still waits for its round of heartbeats. token: of `Raft.read_index`."""

    token: int
    requested_at: float


class Voter:
    """One voter. Call `drain_output` after each other call. Times are in seconds of a monotonic clock.

    persistent_state: as read from disk. state_machine: to which the log is applied; by default only a lease table.
    """

    raft_class: type[Raft] = Raft
    manager_class: type[LeaseManager] = LeaseManager

    def __init__(
        self,
        name: str,
        persistent_state: PersistentState,
        raft_config: RaftConfig,
        timing: LeaseTiming,
        seed: int,
        now: float,
        state_machine: LeaseStateMachine | None = None,
    ) -> None:
        self.name = name
        self.table = LeaseTable() if state_machine is None else state_machine.table
        machine = self.table if state_machine is None else state_machine
        self.raft = self.raft_class(name, persistent_state, machine, raft_config, seed, now)
        self.manager = self.manager_class(self.table, timing, seed + 1)
        self.renewals = 0  # requests answered with a renewal since this voter started
        self.confirmed_at = -math.inf
        """The latest time at which the state machine is known to have contained all committed entries.

        On a leader it is exact: the time of a call of `confirm` that a round of heartbeats has confirmed. A follower
        uses the time at which it received a message of its leader, provided that it has applied all that the leader
        had committed and that this includes an entry of the leader's own term. A leader that is cut off from the
        majority keeps sending until check-quorum makes it step down, so that a follower's time may be too late: by at
        most 2 * election_timeout_s, plus the time for which the majority's last replies and the leader's message were
        in flight or waited in a stalled process. The voter cannot observe the latter.
        """
        self._replies: list[OutboundReply] = []
        self._log_lines: list[LogLine] = []
        self._pending_renewals: dict[int, PendingRenewal] = {}  # by token of `Raft.read_index`
        self._pending_confirmation: PendingConfirmation | None = None
        self._last_token = 0
        self._next_lease_check_at = now

    # -- input

    def receive_from_voter(self, now: float, message: ConsensusMessage) -> None:
        """Handles a message of another voter."""
        self.raft.step(now, message)
        if isinstance(message, AppendEntries):
            self._confirm_by_leader(now, message)
        self._handle_events(now)

    def receive_from_broker(self, now: float, message: LeaseRequest | LeaseReturn) -> None:
        """Handles a message of a broker. A voter that does not lead replies with the leader's name."""
        if not self.is_leader:
            self._reply(message)
        else:
            match message:
                case LeaseReturn():
                    self._propose_all(now, self.manager.receive_return(message))
                    self._reply(message)
                case LeaseRequest():
                    self._receive_request(now, message)
                case _:
                    assert_never(message)
        self._handle_events(now)

    def persisted(self, now: float, sequence: int) -> None:
        """Records that all records up to this sequence number are on disk and will survive a crash."""
        self.raft.persisted(now, sequence)
        self._handle_events(now)

    def tick(self, now: float) -> None:
        """Runs the actions that are due."""
        self.raft.tick(now)
        if self.is_leader and now >= self._next_lease_check_at:
            self._next_lease_check_at = now + LEASE_CHECK_INTERVAL_S
            self._propose_all(now, self.manager.due_commands(now))
        self._handle_events(now)

    def propose_command(self, now: float, command: Command) -> int | None:
        """Proposes a command. Returns the index of its log entry, or None if this voter does not lead."""
        return self.propose(now, encode(command))

    def propose(self, now: float, data: bytes) -> int | None:
        """Proposes an encoded command. Returns the index of its log entry, or None if this voter does not lead."""
        index = self.raft.propose(now, data)
        self._handle_events(now)
        return index

    def confirm(self, now: float) -> None:
        """Starts a round of heartbeats that will advance `confirmed_at`. Does nothing if this voter does not lead."""
        if self._pending_confirmation is not None or not self.is_leader:
            return
        token = self._last_token + 1
        if self.raft.read_index(now, token):
            self._last_token = token
            self._pending_confirmation = PendingConfirmation(token, now)

    # -- output

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads and its table contains all entries that were committed before its election."""
        return self.manager.is_leading and self.raft.is_established_leader

    @property
    def next_at(self) -> float:
        """The time at which `tick` must be called next."""
        return min(self.raft.next_at, self._next_lease_check_at) if self.is_leader else self.raft.next_at

    def drain_output(self) -> VoterOutput:
        """Removes and returns what is to be persisted, sent and logged."""
        ready = self.raft.take_ready()
        output = VoterOutput(ready.records, ready.messages, self._replies, self._log_lines)
        self._replies = []
        self._log_lines = []
        return output

    # -- internals

    def _receive_request(self, now: float, request: LeaseRequest) -> None:
        renews = self.manager.receive_request(now, request)
        if not renews:
            self._reply(request, self.manager.current_leases(request))
        elif len(self._pending_renewals) < MAX_PENDING_RENEWALS:
            self._last_token += 1
            if self.raft.read_index(now, self._last_token):
                self._pending_renewals[self._last_token] = PendingRenewal(now, request)

    def _propose_all(self, now: float, commands: Sequence[Command]) -> None:
        for command in commands:
            if self.raft.propose(now, encode(command)) is None:
                self.manager.proposal_dropped(command)

    def _reply(self, message: LeaseRequest | LeaseReturn, states: Sequence[LeaseState] = ()) -> None:
        is_leader = self.is_leader
        leader = self.name if is_leader else self.raft.leader
        delay_s = 0.0
        if is_leader and isinstance(message, LeaseRequest):
            delay_s = self.manager.candidates.request_delay_s(message)
        reply = LeaseReply(self.name, message.seq, leader, is_leader, tuple(states), delay_s)
        self._replies.append(OutboundReply(message.source, reply))

    def _handle_events(self, now: float) -> None:
        """Handles the events of the log in order, including those that handling them leads to."""
        while events := self.raft.take_events():
            for event in events:
                self._handle_event(now, event)

    def _handle_event(self, now: float, event: Event) -> None:
        match event:
            case BecameLeader(term):
                self.manager.become_leader(now)
                self._next_lease_check_at = now
                self._log_lines.append(LogLine("leads", {"term": term}))
            case BecameFollower(term, leader):
                self.manager.step_down()
                self._pending_renewals = {}
                self._pending_confirmation = None
                self._log_lines.append(LogLine("follows", {"term": term, "leader": leader}))
            case ReadConfirmed(token):
                self._read_confirmed(token)
            case EntryApplied():
                self._entry_applied(now)
            case _:
                assert_never(event)

    def _confirm_by_leader(self, now: float, message: AppendEntries) -> None:
        """Advances `confirmed_at` on a message of the leader, if this voter has applied all committed entries.

        The message proves that only if the leader has committed an entry of its own term: before that, a leader may
        not know of all committed entries.
        """
        raft = self.raft
        is_from_leader = raft.role is Role.FOLLOWER and (raft.term, raft.leader) == (message.term, message.source)
        leader_knows_all = raft.log.term_at(message.commit_index) == message.term
        if is_from_leader and leader_knows_all and raft.last_applied >= message.commit_index:
            self.confirmed_at = max(self.confirmed_at, now)

    def _read_confirmed(self, token: int) -> None:
        confirmation = self._pending_confirmation
        if confirmation is not None and confirmation.token == token:
            self.confirmed_at = max(self.confirmed_at, confirmation.requested_at)
            self._pending_confirmation = None
            return
        renewal = self._pending_renewals.pop(token, None)
        if renewal is not None:
            self.renewals += 1
            self._reply(renewal.request, self.manager.renew(renewal.received_at, renewal.request))

    def _entry_applied(self, now: float) -> None:
        if not self.manager.is_leading:
            return
        for duty in self.manager.table_changed(now):
            self._announce_grant(duty)
        self._next_lease_check_at = now  # so that a duty that has become free is granted at once

    def _announce_grant(self, duty: str) -> None:
        """Notifies the new holder, and the candidates that would otherwise learn of the grant late."""
        lease = self.table.lease(duty)
        self._log_lines.append(LogLine("granted", {"duty": duty, "holder": lease.holder, "epoch": lease.epoch}))
        notification = LeaseReply(self.name, 0, self.name, True, (self.manager.lease_state(duty),))
        for broker in (lease.holder, *self.manager.candidates.infrequent(duty)):
            self._replies.append(OutboundReply(broker, notification))
