"""A model checker for three voters: searches every interleaving up to a depth, with the product's own `Raft`.

The search is breadth first and visits each state once. The actions are: a voter starts an election, its disk syncs, a
message is delivered, a leader proposes, and a voter crashes and restarts from the synced records. A message that is
never delivered counts as lost, and one that is delivered late as reordered. Time does not advance.
"""

from collections import deque
from copy import copy
from enum import Enum
from typing import NamedTuple

from badgerbend.consensus import messages
from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import Record
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.raft import Raft, RaftConfig, Role
from tests.simvoters import InvariantViolation

NAMES = ("a", "b", "c")
CONFIG = RaftConfig(election_timeout_s=0.0, heartbeat_interval_s=1.0, compact_after_entries=10**6)
NOW = 0.0
RAFT_COMPONENTS = ("election", "leadership", "follower")
LEADERSHIP_COMPONENTS = ("replication", "membership", "reads", "transfer")


class Kind(Enum):
    """What an action does. If the number of such actions is limited, the value is the key of the limit."""

    CAMPAIGN = "campaign"
    SYNC = "sync"
    PROPOSE = "propose"
    CRASH = "crash"
    DELIVER = "deliver"


class Packet(NamedTuple):
    """A message in flight. data: its encoding."""

    to: str
    data: bytes


class Action(NamedTuple):
    """A step from one state to the next. voter: the voter that takes it. packet: the one that is delivered, if any."""

    kind: Kind
    voter: str
    packet: Packet | None = None


class Disk(NamedTuple):
    """The records of a voter, and how many of them are synced."""

    records: tuple[Record, ...]
    synced: int


class FixedTimeouts:
    """Replaces the random number generator, whose numbers have no effect while time does not advance."""

    def uniform(self, low, high):
        return low


class EmptyStateMachine:
    """A state machine without state."""

    def apply(self, index, data): ...

    def dump(self):
        return b""

    def load(self, state): ...


def shallow_copy(original):
    """Return a copy of an object with the same attributes; `copy.copy` is slower."""
    new = object.__new__(type(original))
    new.__dict__ = dict(original.__dict__)
    return new


def copy_components(owner, names, replica):
    """Replace some components of an object by copies that belong to a copy of the replica."""
    for name in names:
        component = shallow_copy(getattr(owner, name))
        component.replica = replica
        setattr(owner, name, component)


def clone(raft):
    """Return a copy that shares no mutable state; a test in test_agreement checks that nothing was forgotten."""
    new = shallow_copy(raft)
    new.log = Log(raft.log.snapshot, raft.log.entries)
    new.events = []
    copy_components(new, RAFT_COMPONENTS, new)
    copy_components(new.leadership, LEADERSHIP_COMPONENTS, new)
    new.durability = shallow_copy(raft.durability)
    new.durability.unpersisted_entries = deque(raft.durability.unpersisted_entries)
    new.durability.deferred_messages = deque(raft.durability.deferred_messages)
    new.durability.records = []
    new.durability.messages = []
    new.election.votes = set(raft.election.votes)
    replication = new.leadership.replication
    replication.progress = {name: copy(progress) for name, progress in raft.progress.items()}
    new.leadership.reads.pending = deque(raft.leadership.reads.pending)
    return new


class State:
    """The voters, their disks and the network, and all terms led and entries committed so far.

    limits: how many more actions of a kind there may be, by the value of the kind.
    """

    def __init__(self, raft_class=Raft):
        self.raft_class = raft_class
        self.rafts = {}
        self.disks = {}
        self.network = ()
        self.leaders = {}
        self.committed = {}
        self.limits = {}
        for name in NAMES:
            self.disks[name] = Disk((messages.Snapshot(0, 0, NAMES, b""),), synced=1)
            self._start(name)

    def actions(self):
        """Yield every action that is possible in this state."""
        for name in NAMES:
            raft = self.rafts[name]
            if self.limits["campaign"] and raft.role is not Role.LEADER:
                yield Action(Kind.CAMPAIGN, name)
            if raft.durability.last_sequence > raft.durability.persisted_sequence:
                yield Action(Kind.SYNC, name)
            if self.limits["propose"] and raft.role is Role.LEADER:
                yield Action(Kind.PROPOSE, name)
            if self.limits["crash"]:
                yield Action(Kind.CRASH, name)
        for position, packet in enumerate(self.network):
            if position == 0 or packet != self.network[position - 1]:
                yield Action(Kind.DELIVER, packet.to, packet)

    def do(self, action):
        """Return the state after an action. Raises InvariantViolation if an invariant does not hold in it."""
        new = self._copy()
        name = action.voter
        if action.kind.value in new.limits:
            new.limits[action.kind.value] -= 1
        match action.kind:
            case Kind.CAMPAIGN:
                new._clone_voter(name).election.campaign(NOW)
            case Kind.SYNC:
                new._sync(name)
            case Kind.PROPOSE:
                new._clone_voter(name).propose(NOW, b"x%d" % new.limits["propose"])
            case Kind.CRASH:
                new._crash(name)
            case Kind.DELIVER:
                new._remove(action.packet)
                new._clone_voter(name).step(NOW, messages.decode(action.packet.data))
        new._collect(name)
        new._check(name)
        return new

    def key(self):
        """Return a key that is equal for equivalent states only."""
        voters = tuple(self._voter_key(name) for name in NAMES)
        return (voters, self.network, tuple(self.limits.items()), tuple(sorted(self.committed.items())))

    def _voter_key(self, name):
        raft = self.rafts[name]
        durability = raft.durability
        disk = self.disks[name]
        return (
            raft.term,
            raft.voted_for,
            raft.role,
            raft.leader,
            raft.commit_index,
            tuple((entry.term, entry.data) for entry in raft.log.entries),
            tuple(sorted(raft.election.votes)),
            tuple(
                (follower, progress.match_index, progress.next_index, progress.in_flight)
                for follower, progress in sorted(raft.progress.items())
            ),
            tuple((to, messages.encode(message)) for _, to, message in durability.deferred_messages),
            durability.last_sequence - durability.persisted_sequence,
            durability.persisted_index,
            len(disk.records) - disk.synced,
        )

    def _start(self, name):
        state = PersistentState(log=Log())
        for record in self.disks[name].records:
            state.replay(record)
        raft = self.raft_class(name, state, EmptyStateMachine(), CONFIG, 0, NOW)
        raft.election.rng = FixedTimeouts()
        self.rafts[name] = raft

    def _copy(self):
        new = object.__new__(State)
        new.raft_class = self.raft_class
        new.rafts = dict(self.rafts)
        new.disks = dict(self.disks)
        new.network = self.network
        new.leaders = dict(self.leaders)
        new.committed = dict(self.committed)
        new.limits = dict(self.limits)
        return new

    def _clone_voter(self, name):
        self.rafts[name] = clone(self.rafts[name])
        return self.rafts[name]

    def _sync(self, name):
        raft = self._clone_voter(name)
        records = self.disks[name].records
        self.disks[name] = Disk(records, synced=len(records))
        raft.persisted(NOW, raft.durability.last_sequence)

    def _crash(self, name):
        disk = self.disks[name]
        self.disks[name] = Disk(disk.records[: disk.synced], disk.synced)
        self._start(name)

    def _remove(self, packet):
        position = self.network.index(packet)
        self.network = self.network[:position] + self.network[position + 1 :]

    def _collect(self, name):
        ready = self.rafts[name].take_ready()
        disk = self.disks[name]
        self.disks[name] = Disk(disk.records + tuple(record for _, record in ready.records), disk.synced)
        sent = tuple(Packet(to, messages.encode(message)) for to, message in ready.messages)
        self.network = tuple(sorted(self.network + sent))

    def _check(self, name):
        """Check that no two voters lead the same term or commit different entries at the same index."""
        raft = self.rafts[name]
        if raft.role is Role.LEADER and self.leaders.setdefault(raft.term, name) != name:
            raise InvariantViolation(f"term {raft.term} is led by {self.leaders[raft.term]} and by {name}")
        for index in range(1, raft.commit_index + 1):
            entry = raft.log.entry(index)
            if self.committed.setdefault(index, (entry.term, entry.data)) != (entry.term, entry.data):
                raise InvariantViolation(f"{name} committed a different entry at index {index}")


def search(depth, raft_class=Raft, campaigns=2, proposals=0, crashes=1, max_states=10**9):
    """Return the number of distinct states up to a depth; the search ends early at `max_states`.

    campaigns, proposals, crashes: how many of these actions one path may contain. Raises InvariantViolation, which
    lists the actions that led to it.
    """
    first = State(raft_class)
    first.limits = {"campaign": campaigns, "propose": proposals, "crash": crashes}
    seen = {first.key()}
    level = [(first, ())]
    for _ in range(depth):
        next_level = []
        for state, path in level:
            for action in state.actions():
                new = do_or_explain(state, path, action)
                key = new.key()
                if key in seen:
                    continue
                seen.add(key)
                next_level.append((new, (*path, action)))
                if len(seen) >= max_states:
                    return len(seen)
        level = next_level
    return len(seen)


def do_or_explain(state, path, action):
    """Return the state after an action. Raises InvariantViolation, which lists the path to the state."""
    try:
        return state.do(action)
    except InvariantViolation as err:
        steps = ", ".join(f"{step.kind.value} {step.voter}" for step in (*path, action))
        raise InvariantViolation(f"{err}, by {steps}") from None
