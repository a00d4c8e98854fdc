"""What duties and their voters cost, by brokers: quiet, when a holder goes, and when the leader goes."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

from badgerbend.consensus import messages as voting
from badgerbend.lease_service.budget_exchange import SLOW_START_DUTY
from badgerbend.leases.manager import LeaseManager
from badgerbend.leases.messages import Candidacy, LeaseRequest, PutValue, decode, encode
from badgerbend.leases.table import LeaseTable
from badgerbend.leases.voter import Voter
from scale.duty_fleet import TERMS, VOTERS, DutyFleet, Use, duties_of
from scale.figures import Figure, Kind

SETTLE_S = 45.0  # seldom heard candidates have shown themselves several times, and grants are taken up
WINDOW_S = 30.0
AFTER_S = 10.0  # after a holder or a leader has gone
GRANTED_S = 5.0  # all have shown themselves, and the duties are granted
LOOKS_A_SECOND = 50  # whether something has come about
REPEATS = 300  # renewals and log entries whose processor time is measured
STEP_S = 0.0001  # between them


def figures(brokers: int, seed: int) -> list[Figure]:
    fleet = DutyFleet(brokers, seed)
    fleet.run(SETTLE_S)
    found = quiet(fleet)
    found += holder_gone(fleet)
    found += leader_gone(fleet)
    found += agreement(DutyFleet(brokers, seed))
    found.append(_figure("quiet", "memory of the leader's books", "MB", brokers, books_held(brokers), Kind.MEASURED))
    return found


def _figure(scenario: str, what: str, unit: str, brokers: int, value: float, kind: Kind = Kind.SIMULATED) -> Figure:
    return Figure("brokers", f"duties, {scenario}", what, unit, brokers, value, kind)


# -- windows


def quiet(fleet: DutyFleet) -> list[Figure]:
    """Every broker stands, every duty is held, and nothing changes."""
    leader = fleet.processes[fleet.leader()]
    often = set().union(*fleet.voter(fleet.leader()).manager.candidates.frequent.values())
    before = {name: process.holder_use.copy() for name, process in fleet.processes.items()}
    leader_before, voter = leader.voter_use.copy(), fleet.voter(fleet.leader())
    renewals, entries = voter.renewals, voter.raft.last_applied
    fleet.run(WINDOW_S)
    used = {name: p.holder_use.minus(before[name]) for name, p in fleet.processes.items()}
    led = leader.voter_use.minus(leader_before)
    seldom = [use for name, use in used.items() if name not in often]
    size = len(fleet.processes)
    rows = [
        ("datagrams sent, a broker", "1/s", _mean([u.sent for u in used.values()]), Kind.SIMULATED),
        ("bytes sent and received, a broker", "B/s", _mean([_bytes(u) for u in used.values()]), Kind.SIMULATED),
        ("datagrams sent, one heard often", "1/s", _mean([used[n].sent for n in sorted(often)]), Kind.SIMULATED),
        ("datagrams received by the leader", "1/s", led.received / WINDOW_S, Kind.SIMULATED),
        ("datagrams sent by the leader", "1/s", led.sent / WINDOW_S, Kind.SIMULATED),
        ("bytes sent and received by the leader", "B/s", _bytes(led) / WINDOW_S, Kind.SIMULATED),
        ("renewals", "1/s", (voter.renewals - renewals) / WINDOW_S, Kind.SIMULATED),
        ("log entries", "1/s", (voter.raft.last_applied - entries) / WINDOW_S, Kind.SIMULATED),
        ("processor time of the leader, messages", "ms/s", led.messages_s / WINDOW_S * 1000.0, Kind.MEASURED),
        ("processor time of the leader, its look at leases", "ms/s", led.ticks_s / WINDOW_S * 1000.0, Kind.MEASURED),
        ("processor time of a broker", "ms/s", 1000.0 * _mean([_cpu_s(u) for u in used.values()]), Kind.MEASURED),
    ]
    if seldom:
        rows.append(("datagrams sent, one heard seldom", "1/s", _mean([u.sent for u in seldom]), Kind.SIMULATED))
    return [_figure("quiet", what, unit, size, value, kind) for what, unit, value, kind in rows]


def holder_gone(fleet: DutyFleet) -> list[Figure]:
    """The holder of the one duty for all ends politely: a new one is chosen, and all hear of it."""
    holder, size, leader = fleet.holder_of(SLOW_START_DUTY), len(fleet.processes), fleet.leader()
    entries = fleet.voter(leader).raft.last_applied
    fleet.leave(holder)
    watch = Watch(fleet, taken_over=lambda: fleet.holder_of(SLOW_START_DUTY) not in ("", holder))
    watch.run(AFTER_S)
    rows = (
        ("until another may act", "s", watch.came_s("taken_over"), Kind.SIMULATED),
        ("log entries", "", fleet.voter(leader).raft.last_applied - entries, Kind.SIMULATED),
        ("datagrams sent by the leader, busiest second", "", watch.most_sent(leader), Kind.SIMULATED),
        ("processor time of the leader, busiest second", "ms", watch.most_cpu_s(leader) * 1000.0, Kind.MEASURED),
    )
    return [_figure("holder gone", what, unit, size, value, kind) for what, unit, value, kind in rows]


def leader_gone(fleet: DutyFleet) -> list[Figure]:
    """The leading voter is killed: another is elected, and all brokers find it."""
    size = len(fleet.processes)
    fleet.crash(fleet.leader())
    watch = Watch(fleet, elected=lambda: bool(fleet.leader()), followed=fleet.settled)
    watch.run(2 * AFTER_S)
    leader = fleet.leader()
    rows = (
        ("until another leads", "s", watch.came_s("elected"), Kind.SIMULATED),
        ("until all brokers follow it", "s", watch.came_s("followed"), Kind.SIMULATED),
        ("datagrams received by the new one, busiest second", "", watch.most_received(leader), Kind.SIMULATED),
        ("datagrams sent by the new one, busiest second", "", watch.most_sent(leader), Kind.SIMULATED),
        ("processor time of the new one, busiest second", "ms", watch.most_cpu_s(leader) * 1000.0, Kind.MEASURED),
    )
    return [_figure("leader gone", what, unit, size, value, kind) for what, unit, value, kind in rows]


class Watch:
    """Lets time pass in small steps; when conditions first held, and what each voter did in its busiest second."""

    def __init__(self, fleet: DutyFleet, **conditions: Callable[[], bool]) -> None:
        self.fleet, self.conditions, self.began = fleet, conditions, fleet.now
        self.came: dict[str, float] = {}
        self.seconds: dict[str, list[Use]] = {name: [] for name in VOTERS}

    def run(self, seconds: float) -> None:
        """So many whole seconds."""
        for _ in range(round(seconds)):
            before = {name: self.fleet.processes[name].voter_use.copy() for name in VOTERS}
            for _ in range(LOOKS_A_SECOND):
                self.fleet.run(1.0 / LOOKS_A_SECOND)
                self._look()
            for name in VOTERS:
                self.seconds[name].append(self.fleet.processes[name].voter_use.minus(before[name]))

    def _look(self) -> None:
        for name, holds in self.conditions.items():
            if name not in self.came and holds():
                self.came[name] = self.fleet.now - self.began

    def came_s(self, condition: str) -> float:
        """Raises RuntimeError where it has never held."""
        if condition not in self.came:
            brokers, seconds = len(self.fleet.processes), self.fleet.now - self.began
            raise RuntimeError(f"{brokers} brokers: not {condition} within {seconds:g} s")
        return self.came[condition]

    def most_sent(self, voter: str) -> int:
        return max(use.sent for use in self.seconds[voter])

    def most_received(self, voter: str) -> int:
        return max(use.received for use in self.seconds[voter])

    def most_cpu_s(self, voter: str) -> float:
        return max(_cpu_s(use) for use in self.seconds[voter])


def _mean(values: list[float] | list[int]) -> float:
    """A second, of counts over the window."""
    return sum(values) / len(values) / WINDOW_S


def _bytes(use: Use) -> int:
    return use.bytes_sent + use.bytes_received


def _cpu_s(use: Use) -> float:
    return use.messages_s + use.ticks_s


# -- one renewal, one log entry


def agreement(fleet: DutyFleet) -> list[Figure]:
    """The leader's processor time of one renewal with its round of heartbeats, and of one entry of the log."""
    fleet.run(GRANTED_S)
    size = len(fleet.processes)
    leader = fleet.voter(fleet.leader())
    others = [fleet.voter(name) for name in VOTERS if name != leader.name]
    lone = Exchange(leader, others, fleet.now)
    rows = (
        ("processor time of the leader, a renewal", "ms", lone.renewal_s() * 1000.0),
        ("processor time of the leader, a log entry", "ms", lone.entry_s() * 1000.0),
    )
    return [_figure("voters", what, unit, size, value, Kind.MEASURED) for what, unit, value in rows]


class Exchange:
    """A leader and its followers whose messages arrive at once; counts the leader's time alone."""

    def __init__(self, leader: Voter, others: list[Voter], now: float) -> None:
        self.leader, self.now = leader, now
        self.others = {other.name: other for other in others}
        self.spent_s = 0.0

    def renewal_s(self) -> float:
        """Each renewal has a round of its own, and in one of ten falls a look at leases, as by the leader's clock."""
        holder = self.leader.table.lease(SLOW_START_DUTY)
        want = encode(
            LeaseRequest(
                holder.holder,
                1,
                "10.123.0.1:7960",
                0.0,
                False,
                (Candidacy(SLOW_START_DUTY, holder.epoch, True, False),),
            )
        )
        self._renew(want)  # with what was under way
        before = self.leader.renewals
        self.spent_s = 0.0
        for _ in range(REPEATS):
            self._renew(want)
        if self.leader.renewals - before != REPEATS:
            raise RuntimeError(f"{self.leader.renewals - before} of {REPEATS} renewals were confirmed")
        return self.spent_s / REPEATS

    def _renew(self, want: bytes) -> None:
        self.now += STEP_S
        began = time.process_time()
        self.leader.receive_from_broker(self.now, decode(want))  # type: ignore[arg-type]
        self.now = max(self.now, self.leader.raft.next_at)
        self.leader.tick(self.now)
        self.spent_s += time.process_time() - began
        self._settle()

    def entry_s(self) -> float:
        before, over = self.leader.raft.last_applied, 0
        self.spent_s = 0.0
        for i in range(REPEATS):
            self.now += STEP_S
            began = time.process_time()
            index = self.leader.propose_command(self.now, PutValue("version", b"%d" % i, over))
            self.spent_s += time.process_time() - began
            if index is None:
                raise RuntimeError("the leader took no command")
            over = index
            self._settle()
        if self.leader.raft.last_applied - before < REPEATS:
            raise RuntimeError(f"{self.leader.raft.last_applied - before} of {REPEATS} entries were applied")
        return self.spent_s / REPEATS

    def _settle(self) -> None:
        """Until nobody has anything to say."""
        while self._leader_round():
            pass

    def _leader_round(self) -> bool:
        began = time.process_time()
        out = self.leader.drain_output()
        data = [(to, voting.encode(message)) for to, message in out.to_voters]
        for _, told in out.to_brokers:
            encode(told)
        if out.records:
            self.leader.persisted(self.now, out.records[-1][0])
        self.spent_s += time.process_time() - began
        answers = [answer for to, body in data if to in self.others for answer in self._follower(self.others[to], body)]
        began = time.process_time()
        for body in answers:
            self.leader.receive_from_voter(self.now, voting.decode(body))
        self.spent_s += time.process_time() - began
        return bool(out.records or answers)

    def _follower(self, voter: Voter, body: bytes) -> list[bytes]:
        voter.receive_from_voter(self.now, voting.decode(body))
        out = voter.drain_output()
        messages = list(out.to_voters)
        if out.records:
            voter.persisted(self.now, out.records[-1][0])
            messages += voter.drain_output().to_voters
        return [voting.encode(message) for to, message in messages if to == self.leader.name]


# -- memory


def books_held(brokers: int) -> float:
    """Megabytes that a leader holds of so many candidates, each heard once."""
    wants = []
    for number in range(brokers):
        stands = tuple(Candidacy(duty, 0, near, False) for duty, near in duties_of(number).items())
        wants.append(
            encode(
                LeaseRequest(f"broker-{number}", 1, f"10.123.{number // 256}.{number % 256}:7960", 0.0, False, stands)
            )
        )
    gc.collect()
    tracemalloc.start()
    manager = LeaseManager(LeaseTable(), TERMS, 1)
    for data in wants:
        manager.receive_request(0.0, decode(data))  # type: ignore[arg-type]
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / 2**20
