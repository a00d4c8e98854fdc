"""Voters, brokers and receivers in simulated time, with bad networks, disks and clocks; and what must always hold.

The product's own `Voter`, `LeaseHolder` and `FencingGuard` run here; only sockets, disks and clocks are simulated. All
chance comes from the seed. What is broken is raised as `Broken`, at the moment it happens.
"""

import heapq
import random
from dataclasses import dataclass, field, replace
from itertools import count

from badgerbend.consensus import messages as voting
from badgerbend.consensus.log import Log, PersistentState
from badgerbend.consensus.raft import RaftConfig, Role
from badgerbend.leases import messages as saying
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import Voter


class Broken(AssertionError):
    """What must always hold does not."""


class Disk:
    """Records written, and how many of them surely are there. A crash keeps the sure ones and perhaps some more."""

    def __init__(self, voters):
        self.records = [voting.encode(voting.Snapshot(0, 0, voters, b""))]
        self.sure = 1

    def crash(self, rng):
        del self.records[rng.randint(self.sure, len(self.records)) :]
        self.sure = len(self.records)

    def kept(self):
        kept = PersistentState(log=Log())
        for data in self.records:
            kept.replay(voting.decode_record(data))
        return kept


@dataclass
class Chaos:
    """Chances and sizes. Times are seconds; rate: clocks run off true time by up to so much."""

    loss: float = 0.05
    duplicates: float = 0.02
    delay: tuple = (0.001, 0.03)
    late: float = 0.02  # of messages: delayed by up to `late_s`
    late_s: float = 2.0
    sync: tuple = (0.0005, 0.02)
    slow_sync: float = 0.01  # of writes: their word takes up to a second
    rate: float = 0.01
    every_s: float = 0.6  # between troubles
    troubles: tuple = ("crash", "crash", "cut", "cut", "oneway", "stall", "stall", "leave", "cede", "fail", "crash all")
    voters: int = 3
    brokers: int = 3
    rate_claimed: float | None = None  # where the bound that is stated is not the one that holds
    compact: int = 25
    caught: float = 0.002  # chance that a holder is stopped right between its look and its act


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
    one: object = None
    life: int = 0
    stalled_until: float = 0.0
    inbox: list = field(default_factory=list)  # what came while it stood still
    tick_at: float = 0.0


class World:
    """Run it with `run`. kinds: other classes in the place of the product's, for mutants."""

    def __init__(self, seed, chaos=None, timing=None, voter=Voter, holder=LeaseHolder, fence=FencingGuard):
        self.chaos = chaos or Chaos()
        self.rng = random.Random(seed)
        claimed = self.chaos.rate if self.chaos.rate_claimed is None else self.chaos.rate_claimed
        self.timing = timing or LeaseTiming(
            lease_duration_s=1.0,
            clock_drift_bound=claimed,
            candidacy_interval_s=0.3,
            reply_timeout_s=0.1,
            stall_threshold_s=0.3,
        )
        self.tuning = RaftConfig(
            election_timeout_s=0.4, heartbeat_interval_s=0.08, compact_after_entries=self.chaos.compact
        )
        self.voter, self.holder = voter, holder
        self.now, self.order, self.due = 0.0, count(), []
        self.cuts = {}  # (from, to): until when nothing gets through
        self.voters = tuple(f"v{i}" for i in range(self.chaos.voters))
        self.disks = {v: Disk(self.voters) for v in self.voters}
        self.all = {}
        self.fences = {f"r{i}": fence() for i in range(2)}
        self.accepted = {}  # (receiver, duty): the newest epoch whose act took effect, by the auditor's own books
        self.leaders = {}  # term: who led it
        self.chosen = {}  # index: (term, kind, data), once anybody applied it
        self.applied_at = {}  # voter, life: last index it applied
        self.acknowledged = 0  # the greatest index that was told of
        self.believes = {}  # duty: {holder: until (true time)}
        self.epochs = {}  # duty: the last epoch acted under, and by whom
        self.acts = self.refused = self.elections = 0
        for name in self.voters:
            self._boot(name)
        for i in range(self.chaos.brokers):
            self._boot(f"b{i}")
        self._at(self.rng.expovariate(1 / self.chaos.every_s), self._trouble)

    # -- processes
    def _clock(self):
        off = self.rng.choice((-1, 0, 1, self.rng.uniform(-1, 1)))  # the bounds as often as what lies between
        return Clock(1.0 + off * self.chaos.rate, self.rng.random() * 100)

    def _boot(self, name):
        old = self.all.get(name)
        process = Process(name, old.clock if old else self._clock(), life=(old.life + 1 if old else 1))
        self.all[name] = process
        seed, local = self.rng.getrandbits(32), process.clock.local(self.now)
        if name in self.voters:
            process.one = self.voter(name, self.disks[name].kept(), self.tuning, self.timing, seed, local)
            self.applied_at[name, process.life] = process.one.raft.last_applied
        else:
            near = {"probe": name != "b2", "deal": True}
            process.one = self.holder(name, f"at-{name}", near, self.voters, self.timing, seed, local)
            self._at(0.005, self._act, name, process.life)
        self._wake(process)

    def _wake(self, process):
        at = max(process.clock.true(process.one.next_at), self.now + 0.0005, process.stalled_until)
        if process.tick_at <= self.now or at < process.tick_at:
            process.tick_at = at
            self._at(at - self.now, self._tick, process.name, process.life, at)

    def _running(self, name, life=None):
        process = self.all[name]
        alive = process.one is not None and (life is None or process.life == life)
        return process if alive and self.now >= process.stalled_until else None

    def _tick(self, name, life, at):
        process = self._running(name, life)
        if process is None or process.tick_at != at:
            return
        process.tick_at = 0.0
        process.one.tick(process.clock.local(self.now))
        self._collect(process)

    def _collect(self, process):
        if process.name in self.voters:
            self._check_voter(process)
            out = process.one.drain_output()
            disk = self.disks[process.name]
            for seq, record in out.records:
                disk.records.append(voting.encode(record))
                took = self.rng.uniform(*self.chaos.sync) + (
                    self.rng.random() if self.rng.random() < self.chaos.slow_sync else 0.0
                )
                self._at(took, self._synced, process.name, process.life, seq, len(disk.records))
            for to, message in out.to_voters:
                self._send(process.name, to, voting.encode(message))
            for to, told in out.to_brokers:
                self._send(process.name, to, saying.encode(told))
        else:
            for to, message in process.one.drain_output():
                self._send(process.name, to, saying.encode(message))
            self._check_holder(process)
        self._wake(process)

    def _synced(self, name, life, seq, length):
        process = self.all[name]
        if process.one is None or process.life != life:
            return
        self.disks[name].sure = max(self.disks[name].sure, length)  # also while the process stands still
        if self.now < process.stalled_until:
            self._at(process.stalled_until - self.now, self._synced, name, life, seq, length)
            return
        process.one.persisted(process.clock.local(self.now), seq)
        self._collect(process)

    # -- the network
    def _send(self, source, to, data):
        if to not in self.all:
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
        process = self.all[to]
        if process.one is None:
            return
        if self.now < process.stalled_until:  # the kernel keeps it
            self._at(process.stalled_until - self.now, self._arrive, source, to, data)
            return
        local = process.clock.local(self.now)
        if to in self.voters and source in self.voters:
            process.one.receive_from_voter(local, voting.decode(data))
        elif to in self.voters:
            process.one.receive_from_broker(local, saying.decode(data))
        else:
            process.one.receive_reply(local, saying.decode(data))
        self._collect(process)

    # -- acts
    def _act(self, name, life):
        """A broker acts for what it holds every few milliseconds; acts are slow on the way now and then."""
        process = self.all[name]
        if process.one is None or process.life != life:
            return
        self._at(self.rng.uniform(0.003, 0.012), self._act, name, life)
        if self.now < process.stalled_until:
            return
        for duty in ("probe", "deal"):
            epoch = process.one.may_act(process.clock.local(self.now), duty)
            if epoch is None:
                continue
            self._check_epoch(duty, epoch, name)
            for receiver in self.fences:
                slow = self.rng.random() < 0.05
                delay = self.rng.uniform(*self.chaos.delay) + slow * self.rng.random() * 3.0
                self._at(delay, self._receive, receiver, duty, epoch)
            if self.rng.random() < self.chaos.caught:
                process.stalled_until = self.now + self.rng.random() * 3.0
        self._collect(process)

    def _receive(self, receiver, duty, epoch):
        if not self.fences[receiver].admits(duty, epoch):
            self.refused += 1
            return
        if epoch < self.accepted.get((receiver, duty), 0):
            raise Broken(f"{duty}: an act under epoch {epoch} took effect after one under a newer")
        self.accepted[receiver, duty] = epoch
        self.acts += 1

    # -- troubles
    def _trouble(self):
        self._at(self.rng.expovariate(1 / self.chaos.every_s), self._trouble)
        kind, name = self.rng.choice(self.chaos.troubles), self.rng.choice(list(self.all))
        process = self.all[name]
        match kind:
            case "crash":
                self._crash(name, self.rng.choice((0.05, 0.5, 3.0)) * self.rng.random())
            case "crash all":
                for voter in self.voters:
                    self._crash(voter, self.rng.random())
            case "cut" | "oneway":
                until = self.now + self.rng.choice((0.3, 1.0, 4.0)) * self.rng.random()
                for other in self.all:
                    if self.rng.random() < 0.7:
                        self.cuts[name, other] = until
                        if kind == "cut":
                            self.cuts[other, name] = until
            case "stall" if process.one is not None:
                process.stalled_until = self.now + self.rng.choice((0.2, 1.0, 5.0)) * self.rng.random()
                self._wake(process)
            case "leave" if name not in self.voters and self._running(name):
                process.one.shut_down(process.clock.local(self.now))
                self._collect(process)
                self._crash(name, self.rng.random())
            case "fail" if name not in self.voters and self._running(name):
                process.one.set_failing("probe", self.rng.random() < 0.5)
            case "cede" if name in self.voters and self._running(name):
                process.one.raft.transfer_leadership(process.clock.local(self.now))
                self._collect(process)

    def _crash(self, name, back_s):
        process = self.all[name]
        if process.one is None:
            return
        process.one, process.stalled_until = None, 0.0
        for held in self.believes.values():
            held.pop(name, None)
        if name in self.voters:
            self.disks[name].crash(self.rng)
        self._at(back_s, self._boot, name)

    # -- what must hold
    def _check_voter(self, process):
        raft = process.one.raft
        if raft.role is Role.LEADER:
            first = self.leaders.setdefault(raft.term, process.name)
            self.elections = len(self.leaders)
            if first != process.name:
                raise Broken(f"term {raft.term} is led by {first} and by {process.name}")
        key = process.name, process.life
        for index in range(max(self.applied_at[key], raft.log.snapshot_index) + 1, raft.last_applied + 1):
            entry = raft.log.entry(index)
            word = (entry.term, entry.kind, entry.data)
            if self.chosen.setdefault(index, word) != word:
                raise Broken(f"{process.name} applied another entry {index} than was chosen")
        if raft.last_applied < self.applied_at[key]:
            raise Broken(f"{process.name} went back from {self.applied_at[key]} to {raft.last_applied}")
        self.applied_at[key] = raft.last_applied
        if process.one.is_leader:  # whoever leads knows all that was ever chosen and told
            if raft.last_applied < self.acknowledged and raft.is_established_leader and max(self.leaders) == raft.term:
                raise Broken(f"{process.name} leads term {raft.term} and lacks acknowledged entries")
            self.acknowledged = max(self.acknowledged, raft.commit_index)
            self._check_table(process.one.table, raft.last_applied)

    def _check_table(self, table, index):
        """The table is what the chosen entries make of it, in their order: each lease as its history says."""
        if index in self.chosen and all(i in self.chosen for i in range(1, index + 1)):
            holders = {}
            for at in range(1, index + 1):
                _, kind, data = self.chosen[at]
                if kind is not voting.EntryKind.COMMAND:
                    continue
                command = saying.decode_command(data)
                holder, epoch = holders.get(command.duty, ("", 0))
                if isinstance(command, saying.GrantLease) and not holder and epoch == command.previous_epoch:
                    holders[command.duty] = (command.holder, at)
                elif isinstance(command, saying.ReleaseLease) and holder and epoch == command.epoch:
                    holders[command.duty] = ("", epoch)
            found = {duty: (lease.holder, lease.epoch) for duty, lease in table.leases.items()}
            if found != holders:
                raise Broken(f"the table says {found}, its history {holders}")

    def _check_holder(self, process):
        """Who may act until when, in true time; nobody else may at that moment."""
        for duty, mine in process.one.duties.items():
            held = self.believes.setdefault(duty, {})
            until = process.clock.true(mine.valid_until) if mine.epoch else -1.0
            held.pop(process.name, None)
            if until <= self.now:
                continue
            for other, theirs in held.items():
                if theirs > self.now:
                    raise Broken(f"{duty}: {other} may act until {theirs:.3f}, and {process.name} at {self.now:.3f}")
            held[process.name] = until

    def _check_epoch(self, duty, epoch, name):
        last, who = self.epochs.get(duty, (0, name))
        if epoch < last:
            raise Broken(f"{duty}: {name} acts under epoch {epoch}, {who} did under {last} before")
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
        """No more troubles, and a good network from here on."""
        quiet = {name: 0.0 for name in ("loss", "duplicates", "late", "slow_sync", "caught")}
        self.chaos = replace(self.chaos, every_s=1e9, **quiet)
        self.due = [row for row in self.due if row[2] != self._trouble]
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
        leaders = [p for n, p in self.all.items() if n in self.voters and p.one is not None and p.one.is_leader]
        if len(leaders) != 1 or any(p.one is None for p in self.all.values()):
            return False
        table = leaders[0].one.table
        level = all(self.all[v].one.raft.last_applied == leaders[0].one.raft.last_applied for v in self.voters)
        holders = [table.lease(duty).holder for duty in ("probe", "deal")]
        return level and all(
            h and self.all[h].one.may_act(self.all[h].clock.local(self.now), duty)
            for h, duty in zip(holders, ("probe", "deal"), strict=True)
        )
