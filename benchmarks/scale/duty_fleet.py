"""Voters and brokers that stand for duties, in simulated time: the product's `Voter` and `Holder` over a plain network.

Nothing is lost and no clock is off: what is measured is the cost of a sound fleet. The first brokers are its voters.
A datagram is the body that goes under the seal; the seal's 33 bytes and those of UDP are not counted.
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
REGIONS = 3  # each has probing as a duty of its own; dealing is one for all
TERMS = LeaseTiming()
TUNING = RaftConfig(election_timeout_s=0.5, heartbeat_interval_s=0.1)  # the defaults of the settings
DELAY_S = (0.001, 0.01)
DISK_S = (0.001, 0.005)  # until a write is surely kept


@dataclass(slots=True)
class Use:
    """What one process has used. The times are those within the pure cores, with decoding and encoding."""

    received: int = 0
    sent: int = 0
    bytes_received: int = 0
    bytes_sent: int = 0
    messages_s: float = 0.0
    ticks_s: float = 0.0

    def minus(self, earlier: Use) -> Use:
        return Use(
            self.received - earlier.received,
            self.sent - earlier.sent,
            self.bytes_received - earlier.bytes_received,
            self.bytes_sent - earlier.bytes_sent,
            self.messages_s - earlier.messages_s,
            self.ticks_s - earlier.ticks_s,
        )

    def copy(self) -> Use:
        return self.minus(Use())


@dataclass(slots=True)
class Process:
    """A broker, and its vote where it has one. Each is woken on its own."""

    holder: LeaseHolder
    voter: Voter | None
    up: bool = True
    holder_use: Use = field(default_factory=Use)
    voter_use: Use = field(default_factory=Use)
    wakes_at: dict[bool, float] = field(default_factory=dict)  # by whether it is the vote's


def duties_of(number: int) -> dict[str, bool]:
    """What the broker of this number stands for: probing in its own region, and dealing."""
    return {f"{HEALTH_CHECK_DUTY}:region-{number % REGIONS}": True, SLOW_START_DUTY: True}


class DutyFleet:
    """Brokers and voters on one simulated clock. All chance comes from the seed."""

    def __init__(self, brokers: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now, self._order = 0.0, count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[str, Process] = {}
        for number in range(brokers):
            self._start(number)

    def _start(self, number: int) -> None:
        name = f"broker-{number}"
        voter = None
        if name in VOTERS:
            voter = Voter(name, new_store(), TUNING, TERMS, self.rng.getrandbits(32), self.now)
        at = f"10.123.{number // 256}.{number % 256}:7960"
        holder = LeaseHolder(name, at, duties_of(number), VOTERS, TERMS, self.rng.getrandbits(32), self.now)
        self.processes[name] = Process(holder, voter)
        self._wake(name)

    # -- what is asked of it
    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Lets time pass; True as soon as `until` holds."""
        end = self.now + seconds
        while self._due and self._due[0][0] <= end:
            self.now, _, what = heapq.heappop(self._due)
            what()
            if until is not None and until():
                return True
        self.now = end
        return False

    def leader(self) -> str:
        """The voter that leads; empty while none does."""
        for name in VOTERS:
            process = self.processes[name]
            if process.up and process.voter is not None and process.voter.is_leader:
                return name
        return ""

    def voter(self, name: str) -> Voter:
        voter = self.processes[name].voter
        if voter is None:
            raise ValueError(f"{name} does not vote")
        return voter

    def holder_of(self, duty: str) -> str:
        """The broker that may act on a duty now; empty where none may."""
        leader = self.leader()
        name = self.voter(leader).table.lease(duty).holder if leader else ""
        if not name or not self.processes[name].up:
            return ""
        return name if self._looking(name).may_act(self.now, duty) is not None else ""

    def settled(self) -> bool:
        """Whether all brokers that are up agree on a leader that is up."""
        leader = self.leader()
        running = [
            process.holder for process in self.processes.values() if process.up and not process.holder.is_shut_down
        ]
        return bool(leader) and all(holder.leader == leader for holder in running)

    def _looking(self, name: str) -> LeaseHolder:
        """A broker's side, whose loop has run: the product's looks at its duties 20 times a second."""
        holder = self.processes[name].holder
        holder._last_run_at = self.now
        return holder

    def crash(self, name: str) -> None:
        self.processes[name].up = False

    def leave(self, name: str) -> None:
        """A broker ends politely; it does not vote."""
        self.processes[name].holder.shut_down(self.now)
        self._send_holder(name)

    # -- time
    def _at(self, after: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._due, (self.now + after, next(self._order), what))

    def _wake(self, name: str) -> None:
        process = self.processes[name]
        for votes, one in ((False, process.holder), (True, process.voter)):
            if one is None or one.next_at == float("inf") or process.wakes_at.get(votes) == one.next_at:
                continue
            at = process.wakes_at[votes] = one.next_at
            self._at(max(at - self.now, 0.0), lambda at=at, votes=votes: self._tick(name, votes, at))  # type: ignore[misc]

    def _tick(self, name: str, votes: bool, at: float) -> None:
        process = self.processes[name]
        if not process.up or process.wakes_at.get(votes) != at:
            return
        del process.wakes_at[votes]
        began = time.process_time()
        if votes and process.voter is not None:
            process.voter.tick(self.now)
            process.voter_use.ticks_s += time.process_time() - began
            self._send_voter(name)
        else:
            self._looking(name).tick(self.now)
            process.holder_use.ticks_s += time.process_time() - began
            self._send_holder(name)

    # -- datagrams
    def _send_holder(self, name: str) -> None:
        process = self.processes[name]
        began = time.process_time()
        bodies = [(to, wire.encode_lease_message(message)) for to, message in process.holder.drain_output()]
        process.holder_use.messages_s += time.process_time() - began
        for to, body in bodies:
            self._send(process.holder_use, to, body)
        self._wake(name)

    def _send_voter(self, name: str) -> None:
        process = self.processes[name]
        began = time.process_time()
        out = self.voter(name).drain_output()
        bodies = [(to, wire.encode_consensus_message(message)) for to, message in out.to_voters]
        bodies += [(to, wire.encode_lease_message(told)) for to, told in out.to_brokers]
        process.voter_use.messages_s += time.process_time() - began
        for seq, _ in out.records:
            self._at(self.rng.uniform(*DISK_S), lambda seq=seq: self._saved(name, seq))  # type: ignore[misc]
        for to, body in bodies:
            self._send(process.voter_use, to, body)
        self._wake(name)

    def _send(self, use: Use, to: str, body: bytes) -> None:
        use.sent += 1
        use.bytes_sent += len(body)
        self._at(self.rng.uniform(*DELAY_S), lambda: self._arrive(to, body))

    def _saved(self, name: str, seq: int) -> None:
        process = self.processes[name]
        if not process.up:
            return
        began = time.process_time()
        self.voter(name).persisted(self.now, seq)
        process.voter_use.messages_s += time.process_time() - began
        self._send_voter(name)

    def _arrive(self, to: str, body: bytes) -> None:
        process = self.processes[to]
        if not process.up:
            return
        began = time.process_time()
        message = wire.decode(body)
        if isinstance(message, LeaseReply):
            use = process.holder_use
            self._looking(to).receive_reply(self.now, message)
        elif isinstance(message, LeaseRequest | LeaseReturn):
            use = process.voter_use
            self.voter(to).receive_from_broker(self.now, message)
        else:
            use = process.voter_use
            self.voter(to).receive_from_voter(self.now, cast(voting.Message, message))
        use.messages_s += time.process_time() - began
        use.received += 1
        use.bytes_received += len(body)
        if isinstance(message, LeaseReply):
            self._send_holder(to)
        else:
            self._send_voter(to)


def new_store() -> PersistentState:
    """What `badgerbend voters create` leaves on the disk of each voter."""
    kept = PersistentState(log=Log())
    kept.replay(voting.decode_record(voting.encode(voting.Snapshot(0, 0, VOTERS, b""))))
    return kept
