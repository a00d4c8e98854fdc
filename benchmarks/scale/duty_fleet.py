"""Voters and brokers that are candidates for duties: the product's `Voter` and `LeaseHolder` in simulated time.

The network loses nothing and all clocks agree, since the cost of a healthy fleet is measured. The first brokers are the
voters. A datagram is counted as the body inside the seal: the 33 bytes of the seal and the UDP header are left out.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import cast

from badgerbend.consensus import messages as voting
from badgerbend.consensus.log import Log
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.raft import RaftConfig
from badgerbend.lease_service import wire
from badgerbend.lease_service.budget_exchange import SLOW_START_DUTY
from badgerbend.lease_service.health_check_duty import HEALTH_CHECK_DUTY
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import LeaseReply, LeaseRequest, LeaseReturn
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import Voter

VOTERS = ("broker-0", "broker-1", "broker-2")
REGIONS = 3  # health checks are a duty of each region; the slow-start budget is one duty for all of them
TERMS = LeaseTiming()
TUNING = RaftConfig(election_timeout_s=0.5, heartbeat_interval_s=0.1)  # the defaults of the settings
DELAY_S = (0.001, 0.01)
DISK_S = (0.001, 0.005)  # until a write is durable


@dataclass(slots=True)
class Usage:
    """What one process has used. Processor times are those of `Voter` and `LeaseHolder`, with decoding and encoding."""

    received: int = 0
    sent: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0
    messages_s: float = 0.0
    ticks_s: float = 0.0

    def minus(self, earlier: Usage) -> Usage:
        return Usage(
            self.received - earlier.received,
            self.sent - earlier.sent,
            self.bytes_received - earlier.bytes_received,
            self.bytes_sent - earlier.bytes_sent,
            self.messages_s - earlier.messages_s,
            self.ticks_s - earlier.ticks_s,
        )

    def copy(self) -> Usage:
        return self.minus(Usage())


@dataclass(slots=True)
class Process:
    """A broker, and its voter if it has one. Each of the two has a timer of its own."""

    holder: LeaseHolder
    voter: Voter | None
    up: bool = True
    holder_usage: Usage = field(default_factory=Usage)
    voter_usage: Usage = field(default_factory=Usage)
    timers: dict[bool, float] = field(default_factory=dict)  # by whether it is the voter's timer


def duties_of(number: int) -> dict[str, bool]:
    """Returns the duties of a broker: health checks in its own region, and the slow-start budget."""
    return {f"{HEALTH_CHECK_DUTY}:region-{number % REGIONS}": True, SLOW_START_DUTY: True}


class DutyFleet:
    """Brokers and voters on one simulated clock. All randomness comes from the seed."""

    def __init__(self, brokers: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now, self._order = 0.0, count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[str, Process] = {}
        for number in range(brokers):
            self._start(number)

    def _start(self, number: int) -> None:
        name = f"broker-{number}"
        voter = None
        if name in VOTERS:
            voter = Voter(name, new_store(), TUNING, TERMS, self.rng.getrandbits(32), self.now)
        address = f"10.123.{number // 256}.{number % 256}:7960"
        holder = LeaseHolder(name, address, duties_of(number), VOTERS, TERMS, self.rng.getrandbits(32), self.now)
        self.processes[name] = Process(holder, voter)
        self._set_timers(name)

    # -- control and queries
    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advances the clock. Returns True as soon as `until` holds, False if it does not."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if until is not None and until():
                return True
        self.now = end
        return False

    def leader(self) -> str:
        """Returns the voter that leads; empty while there is none."""
        for name in VOTERS:
            process = self.processes[name]
            if process.up and process.voter is not None and process.voter.is_leader:
                return name
        return ""

    def voter(self, name: str) -> Voter:
        voter = self.processes[name].voter
        if voter is None:
            raise ValueError(f"{name} is not a voter")
        return voter

    def holder_of(self, duty: str) -> str:
        """Returns the broker that may act on a duty now; empty if there is none."""
        leader = self.leader()
        name = self.voter(leader).table.lease(duty).holder if leader else ""
        if not name or not self.processes[name].up:
            return ""
        return name if self._running_holder(name).may_act(self.now, duty) is not None else ""

    def settled(self) -> bool:
        """Returns whether all running brokers follow the current leader."""
        leader = self.leader()
        running = [
            process.holder for process in self.processes.values() if process.up and not process.holder.is_shut_down
        ]
        return bool(leader) and all(holder.leader == leader for holder in running)

    def _running_holder(self, name: str) -> LeaseHolder:
        """Returns a broker's lease holder as if its loop had just run: the product's runs 20 times a second."""
        holder = self.processes[name].holder
        holder._last_run_at = self.now
        return holder

    def crash(self, name: str) -> None:
        self.processes[name].up = False

    def leave(self, name: str) -> None:
        """Shuts down a broker cleanly; its voter, if it has one, keeps running."""
        self.processes[name].holder.shut_down(self.now)
        self._send_holder(name)

    # -- time
    def _schedule(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def _set_timers(self, name: str) -> None:
        process = self.processes[name]
        for is_voter, machine in ((False, process.holder), (True, process.voter)):
            if machine is None or machine.next_at == float("inf") or process.timers.get(is_voter) == machine.next_at:
                continue
            at = process.timers[is_voter] = machine.next_at
            self._schedule(max(at - self.now, 0.0), lambda at=at, is_voter=is_voter: self._tick(name, is_voter, at))  # type: ignore[misc]

    def _tick(self, name: str, is_voter: bool, at: float) -> None:
        process = self.processes[name]
        if not process.up or process.timers.get(is_voter) != at:
            return
        del process.timers[is_voter]
        began = time.process_time()
        if is_voter and process.voter is not None:
            process.voter.tick(self.now)
            process.voter_usage.ticks_s += time.process_time() - began
            self._send_voter(name)
        else:
            self._running_holder(name).tick(self.now)
            process.holder_usage.ticks_s += time.process_time() - began
            self._send_holder(name)

    # -- datagrams
    def _send_holder(self, name: str) -> None:
        process = self.processes[name]
        began = time.process_time()
        bodies = [(to, wire.encode_lease_message(message)) for to, message in process.holder.drain_output()]
        process.holder_usage.messages_s += time.process_time() - began
        for to, body in bodies:
            self._send(process.holder_usage, to, body)
        self._set_timers(name)

    def _send_voter(self, name: str) -> None:
        process = self.processes[name]
        began = time.process_time()
        output = self.voter(name).drain_output()
        bodies = [(to, wire.encode_consensus_message(message)) for to, message in output.to_voters]
        bodies += [(to, wire.encode_lease_message(reply)) for to, reply in output.to_brokers]
        process.voter_usage.messages_s += time.process_time() - began
        for seq, _ in output.records:
            self._schedule(self.rng.uniform(*DISK_S), lambda seq=seq: self._persisted(name, seq))  # type: ignore[misc]
        for to, body in bodies:
            self._send(process.voter_usage, to, body)
        self._set_timers(name)

    def _send(self, usage: Usage, to: str, body: bytes) -> None:
        usage.sent += 1
        usage.bytes_sent += len(body)
        self._schedule(self.rng.uniform(*DELAY_S), lambda: self._deliver(to, body))

    def _persisted(self, name: str, seq: int) -> None:
        process = self.processes[name]
        if not process.up:
            return
        began = time.process_time()
        self.voter(name).persisted(self.now, seq)
        process.voter_usage.messages_s += time.process_time() - began
        self._send_voter(name)

    def _deliver(self, to: str, body: bytes) -> None:
        process = self.processes[to]
        if not process.up:
            return
        began = time.process_time()
        message = wire.decode(body)
        if isinstance(message, LeaseReply):
            usage = process.holder_usage
            self._running_holder(to).receive_reply(self.now, message)
        elif isinstance(message, LeaseRequest | LeaseReturn):
            usage = process.voter_usage
            self.voter(to).receive_from_broker(self.now, message)
        else:
            usage = process.voter_usage
            self.voter(to).receive_from_voter(self.now, cast(voting.Message, message))
        usage.messages_s += time.process_time() - began
        usage.received += 1
        usage.bytes_received += len(body)
        if isinstance(message, LeaseReply):
            self._send_holder(to)
        else:
            self._send_voter(to)


def new_store() -> PersistentState:
    """Returns the state that `badgerbend voters create` writes for each voter."""
    store = PersistentState(log=Log())
    store.replay(voting.decode_record(voting.encode(voting.Snapshot(0, 0, VOTERS, b""))))
    return store
