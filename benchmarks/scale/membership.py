"""Scale benchmark of membership (SWIM), by number of members: datagrams, bytes, processor time and memory of a member,
and the time until all members know of a death.

The members run only the product's `Swim`, over the simulated network. They start as members of a fleet that has been
running for a long time: each knows all others, and full exchanges are spread over time. A datagram is counted where it
is sent; as many are received. Bytes are those of the bodies, without the 33 bytes of the seal and the UDP header.
Processor time is that of `Swim`, including decoding and encoding. Seals are measured separately; sockets are left out.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass

from badgerbend.membership.messages import MAX_DATAGRAM_BYTES, SEAL_BYTES, MemberState, Sync
from badgerbend.membership.swim import Address, Member, Swim, SwimConfig, SwimOutput
from badgerbend.net.seal import DatagramSealer
from badgerbend.standin.network import Network
from scale.figures import Figure, Kind, Part
from scale.planned_fleet import BROKERS, ZONES, restarts_expected

CONFIG = SwimConfig()
WINDOW_S = CONFIG.sync_every_periods * CONFIG.probe_interval_s  # each member begins one full exchange in this time
SEEDS = 3
MAX_VICTIMS = 3  # members that die at the same time, so that one run yields several times until a death is known
DEATH_KNOWN_TIMEOUT_S = 300.0
ZONE_DOWN_S = 20.0  # long enough for most members to learn of the deaths
ZONE_BACK_S = 20.0
PORT = 7946
STARTED_MS = 1_760_000_000_000  # an incarnation is the time of a start
SYNC_TAG = Sync.__struct_config__.tag  # a message is an array whose first item is the tag
SEALED_DATAGRAMS = 1000  # datagrams whose mean time is measured
KEY, SENDER = b"k" * 32, b"10.123.45.67:7946"
METADATA = "10.123.45.67:7947"  # as long as the metadata of a broker


# -- a network that measures its members


class MeteredSwim(Swim):
    """A member that counts what it sends and its processor time. Its metadata is as long as a broker's."""

    def __init__(
        self, name: str, address: Address, incarnation: int, metadata: str, config: SwimConfig, seed: int
    ) -> None:
        super().__init__(name, address, STARTED_MS + incarnation, METADATA, config, seed)
        self.cpu_s = 0.0
        self.sent = self.bytes = 0
        self.exchanged = 0  # of the datagrams sent: parts of full exchanges

    def receive(self, now: float, data: bytes, source: Address) -> None:
        began = time.process_time()
        super().receive(now, data, source)
        self.cpu_s += time.process_time() - began

    def tick(self, now: float) -> None:
        began = time.process_time()
        super().tick(now)
        self.cpu_s += time.process_time() - began

    def take_output(self) -> SwimOutput:
        output = super().take_output()
        self.sent += len(output.datagrams)
        self.bytes += sum(len(datagram.payload) for datagram in output.datagrams)
        self.exchanged += sum(datagram.payload[1] == SYNC_TAG for datagram in output.datagrams)
        return output


class MeteredNetwork(Network):
    member_class = MeteredSwim

    def address(self, name: str) -> Address:
        return (name, PORT)


@dataclass(frozen=True, slots=True)
class Usage:
    """What members used in a window, per member and second, and what the busiest member sent."""

    datagrams: float
    exchanged: float  # of the datagrams: parts of full exchanges
    bytes: float
    cpu_s: float
    max_bytes_per_s: float  # bytes per second that the busiest member sent over the window
    max_bytes_in_a_second: int  # bytes that one member sent in its busiest second


@dataclass(slots=True)
class _MemberUsage:
    """What one member has used since its start."""

    member: MeteredSwim  # the object itself, since the id() of a member that ended may be reused by another
    datagrams: int = 0
    exchanged: int = 0
    bytes: int = 0
    cpu_s: float = 0.0

    def minus(self, earlier: _MemberUsage) -> _MemberUsage:
        return _MemberUsage(
            self.member,
            self.datagrams - earlier.datagrams,
            self.exchanged - earlier.exchanged,
            self.bytes - earlier.bytes,
            self.cpu_s - earlier.cpu_s,
        )


class Meter:
    """Advances the network and measures what members use; a member that starts meanwhile counts from its start."""

    def __init__(self, network: Network) -> None:
        self.network, self.began = network, network.now
        self.before = self._read()
        self.max_bytes_in_a_second = 0

    def run(self, seconds: float) -> None:
        end = self.network.now + seconds
        while self.network.now < end:
            before = self._read()
            self.network.run(min(1.0, end - self.network.now))
            self.max_bytes_in_a_second = max([self.max_bytes_in_a_second, *(row.bytes for row in self._since(before))])

    def usage(self) -> Usage:
        seconds = self.network.now - self.began
        rows = self._since(self.before)
        member_seconds = len(rows) * seconds
        return Usage(
            sum(row.datagrams for row in rows) / member_seconds,
            sum(row.exchanged for row in rows) / member_seconds,
            sum(row.bytes for row in rows) / member_seconds,
            sum(row.cpu_s for row in rows) / member_seconds,
            max(row.bytes for row in rows) / seconds,
            self.max_bytes_in_a_second,
        )

    def _read(self) -> dict[str, _MemberUsage]:
        members = ((n, m) for n, m in self.network.members.items() if isinstance(m, MeteredSwim))
        return {n: _MemberUsage(m, m.sent, m.exchanged, m.bytes, m.cpu_s) for n, m in members}

    def _since(self, before: dict[str, _MemberUsage]) -> list[_MemberUsage]:
        usages = []
        for name, row in self._read().items():
            old = before.get(name)
            if old is None or old.member is not row.member:
                old = _MemberUsage(row.member)
            usages.append(row.minus(old))
        return usages


# -- a fleet that has been running for a long time


def fleet(size: int, seed: int) -> MeteredNetwork:
    """Returns a network of members that all know each other."""
    network = MeteredNetwork(seed, CONFIG)
    rng = random.Random(seed)
    for name in names(size):
        network.start(name)
    for member in network.members.values():
        introduce_all(member, network)
        # The frequent exchanges of the first periods are over; each member is at a random point between two later ones.
        member.periods = CONFIG.sync_every_periods + rng.randrange(CONFIG.sync_every_periods)
    gc.collect()
    gc.freeze()  # a million rows stay until the end, so the garbage collector need not scan them repeatedly
    return network


def introduce_all(member: Swim, network: Network) -> None:
    """Makes a member know all others as alive; its seeds are the first of them."""
    member.seeds = tuple(other.address for other in list(network.members.values())[:SEEDS] if other is not member)
    for other in network.members.values():
        if other is not member:
            row = Member(other.name, other.address, MemberState.ALIVE, other.incarnation, other.metadata, network.now)
            member.members[other.name] = row


def names(size: int) -> list[str]:
    return [f"broker-{i}" for i in range(size)]


# -- scenarios


def quiet(network: Network) -> Usage:
    """Measures a window without any events, in which each member begins one full exchange."""
    meter = Meter(network)
    meter.run(WINDOW_S)
    return meter.usage()


def one_restart(network: Network) -> Usage:
    """One member crashes, and restarts two periods later without knowing any other member than the seeds."""
    meter = Meter(network)
    victim = list(network.members)[-1]
    network.crash(victim)
    meter.run(2 * CONFIG.probe_interval_s)
    network.start(victim, tuple(list(network.members)[:SEEDS]))
    meter.run(WINDOW_S - 2 * CONFIG.probe_interval_s)
    return meter.usage()


def deaths(network: Network) -> list[float]:
    """Some members die at the same time. Returns, for each, the time until all others knew."""
    size = len(network.members)
    victims = list(network.members)[-min(MAX_VICTIMS, max(1, size // ZONES)) :]
    for victim in victims:
        network.crash(victim)
    network.events.clear()
    began, read = network.now, 0
    unaware = {victim: set(network.members) for victim in victims}
    known_at: dict[str, float] = {}

    def all_know() -> bool:
        nonlocal read
        for at, by, event in network.events[read:]:
            if event.name in unaware and event.state == MemberState.DEAD:
                unaware[event.name].discard(by)
                if not unaware[event.name]:
                    known_at.setdefault(event.name, at - began)
        read = len(network.events)
        return len(known_at) == len(victims)

    if not network.run(DEATH_KNOWN_TIMEOUT_S, all_know):
        raise RuntimeError(f"{size} members: not all of them knew of a death within {DEATH_KNOWN_TIMEOUT_S:g} s")
    return list(known_at.values())


def zone_down_and_back(network: Network) -> tuple[Usage, Usage]:
    """All members of a zone crash together and later restart together. The seeds are in other zones.

    Returns what the other members used while the zone was down, and what all members used once it was back.
    """
    lost = list(network.members)[-max(1, len(network.members) // ZONES) :]
    for name in lost:
        network.crash(name)
    away = Meter(network)
    away.run(ZONE_DOWN_S)
    seeds = tuple(list(network.members)[:SEEDS])
    back = Meter(network)
    for name in lost:
        network.start(name, seeds)
    back.run(ZONE_BACK_S)
    return away.usage(), back.usage()


# -- memory


def memory_bytes(size: int) -> int:
    """Returns the bytes of memory that one member uses once it has learned of all others from datagrams."""
    sender = Swim("teller", ("teller", 1), 1, "", CONFIG, 1)
    for i, name in enumerate(names(size)):
        sender.members[name] = Member(
            name, (f"10.123.{i // 256}.{i % 256}", PORT), MemberState.ALIVE, STARTED_MS, METADATA, 0.0
        )
    sender.send_full_state(("learner", 1), reply_requested=False)
    payloads = [datagram.payload for datagram in sender.take_output().datagrams]
    gc.collect()
    tracemalloc.start()
    receiver = Swim("learner", ("learner", 1), 1, "", CONFIG, 2)
    for data in payloads:
        receiver.receive(0.0, data, sender.address)
    receiver.take_output()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


# -- seals


def seal_and_open_s() -> float:
    """Returns the processor seconds to seal and open one datagram of the maximum size."""
    ours, theirs = DatagramSealer((KEY,), 1), DatagramSealer((KEY,), 1)
    body = bytes(MAX_DATAGRAM_BYTES - SEAL_BYTES)
    began = time.process_time()
    for _ in range(SEALED_DATAGRAMS):
        theirs.open(ours.seal(body, SENDER), SENDER)
    return (time.process_time() - began) / SEALED_DATAGRAMS


# -- figures


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    return [figure for size in sizes for figure in at_size(size, seed)]


def at_size(size: int, seed: int) -> list[Figure]:
    network = fleet(size, seed)
    network.run(2 * CONFIG.probe_interval_s)  # by then every member is probing
    quiet_usage = quiet(network)
    results = _usage_figures(size, "quiet", quiet_usage)
    restart = one_restart(network)
    results += _usage_figures(size, "one restart", restart)
    results += _usage_figures(size, "churn", ordinary_day(quiet_usage, restart, restarts_expected(size, WINDOW_S)))
    known = deaths(network)
    results += [
        Figure("membership", "death", "known by all, mean", "s", size, sum(known) / len(known), Kind.SIMULATED),
        Figure("membership", "death", "known by all, most", "s", size, max(known), Kind.SIMULATED),
    ]
    away, back = zone_down_and_back(network)
    results += _usage_figures(size, "zone gone", away) + _usage_figures(size, "zone back", back)
    network.members.clear()
    gc.unfreeze()
    sealing = quiet_usage.datagrams * seal_and_open_s() * 1000.0
    results.append(Figure("membership", "quiet", "processor time of seals", "ms/s", size, sealing, Kind.MEASURED))
    memory_mb = memory_bytes(size) / 2**20
    return [*results, Figure("membership", "quiet", "memory a member", "MB", size, memory_mb, Kind.MEASURED)]


def ordinary_day(quiet_usage: Usage, restart: Usage, restarts: float) -> Usage:
    """Interpolates a window with as many restarts as an ordinary day has in it, mostly fewer than one."""
    return Usage(
        quiet_usage.datagrams + (restart.datagrams - quiet_usage.datagrams) * restarts,
        quiet_usage.exchanged + (restart.exchanged - quiet_usage.exchanged) * restarts,
        quiet_usage.bytes + (restart.bytes - quiet_usage.bytes) * restarts,
        quiet_usage.cpu_s + (restart.cpu_s - quiet_usage.cpu_s) * restarts,
        quiet_usage.max_bytes_per_s,
        quiet_usage.max_bytes_in_a_second,
    )


def _usage_figures(size: int, scenario: str, usage: Usage) -> list[Figure]:
    rows = (
        ("datagrams a member", "1/s", usage.datagrams, Kind.SIMULATED),
        ("datagrams a member, of full exchanges", "1/s", usage.exchanged, Kind.SIMULATED),
        ("bytes a member", "B/s", usage.bytes, Kind.SIMULATED),
        ("bytes, the member that sent most", "B/s", usage.max_bytes_per_s, Kind.SIMULATED),
        ("bytes of one member in its busiest second", "B", usage.max_bytes_in_a_second, Kind.SIMULATED),
        ("processor time a member", "ms/s", usage.cpu_s * 1000.0, Kind.MEASURED),
    )
    return [Figure("membership", scenario, quantity, unit, size, value, kind) for quantity, unit, value, kind in rows]


PART = Part("membership", "members", (64, 256, 1024, BROKERS), (8, 16, 32), BROKERS, measure)
