"""What membership (SWIM) costs a member, by members: datagrams, bytes, processor time, memory; and how soon a death is
known.

Hollow brokers: the product's `Swim` alone, over the simulated network. They start as members of a fleet that has run
for long: each holds all others, and full exchanges are spread over time. A datagram is counted where it is sent; as
many are received. Counted are bodies, without the 33 bytes of a seal and those of UDP; processor time is that within
`Swim`, decoding and encoding included; that of seals is measured by itself, sockets are left out.
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
from scale.fleetsize import BROKERS, ZONES, restarts_expected

CONFIG = SwimConfig()
WINDOW_S = CONFIG.sync_every_periods * CONFIG.probe_interval_s  # each member begins one full exchange in it
SEEDS = 3
VICTIMS_MOST = 3  # that die at the same time: as many times until all know, for the price of one run
KNOWN_WITHIN_S = 300.0
ZONE_DOWN_S = 20.0  # long enough that its members' deaths are known to most
ZONE_BACK_S = 20.0
PORT = 7946
STARTED_MS = 1_760_000_000_000  # an incarnation is the time of a start
SYNC_TAG = Sync.__struct_config__.tag  # a message is an array, its tag the first item
SEALED = 1000  # datagrams, of which the time of one is the mean
KEY, SENDER = b"k" * 32, b"10.123.45.67:7946"
METADATA = "10.123.45.67:7947"  # as long as what a broker says of itself


# -- a network that meters its members


class MeteredSwim(Swim):
    """A member that counts what it sends, and the processor time within it; its news are as long as a broker's."""

    def __init__(
        self, name: str, address: Address, incarnation: int, metadata: str, config: SwimConfig, seed: int
    ) -> None:
        super().__init__(name, address, STARTED_MS + incarnation, METADATA, config, seed)
        self.spent_s = 0.0
        self.sent = self.bytes = 0
        self.exchanged = 0  # of those sent: parts of a full exchange

    def receive(self, now: float, data: bytes, source: Address) -> None:
        began = time.process_time()
        super().receive(now, data, source)
        self.spent_s += time.process_time() - began

    def tick(self, now: float) -> None:
        began = time.process_time()
        super().tick(now)
        self.spent_s += time.process_time() - began

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
class Spent:
    """What members spent in a window, a member and a second; and what the busiest of them sent."""

    datagrams: float
    exchanged: float  # of these: parts of full exchanges
    bytes: float
    cpu_s: float
    bytes_most: float  # a second, over the window
    burst: int  # in one second


@dataclass(slots=True)
class _Sent:
    """What one member has spent in its life so far."""

    life: MeteredSwim  # itself, not its id: that of a member which ended may be another one's by now
    datagrams: int = 0
    exchanged: int = 0
    bytes: int = 0
    cpu_s: float = 0.0

    def minus(self, earlier: _Sent) -> _Sent:
        return _Sent(
            self.life,
            self.datagrams - earlier.datagrams,
            self.exchanged - earlier.exchanged,
            self.bytes - earlier.bytes,
            self.cpu_s - earlier.cpu_s,
        )


class Meter:
    """Lets time pass and measures what members spend. Who begins meanwhile counts from its own start."""

    def __init__(self, network: Network) -> None:
        self.network, self.began = network, network.now
        self.before = self._read()
        self.burst = 0

    def run(self, seconds: float) -> None:
        end = self.network.now + seconds
        while self.network.now < end:
            before = self._read()
            self.network.run(min(1.0, end - self.network.now))
            self.burst = max([self.burst, *(row.bytes for row in self._since(before))])

    def spent(self) -> Spent:
        seconds = self.network.now - self.began
        rows = self._since(self.before)
        both = len(rows) * seconds
        return Spent(
            sum(row.datagrams for row in rows) / both,
            sum(row.exchanged for row in rows) / both,
            sum(row.bytes for row in rows) / both,
            sum(row.cpu_s for row in rows) / both,
            max(row.bytes for row in rows) / seconds,
            self.burst,
        )

    def _read(self) -> dict[str, _Sent]:
        members = ((n, m) for n, m in self.network.members.items() if isinstance(m, MeteredSwim))
        return {n: _Sent(m, m.sent, m.exchanged, m.bytes, m.spent_s) for n, m in members}

    def _since(self, before: dict[str, _Sent]) -> list[_Sent]:
        out = []
        for name, row in self._read().items():
            old = before.get(name)
            if old is None or old.life is not row.life:
                old = _Sent(row.life)
            out.append(row.minus(old))
        return out


# -- a fleet that has run for long


def fleet(size: int, seed: int) -> MeteredNetwork:
    """Members that all hold each other."""
    network = MeteredNetwork(seed, CONFIG)
    rng = random.Random(seed)
    for name in names(size):
        network.start(name)
    for member in network.members.values():
        acquaint(member, network)
        # beyond the frequent exchanges of a member's first periods, and each at its own place between two later ones
        member.periods = CONFIG.sync_every_periods + rng.randrange(CONFIG.sync_every_periods)
    gc.collect()
    gc.freeze()  # a million rows that stay: the collector need not look at them again and again
    return network


def acquaint(member: Swim, network: Network) -> None:
    """The member holds all others alive, and its seeds are the first of them."""
    member.seeds = tuple(other.address for other in list(network.members.values())[:SEEDS] if other is not member)
    for other in network.members.values():
        if other is not member:
            row = Member(other.name, other.address, MemberState.ALIVE, other.incarnation, other.metadata, network.now)
            member.members[other.name] = row


def names(size: int) -> list[str]:
    return [f"broker-{i}" for i in range(size)]


# -- scenarios


def quiet(network: Network) -> Spent:
    """Nothing happens for as long as each member takes to begin one full exchange."""
    meter = Meter(network)
    meter.run(WINDOW_S)
    return meter.spent()


def one_restart(network: Network) -> Spent:
    """One member is killed and begins anew two periods later, knowing nobody."""
    meter = Meter(network)
    victim = list(network.members)[-1]
    network.crash(victim)
    meter.run(2 * CONFIG.probe_interval_s)
    network.start(victim, tuple(list(network.members)[:SEEDS]))
    meter.run(WINDOW_S - 2 * CONFIG.probe_interval_s)
    return meter.spent()


def deaths(network: Network) -> list[float]:
    """Some members die at the same time; for each, how long it took until all others knew."""
    size = len(network.members)
    victims = list(network.members)[-min(VICTIMS_MOST, max(1, size // ZONES)) :]
    for victim in victims:
        network.crash(victim)
    network.events.clear()
    began, read = network.now, 0
    unknowing = {victim: set(network.members) for victim in victims}
    known_at: dict[str, float] = {}

    def all_know() -> bool:
        nonlocal read
        for at, by, event in network.events[read:]:
            if event.name in unknowing and event.state == MemberState.DEAD:
                unknowing[event.name].discard(by)
                if not unknowing[event.name]:
                    known_at.setdefault(event.name, at - began)
        read = len(network.events)
        return len(known_at) == len(victims)

    if not network.run(KNOWN_WITHIN_S, all_know):
        raise RuntimeError(f"{size} members: a death was not known by all within {KNOWN_WITHIN_S:g} s")
    return list(known_at.values())


def zone_lost_and_back(network: Network) -> tuple[Spent, Spent]:
    """A zone's members are gone at once, and begin anew at once: the others while it is away, and all once it is back.

    The seeds are in other zones.
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
    return away.spent(), back.spent()


# -- memory


def bytes_held(size: int) -> int:
    """What one member holds once it has learned of all others from their datagrams."""
    teller = Swim("teller", ("teller", 1), 1, "", CONFIG, 1)
    for i, name in enumerate(names(size)):
        teller.members[name] = Member(
            name, (f"10.123.{i // 256}.{i % 256}", PORT), MemberState.ALIVE, STARTED_MS, METADATA, 0.0
        )
    teller.send_full_state(("learner", 1), reply_requested=False)
    payloads = [datagram.payload for datagram in teller.take_output().datagrams]
    gc.collect()
    tracemalloc.start()
    learner = Swim("learner", ("learner", 1), 1, "", CONFIG, 2)
    for data in payloads:
        learner.receive(0.0, data, teller.address)
    learner.take_output()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held


# -- seals


def sealing_s() -> float:
    """Processor seconds to close one full datagram and to open another."""
    ours, theirs = DatagramSealer((KEY,), 1), DatagramSealer((KEY,), 1)
    body = bytes(MAX_DATAGRAM_BYTES - SEAL_BYTES)
    began = time.process_time()
    for _ in range(SEALED):
        theirs.open(ours.seal(body, SENDER), SENDER)
    return (time.process_time() - began) / SEALED


# -- figures


def measure(sizes: Sequence[int], seed: int) -> list[Figure]:
    return [figure for size in sizes for figure in at_size(size, seed)]


def at_size(size: int, seed: int) -> list[Figure]:
    network = fleet(size, seed)
    network.run(2 * CONFIG.probe_interval_s)  # probes are under way everywhere
    calm = quiet(network)
    found = _spent(size, "quiet", calm)
    restart = one_restart(network)
    found += _spent(size, "one restart", restart)
    found += _spent(size, "churn", ordinary(calm, restart, restarts_expected(size, WINDOW_S)))
    known = deaths(network)
    found += [
        Figure("membership", "death", "known by all, mean", "s", size, sum(known) / len(known), Kind.SIMULATED),
        Figure("membership", "death", "known by all, most", "s", size, max(known), Kind.SIMULATED),
    ]
    away, back = zone_lost_and_back(network)
    found += _spent(size, "zone gone", away) + _spent(size, "zone back", back)
    network.members.clear()
    gc.unfreeze()
    sealing = calm.datagrams * sealing_s() * 1000.0
    found.append(Figure("membership", "quiet", "processor time of seals", "ms/s", size, sealing, Kind.MEASURED))
    held = bytes_held(size) / 2**20
    return [*found, Figure("membership", "quiet", "memory a member", "MB", size, held, Kind.MEASURED)]


def ordinary(calm: Spent, restart: Spent, restarts: float) -> Spent:
    """A window with as many restarts as an ordinary day brings in it: mostly fewer than one."""
    return Spent(
        calm.datagrams + (restart.datagrams - calm.datagrams) * restarts,
        calm.exchanged + (restart.exchanged - calm.exchanged) * restarts,
        calm.bytes + (restart.bytes - calm.bytes) * restarts,
        calm.cpu_s + (restart.cpu_s - calm.cpu_s) * restarts,
        calm.bytes_most,
        calm.burst,
    )


def _spent(size: int, scenario: str, spent: Spent) -> list[Figure]:
    rows = (
        ("datagrams a member", "1/s", spent.datagrams, Kind.SIMULATED),
        ("datagrams a member, of full exchanges", "1/s", spent.exchanged, Kind.SIMULATED),
        ("bytes a member", "B/s", spent.bytes, Kind.SIMULATED),
        ("bytes, the member that sent most", "B/s", spent.bytes_most, Kind.SIMULATED),
        ("bytes of one member in its busiest second", "B", spent.burst, Kind.SIMULATED),
        ("processor time a member", "ms/s", spent.cpu_s * 1000.0, Kind.MEASURED),
    )
    return [Figure("membership", scenario, quantity, unit, size, value, kind) for quantity, unit, value, kind in rows]


PART = Part("membership", "members", (64, 256, 1024, BROKERS), (8, 16, 32), BROKERS, measure)
