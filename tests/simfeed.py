"""The complete feed in simulated time: control machines, relays, publishers and followers under the faults of a seed.

The product's own `Voter`, `FeedStateMachine`, `LeaseHolder`, `Publisher`, `Relay` and `Follower` run here; sockets,
disks, clocks and the arithmetic of signatures are simulated. All randomness comes from the seed. `tests.feed_judge`
says what must hold.
"""

import heapq
import hmac
import random
from dataclasses import dataclass, field, replace
from itertools import count
from unittest.mock import patch

from badgerbend.consensus import messages as voting
from badgerbend.consensus.raft import RaftConfig
from badgerbend.feed import snapshot
from badgerbend.feed.control import ChangesAbandoned, ControlNode, ControlTuning, Propose, ReportSummary
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import (
    Connect,
    Disconnect,
    FollowerTuning,
    Install,
    MessageRejected,
    RelayAddress,
    Send,
)
from badgerbend.feed.log import Retention
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.messages import Change
from badgerbend.feed.publisher import Publisher, PublisherTuning
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import Close, RelayTuning, SendTo
from badgerbend.leases import messages as saying
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import Voter
from tests.feed_judge import Judge
from tests.feed_liar import Liar
from tests.simstreams import Stream
from tests.simvoters import Clock, Disk

REGIONS = ("north", "south", "west")
PIECE_BYTES = 1500  # of a snapshot: several pieces, though the content is small
KEY = b"the publisher's"
SLACK_S = 0.2  # for delays of the network and clocks that run off
WATCH_S = 0.5  # between looks at ages and memory
SUMMARY_S = 0.7
UNCHANGED_LOOKS = 0.05  # part of the turns in which a replica is compared with what is in force
KEYS = 60


class KeyedHash:
    """`Signer` and `Verifier` by a keyed hash: as hard to forge here as Ed25519, and cheap enough for many seeds."""

    def sign(self, payload):
        return hmac.digest(KEY, payload, "sha512")

    def verify(self, payload, signature):
        return hmac.compare_digest(self.sign(payload), signature)


@dataclass(frozen=True)
class Kinds:
    """Classes in the place of the product's, for mutants."""

    machine: type = FeedStateMachine
    publisher: type = Publisher
    relay: type = Relay
    follower: type = Follower
    voter: type = Voter


PRODUCT = Kinds()
TROUBLES = (
    "crash",
    "crash",
    "crash leader",
    "stop relay",
    "stop followers",
    "stop followers",
    "cut region",
    "cut region",
    "cut control",
    "zone back",
    "lie",
    "lie",
    "break",
    "break",
    "break",
    "burst",
    "burst",
    "give back",
    "cede",
    "damage",
    "crash mid-snapshot",
)


@dataclass(frozen=True)
class Chaos:
    """Chances and sizes; times are seconds. late: of datagrams, delayed by up to late_s."""

    followers: tuple = (20, 32)
    edges: bool = True  # two relays that follow relays
    loss: float = 0.03
    late: float = 0.03
    late_s: float = 1.0
    delay: tuple = (0.001, 0.02)
    sync: tuple = (0.0005, 0.01)
    rate: float = 0.01
    every_s: float = 0.8  # between troubles
    submit_s: float = 0.25
    stop_s: float = 3.0  # a process stands still for at most so long
    follower_stop_s: float = 8.0
    cut_s: tuple = (2.0, 5.0, 20.0)
    bytes_per_second: tuple = (4_000, 30_000, 1_000_000)
    troubles: tuple = TROUBLES
    compact: int = 60
    caught: float = 0.03  # chance that a leader crashes between a publication and its fan-out


TUNING = RaftConfig(election_timeout_s=0.4, heartbeat_interval_s=0.1)
TERMS = LeaseTiming(
    lease_duration_s=1.2,
    clock_drift_bound=0.01,
    candidacy_interval_s=0.4,
    reply_timeout_s=0.15,
    stall_threshold_s=0.3,
)
PUBLISHER = PublisherTuning(batch_window=0.05, retry_interval=0.5, summary_ttl=2.0, max_retry_interval=4.0)
RELAY = RelayTuning(
    heartbeat_interval=0.4,
    send_window=3000,
    stall_timeout=3.0,
    hello_timeout=2.0,
    idle_timeout=4.0,
    max_concurrent_snapshots=3,
    snapshot_bytes_per_second=64 * 1024,
    snapshot_burst_bytes=8 * 1024,
    max_image_lag=6,
)
FOLLOWER = FollowerTuning(
    start_jitter=0.3,
    backoff_base=0.1,
    backoff_max=1.5,
    connect_timeout=1.0,
    heartbeat_timeout=2.0,
    quarantine=4.0,
    progress_timeout=4.0,
    staleness_limit=2.0,
    stale_retry_interval=6.0,
    failback_interval=8.0,
    status_min_interval=0.3,
    status_max_interval=1.5,
)
CONTROL = ControlTuning(confirm_interval=0.4, summary_interval=SUMMARY_S)
RETENTION, EDGE_RETENTION = Retention(14, 12_000), Retention(8, 8_000)


@dataclass
class Host:
    """A machine and the process on it, if that runs."""

    world: object
    name: str
    region: str
    clock: Clock
    life: int = 0
    running: bool = False
    stopped_until: float = 0.0
    tick_at: float = 0.0
    voter: object = None
    machine: object = None
    holder: object = None
    publisher: object = None
    control: object = None
    relay: object = None
    follower: object = None
    log: object = None  # what the relay serves
    summary_at: float = 0.0
    liar: object = None
    age_bound_s: float = 0.0  # by how much its present age may be too low, as the world knows of its last word
    parts: list = field(default_factory=list)

    def local(self):
        return self.clock.local(self.world.now)


class World:
    """Run it with `run`, then `heal` and `settles`."""

    def __init__(self, seed, chaos=None, kinds=PRODUCT):
        self.chaos, self.kinds = chaos or Chaos(), kinds
        self.rng = random.Random(seed)
        self.now, self.order, self.due = 0.0, count(), []
        self.signature = KeyedHash()
        self.judge = Judge(3 * self.chaos.rate)
        self.voters = tuple(f"v{i}" for i in range(5))
        self.disks = {name: Disk(self.voters) for name in self.voters}
        self.hosts, self.streams, self.numbers = {}, {}, count(1)
        self.cuts = {}  # (name, other name): until when nothing gets through
        self.values = count()
        self.healed = False
        self.counts = {}
        self._addresses(edges=2 if self.chaos.edges else 0)
        for place in range(self.rng.randint(*self.chaos.followers)):
            self._host(f"f{place}", REGIONS[place % 3])
        for name in self.hosts:
            self._boot(name)
        self._repeat(WATCH_S, self._watch)
        self._repeat(self.chaos.submit_s, self._submit)
        self._repeat(self.chaos.every_s, self._trouble)

    def voter_bound_s(self):
        """By how much a voter that follows may take its content for too fresh, beside its leader's message's way.

        A leader cut off from the majority speaks on for 2 * election_timeout_s, counted from answers of the majority
        that were late (late_s) or that waited in a leader that stood still (stop_s). The rest is for delays and clocks.
        """
        return 2 * TUNING.election_timeout_s + self.chaos.late_s + self.chaos.stop_s + SLACK_S

    def stream_bound_s(self):
        """By how much a heartbeat may be late and still count: a follower leaves a relay that it has not heard for
        `silence`; in that time one more may have been written, and waited in the stream."""
        return FOLLOWER.heartbeat_timeout + RELAY.heartbeat_interval + SLACK_S

    # -- hosts
    def _addresses(self, edges):
        for place, name in enumerate(self.voters):
            self._host(name, REGIONS[place % 3])
        for place in range(edges):
            self._host(f"e{place}", REGIONS[place])
        self.relays = [RelayAddress(h.name, h.region, h.name, 1) for h in self.hosts.values()]

    def _host(self, name, region):
        clock = Clock(1.0 + self.rng.uniform(-1, 1) * self.chaos.rate, self.rng.random() * 100)
        self.hosts[name] = Host(self, name, region, clock)

    def _boot(self, name):
        host = self.hosts[name]
        host.life += 1
        host.running, host.stopped_until, host.tick_at = True, 0.0, 0.0
        host.age_bound_s = 0.0
        host.follower = host.voter = host.relay = host.publisher = host.holder = host.machine = host.control = None
        if name in self.voters:
            self._boot_control(host)
        else:
            self._boot_follower(host)
        if name in self.voters or name.startswith("e"):
            host.relay = self.kinds.relay(name, host.log, RELAY)
        if host.voter is not None:
            parts = (host.voter, host.holder, host.machine, host.publisher, host.relay)
            host.control = ControlNode(*parts, host.local(), CONTROL)
        parts = (host.voter, host.holder, host.control, host.relay, host.follower)
        host.parts = [part for part in parts if part is not None]
        self.collect(host)

    def _boot_control(self, host):
        local, seed = host.local(), self.rng.getrandbits(32)
        host.machine = self.kinds.machine(RETENTION)
        host.machine.apply = self._seen_by_judge(host.machine.apply)
        tuning = replace(TUNING, compact_after_entries=self.chaos.compact)
        kept = self.disks[host.name].persistent_state()
        host.voter = self.kinds.voter(host.name, kept, tuning, TERMS, seed, local, host.machine)
        host.holder = LeaseHolder(host.name, host.name, {PUBLISH_LEASE: True}, self.voters, TERMS, seed + 1, local)
        host.log = host.machine.log
        host.publisher = self.kinds.publisher(host.log, lambda change: "", self.signature, PUBLISHER)

    def _seen_by_judge(self, apply):
        def seen(index, data):
            self.judge.agreed.applied(self.now, index, data)
            apply(index, data)

        return seen

    def _boot_follower(self, host):
        edge = host.name.startswith("e")
        retention = EDGE_RETENTION if edge else Retention(0, 0)
        relays = [address for address in self.relays if not edge or address.name in self.voters]
        seed = self.rng.getrandbits(32)
        host.follower = self.kinds.follower(host.name, host.region, relays, self.signature, FOLLOWER, seed, retention)
        host.log = host.follower.log
        self.judge.began(host.name)
        host.follower.start(host.local())

    def _crash(self, name, back_s):
        host = self.hosts[name]
        if not host.running:
            return
        host.running = False
        if name in self.voters:
            self.disks[name].crash(self.rng)
            self.judge.accepted.pop(name, None)
        for stream in [s for s in self.streams.values() if host in (s.follower, s.relay)]:
            resets = self.rng.random() < 0.7
            stream.breaks(resets, resets)
        self.at(back_s, self._boot, name)

    def when_running(self, host, what, *args):
        """Whether the host runs now. What stands still gets it later, in its order; what is down never."""
        if not host.running:
            return False
        if self.now < host.stopped_until:
            self.at_time(host.stopped_until, what, *args)
            return False
        return True

    # -- time
    def at(self, after, what, *args):
        self.at_time(self.now + max(after, 0.0), what, *args)

    def at_time(self, at, what, *args):
        """What is due at one time comes in the order in which it was asked for."""
        heapq.heappush(self.due, (at, next(self.order), what, args))

    def _repeat(self, mean_s, what):
        def again():
            self.at(self.rng.uniform(0.3, 1.7) * mean_s, again)
            what()

        self.at(self.rng.random() * mean_s, again)

    def run(self, seconds):
        end = self.now + seconds
        with patch.object(snapshot, "PIECE_TARGET_BYTES", PIECE_BYTES):
            while self.due and self.due[0][0] <= end:
                self.now, _, what, args = heapq.heappop(self.due)
                what(*args)
        self.now = end

    def _wake(self, host):
        earliest = min(part.next_at for part in host.parts)
        at = max(host.clock.true(earliest), self.now + 0.001, host.stopped_until)
        if host.tick_at <= self.now or at < host.tick_at:
            host.tick_at = at
            self.at(at - self.now, self._tick, host, host.life, at)

    def _tick(self, host, life, at):
        if host.life != life or host.tick_at != at or not host.running:
            return
        host.tick_at = 0.0
        if self.now < host.stopped_until:
            self._wake(host)
            return
        for part in host.parts:
            part.tick(host.local())
        self.collect(host)

    # -- what a host wants done
    def collect(self, host):
        """Carries out what the host's parts want, until they want nothing."""
        if not host.running or self.now < host.stopped_until:
            return
        if host.voter is not None:
            self._collect_voter(host)
            if not host.running:
                return
        if host.follower is not None:
            self._collect_follower(host)
        if host.relay is not None and host.running:
            self._collect_relay(host)
        if host.running:
            self._wake(host)

    def _collect_voter(self, host):
        out = host.voter.drain_output()
        disk = self.disks[host.name]
        for seq, record in out.records:
            disk.records.append(voting.encode(record))
            self.at(self.rng.uniform(*self.chaos.sync), self._synced, host, host.life, seq, len(disk.records))
        for to, message in out.to_voters:
            self._datagram(host, to, self._from_voter, (self.now, voting.encode(message)))
        for to, told in out.to_brokers:
            self._datagram(host, to, self._told, saying.encode(told))
        for to, message in host.holder.drain_output():
            self._datagram(host, to, self._from_holder, saying.encode(message))
        if (
            host.control.log_changed
            and host.voter.is_leader
            and not self.healed
            and self.rng.random() < self.chaos.caught
        ):
            self._count("crash before fan-out")
            self._crash(host.name, self.rng.random() * 3.0)
            return
        led = host.publisher.epoch
        if host.control.synchronize(host.local()):
            self.judge.voter(host.name, host.life, host.machine.log)
        if host.publisher.epoch not in (0, led):
            self._count("lease")
        for action in host.control.take_actions():
            match action:
                case Propose(leader, command):
                    self._propose(host, leader, command)
                case ReportSummary(publisher, summary):
                    self._datagram(host, publisher, self._summary, summary)
                case ChangesAbandoned(changes):
                    self.judge.rested(host.name, changes)

    def _synced(self, host, life, seq, length):
        if host.life != life or not host.running:
            return
        disk = self.disks[host.name]
        disk.synced = max(disk.synced, length)
        if self.when_running(host, self._synced, host, life, seq, length):
            host.voter.persisted(host.local(), seq)
            self.collect(host)

    def _collect_follower(self, host):
        local = host.local()
        for action in host.follower.take_actions():
            match action:
                case Connect(attempt, address):
                    self._connect(host, attempt, self.hosts[address.name])
                case Send(attempt, data):
                    stream = self._stream_of(host, attempt)
                    if stream is not None:
                        stream.up.write(data)
                case Disconnect(attempt):
                    stream = self._stream_of(host, attempt)
                    if stream is not None:
                        cut = self.is_cut(host, stream.relay)
                        stream.end(host, None if cut else self.latency(host, stream.relay))
                case Install():
                    self.judge.installed(host.name, action, host.log)
                    host.follower.applied(local, action.revision)
                    if host.relay is not None:
                        host.relay.log_advanced(local)
                case MessageRejected(_, error):
                    self._count(type(error).__name__)
                    stream = self._stream_of(host, host.follower.attempt)
                    self.judge.rejected(host.name, error, stream is None or stream.lied_to)
        if self.rng.random() < UNCHANGED_LOOKS:
            self.judge.unchanged(host.name, host.log)
        if host.relay is not None:
            host.relay.mark_current(local, local - host.follower.age_s(local))

    def _collect_relay(self, host):
        for action in host.relay.take_actions():
            stream = self.streams.get(action.session)
            if stream is None or stream.relay is not host:
                continue
            match action:
                case SendTo(_, data):
                    told = [data] if host.liar is None else host.liar.told(data, action.session)
                    stream.lied_to = stream.lied_to or told != [data]
                    for frame in told:
                        stream.send_down(frame)
                    self._watch_stream(host, stream)
                case Close():
                    self._count("closed by relay")
                    stream.end(host, self.latency(host, stream.follower))
        if host.control is None and self.now >= host.summary_at:
            host.summary_at = self.now + SUMMARY_S
            summary = host.relay.summary()
            for name in self.voters:
                self._datagram(host, name, self._summary, summary)

    # -- connections
    def _connect(self, host, attempt, relay):
        if self.is_cut(host, relay) or not relay.running:
            if self.rng.random() < 0.5 and not relay.running:  # refused; else nothing is heard
                self.at(self.latency(host, relay), self._refused, host, host.life, attempt)
            return
        number = next(self.numbers)
        self.streams[number] = stream = Stream(self, number, host, attempt, relay)
        delay = self.latency(host, relay)
        self.at(delay, self._opened, stream)
        self.at(2 * delay, self._connected, stream)

    def _refused(self, host, life, attempt):
        if host.life == life and self.when_running(host, self._refused, host, life, attempt):
            host.follower.closed(host.local(), attempt)
            self.collect(host)

    def _opened(self, stream):
        if stream.alive(stream.relay) and stream.down.open and self.when_running(stream.relay, self._opened, stream):
            stream.relay.relay.opened(stream.relay.local(), stream.number)
            self.collect(stream.relay)

    def _connected(self, stream):
        host = stream.follower
        if stream.alive(host) and stream.down.open and self.when_running(host, self._connected, stream):
            host.follower.connected(host.local(), stream.attempt)
            self.collect(host)

    def _stream_of(self, host, attempt):
        for stream in self.streams.values():
            if stream.follower is host and stream.attempt == attempt and stream.lives[0] == host.life:
                return stream
        return None

    # -- the network
    def is_cut(self, host, other):
        return self.cuts.get((host.name, other.name), 0.0) > self.now

    def latency(self, host, other):
        far = 0.0 if host.region == other.region else 0.01
        return far + self.rng.uniform(*self.chaos.delay)

    def _datagram(self, source, to, what, data):
        if to not in self.hosts or self.rng.random() < self.chaos.loss:
            return
        delay = self.latency(source, self.hosts[to])
        if self.rng.random() < self.chaos.late:
            delay += self.rng.random() * self.chaos.late_s
        self.at(delay, self._datagram_arrives, source, self.hosts[to], what, data)

    def _propose(self, source, to, command):
        """Datagrams like others, whose order nobody keeps. One in a few is also delivered once more, much later: an old
        publisher's part after a new epoch."""
        if to not in self.hosts:
            return
        self._datagram(source, to, self._proposed, command)
        if self.rng.random() < self.chaos.late:
            again_to = self.hosts[self.rng.choice(self.voters)]
            self.at(self.rng.random() * 6.0, self._datagram_arrives, source, again_to, self._proposed, command)

    def _datagram_arrives(self, source, host, what, data):
        if self.is_cut(source, host):
            return
        if self.when_running(host, self._datagram_arrives, source, host, what, data):
            what(host, data)
            self.collect(host)

    def _from_voter(self, host, datagram):
        sent_at, data = datagram
        before = host.voter.confirmed_at
        host.voter.receive_from_voter(host.local(), voting.decode(data))
        if host.voter.confirmed_at > before:
            host.age_bound_s = SLACK_S if host.voter.is_leader else self.voter_bound_s() + self.now - sent_at

    def _from_holder(self, host, data):
        host.voter.receive_from_broker(host.local(), saying.decode(data))

    def _told(self, host, data):
        host.holder.receive_reply(host.local(), saying.decode(data))

    def _proposed(self, host, data):
        host.voter.propose(host.local(), data)

    def _summary(self, host, summary):
        host.publisher.record_summary(host.local(), summary)

    # -- changes
    def _submit(self):
        for name in self.voters:
            host = self.hosts[name]
            if host.running and self.now >= host.stopped_until and host.publisher.epoch and not self.healed:
                self._submit_to(host, self.rng.randint(1, 4))

    def _submit_to(self, host, number):
        changes = [self._change() for _ in range(number)]
        if self.rng.random() < 0.2:
            changes.append(Change(changes[0].key, self._value()))  # two of one key: the later stands
        if not host.publisher.submit(host.local(), changes):
            self.judge.submitted(host.name, changes)
        self.collect(host)

    def _change(self):
        key = f"node/{self.rng.randrange(KEYS)}"
        return Change(key, None if self.rng.random() < 0.2 else self._value())

    def _value(self):
        size = self.rng.choice((5, 40, 40, 200, 200, 1200))
        return f"{next(self.values)} ".encode() + self.rng.randbytes(size)

    # -- troubles
    def _trouble(self):
        if self.healed:
            return
        kind, name = self.rng.choice(self.chaos.troubles), self.rng.choice(list(self.hosts))
        self._count(kind)
        control = self.hosts[self.rng.choice(self.voters)]
        match kind:
            case "crash":
                self._crash(name, self.rng.choice((0.05, 1.0, 6.0)) * self.rng.random())
            case "crash leader":
                for leader in [h.name for h in self._controls() if h.voter.is_leader]:
                    self._crash(leader, self.rng.random() * 4.0)
            case "crash mid-snapshot":
                loading = [
                    h for h in self.hosts.values() if h.running and h.relay is not None and h.relay.transfers.active
                ]
                for host in loading[:1]:
                    self._crash(host.name, self.rng.random() * 2.0)
            case "stop relay":
                self._stop(self.hosts[self.rng.choice(self.relays).name], self.chaos.stop_s)
            case "stop followers":
                for host in self._brokers():
                    if self.rng.random() < 0.2:
                        self._stop(host, self.chaos.follower_stop_s)
            case "cut region":
                region = self.rng.choice(REGIONS)
                self._cut([h for h in self.hosts.values() if h.region == region])
            case "cut control":
                self._cut([control], one_way=self.rng.random() < 0.3)
            case "zone back":
                region, back_s = self.rng.choice(REGIONS), self.rng.random() * 3.0
                for host in self._brokers():
                    if host.region == region:
                        self._crash(host.name, back_s)
                self.at(back_s + 0.3, self._burst, 10)  # drains while snapshots are on their way
            case "lie":
                liar = self.hosts[self.rng.choice(self.relays).name]
                liar.liar = Liar(self.rng)
                self.at(1.0 + self.rng.random() * 4.0, self._lies_no_more, liar)
            case "break":
                for stream in list(self.streams.values()):
                    if self.rng.random() < 0.1:
                        stream.breaks(self.rng.random() < 0.8, self.rng.random() < 0.8)
            case "damage":
                self._damage(self.rng.choice(self._brokers()))
            case "burst":
                self._burst(self.rng.randint(5, 40))
            case "give back" if control.running:
                control.holder.release(control.local())
            case "cede" if control.running and self.now >= control.stopped_until:
                control.voter.raft.transfer_leadership(control.local())
                self.collect(control)

    def _damage(self, host):
        """A replica's memory changes under it, and its connection breaks: the next relay must see that."""
        stream = self._stream_of(host, host.follower.attempt) if host.running else None
        if stream is None or not len(host.log.content):
            return
        key, _ = self.rng.choice(sorted(host.log.content.items()))
        host.log.content.apply([Change(key, b"damaged")])
        self.judge.followers[host.name].damaged = True
        stream.breaks(True, True)

    def _burst(self, left):
        """Publications in a row, faster than slow followers take them."""
        for host in self._controls():
            if host.publisher.epoch:
                self._submit_to(host, 2)
        if left and not self.healed:
            self.at(0.07, self._burst, left - 1)

    def _stop(self, host, most_s):
        if host.running:
            host.stopped_until = max(host.stopped_until, self.now + most_s * self.rng.random())
            self._wake(host)

    def _cut(self, hosts, one_way=False):
        """Nothing gets through between these and all others."""
        until = self.now + self.rng.choice(self.chaos.cut_s) * self.rng.uniform(0.5, 1.0)
        inside = {host.name for host in hosts}
        for name in inside:
            for other in self.hosts.keys() - inside:
                self.cuts[name, other] = until
                if not one_way:
                    self.cuts[other, name] = until

    def _lies_no_more(self, host):
        host.liar = None

    def _controls(self):
        return [h for h in map(self.hosts.get, self.voters) if h.running and self.now >= h.stopped_until]

    def _brokers(self):
        return [h for h in self.hosts.values() if h.name.startswith("f")]

    def _count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    # -- what the judge sees
    def _watch(self):
        for host in self.hosts.values():
            if not host.running:
                continue
            if host.voter is not None and self.now >= host.stopped_until:
                self.collect(host)
            if host.follower is not None:
                self._watch_age(host, host.follower)
            if host.voter is not None:
                self._watch_age(host, host.relay)
            if host.relay is not None:
                self._watch_relay(host)

    def _watch_stream(self, host, stream):
        if not stream.lied_to:
            allowed = RELAY.send_window + stream.largest_frame
            self.judge.in_flight(host.name, stream.number, len(stream.down.waiting), allowed)

    def _watch_age(self, host, part):
        self.judge.age(self.now, host.name, host.log.revision, part.age_s(host.local()), host.age_bound_s)

    def _watch_relay(self, host):
        images = [s.image for s in host.relay.sessions.values() if s.image is not None]
        loading = len(images)
        kept = {id(image) for image in (*images, host.relay.transfers.cache.image) if image is not None}
        self.judge.relay(
            host.name,
            len(kept),
            loading,
            RELAY.max_concurrent_snapshots,
        )

    # -- the end
    def heal(self):
        """No more troubles, and a good network from here on."""
        self.healed = True
        self.chaos = replace(self.chaos, loss=0.0, late=0.0)
        self.cuts = {}
        for host in self.hosts.values():
            host.liar = None

    def settles(self, seconds):
        """Whether all is settled within that time; what is not, or nothing."""
        end = self.now + seconds
        while wrong := self.unsettled():
            if self.now >= end:
                return wrong
            self.run(0.5)
        self.judge.quiet()
        return ""

    def unsettled(self):
        """What stands against all holding the newest revision and the publisher knowing it."""
        newest = self.judge.agreed.newest
        if any(not host.running for host in self.hosts.values()):
            return "a host is down"
        publishers = [host for host in self._controls() if host.publisher.epoch]
        if len(publishers) != 1:
            return f"{len(publishers)} publishers"
        publisher = publishers[0].publisher
        if not publisher.is_idle:
            return "a publication is on its way"
        behind = [h.name for h in self.hosts.values() if h.log.revision != newest]
        if behind:
            return f"behind: {behind}"
        if len({host.log.content.digest() for host in self.hosts.values()}) != 1:
            return "digests differ"
        progress = publisher.progress(publishers[0].local(), newest)
        followers = sum(host.follower is not None for host in self.hosts.values())
        if (progress.followers, progress.applied) != (followers, followers):
            return f"progress says {progress.applied} of {progress.followers}, {followers} run"
        return ""


TROUBLED_S, QUIET_S = 25.0, 60.0


def play(world):
    """A world's whole life: troubles, then quiet. What has not settled, or nothing; raises `Broken`."""
    world.run(TROUBLED_S)
    world.heal()
    return world.settles(QUIET_S)
