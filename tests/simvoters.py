"""Simulates voters, brokers and receivers with faulty networks, disks and clocks, and checks invariants at each step.

The product's own `Voter`, `LeaseHolder` and `FencingGuard` run here; only sockets, disks and clocks are simulated. All
random choices come from the seed. A broken invariant raises `InvariantViolation` at the moment it breaks.
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
    """The records written, and how many of them are synced. A crash keeps those, and possibly some of the others."""

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
    """Probabilities and sizes of faults. Times are in seconds. clock_drift: the limit of a clock's rate error."""

    loss: float = 0.05
    duplicates: float = 0.02
    delay: tuple = (0.001, 0.03)
    late: float = 0.02  # share of messages that are delayed by up to `late_s` in addition
    late_s: float = 2.0
    sync: tuple = (0.0005, 0.02)
    slow_sync: float = 0.01  # share of writes whose sync takes up to a second longer
    clock_drift: float = 0.01
    fault_interval_s: float = 0.6  # mean time between faults
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
    claimed_clock_drift: float | None = None  # the configured drift bound, where it differs from the actual one
    compact_after_entries: int = 25
    stall_before_act: float = 0.002  # probability that a holder stalls between checking its lease and acting


@dataclass
class Clock:
    """The clock of a machine, with a constant offset and a rate of its own."""

    rate: float
    offset: float

    def local(self, now):
        return self.offset + now * self.rate

    def true(self, local):
        return (local - self.offset) / self.rate


@dataclass
class Process:
    """A voter or a broker. core: its state machine, or None while it is down."""

    name: str
    clock: Clock
    core: object = None
    incarnation: int = 0
    stalled_until: float = 0.0
    tick_at: float = 0.0


class World:
    """The simulation. voter, holder, guard: the product's classes, or mutants in their place."""

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
        self.raft_config = RaftConfig(
            election_timeout_s=0.4, heartbeat_interval_s=0.08, compact_after_entries=self.chaos.compact_after_entries
        )
        self.voter, self.holder = voter, holder
        self.now = 0.0
        self.order = count()
        self.due = []
        self.cuts = {}  # (from, to): the time until which the link drops everything
        self.voters = tuple(f"v{i}" for i in range(self.chaos.voters))
        self.disks = {v: Disk(self.voters) for v in self.voters}
        self.processes = {}
        self.guards = {f"r{i}": guard() for i in range(2)}
        self.admitted = {}  # (receiver, duty): the newest epoch whose act took effect, tracked apart from the guards
        self.leaders = {}  # term: its leader
        self.committed = {}  # index: (term, kind, data), as soon as a voter has applied it
        self.applied_at = {}  # (voter, incarnation): the last index it applied
        self.acknowledged = 0  # the greatest index that a leader has reported as committed
        self.may_act_until = {}  # duty: {holder: end of its lease in true time}
        self.epochs = {}  # duty: (the epoch of the last act, its holder)
        self.acts = self.rejected = self.elections = 0
        for name in self.voters:
            self._boot(name)
        for i in range(self.chaos.brokers):
            self._boot(f"b{i}")
        self._at(self.rng.expovariate(1 / self.chaos.fault_interval_s), self._inject_fault)

    # -- processes
    def _clock(self):
        drift = self.rng.choice((-1, 0, 1, self.rng.uniform(-1, 1)))  # each bound as often as a value between them
        return Clock(1.0 + drift * self.chaos.clock_drift, self.rng.random() * 100)

    def _boot(self, name):
        previous = self.processes.get(name)
        process = Process(
            name,
            previous.clock if previous else self._clock(),
            incarnation=(previous.incarnation + 1 if previous else 1),
        )
        self.processes[name] = process
        seed, local = self.rng.getrandbits(32), process.clock.local(self.now)
        if name in self.voters:
            process.core = self.voter(
                name, self.disks[name].persistent_state(), self.raft_config, self.timing, seed, local
            )
            self.applied_at[name, process.incarnation] = process.core.raft.last_applied
        else:
            duties = {"probe": name != "b2", "deal": True}
            process.core = self.holder(name, f"at-{name}", duties, self.voters, self.timing, seed, local)
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
            output = process.core.drain_output()
            disk = self.disks[process.name]
            for seq, record in output.records:
                disk.records.append(consensus_messages.encode(record))
                sync_s = self.rng.uniform(*self.chaos.sync) + (
                    self.rng.random() if self.rng.random() < self.chaos.slow_sync else 0.0
                )
                self._at(sync_s, self._synced, process.name, process.incarnation, seq, len(disk.records))
            for to, message in output.to_voters:
                self._send(process.name, to, consensus_messages.encode(message))
            for to, reply in output.to_brokers:
                self._send(process.name, to, lease_messages.encode(reply))
        else:
            for to, message in process.core.drain_output():
                self._send(process.name, to, lease_messages.encode(message))
            self._check_holder(process)
        self._wake(process)

    def _synced(self, name, incarnation, seq, length):
        process = self.processes[name]
        if process.core is None or process.incarnation != incarnation:
            return
        self.disks[name].synced = max(self.disks[name].synced, length)  # also while the process is stalled
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
        if self.now < process.stalled_until:  # the kernel buffers the message
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
        """Let a broker act for its leases every few milliseconds; some acts reach the receiver late."""
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
            raise InvariantViolation(f"{duty}: an act under epoch {epoch} took effect after one under a newer epoch")
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

    def _crash(self, name, restart_after_s):
        process = self.processes[name]
        if process.core is None:
            return
        process.core, process.stalled_until = None, 0.0
        for holders in self.may_act_until.values():
            holders.pop(name, None)
        if name in self.voters:
            self.disks[name].crash(self.rng)
        self._at(restart_after_s, self._boot, name)

    # -- invariants
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
            content = (entry.term, entry.kind, entry.data)
            if self.committed.setdefault(index, content) != content:
                raise InvariantViolation(
                    f"{process.name} applied a different entry at index {index} than was committed"
                )
        if raft.last_applied < self.applied_at[key]:
            raise InvariantViolation(
                f"{process.name}: the last applied index fell from {self.applied_at[key]} to {raft.last_applied}"
            )
        self.applied_at[key] = raft.last_applied
        if process.core.is_leader:  # a leader knows everything that was ever reported as committed
            if raft.last_applied < self.acknowledged and raft.is_established_leader and max(self.leaders) == raft.term:
                raise InvariantViolation(f"{process.name} leads term {raft.term} and lacks acknowledged entries")
            self.acknowledged = max(self.acknowledged, raft.commit_index)
            self._check_table(process.core.table, raft.last_applied)

    def _check_table(self, table, index):
        """Check that the table is what the committed entries produce when they are applied in order."""
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
                raise InvariantViolation(f"the table has {found}, but the committed entries give {holders}")

    def _check_holder(self, process):
        """Check that no other holder may act at this moment; lease ends are compared in true time."""
        for duty, state in process.core.duties.items():
            holders = self.may_act_until.setdefault(duty, {})
            until = process.clock.true(state.valid_until) if state.epoch else -1.0
            holders.pop(process.name, None)
            if until <= self.now:
                continue
            for other, other_until in holders.items():
                if other_until > self.now:
                    raise InvariantViolation(
                        f"{duty}: {other} may act until {other_until:.3f}, and {process.name} at {self.now:.3f}"
                    )
            holders[process.name] = until

    def _check_epoch(self, duty, epoch, name):
        last, who = self.epochs.get(duty, (0, name))
        if epoch < last:
            raise InvariantViolation(
                f"{duty}: {name} acts under epoch {epoch} after {who} acted under {last}, a newer one"
            )
        self.epochs[duty] = (epoch, name)

    # -- time
    def _at(self, delay, callback, *args):
        heapq.heappush(self.due, (self.now + delay, next(self.order), callback, args))

    def run(self, seconds):
        end = self.now + seconds
        while self.due and self.due[0][0] <= end:
            self.now, _, callback, args = heapq.heappop(self.due)
            callback(*args)
        self.now = end

    def heal(self):
        """Stop all faults, and make the network reliable from now on."""
        quiet = dict.fromkeys(("loss", "duplicates", "late", "slow_sync", "stall_before_act"), 0.0)
        self.chaos = replace(self.chaos, fault_interval_s=1e9, **quiet)
        self.due = [event for event in self.due if event[2] != self._inject_fault]
        heapq.heapify(self.due)
        self.cuts = {}

    def settles(self, seconds):
        """Whether everything is settled at some moment within this time; at others, a handover may be in progress."""
        end = self.now + seconds
        while not self.settled():
            if self.now >= end:
                return False
            self.run(0.25)
        return True

    def settled(self):
        """Whether there is one leader, all voters agree with it, and each duty has a holder that may act."""
        leaders = [p for n, p in self.processes.items() if n in self.voters and p.core is not None and p.core.is_leader]
        if len(leaders) != 1 or any(p.core is None for p in self.processes.values()):
            return False
        table = leaders[0].core.table
        in_sync = all(
            self.processes[v].core.raft.last_applied == leaders[0].core.raft.last_applied for v in self.voters
        )
        holders = [table.lease(duty).holder for duty in ("probe", "deal")]
        return in_sync and all(
            h and self.processes[h].core.may_act(self.processes[h].clock.local(self.now), duty)
            for h, duty in zip(holders, ("probe", "deal"), strict=True)
        )
