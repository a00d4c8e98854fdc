"""Every interleaving of three voters up to a depth: breadth first over the product's own `Raft`, states seen once.

An action is: one stands, one syncs its disk, a message arrives, one that leads proposes, one crashes and starts again
from what was synced. What never arrives is lost; what arrives late is reordered. Time stands still.
"""

from collections import deque
from copy import copy

from badgerbend.consensus import messages as voting
from badgerbend.consensus.log import Log, PersistentState
from badgerbend.consensus.raft import Raft, RaftConfig, Role
from tests.simvoters import Broken

NAMES = ("a", "b", "c")


class _Dice:
    """In the place of chance, which decides nothing here."""

    def uniform(self, low, high):
        return low


class _Nothing:
    """A machine without state."""

    def apply(self, index, data): ...

    def dump(self):
        return b""

    def load(self, state): ...


def _clone(raft):
    new = object.__new__(type(raft))
    new.__dict__ = dict(raft.__dict__)
    new.log = Log(raft.log.snapshot, raft.log.entries)
    new.votes = set(raft.votes)
    new.progress = {}
    for name, held in raft.progress.items():
        one = new.progress[name] = object.__new__(type(held))
        for slot in type(held).__slots__:
            setattr(one, slot, getattr(held, slot))
    new.disk = copy(raft.disk)
    new.disk.unsynced, new.disk.held = deque(raft.disk.unsynced), deque(raft.disk.held)
    new.disk.writes, new.disk.messages = [], []
    new.reads, new.events = list(raft.reads), []
    return new


class State:
    """Voters, their disks (records, and how many are synced), what is on the way, what was ever committed or led."""

    def __init__(self, kind=Raft):
        self.kind = kind
        self.rafts, self.disks = {}, {}
        self.net, self.leaders, self.committed = (), {}, {}
        self.left = {}
        for name in NAMES:
            self.disks[name] = ((voting.Snapshot(0, 0, NAMES, b""),), 1)
            self._boot(name)

    def _boot(self, name):
        kept = PersistentState(log=Log())
        for record in self.disks[name][0]:
            kept.replay(record)
        raft = self.rafts[name] = self.kind(name, kept, _Nothing(), RaftConfig(0.0, 1.0, 10**6), 0, 0.0)
        raft.rng = _Dice()

    def copy(self):
        new = object.__new__(State)
        new.kind, new.net, new.left = self.kind, self.net, dict(self.left)
        new.rafts, new.disks = dict(self.rafts), dict(self.disks)
        new.leaders, new.committed = dict(self.leaders), dict(self.committed)
        return new

    def _touch(self, name):
        self.rafts[name] = _clone(self.rafts[name])
        return self.rafts[name]

    def _collect(self, name):
        raft = self.rafts[name]
        ready = raft.take_ready()
        records, sure = self.disks[name]
        self.disks[name] = (records + tuple(record for _, record in ready.records), sure)
        self.net = tuple(sorted((*self.net, *((to, voting.encode(m)) for to, m in ready.messages))))
        if raft.role is Role.LEADER and self.leaders.setdefault(raft.term, name) != name:
            raise Broken(f"term {raft.term} is led by {self.leaders[raft.term]} and by {name}")
        for index in range(1, raft.commit_index + 1):
            entry = raft.log.entry(index)
            if self.committed.setdefault(index, (entry.term, entry.data)) != (entry.term, entry.data):
                raise Broken(f"{name} committed another entry {index}")

    def actions(self):
        for name in NAMES:
            raft = self.rafts[name]
            if self.left["stand"] and raft.role is not Role.LEADER:
                yield ("stand", name)
            if raft.disk.seq > raft.disk.synced:
                yield ("sync", name)
            if self.left["propose"] and raft.role is Role.LEADER:
                yield ("propose", name)
            if self.left["crash"]:
                yield ("crash", name)
        for place, row in enumerate(self.net):
            if place == 0 or row != self.net[place - 1]:
                yield ("deliver", row)

    def do(self, action):
        """The state after it. Raises Broken."""
        new = self.copy()
        kind, what = action
        if kind == "deliver":
            name, data = what
            rows = list(new.net)
            rows.remove(what)
            new.net = tuple(rows)
            new._touch(name).step(0.0, voting.decode(data))
        else:
            name = what
            if kind in new.left:
                new.left[kind] -= 1
            match kind:
                case "stand":
                    new._touch(name)._stand(0.0)
                case "sync":
                    raft = new._touch(name)
                    new.disks[name] = (new.disks[name][0], len(new.disks[name][0]))
                    raft.persisted(0.0, raft.disk.seq)
                case "propose":
                    new._touch(name).propose(0.0, b"x%d" % new.left["propose"])
                case "crash":
                    records, sure = new.disks[name]
                    new.disks[name] = (records[:sure], sure)
                    new._boot(name)
        new._collect(name)
        return new

    def key(self):
        rows = []
        for name in NAMES:
            r = self.rafts[name]
            progress = tuple((n, p.match_index, p.next_index, p.in_flight) for n, p in sorted(r.progress.items()))
            entries = tuple((e.term, e.data) for e in r.log.entries)
            held = tuple((to, voting.encode(m)) for _, to, m in r.disk.held)
            rows.append(
                (
                    r.term,
                    r.voted_for,
                    r.role,
                    r.leader,
                    r.commit_index,
                    entries,
                    tuple(sorted(r.votes)),
                    progress,
                    held,
                    r.disk.seq - r.disk.synced,
                    r.disk.durable,
                    len(self.disks[name][0]) - self.disks[name][1],
                )
            )
        return (tuple(rows), self.net, tuple(self.left.items()), tuple(sorted(self.committed.items())))


def search(depth, kind=Raft, stand=2, propose=0, crash=1, most=10**9):
    """How many states there are to that depth, with so many elections begun, proposals and crashes. Raises Broken with
    the actions that led there."""
    first = State(kind)
    first.left = {"stand": stand, "propose": propose, "crash": crash}
    seen, level = {first.key()}, [(first, ())]
    for _ in range(depth):
        following = []
        for state, path in level:
            for action in state.actions():
                try:
                    new = state.do(action)
                except Broken as err:
                    steps = [a if a[0] != "deliver" else "deliver" for a in (*path, action)]
                    raise Broken(f"{err}, by {steps}") from None
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    following.append((new, (*path, action)))
                    if len(seen) >= most:
                        return len(seen)
        level = following
    return len(seen)
