"""Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) as a pure state machine.

Time, messages and word of what reached the disk go in; messages, writes and events come out by `take`. With it:
pre-vote (9.6) so that one who was cut off disturbs nobody, check-quorum (6.2) so that a leader cut off steps down,
reads confirmed by a round of heartbeats (6.4, no clock is trusted), transfer of leadership (3.10), one voter changed at
a time (4.2.1, with the erratum: only once an entry of the leader's own term is committed), newcomers fed before they
vote (4.2.1), snapshots in pieces (5).

What promises something on disk is held back until the disk has it: a vote given, entries acknowledged, one's own vote
and one's own share of a majority. Times are seconds on any clock that does not go backwards.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from badgerbend.consensus.durability import Durability
from badgerbend.consensus.events import BecameFollower, BecameLeader, EntryApplied, Event, ReadConfirmed
from badgerbend.consensus.log import PersistentState
from badgerbend.consensus.messages import (
    MAX_COMMAND_BYTES,
    MAX_VOTERS,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
    InstallSnapshotReply,
    Message,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
    encode_voters,
)
from badgerbend.consensus.pending import OwnVote, PendingRead, Transfer
from badgerbend.consensus.quorum import is_majority, majority_index
from badgerbend.consensus.ready import Ready
from badgerbend.consensus.replication import Leadership, Progress, outstanding, snapshot_piece
from badgerbend.consensus.snapshots import IncomingSnapshot, compacted
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

JOINED_WITHIN = 8  # a newcomer so many entries behind has caught up


class Raft:
    """One voter, or one that waits to become one. `kept` is what its disk holds; it is the machine's to load."""

    def __init__(
        self, name: str, kept: PersistentState, machine: StateMachine, tuning: RaftConfig, seed: int, now: float
    ) -> None:
        self.name, self.state_machine, self.config, self.rng = name, machine, tuning, random.Random(seed)
        self.term, self.voted_for, self.log = kept.term, kept.voted_for, kept.log
        if self.log.snapshot_index:
            machine.load(self.log.snapshot.state)
        self.commit_index = self.last_applied = self.log.snapshot_index
        self.voters, self.voters_index = self.log.configuration()
        self.role, self.leader = Role.FOLLOWER, ""
        self.heard_at = -math.inf  # a leader
        self.votes = set[str]()
        self.progress: dict[str, Progress] = {}
        self.joining = ""
        self.transferring: Transfer | None = None
        self.heartbeat_round, self.heartbeat_at = 0, math.inf
        self.reads: list[PendingRead] = []
        self.events: list[Event] = []
        self.disk = Durability(self.log.last_index)
        self._own_vote: OwnVote | None = None
        self._incoming: IncomingSnapshot | None = None
        self._told_lead = 0
        self.deadline = self._new_deadline(now)

    # -- the caller's side
    def step(self, now: float, message: Message) -> None:
        if message.source == self.name:
            return
        if isinstance(message, RequestVote):
            self._asked(now, message)
            return
        granted_ahead = isinstance(message, RequestVoteReply) and message.pre_vote and message.granted
        if message.term > self.term and not granted_ahead:
            self._follow(now, message.term, "")
        if message.term < self.term:
            if isinstance(message, AppendEntries | InstallSnapshot):  # a leader of the past learns that it is one
                self._send(
                    message.source,
                    AppendEntriesReply(self.term, self.name, False, self.log.last_index, 0),
                    self.disk.seq,
                )
            return
        match message:
            case RequestVoteReply():
                self._counted(now, message)
            case AppendEntries():
                self._fed(now, message)
            case AppendEntriesReply():
                self._acknowledged(now, message)
            case InstallSnapshot():
                self._installing(now, message)
            case InstallSnapshotReply():
                self._installed(now, message)
            case TimeoutNow():
                if self.role is Role.FOLLOWER and message.source == self.leader and self.name in self.voters:
                    self._stand(now, leadership_transfer=True)

    def tick(self, now: float) -> None:
        """What is due by now."""
        if self.role is not Role.LEADER:
            if now >= self.deadline:
                self.deadline = self._new_deadline(now)
                if self.name in self.voters:
                    self._ask_first(now)
            return
        fresh = [n for n in self.voters if n == self.name or now - self.progress[n].last_contact_at < self._patience()]
        if not is_majority(fresh, self.voters):
            self._follow(now, self.term, "")
            return
        if self.transferring is not None and now >= self.transferring.until:
            self.transferring = None
        if now >= self.heartbeat_at:
            self._broadcast_heartbeat(now)

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return self.heartbeat_at if self.role is Role.LEADER else self.deadline

    def propose(self, now: float, data: bytes) -> int | None:
        """A command for the log: its index, or None where this voter does not lead or hands over. It stands once
        `Applied` tells of an entry with that index and this term; another in its place says that it was lost."""
        if self.role is not Role.LEADER or self.transferring is not None or len(data) > MAX_COMMAND_BYTES:
            return None
        return self._add(now, EntryKind.COMMAND, data)

    def read_index(self, now: float, token: int) -> bool:
        """Asks for `Confirmed(token)`; False where this voter does not lead. No word comes if it is deposed."""
        if not self.is_established_leader:
            return False
        self.reads.append(PendingRead(self.heartbeat_round + 1, token))
        self.heartbeat_at = min(
            self.heartbeat_at, now + self.config.heartbeat_interval_s / 20
        )  # those that come together share a round
        return True

    def change_membership(self, now: float, name: str, votes: bool) -> str | None:
        """Lets another vote, or no longer; what stands against it, or None. One who joins is fed first."""
        refusal = self._change_refused(name, votes)
        if refusal is not None:
            return refusal
        if votes:
            self.joining = name
            self.progress.setdefault(name, Progress(self.log.last_index + 1, now))
            self._broadcast_heartbeat(now)
        else:
            self._add(
                now, EntryKind.CONFIGURATION, encode_voters(tuple(voter for voter in self.voters if voter != name))
            )
        return None

    def _change_refused(self, name: str, votes: bool) -> str | None:
        if not self.is_established_leader:
            return "not the leader"
        if self.voters_index > self.commit_index or self.joining not in ("", name):
            return "another change is under way"
        if votes == (name in self.voters):
            return "nothing to change"
        if votes and len(self.voters) >= MAX_VOTERS:
            return f"there are {MAX_VOTERS} voters already"
        if not votes and len(self.voters) == 1:
            return "the last voter stays"
        return None

    def transfer_leadership(self, now: float, to: str = "") -> bool:
        """Hands leadership over, to the one that has most where none is named; proposals wait meanwhile."""
        others = [voter for voter in self.voters if voter != self.name]
        if self.role is not Role.LEADER or not others or (to and to not in others):
            return False
        to = to or max(
            others, key=lambda other: (self.progress[other].match_index, self.progress[other].last_contact_at)
        )
        self.transferring = Transfer(to, now + self.config.election_timeout_s)
        self._cede_if_level(now)
        return True

    def persisted(self, now: float, seq: int) -> None:
        """All writes up to this one are on disk, for good."""
        self.disk.persisted(seq)
        if self._own_vote is not None and self._own_vote.write <= self.disk.synced:
            term = self._own_vote.term
            self._own_vote = None
            if self.role is Role.CANDIDATE and self.term == term:
                self._vote_for_me(now, self.name)
        if self.role is Role.LEADER:
            self._advance(now)

    def take_ready(self) -> Ready:
        """Return what has to be done since the last call.

        The messages do not have to wait for these records: those that must are held back until `persisted`.
        """
        records, messages = self.disk.take()
        return Ready(records, messages, self.take_events())

    def take_events(self) -> list[Event]:
        """Return the events since they were last taken, in their order."""
        events = self.events
        self.events = []
        return events

    @property
    def is_established_leader(self) -> bool:
        """Whether it leads and has an entry of its own term committed."""
        return self.role is Role.LEADER and self.log.term_at(self.commit_index) == self.term

    # -- elections
    def _new_deadline(self, now: float) -> float:
        return now + self.config.election_timeout_s * self.rng.uniform(1.0, 2.0)

    def _patience(self) -> float:
        return 2.0 * self.config.election_timeout_s

    def _ask_first(self, now: float) -> None:
        self.role, self.leader, self.votes = Role.PRE_CANDIDATE, "", set()
        self._ask(pre_vote=True, leadership_transfer=False)
        self._vote_for_me(now, self.name)

    def _stand(self, now: float, leadership_transfer: bool = False) -> None:
        self.role, self.leader, self.votes = Role.CANDIDATE, "", set()
        self.term, self.voted_for = self.term + 1, self.name
        self._own_vote = OwnVote(self.disk.write(HardState(self.term, self.name)), self.term)
        self.deadline = self._new_deadline(now)
        self._ask(pre_vote=False, leadership_transfer=leadership_transfer)

    def _ask(self, pre_vote: bool, leadership_transfer: bool) -> None:
        log, term = self.log, self.term + pre_vote
        for name in self.voters:
            if name != self.name:
                message = RequestVote(term, self.name, log.last_index, log.last_term, pre_vote, leadership_transfer)
                self._send(name, message, 0 if pre_vote else self.disk.seq)

    def _asked(self, now: float, request: RequestVote) -> None:
        """One who heard a leader lately gives nobody a thought: who was cut off or removed disturbs no one."""
        if request.term < self.term:
            self._send(request.source, RequestVoteReply(self.term, self.name, request.pre_vote, False), self.disk.seq)
            return
        if not request.leadership_transfer and (
            self.role is Role.LEADER or now - self.heard_at < self.config.election_timeout_s
        ):
            return
        up_to_date = (request.last_term, request.last_index) >= (self.log.last_term, self.log.last_index)
        if request.pre_vote:
            self._answer_pre_vote(request, up_to_date)
        else:
            self._answer_vote(now, request, up_to_date)

    def _answer_pre_vote(self, request: RequestVote, up_to_date: bool) -> None:
        granted = up_to_date and request.term > self.term
        term = request.term if granted else self.term
        self._send(request.source, RequestVoteReply(term, self.name, True, granted), self.disk.seq)

    def _answer_vote(self, now: float, request: RequestVote, up_to_date: bool) -> None:
        if request.term > self.term:
            self._follow(now, request.term, "")
        granted = up_to_date and self.voted_for in ("", request.source)
        if granted and not self.voted_for:
            self.voted_for = request.source
            self.disk.write(HardState(self.term, request.source))
        if granted:
            self.deadline = self._new_deadline(now)
        self._send(request.source, RequestVoteReply(self.term, self.name, False, granted), self._promised())

    def _promised(self) -> int:
        """The write that must be on disk before a promise is made on what was decided so far."""
        return self.disk.seq

    def _counted(self, now: float, answer: RequestVoteReply) -> None:
        asked = Role.PRE_CANDIDATE if answer.pre_vote else Role.CANDIDATE
        if answer.granted and self.role is asked and answer.term == self.term + answer.pre_vote:
            self._vote_for_me(now, answer.source)

    def _vote_for_me(self, now: float, name: str) -> None:
        self.votes.add(name)
        if is_majority(self.votes, self.voters):
            if self.role is Role.PRE_CANDIDATE:
                self._stand(now)
            else:
                self._lead(now)

    def _lead(self, now: float) -> None:
        self.role, self.leader, self.transferring, self.joining = Role.LEADER, self.name, None, ""
        following = self.log.last_index + 1
        self.progress = {n: Progress(following, now) for n in self.voters if n != self.name}
        self.heartbeat_round, self.reads = 0, []
        self._add(now, EntryKind.NOOP, b"")
        self._broadcast_heartbeat(now)

    def _follow(self, now: float, term: int, leader: str) -> None:
        """Follows in this term, which is its own or a later one."""
        if term > self.term:
            self.term, self.voted_for = term, ""
            self.disk.write(HardState(term, ""))
        led = self.role is Role.LEADER
        if led or leader != self.leader:
            self.events.append(BecameFollower(term, leader))
        self.role, self.leader, self.transferring, self.joining = Role.FOLLOWER, leader, None, ""
        self.reads, self.progress, self.heartbeat_at = [], {}, math.inf
        self.deadline = self._new_deadline(now)

    # -- the leader's log
    def _add(self, now: float, kind: EntryKind, data: bytes) -> int:
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self._append((entry,))
        for name in list(self.progress):
            self._feed(name)
        self._advance(now)
        return entry.index

    def _broadcast_heartbeat(self, now: float) -> None:
        self.heartbeat_round += 1
        self.heartbeat_at = now + self.config.heartbeat_interval_s
        for name, progress in self.progress.items():
            progress.in_flight = 0
            self._feed(name, heartbeat=True)
        self._confirm()

    def _leadership(self) -> Leadership:
        return Leadership(self.term, self.name, self.commit_index, self.heartbeat_round)

    def _feed(self, name: str, heartbeat: bool = False) -> None:
        for message in outstanding(self._leadership(), self.log, self.progress[name], heartbeat):
            self._send(name, message, 0)

    def _acknowledged(self, now: float, answer: AppendEntriesReply) -> None:
        progress = self._heard(now, answer)
        if progress is None:
            return
        if not answer.success:
            progress.rejected(answer.index)
            self._feed(answer.source, heartbeat=True)
        elif answer.index > progress.match_index:
            progress.matched(answer.index)
            self._advance(now)
        self._go_on(now, answer.source)

    def _installed(self, now: float, answer: InstallSnapshotReply) -> None:
        progress = self._heard(now, answer)
        if progress is None:
            return
        if answer.installed:
            progress.installed(answer.index)
        else:
            progress.offset = answer.offset if answer.index == self.log.snapshot_index else 0
            if progress.next_index <= self.log.snapshot_index:
                progress.in_flight += 1
                piece = snapshot_piece(self._leadership(), self.log.snapshot, progress.offset)
                self._send(answer.source, piece, 0)
                return
        self._go_on(now, answer.source)

    def _heard(self, now: float, answer: AppendEntriesReply | InstallSnapshotReply) -> Progress | None:
        """Notes a follower's answer; None where this voter does not lead or the other is no follower of it."""
        progress = self.progress.get(answer.source) if self.role is Role.LEADER else None
        if progress is not None:
            progress.answered(now, answer.heartbeat_round)
            self._confirm()
        return progress

    def _go_on(self, now: float, name: str) -> None:
        if self.role is not Role.LEADER or name not in self.progress:
            return
        self._feed(name)
        if name == self.joining and self.progress[name].match_index + JOINED_WITHIN >= self.log.last_index:
            self.joining = ""
            self._add(now, EntryKind.CONFIGURATION, encode_voters((*self.voters, name)))
        self._cede_if_level(now)

    def _cede_if_level(self, now: float) -> None:
        """Tells the one that takes over to stand, once it holds the whole log."""
        if self.transferring is None:
            return
        to = self.transferring.to
        if self.progress[to].match_index == self.log.last_index:
            self._send(to, TimeoutNow(self.term, self.name), 0)

    def _confirm(self) -> None:
        """Confirms reads whose round of heartbeats a majority has answered."""
        while self.reads:
            read = self.reads[0]
            answered = [
                n for n in self.voters if n == self.name or self.progress[n].heartbeat_round >= read.heartbeat_round
            ]
            if read.heartbeat_round > self.heartbeat_round or not is_majority(answered, self.voters):
                return
            self.reads.pop(0)
            self.events.append(ReadConfirmed(read.token))

    def _advance(self, now: float) -> None:
        """Commits what most voters have on disk, once that reaches an entry of this term (3.6.2: an earlier term's
        is never committed by counting)."""
        index = majority_index(
            self.disk.durable if n == self.name else self.progress[n].match_index for n in self.voters
        )
        if index > self.commit_index and self._countable(index):
            self.commit_index = index
            self._apply(now)

    def _countable(self, index: int) -> bool:
        return self.log.term_at(index) == self.term

    # -- the follower's log
    def _fed(self, now: float, message: AppendEntries) -> None:
        self._leader_is(now, message.source)
        base = self.log.snapshot_index
        if message.prev_index >= base and self.log.term_at(message.prev_index) != message.prev_term:
            hint = self.log.last_possible_match(message.prev_index, message.prev_term, self.commit_index)
            self._send(
                message.source,
                AppendEntriesReply(self.term, self.name, False, hint, message.heartbeat_round),
                self._promised(),
            )
            return
        entries = [e for e in message.entries if e.index > base]  # what is compacted was committed, and so the same
        missing = self.log.missing(entries)
        if missing:
            self._append(missing)
        matched = entries[-1].index if entries else max(message.prev_index, base)
        if min(message.commit_index, matched) > self.commit_index:
            self.commit_index = min(message.commit_index, matched)
            self._apply(now)
        self._send(
            message.source,
            AppendEntriesReply(self.term, self.name, True, matched, message.heartbeat_round),
            self._promised(),
        )

    def _leader_is(self, now: float, name: str) -> None:
        if self.role is not Role.FOLLOWER or self.leader != name:
            self._follow(now, self.term, name)
        self.heard_at, self.deadline = now, self._new_deadline(now)

    def _installing(self, now: float, message: InstallSnapshot) -> None:
        self._leader_is(now, message.source)
        if message.index <= self.commit_index:
            self._incoming = None
            self._acknowledge_snapshot(message)
            return
        if self._incoming is None or not self._incoming.includes(message):
            self._incoming = IncomingSnapshot(message)
        incoming = self._incoming
        incoming.add(message)
        if not incoming.whole:
            so_far = InstallSnapshotReply(
                self.term, self.name, message.index, incoming.received, False, message.heartbeat_round
            )
            self._send(message.source, so_far, 0)
            return
        self._incoming = None
        snapshot = incoming.snapshot(message)
        self._keep(snapshot)
        self.state_machine.load(snapshot.state)
        self.commit_index = self.last_applied = snapshot.index
        self._acknowledge_snapshot(message)

    def _acknowledge_snapshot(self, message: InstallSnapshot) -> None:
        kept = InstallSnapshotReply(self.term, self.name, message.index, 0, True, message.heartbeat_round)
        self._send(message.source, kept, self._promised())

    def _apply(self, now: float) -> None:
        while self.last_applied < self.commit_index:
            entry = self.log.entry(self.last_applied + 1)
            self.last_applied = entry.index
            if entry.kind is EntryKind.COMMAND:
                self.state_machine.apply(entry.index, entry.data)
            self.events.append(EntryApplied(entry))
        if self.is_established_leader and self._told_lead != self.term:
            self._told_lead = self.term
            self.events.append(BecameLeader(self.term))
        if self.last_applied - self.log.snapshot_index >= self.config.compact_after_entries:
            self._keep(compacted(self.log, self.last_applied, self.state_machine.dump()))
        if self.role is Role.LEADER and self.name not in self.voters and self.voters_index <= self.commit_index:
            self._broadcast_heartbeat(now)  # the others learn that it stands
            self._follow(now, self.term, "")

    # -- what is kept
    def _append(self, entries: Sequence[Entry]) -> None:
        self.log.append(entries)
        self.disk.write_entries(entries)
        self._read_voters(entries[0].index)

    def _keep(self, snapshot: Snapshot) -> None:
        self.log.take(snapshot)
        self.disk.write_snapshot(snapshot, self.log.last_index)
        self._read_voters(0)

    def _read_voters(self, changed_from: int) -> None:
        """Who votes, by the log as it is now; only a word on it, or the loss of one, changes that."""
        if changed_from > self.voters_index and not any(
            e.kind is EntryKind.CONFIGURATION for e in self.log.after(max(changed_from - 1, self.log.snapshot_index))
        ):
            return
        self.voters, self.voters_index = self.log.configuration()
        if self.role is Role.LEADER:
            following = self.log.last_index + 1
            kept = [n for n in dict.fromkeys((*self.voters, self.joining)) if n not in ("", self.name)]
            self.progress = {n: self.progress.get(n) or Progress(following, self.heard_at) for n in kept}

    def _send(self, to: str, message: Message, after: int) -> None:
        """after: the write that must be on disk first; 0 for none."""
        self.disk.send(to, message, after)
