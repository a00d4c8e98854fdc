"""The complete feed in simulated time: control machines, relays, publishers and followers under random faults.

The production classes `Voter`, `FeedStateMachine`, `LeaseHolder`, `Publisher`, `Relay` and `Follower` run here;
sockets, disks, clocks and the cryptography of signatures are simulated. All randomness comes from the seed.
`tests.feed_invariants` defines what must hold.
"""

import heapq
import random
from dataclasses import dataclass, field, replace
from itertools import count
from unittest.mock import patch

from badgerbend.feed import snapshot
from badgerbend.feed.control import ControlNode
from badgerbend.feed.follower_types import (
    RelayAddress,
)
from badgerbend.feed.log import Retention
from badgerbend.feed.machine import PUBLISH_LEASE
from badgerbend.leases.holder import LeaseHolder
from tests.feed_invariants import InvariantChecker
from tests.simfeed_changes import ChangeSource
from tests.simfeed_connections import Connections
from tests.simfeed_faults import FaultInjector
from tests.simfeed_network import Network
from tests.simfeed_runner import ActionRunner
from tests.simfeed_settings import (
    CONTROL,
    EDGE_RETENTION,
    FOLLOWER,
    LEASE_TIMING,
    PIECE_BYTES,
    PRODUCTION,
    PUBLISHER,
    RAFT_CONFIG,
    REGIONS,
    RELAY,
    RETENTION,
    SLACK_S,
    WATCH_INTERVAL_S,
    Chaos,
    KeyedHash,
)
from tests.simfeed_watcher import Watcher
from tests.simvoters import Clock, Disk


@dataclass
class Host:
    """A simulated machine and the process on it, if one runs."""

    world: object
    name: str
    region: str
    clock: Clock
    incarnation: int = 0
    running: bool = False
    suspended_until: float = 0.0
    tick_at: float = 0.0
    voter: object = None
    machine: object = None
    holder: object = None
    publisher: object = None
    control: object = None
    relay: object = None
    follower: object = None
    log: object = None  # the log that the relay serves
    summary_at: float = 0.0
    tamperer: object = None
    age_bound_s: float = 0.0  # by how much the age that it reports may be too low at present
    parts: list = field(default_factory=list)

    def local(self):
        """Return the time of the host's own clock."""
        return self.clock.local(self.world.now)


class World:
    """All hosts and the simulated time: call `run`, then `heal` and `settle`."""

    def __init__(self, seed, chaos=None, implementations=PRODUCTION):
        self.chaos = chaos or Chaos()
        self.implementations = implementations
        self.rng = random.Random(seed)
        self.network = Network(self)
        self.connections = Connections(self)
        self.runner = ActionRunner(self)
        self.faults = FaultInjector(self)
        self.changes = ChangeSource(self)
        self.watcher = Watcher(self)
        self.now = 0.0
        self.order = count()  # of scheduled calls: breaks ties between calls of the same time
        self.scheduled = []  # a heap of (time, order, function, arguments)
        self.signature = KeyedHash()
        self.checker = InvariantChecker(3 * self.chaos.clock_drift)
        self.voters = tuple(f"v{i}" for i in range(5))
        self.disks = {name: Disk(self.voters) for name in self.voters}
        self.hosts = {}  # by name
        self.streams = {}  # by number
        self.numbers = count(1)  # for the next streams
        self.values = count()  # for the next values of changes, which makes them distinct
        self.healed = False
        self.counts = {}  # event: how often
        self._add_relays(edges=2 if self.chaos.edges else 0)
        for index in range(self.rng.randint(*self.chaos.followers)):
            self._add_host(f"f{index}", REGIONS[index % 3])
        for name in self.hosts:
            self.boot(name)
        self.repeat(WATCH_INTERVAL_S, self.watcher.check_hosts)
        self.repeat(self.chaos.submit_interval_s, self.changes.submit)
        self.repeat(self.chaos.fault_interval_s, self.faults.inject)

    def voter_age_bound_s(self):
        """Return by how much a voter that follows may understate the age of its content, beside a message's delay.

        A leader that is partitioned from the majority sends heartbeats for 2 * election_timeout_s, counted from replies
        of the majority that were late (late_s) or that waited in a suspended leader (max_suspension_s). The slack
        covers other delays and the drift of clocks.
        """
        return 2 * RAFT_CONFIG.election_timeout_s + self.chaos.late_s + self.chaos.max_suspension_s + SLACK_S

    def stream_delay_bound_s(self):
        """Return by how much a heartbeat may be late and still count.

        A follower disconnects from a relay that is silent for `heartbeat_timeout`; one more heartbeat interval may
        have passed while the message waited in the stream.
        """
        return FOLLOWER.heartbeat_timeout + RELAY.heartbeat_interval + SLACK_S

    def _add_relays(self, edges):
        for index, name in enumerate(self.voters):
            self._add_host(name, REGIONS[index % 3])
        for index in range(edges):
            self._add_host(f"e{index}", REGIONS[index])
        self.relays = [RelayAddress(h.name, h.region, h.name, 1) for h in self.hosts.values()]

    def _add_host(self, name, region):
        clock = Clock(1.0 + self.rng.uniform(-1, 1) * self.chaos.clock_drift, self.rng.random() * 100)
        self.hosts[name] = Host(self, name, region, clock)

    def boot(self, name):
        """Start a process on a host with the state on its disk."""
        host = self.hosts[name]
        host.incarnation += 1
        host.running = True
        host.suspended_until = 0.0
        host.tick_at = 0.0
        host.age_bound_s = 0.0
        host.follower = host.voter = host.relay = host.publisher = host.holder = host.machine = host.control = None
        if name in self.voters:
            self._boot_control(host)
        else:
            self._boot_follower(host)
        if name in self.voters or name.startswith("e"):
            host.relay = self.implementations.relay(name, host.log, RELAY)
        if host.voter is not None:
            parts = (host.voter, host.holder, host.machine, host.publisher, host.relay)
            host.control = ControlNode(*parts, host.local(), CONTROL)
        parts = (host.voter, host.holder, host.control, host.relay, host.follower)
        host.parts = [part for part in parts if part is not None]
        self.runner.collect(host)

    def _boot_control(self, host):
        local = host.local()
        seed = self.rng.getrandbits(32)
        host.machine = self.implementations.machine(RETENTION)
        host.machine.apply = self._checked(host.machine.apply)
        tuning = replace(RAFT_CONFIG, compact_after_entries=self.chaos.compact_after_entries)
        state = self.disks[host.name].persistent_state()
        host.voter = self.implementations.voter(host.name, state, tuning, LEASE_TIMING, seed, local, host.machine)
        host.holder = LeaseHolder(
            host.name, host.name, {PUBLISH_LEASE: True}, self.voters, LEASE_TIMING, seed + 1, local
        )
        host.log = host.machine.log
        host.publisher = self.implementations.publisher(host.log, lambda change: "", self.signature, PUBLISHER)

    def _checked(self, apply):
        """Have the checker record each command before a voter's state machine applies it."""

        def record_and_apply(index, data):
            self.checker.agreed.record_applied(self.now, index, data)
            apply(index, data)

        return record_and_apply

    def _boot_follower(self, host):
        edge = host.name.startswith("e")
        retention = EDGE_RETENTION if edge else Retention(0, 0)
        relays = [address for address in self.relays if not edge or address.name in self.voters]
        seed = self.rng.getrandbits(32)
        host.follower = self.implementations.follower(
            host.name, host.region, relays, self.signature, FOLLOWER, seed, retention
        )
        host.log = host.follower.log
        self.checker.record_start(host.name)
        host.follower.start(host.local())

    def crash(self, name, restart_s):
        """End a host's process; it starts again after restart_s seconds."""
        host = self.hosts[name]
        if not host.running:
            return
        host.running = False
        if name in self.voters:
            self.disks[name].crash(self.rng)
            self.checker.accepted.pop(name, None)
        for stream in [s for s in self.streams.values() if host in (s.follower, s.relay)]:
            resets = self.rng.random() < 0.7
            stream.disconnect(resets, resets)
        self.call_after(restart_s, self.boot, name)

    def when_running(self, host, action, *args):
        """Return whether the host runs now.

        On a suspended host the action is called when it resumes, in order; on one that is down it never is.
        """
        if not host.running:
            return False
        if self.now < host.suspended_until:
            self.call_at(host.suspended_until, action, *args)
            return False
        return True

    def call_after(self, delay_s, action, *args):
        """Call a function after a delay in seconds."""
        self.call_at(self.now + max(delay_s, 0.0), action, *args)

    def call_at(self, at, action, *args):
        """Call a function at a simulated time; calls of the same time keep the order in which they were scheduled."""
        heapq.heappush(self.scheduled, (at, next(self.order), action, args))

    def repeat(self, mean_s, action):
        """Call a function at random intervals with the given mean."""

        def call_and_repeat():
            self.call_after(self.rng.uniform(0.3, 1.7) * mean_s, call_and_repeat)
            action()

        self.call_after(self.rng.random() * mean_s, call_and_repeat)

    def run(self, seconds):
        """Advance the simulated time."""
        end = self.now + seconds
        with patch.object(snapshot, "PIECE_TARGET_BYTES", PIECE_BYTES):
            while self.scheduled and self.scheduled[0][0] <= end:
                self.now, _, action, args = heapq.heappop(self.scheduled)
                action(*args)
        self.now = end

    def wake(self, host):
        """Schedule the next tick of a host's parts."""
        earliest = min(part.next_at for part in host.parts)
        at = max(host.clock.true(earliest), self.now + 0.001, host.suspended_until)
        if host.tick_at <= self.now or at < host.tick_at:
            host.tick_at = at
            self.call_after(at - self.now, self._tick, host, host.incarnation, at)

    def _tick(self, host, incarnation, at):
        if host.incarnation != incarnation or host.tick_at != at or not host.running:
            return
        host.tick_at = 0.0
        if self.now < host.suspended_until:
            self.wake(host)
            return
        for part in host.parts:
            part.tick(host.local())
        self.runner.collect(host)

    def running_controls(self):
        """Return the control machines that run and are not suspended."""
        return [h for h in map(self.hosts.get, self.voters) if h.running and self.now >= h.suspended_until]

    def brokers(self):
        """Return the hosts with a follower and no relay."""
        return [h for h in self.hosts.values() if h.name.startswith("f")]

    def count(self, event):
        """Count an event for the report over many seeds."""
        self.counts[event] = self.counts.get(event, 0) + 1

    def heal(self):
        """End all faults: none is injected any more, and the network is healthy."""
        self.healed = True
        self.chaos = replace(self.chaos, loss=0.0, late=0.0)
        self.network.cuts = {}
        for host in self.hosts.values():
            host.tamperer = None

    def settle(self, seconds):
        """Run until all hosts have settled; return what has not after the given time, or an empty string."""
        end = self.now + seconds
        while wrong := self.watcher.unsettled():
            if self.now >= end:
                return wrong
            self.run(0.5)
        self.checker.check_settled()
        return ""


FAULTS_S = 25.0
QUIET_S = 60.0


def run_until_settled(world):
    """Run a world with faults and then without; return what has not settled, or an empty string.

    Raises `InvariantViolation`.
    """
    world.run(FAULTS_S)
    world.heal()
    return world.settle(QUIET_S)
