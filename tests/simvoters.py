"""Voters, brokers and receivers in simulated time, with bad networks, disks and clocks; and what must always hold.

The product's own `Voter`, `LeaseHolder` and `FencingGuard` run here; only sockets, disks and clocks are simulated. All
chance comes from the seed. What is broken is raised as `InvariantViolation`, at the moment it happens.
"""

import heapq
import random
from dataclasses import dataclass, replace
from itertools import count

from badgerbend.consensus import messages as consensus_messages
from badgerbend.consensus.log import Log
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.raft import RaftConfig, Role
from badgerbend.leases import messages as lease_messages
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import Voter


class InvariantViolation(AssertionError):
    """An invariant of the system under test does not hold."""


class Disk:
    """Records written, and how many of them are synced. A crash keeps those, and perhaps some more."""

    def __init__(self, voters):
        self.records = [consensus_messages.encode(consensus_messages.Snapshot(0, 0, voters, b""))]
        self.synced = 1

    def crash(self, rng):
        del self.records[rng.randint(self.synced, len(self.records)) :]
        self.synced = len(self.records)

    def persistent_state(self):
        state = PersistentState(log=Log())
        for data in self.records:
            state.replay(consensus_messages.decode_record(data))
        return state


@dataclass
class Chaos:
    """Chances and sizes. Times are seconds; clock_drift: clocks run off true time by up to so much."""

    loss: float = 0.05
    duplicates: float = 0.02
    delay: tuple = (0.001, 0.03)
    late: float = 0.02  # of messages: delayed by up to `late_s`
    late_s: float = 2.0
    sync: tuple = (0.0005, 0.02)
    slow_sync: float = 0.01  # of writes: their word takes up to a second
    clock_drift: float = 0.01
    fault_interval_s: float = 0.6  # between faults
    faults: tuple = (
        "crash",
        "crash",
        "cut",
        "cut",
        "cut one way",
        "stall",
        "stall",
        "leave",
        "transfer",
        "fail",
        "crash all",
    )
    voters: int = 3
    brokers: int = 3
    claimed_clock_drift: float | None = None  # where the bound that is stated is not the one that holds
    compact_after_entries: int = 25
    stall_before_act: float = 0.002  # chance that a holder is stopped right between its look and its act


@dataclass
class Clock:
    """A machine's own: off by a constant, and running at a rate of its own."""

    rate: float
    offset: float

    def local(self, now):
        return self.offset + now * self.rate

    def true(self, local):
        return (local - self.offset) / self.rate


@dataclass
class Process:
    """A voter or a broker that runs, or not."""

    name: str
    clock: Clock
    core: object = None
    incarnation: int = 0
    stalled_until: float = 0.0
    tick_at: float = 0.0


class World:
    """Run it with `run`. kinds: other classes in the place of the product's, for mutants."""

    def __init__(self, seed, chaos=None, timing=None, voter=Voter, holder=LeaseHolder, guard=FencingGuard):
        self.chaos = chaos or Chaos()
        self.rng = random.Random(seed)
        claimed = self.chaos.clock_drift if self.chaos.claimed_clock_drift is None else self.chaos.claimed_clock_drift
        self.timing = timing or LeaseTiming(
            lease_duration_s=1.0,
            clock_drift_bound=claimed,
            candidacy_interval_s=0.3,
            reply_timeout_s=0.1,
            stall_threshold_s=0.3,
        )
        self.tuning = RaftConfig(
            election_timeout_s=0.4, heartbeat_interval_s=0.08, compact_after_entries=self.chaos.compact_after_entries
        )
        self.voter, self.holder = voter, holder
        self.now = 0.0
        self.order = count()
        self.due = []
        self.cuts = {}  # (from, to): until when nothing gets through
        self.voters = tuple(f"v{i}" for i in range(self.chaos.voters))
        self.disks = {v: Disk(self.voters) for v in self.voters}
        self.processes = {}
        self.guards = {f"r{i}": guard() for i in range(2)}
        self.admitted = {}  # (receiver, duty): the newest epoch whose act took effect, by the auditor's own books
        self.leaders = {}  # term: who led it
        self.committed = {}  # index: (term, kind, data), once anybody applied it
        self.applied_at = {}  # voter, incarnation: last index it applied
        self.acknowledged = 0  # the greatest index that was told of
        self.may_act_until = {}  # duty: {holder: until (true time)}
        self.epochs = {}  # duty: the last epoch acted under, and by whom
        self.acts = self.rejected = self.elections = 0
        for name in self.voters:
            self._boot(name)
        for i in range(self.chaos.brokers):
            self._boot(f"b{i}")
        self._at(self.rng.expovariate(1 / self.chaos.fault_interval_s), self._inject_fault)

    # -- processes
    def _clock(self):
        off = self.rng.choice((-1, 0, 1, self.rng.uniform(-1, 1)))  # the bounds as often as what lies between
        return Clock(1.0 + off * self.chaos.clock_drift, self.rng.random() * 100)

    def _boot(self, name):
        old = self.processes.get(name)
        process = Process(name, old.clock if old else self._clock(), incarnation=(old.incarnation + 1 if old else 1))
        self.processes[name] = process
        seed, local = self.rng.getrandbits(32), process.clock.local(self.now)
        if name in self.voters:
            process.core = self.voter(name, self.disks[name].persistent_state(), self.tuning, self.timing, seed, local)
            self.applied_at[name, process.incarnation] = process.core.raft.last_applied
        else:
            near = {"probe": name != "b2", "deal": True}
            process.core = self.holder(name, f"at-{name}", near, self.voters, self.timing, seed, local)
            self._at(0.005, self._act, name, process.incarnation)
        self._wake(process)

    def _wake(self, process):
        at = max(process.clock.true(process.core.next_at), self.now + 0.0005, process.stalled_until)
        if process.tick_at <= self.now or at < process.tick_at:
            process.tick_at = at
            self._at(at - self.now, self._tick, process.name, process.incarnation, at)

    def _running(self, name, incarnation=None):
        process = self.processes[name]
        alive = process.core is not None and (incarnation is None or process.incarnation == incarnation)
        return process if alive and self.now >= process.stalled_until else None

    def _tick(self, name, incarnation, at):
        process = self._running(name, incarnation)
        if process is None or process.tick_at != at:
            return
        process.tick_at = 0.0
        process.core.tick(process.clock.local(self.now))
        self._collect(process)

    def _collect(self, process):
        if process.name in self.voters:
            self._check_voter(process)
            out = process.core.drain_output()
            disk = self.disks[process.name]
            for seq, record in out.records:
                disk.records.append(consensus_messages.encode(record))
                took = self.rng.uniform(*self.chaos.sync) + (
                    self.rng.random() if self.rng.random() < self.chaos.slow_sync else 0.0
                )
                self._at(took, self._synced, process.name, process.incarnation, seq, len(disk.records))
            for to, message in out.to_voters:
                self._send(process.name, to, consensus_messages.encode(message))
            for to, told in out.to_brokers:
                self._send(process.name, to, lease_messages.encode(told))
        else:
            for to, message in process.core.drain_output():
                self._send(process.name, to, lease_messages.encode(message))
            self._check_holder(process)
        self._wake(process)

    def _synced(self, name, incarnation, seq, length):
        process = self.processes[name]
        if process.core is None or process.incarnation != incarnation:
            return
        self.disks[name].synced = max(self.disks[name].synced, length)  # also while the process stands still
        if self.now < process.stalled_until:
            self._at(process.stalled_until - self.now, self._synced, name, incarnation, seq, length)
            return
        process.core.persisted(process.clock.local(self.now), seq)
        self._collect(process)

    # -- the network
    def _send(self, source, to, data):
        if to not in self.processes:
            return
        for _ in range(1 + (self.rng.random() < self.chaos.duplicates)):
            if self.rng.random() < self.chaos.loss:
                continue
            delay = self.rng.uniform(*self.chaos.delay)
            if self.rng.random() < self.chaos.late:
                delay += self.rng.random() * self.chaos.late_s
            self._at(delay, self._arrive, source, to, data)

    def _arrive(self, source, to, data):
        if self.cuts.get((source, to), 0.0) > self.now:
            return
        process = self.processes[to]
        if process.core is None:
            return
        if self.now < process.stalled_until:  # the kernel keeps it
            self._at(process.stalled_until - self.now, self._arrive, source, to, data)
            return
        local = process.clock.local(self.now)
        if to in self.voters and source in self.voters:
            process.core.receive_from_voter(local, consensus_messages.decode(data))
        elif to in self.voters:
            process.core.receive_from_broker(local, lease_messages.decode(data))
        else:
            process.core.receive_reply(local, lease_messages.decode(data))
        self._collect(process)

    # -- acts
    def _act(self, name, incarnation):
        """A broker acts for what it holds every few milliseconds; acts are slow on the way now and then."""
        process = self.processes[name]
        if process.core is None or process.incarnation != incarnation:
            return
        self._at(self.rng.uniform(0.003, 0.012), self._act, name, incarnation)
        if self.now < process.stalled_until:
            return
        for duty in ("probe", "deal"):
            epoch = process.core.may_act(process.clock.local(self.now), duty)
            if epoch is None:
                continue
            self._check_epoch(duty, epoch, name)
            for receiver in self.guards:
                slow = self.rng.random() < 0.05
                delay = self.rng.uniform(*self.chaos.delay) + slow * self.rng.random() * 3.0
                self._at(delay, self._receive, receiver, duty, epoch)
            if self.rng.random() < self.chaos.stall_before_act:
                process.stalled_until = self.now + self.rng.random() * 3.0
        self._collect(process)

    def _receive(self, receiver, duty, epoch):
        if not self.guards[receiver].admits(duty, epoch):
            self.rejected += 1
            return
        if epoch < self.admitted.get((receiver, duty), 0):
            raise InvariantViolation(f"{duty}: an act under epoch {epoch} took effect after one under a newer")
        self.admitted[receiver, duty] = epoch
        self.acts += 1

    # -- faults
    def _inject_fault(self):
        self._at(self.rng.expovariate(1 / self.chaos.fault_interval_s), self._inject_fault)
        kind, name = self.rng.choice(self.chaos.faults), self.rng.choice(list(self.processes))
        process = self.processes[name]
        match kind:
            case "crash":
                self._crash(name, self.rng.choice((0.05, 0.5, 3.0)) * self.rng.random())
            case "crash all":
                for voter in self.voters:
                    self._crash(voter, self.rng.random())
            case "cut" | "cut one way":
                until = self.now + self.rng.choice((0.3, 1.0, 4.0)) * self.rng.random()
                for other in self.processes:
                    if self.rng.random() < 0.7:
                        self.cuts[name, other] = until
                        if kind == "cut":
                            self.cuts[other, name] = until
            case "stall" if process.core is not None:
                process.stalled_until = self.now + self.rng.choice((0.2, 1.0, 5.0)) * self.rng.random()
                self._wake(process)
            case "leave" if name not in self.voters and self._running(name):
                process.core.shut_down(process.clock.local(self.now))
                self._collect(process)
                self._crash(name, self.rng.random())
            case "fail" if name not in self.voters and self._running(name):
                process.core.set_failing("probe", is_failing=self.rng.random() < 0.5)
            case "transfer" if name in self.voters and self._running(name):
                process.core.raft.transfer_leadership(process.clock.local(self.now))
                self._collect(process)

    def _crash(self, name, back_s):
        process = self.processes[name]
        if process.core is None:
            return
        process.core, process.stalled_until = None, 0.0
        for held in self.may_act_until.values():
            held.pop(name, None)
        if name in self.voters:
            self.disks[name].crash(self.rng)
        self._at(back_s, self._boot, name)

    # -- what must hold
    def _check_voter(self, process):
        raft = process.core.raft
        if raft.role is Role.LEADER:
            first = self.leaders.setdefault(raft.term, process.name)
            self.elections = len(self.leaders)
            if first != process.name:
                raise InvariantViolation(f"term {raft.term} is led by {first} and by {process.name}")
        key = process.name, process.incarnation
        for index in range(max(self.applied_at[key], raft.log.snapshot_index) + 1, raft.last_applied + 1):
            entry = raft.log.entry(index)
            word = (entry.term, entry.kind, entry.data)
            if self.committed.setdefault(index, word) != word:
                raise InvariantViolation(f"{process.name} applied another entry {index} than was committed")
        if raft.last_applied < self.applied_at[key]:
            raise InvariantViolation(f"{process.name} went back from {self.applied_at[key]} to {raft.last_applied}")
        self.applied_at[key] = raft.last_applied
        if process.core.is_leader:  # whoever leads knows all that was ever committed and told
            if raft.last_applied < self.acknowledged and raft.is_established_leader and max(self.leaders) == raft.term:
                raise InvariantViolation(f"{process.name} leads term {raft.term} and lacks acknowledged entries")
            self.acknowledged = max(self.acknowledged, raft.commit_index)
            self._check_table(process.core.table, raft.last_applied)

    def _check_table(self, table, index):
        """The table is what the committed entries make of it, in their order: each lease as its history says."""
        if index in self.committed and all(i in self.committed for i in range(1, index + 1)):
            holders = {}
            for at in range(1, index + 1):
                _, kind, data = self.committed[at]
                if kind is not consensus_messages.EntryKind.COMMAND:
                    continue
                command = lease_messages.decode_command(data)
                holder, epoch = holders.get(command.duty, ("", 0))
                if isinstance(command, lease_messages.GrantLease) and not holder and epoch == command.previous_epoch:
                    holders[command.duty] = (command.holder, at)
                elif isinstance(command, lease_messages.ReleaseLease) and holder and epoch == command.epoch:
                    holders[command.duty] = ("", epoch)
            found = {duty: (lease.holder, lease.epoch) for duty, lease in table.leases.items()}
            if found != holders:
                raise InvariantViolation(f"the table says {found}, its history {holders}")

    def _check_holder(self, process):
        """Who may act until when, in true time; nobody else may at that moment."""
        for duty, mine in process.core.duties.items():
            held = self.may_act_until.setdefault(duty, {})
            until = process.clock.true(mine.valid_until) if mine.epoch else -1.0
            held.pop(process.name, None)
            if until <= self.now:
                continue
            for other, theirs in held.items():
                if theirs > self.now:
                    raise InvariantViolation(
                        f"{duty}: {other} may act until {theirs:.3f}, and {process.name} at {self.now:.3f}"
                    )
            held[process.name] = until

    def _check_epoch(self, duty, epoch, name):
        last, who = self.epochs.get(duty, (0, name))
        if epoch < last:
            raise InvariantViolation(f"{duty}: {name} acts under epoch {epoch}, {who} did under {last} before")
        self.epochs[duty] = (epoch, name)

    # -- time
    def _at(self, after, what, *args):
        heapq.heappush(self.due, (self.now + after, next(self.order), what, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, what, args = heapq.heappop(self.due)
            what(*args)
        self.now = end

    def heal(self):
        """No more faults, and a good network from here on."""
        quiet = dict.fromkeys(("loss", "duplicates", "late", "slow_sync", "stall_before_act"), 0.0)
        self.chaos = replace(self.chaos, fault_interval_s=1e9, **quiet)
        self.due = [row for row in self.due if row[2] != self._inject_fault]
        heapq.heapify(self.due)
        self.cuts = {}

    def settles(self, seconds):
        """Whether all is settled at some moment within that time; a hand-over may be under way at any other."""
        end = self.now + seconds
        while not self.settled():
            if self.now >= end:
                return False
            self.run(0.25)
        return True

    def settled(self):
        """Whether one leads, all agree with it, and each duty has a holder that may act."""
        leaders = [p for n, p in self.processes.items() if n in self.voters and p.core is not None and p.core.is_leader]
        if len(leaders) != 1 or any(p.core is None for p in self.processes.values()):
            return False
        table = leaders[0].core.table
        level = all(self.processes[v].core.raft.last_applied == leaders[0].core.raft.last_applied for v in self.voters)
        holders = [table.lease(duty).holder for duty in ("probe", "deal")]
        return level and all(
            h and self.processes[h].core.may_act(self.processes[h].clock.local(self.now), duty)
            for h, duty in zip(holders, ("probe", "deal"), strict=True)
        )
