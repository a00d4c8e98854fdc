"""What duties and their voters cost, by brokers: in a quiet fleet, when a holder leaves and when the leader crashes."""

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
from scale.duty_fleet import TERMS, VOTERS, DutyFleet, Usage, duties_of
from scale.figures import Figure, Kind

SETTLE_S = 45.0  # by then even infrequent candidates have sent several requests, and all leases are held
WINDOW_S = 30.0
AFTER_S = 10.0  # measured after a holder has left; twice as long after a leader has crashed
GRANTED_S = 5.0  # by then all candidates have sent a request, and the duties are granted
CHECKS_PER_SECOND = 50  # checks of the conditions
REPEATS = 300  # renewals and log entries whose processor time is measured
STEP_S = 0.0001  # between them, in simulated time


def figures(brokers: int, seed: int) -> list[Figure]:
    fleet = DutyFleet(brokers, seed)
    fleet.run(SETTLE_S)
    results = quiet(fleet)
    results += holder_shut_down(fleet)
    results += leader_crash(fleet)
    results += agreement(DutyFleet(brokers, seed))
    results.append(
        _figure("quiet", "memory of the leader's books", "MB", brokers, lease_manager_mb(brokers), Kind.MEASURED)
    )
    return results


def _figure(scenario: str, quantity: str, unit: str, brokers: int, value: float, kind: Kind = Kind.SIMULATED) -> Figure:
    return Figure("brokers", f"duties, {scenario}", quantity, unit, brokers, value, kind)


# -- scenarios


def quiet(fleet: DutyFleet) -> list[Figure]:
    """Measures a window in which every broker is a candidate, every duty is held and nothing changes."""
    leader = fleet.processes[fleet.leader()]
    frequent = set().union(*fleet.voter(fleet.leader()).manager.candidates.frequent.values())
    before = {name: process.holder_usage.copy() for name, process in fleet.processes.items()}
    leader_before, voter = leader.voter_usage.copy(), fleet.voter(fleet.leader())
    renewals, entries = voter.renewals, voter.raft.last_applied
    fleet.run(WINDOW_S)
    usages = {name: p.holder_usage.minus(before[name]) for name, p in fleet.processes.items()}
    leader_usage = leader.voter_usage.minus(leader_before)
    seldom = [usage for name, usage in usages.items() if name not in frequent]
    size = len(fleet.processes)
    rows = [
        ("datagrams sent, a broker", "1/s", _mean_per_s([usage.sent for usage in usages.values()]), Kind.SIMULATED),
        (
            "bytes sent and received, a broker",
            "B/s",
            _mean_per_s([_bytes(usage) for usage in usages.values()]),
            Kind.SIMULATED,
        ),
        (
            "datagrams sent, one heard often",
            "1/s",
            _mean_per_s([usages[n].sent for n in sorted(frequent)]),
            Kind.SIMULATED,
        ),
        ("datagrams received by the leader", "1/s", leader_usage.received / WINDOW_S, Kind.SIMULATED),
        ("datagrams sent by the leader", "1/s", leader_usage.sent / WINDOW_S, Kind.SIMULATED),
        ("bytes sent and received by the leader", "B/s", _bytes(leader_usage) / WINDOW_S, Kind.SIMULATED),
        ("renewals", "1/s", (voter.renewals - renewals) / WINDOW_S, Kind.SIMULATED),
        ("log entries", "1/s", (voter.raft.last_applied - entries) / WINDOW_S, Kind.SIMULATED),
        ("processor time of the leader, messages", "ms/s", leader_usage.messages_s / WINDOW_S * 1000.0, Kind.MEASURED),
        (
            "processor time of the leader, its look at leases",
            "ms/s",
            leader_usage.ticks_s / WINDOW_S * 1000.0,
            Kind.MEASURED,
        ),
        (
            "processor time of a broker",
            "ms/s",
            1000.0 * _mean_per_s([_cpu_s(usage) for usage in usages.values()]),
            Kind.MEASURED,
        ),
    ]
    if seldom:
        rows.append(
            ("datagrams sent, one heard seldom", "1/s", _mean_per_s([usage.sent for usage in seldom]), Kind.SIMULATED)
        )
    return [_figure("quiet", quantity, unit, size, value, kind) for quantity, unit, value, kind in rows]


def holder_shut_down(fleet: DutyFleet) -> list[Figure]:
    """The holder of the fleet-wide duty shuts down cleanly: another one takes over and all brokers learn of it."""
    holder, size, leader = fleet.holder_of(SLOW_START_DUTY), len(fleet.processes), fleet.leader()
    entries = fleet.voter(leader).raft.last_applied
    fleet.leave(holder)
    watch = ConditionWatch(fleet, taken_over=lambda: fleet.holder_of(SLOW_START_DUTY) not in ("", holder))
    watch.run(AFTER_S)
    rows = (
        ("until another may act", "s", watch.elapsed_s("taken_over"), Kind.SIMULATED),
        ("log entries", "", fleet.voter(leader).raft.last_applied - entries, Kind.SIMULATED),
        ("datagrams sent by the leader, busiest second", "", watch.max_sent(leader), Kind.SIMULATED),
        ("processor time of the leader, busiest second", "ms", watch.max_cpu_s(leader) * 1000.0, Kind.MEASURED),
    )
    return [_figure("holder gone", quantity, unit, size, value, kind) for quantity, unit, value, kind in rows]


def leader_crash(fleet: DutyFleet) -> list[Figure]:
    """The leading voter crashes: another one is elected, and all brokers find it."""
    size = len(fleet.processes)
    fleet.crash(fleet.leader())
    watch = ConditionWatch(fleet, elected=lambda: bool(fleet.leader()), followed=fleet.settled)
    watch.run(2 * AFTER_S)
    leader = fleet.leader()
    rows = (
        ("until another leads", "s", watch.elapsed_s("elected"), Kind.SIMULATED),
        ("until all brokers follow it", "s", watch.elapsed_s("followed"), Kind.SIMULATED),
        ("datagrams received by the new one, busiest second", "", watch.max_received(leader), Kind.SIMULATED),
        ("datagrams sent by the new one, busiest second", "", watch.max_sent(leader), Kind.SIMULATED),
        ("processor time of the new one, busiest second", "ms", watch.max_cpu_s(leader) * 1000.0, Kind.MEASURED),
    )
    return [_figure("leader gone", quantity, unit, size, value, kind) for quantity, unit, value, kind in rows]


class ConditionWatch:
    """Advances the fleet in small steps; records when conditions first held and what each voter used each second."""

    def __init__(self, fleet: DutyFleet, **conditions: Callable[[], bool]) -> None:
        self.fleet, self.conditions, self.began = fleet, conditions, fleet.now
        self.first_held: dict[str, float] = {}
        self.seconds: dict[str, list[Usage]] = {name: [] for name in VOTERS}

    def run(self, seconds: float) -> None:
        """Advances the fleet by whole seconds."""
        for _ in range(round(seconds)):
            before = {name: self.fleet.processes[name].voter_usage.copy() for name in VOTERS}
            for _ in range(CHECKS_PER_SECOND):
                self.fleet.run(1.0 / CHECKS_PER_SECOND)
                self._check()
            for name in VOTERS:
                self.seconds[name].append(self.fleet.processes[name].voter_usage.minus(before[name]))

    def _check(self) -> None:
        for name, is_met in self.conditions.items():
            if name not in self.first_held and is_met():
                self.first_held[name] = self.fleet.now - self.began

    def elapsed_s(self, condition: str) -> float:
        """Returns the time until the condition first held. Raises RuntimeError if it never held."""
        if condition not in self.first_held:
            brokers, seconds = len(self.fleet.processes), self.fleet.now - self.began
            raise RuntimeError(f"{brokers} brokers: condition {condition} was not met within {seconds:g} s")
        return self.first_held[condition]

    def max_sent(self, voter: str) -> int:
        return max(usage.sent for usage in self.seconds[voter])

    def max_received(self, voter: str) -> int:
        return max(usage.received for usage in self.seconds[voter])

    def max_cpu_s(self, voter: str) -> float:
        return max(_cpu_s(usage) for usage in self.seconds[voter])


def _mean_per_s(values: list[float] | list[int]) -> float:
    """Returns the mean of values counted over the window, per second."""
    return sum(values) / len(values) / WINDOW_S


def _bytes(usage: Usage) -> int:
    return usage.bytes_sent + usage.bytes_received


def _cpu_s(usage: Usage) -> float:
    return usage.messages_s + usage.ticks_s


# -- one renewal, one log entry


def agreement(fleet: DutyFleet) -> list[Figure]:
    """Measures the leader's processor time for one renewal with its round of heartbeats, and for one log entry."""
    fleet.run(GRANTED_S)
    size = len(fleet.processes)
    leader = fleet.voter(fleet.leader())
    others = [fleet.voter(name) for name in VOTERS if name != leader.name]
    exchange = Exchange(leader, others, fleet.now)
    rows = (
        ("processor time of the leader, a renewal", "ms", exchange.renewal_s() * 1000.0),
        ("processor time of the leader, a log entry", "ms", exchange.entry_s() * 1000.0),
    )
    return [_figure("voters", quantity, unit, size, value, Kind.MEASURED) for quantity, unit, value in rows]


class Exchange:
    """A leader and its followers whose messages arrive without delay; only the leader's processor time is counted."""

    def __init__(self, leader: Voter, others: list[Voter], now: float) -> None:
        self.leader, self.now = leader, now
        self.others = {other.name: other for other in others}
        self.leader_cpu_s = 0.0

    def renewal_s(self) -> float:
        """Returns the processor seconds of one renewal.

        Each renewal has its own round of heartbeats. The simulated clock advances so that the leader's periodic check
        of leases takes place in about one renewal of ten.
        """
        holder = self.leader.table.lease(SLOW_START_DUTY)
        request = encode(
            LeaseRequest(
                holder.holder,
                1,
                "10.123.0.1:7960",
                0.0,
                False,
                (Candidacy(SLOW_START_DUTY, holder.epoch, True, False),),
            )
        )
        self._renew(request)  # also completes what was still in flight
        before = self.leader.renewals
        self.leader_cpu_s = 0.0
        for _ in range(REPEATS):
            self._renew(request)
        if self.leader.renewals - before != REPEATS:
            raise RuntimeError(f"{self.leader.renewals - before} of {REPEATS} renewals were confirmed")
        return self.leader_cpu_s / REPEATS

    def _renew(self, request: bytes) -> None:
        self.now += STEP_S
        began = time.process_time()
        self.leader.receive_from_broker(self.now, decode(request))  # type: ignore[arg-type]
        self.now = max(self.now, self.leader.raft.next_at)
        self.leader.tick(self.now)
        self.leader_cpu_s += time.process_time() - began
        self._settle()

    def entry_s(self) -> float:
        before, previous = self.leader.raft.last_applied, 0
        self.leader_cpu_s = 0.0
        for i in range(REPEATS):
            self.now += STEP_S
            began = time.process_time()
            index = self.leader.propose_command(self.now, PutValue("version", b"%d" % i, previous))
            self.leader_cpu_s += time.process_time() - began
            if index is None:
                raise RuntimeError("the leader did not accept the command")
            previous = index
            self._settle()
        if self.leader.raft.last_applied - before < REPEATS:
            raise RuntimeError(f"{self.leader.raft.last_applied - before} of {REPEATS} entries were applied")
        return self.leader_cpu_s / REPEATS

    def _settle(self) -> None:
        """Exchanges messages until nobody has any left to send."""
        while self._leader_round():
            pass

    def _leader_round(self) -> bool:
        began = time.process_time()
        output = self.leader.drain_output()
        messages = [(to, voting.encode(message)) for to, message in output.to_voters]
        for _, reply in output.to_brokers:
            encode(reply)
        if output.records:
            self.leader.persisted(self.now, output.records[-1][0])
        self.leader_cpu_s += time.process_time() - began
        replies = [
            reply for to, body in messages if to in self.others for reply in self._follower(self.others[to], body)
        ]
        began = time.process_time()
        for body in replies:
            self.leader.receive_from_voter(self.now, voting.decode(body))
        self.leader_cpu_s += time.process_time() - began
        return bool(output.records or replies)

    def _follower(self, voter: Voter, body: bytes) -> list[bytes]:
        voter.receive_from_voter(self.now, voting.decode(body))
        output = voter.drain_output()
        messages = list(output.to_voters)
        if output.records:
            voter.persisted(self.now, output.records[-1][0])
            messages += voter.drain_output().to_voters
        return [voting.encode(message) for to, message in messages if to == self.leader.name]


# -- memory


def lease_manager_mb(brokers: int) -> float:
    """Returns the megabytes that a leader's lease manager holds after one request from each of the brokers."""
    requests = []
    for number in range(brokers):
        candidacies = tuple(Candidacy(duty, 0, is_preferred, False) for duty, is_preferred in duties_of(number).items())
        requests.append(
            encode(
                LeaseRequest(
                    f"broker-{number}", 1, f"10.123.{number // 256}.{number % 256}:7960", 0.0, False, candidacies
                )
            )
        )
    gc.collect()
    tracemalloc.start()
    manager = LeaseManager(LeaseTable(), TERMS, 1)
    for data in requests:
        manager.receive_request(0.0, decode(data))  # type: ignore[arg-type]
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return memory_bytes / 2**20
