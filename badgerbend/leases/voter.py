"""One voter whole: agreement, the table of leases, and its manager while this one leads. Pure.

Time, messages of voters and brokers, and word of what reached the disk go in; what is to be written and sent comes out.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Protocol

from badgerbend.consensus import messages as voting
from badgerbend.consensus.log import PersistentState
from badgerbend.consensus.raft import (
    BecameFollower,
    BecameLeader,
    EntryApplied,
    Raft,
    RaftConfig,
    ReadConfirmed,
    Role,
    StateMachine,
)
from badgerbend.consensus.ready import OutboundMessage, SequencedRecord
from badgerbend.leases.manager import LeaseManager
from badgerbend.leases.messages import Command, LeaseReply, LeaseRequest, LeaseReturn, LeaseState, encode
from badgerbend.leases.table import LeaseTable
from badgerbend.leases.timing import LeaseTiming

DUE_S = 0.05  # how often a leader looks at leases: small beside any of them
MAX_PENDING_RENEWALS = 4096  # renewals that wait for their round


@dataclass(slots=True)
class VoterOutput:
    """What a voter wants done, in this order. writes: numbered, to be told to `saved` once on disk."""

    writes: list[SequencedRecord] = field(default_factory=list)
    to_voters: list[OutboundMessage] = field(default_factory=list)
    to_brokers: list[tuple[str, LeaseReply]] = field(default_factory=list)
    log_records: list[tuple[str, dict[str, object]]] = field(default_factory=list)  # for the log


class LeaseStateMachine(StateMachine, Protocol):
    """A machine of the agreed log that holds the table of leases beside state of its own."""

    @property
    def table(self) -> LeaseTable: ...


class Voter:
    """`kept`: what its disk holds. machine: what the log drives, a bare table of leases unless said otherwise."""

    raft_class: type[Raft] = Raft
    manager_class: type[LeaseManager] = LeaseManager

    def __init__(
        self,
        name: str,
        kept: PersistentState,
        tuning: RaftConfig,
        timing: LeaseTiming,
        seed: int,
        now: float,
        machine: LeaseStateMachine | None = None,
    ) -> None:
        self.name, self.timing = name, timing
        self.table = LeaseTable() if machine is None else machine.table
        self.raft = self.raft_class(name, kept, self.table if machine is None else machine, tuning, seed, now)
        self.manager = self.manager_class(self.table, timing, seed + 1)
        self._replies: list[tuple[str, LeaseReply]] = []
        self._log_records: list[tuple[str, dict[str, object]]] = []
        self.pending: dict[int, tuple[float, LeaseRequest]] = {}
        self.renewals = 0
        self.confirmed_at = -math.inf
        """The latest time at which the machine surely held all that was agreed on.

        A leader's own is exact: the time of a `confirm` that a round of heartbeats answered. A voter that follows
        counts the time at which it heard its leader, if it has applied all that the leader had committed and an entry
        of the leader's own term is among that. A leader cut off from the majority speaks on until check-quorum ends
        its lead, so that this time is too late by at most 2 * election_timeout_s, and beside that by as long as the
        majority's last answers and the leader's message were under way or waited in a process that stood still: the
        voter cannot see those.
        """
        self._confirming: tuple[int, float] | None = None  # the token of `confirm`, and when it was called
        self._token = 0
        self._due_at = now

    # -- what happens
    def receive_from_voter(self, now: float, message: voting.Message) -> None:
        self.raft.step(now, message)
        if isinstance(message, voting.AppendEntries):
            self._heard_leader(now, message)
        self._after(now)

    def receive_from_broker(self, now: float, message: LeaseRequest | LeaseReturn) -> None:
        if not self.is_leader:
            self._tell(message, ())
        elif isinstance(message, LeaseReturn):
            self._propose(now, self.manager.receive_return(message))
            self._tell(message, ())
        elif not self.manager.receive_request(now, message):
            self._tell(message, self.manager.current_leases(message))
        elif len(self.pending) < MAX_PENDING_RENEWALS:
            self._token += 1
            if self.raft.read_index(now, self._token):
                self.pending[self._token] = (now, message)
        self._after(now)

    def saved(self, now: float, seq: int) -> None:
        """All writes up to this one are on disk, for good."""
        self.raft.persisted(now, seq)
        self._after(now)

    def tick(self, now: float) -> None:
        self.raft.tick(now)
        if self.is_leader and now >= self._due_at:
            self._due_at = now + DUE_S
            self._propose(now, self.manager.due_commands(now))
        self._after(now)

    @property
    def next_at(self) -> float:
        return min(self.raft.next_at, self._due_at) if self.is_leader else self.raft.next_at

    @property
    def is_leader(self) -> bool:
        return self.manager.is_leading and self.raft.is_established_leader

    def propose_command(self, now: float, command: Command) -> int | None:
        """Proposes a command of the owner's; its index, or None where this voter does not lead."""
        return self.propose(now, encode(command))

    def propose(self, now: float, data: bytes) -> int | None:
        """Proposes a command of the owner's machine; its index, or None where this voter does not lead."""
        index = self.raft.propose(now, data)
        self._after(now)
        return index

    def confirm(self, now: float) -> None:
        """Asks for a round of heartbeats that moves `confirmed_at`; nothing happens where this voter does not lead."""
        if self._confirming is None and self.is_leader and self.raft.read_index(now, self._token + 1):
            self._token += 1
            self._confirming = (self._token, now)

    def drain_output(self) -> VoterOutput:
        ready = self.raft.take_ready()
        out = VoterOutput(ready.records, ready.messages, self._replies, self._log_records)
        self._replies, self._log_records = [], []
        return out

    # -- inside
    def _propose(self, now: float, commands: list[Command]) -> None:
        for command in commands:
            if self.raft.propose(now, encode(command)) is None:
                self.manager.proposal_dropped(command)

    def _after(self, now: float) -> None:
        """Events of the log, in their order, as often as one brings more."""
        while events := self.raft.take_events():
            for event in events:
                match event:
                    case BecameLeader(term):
                        self.manager.become_leader(now)
                        self._due_at = now
                        self._log_records.append(("leads", {"term": term}))
                    case BecameFollower(term, leader):
                        self.manager.step_down()
                        self.pending, self._confirming = {}, None
                        self._log_records.append(("follows", {"term": term, "leader": leader}))
                    case ReadConfirmed(token):
                        self._confirmed(token)
                    case EntryApplied():
                        self._applied(now)

    def _heard_leader(self, now: float, message: voting.AppendEntries) -> None:
        """A leader knows what was agreed on once it has committed an entry of its own term; not before."""
        raft = self.raft
        follows = raft.role is Role.FOLLOWER and (raft.term, raft.leader) == (message.term, message.source)
        leader_knows = raft.log.term_at(message.commit_index) == message.term
        if follows and leader_knows and raft.last_applied >= message.commit_index:
            self.confirmed_at = max(self.confirmed_at, now)

    def _confirmed(self, token: int) -> None:
        if self._confirming is not None and token == self._confirming[0]:
            self.confirmed_at = max(self.confirmed_at, self._confirming[1])
            self._confirming = None
            return
        received, want = self.pending.pop(token, (0.0, None))
        if want is not None:
            self.renewals += 1
            self._tell(want, tuple(self.manager.renew(received, want)))

    def _applied(self, now: float) -> None:
        if not self.manager.is_leading:
            return
        for duty in self.manager.table_changed(now):
            lease = self.table.lease(duty)
            self._log_records.append(("granted", {"duty": duty, "holder": lease.holder, "epoch": lease.epoch}))
            told = LeaseReply(self.name, 0, self.name, True, (self.manager.lease_state(duty),))
            self._replies += [(name, told) for name in (lease.holder, *self.manager.infrequent_candidates(duty))]
        self._due_at = now  # a duty that fell free is given on at once

    def _tell(self, to: LeaseRequest | LeaseReturn, lines: tuple[LeaseState, ...] | list[LeaseState]) -> None:
        leader = self.raft.leader if not self.is_leader else self.name
        wait_s = self.manager.request_delay_s(to) if self.is_leader and isinstance(to, LeaseRequest) else 0.0
        self._replies.append((to.source, LeaseReply(self.name, to.seq, leader, self.is_leader, tuple(lines), wait_s)))
