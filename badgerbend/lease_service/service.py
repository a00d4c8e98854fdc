"""One broker's part in the fleet's duties: standing for them, doing what it holds, and taking what others' acts tell.

No query ever waits for any of this. `clock` is the seam by which a test lets a machine's clock run fast or slow.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

from badgerbend.config.fleet import Duties
from badgerbend.config.settings import Settings
from badgerbend.consensus import messages as voting
from badgerbend.consensus.types import RaftConfig
from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.lease_service.budget_exchange import SLOW_START_DUTY, BudgetExchange, broker_name
from badgerbend.lease_service.local_voter import LocalVoter
from badgerbend.lease_service.probing import PROBING_DUTY, ProbingDuty
from badgerbend.lease_service.status import LeaseServiceStatus, duty_statuses, vote_counts, vote_status
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import (
    BudgetReply,
    BudgetRequest,
    LeaseReply,
    LeaseRequest,
    LeaseReturn,
    ProbeReport,
    SuspicionReport,
)
from badgerbend.leases.timing import LeaseTiming
from badgerbend.log import get
from badgerbend.metrics import Metrics
from badgerbend.net.client import Pool
from badgerbend.net.seal import Seal, bears, read_key
from badgerbend.net.udp import Address, SealedSocket, address_text
from badgerbend.runtime.driver import Driver
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.wal.errors import StoreOwnerError

TRANSFER_TIMEOUT_S = 0.3  # leadership is awaited to be taken at the end of the process


def lease_timing(duties: Duties) -> LeaseTiming:
    return LeaseTiming(
        duties.lease_ms / 1000.0,
        duties.clock_rate,
        duties.ask_ms / 1000.0,
        min(duties.lease_ms / 8, duties.ask_ms / 4) / 1000.0,
        duties.stall_ms / 1000.0,
    )


class LeaseService(SealedSocket):
    """Built and used on one running loop. Raises BadKey, StoreError or OSError where it cannot start."""

    def __init__(
        self,
        settings: Settings,
        duties: Duties,
        folder: Path,
        driver: Driver,
        directory: Directory,
        pool_of: Callable[[int], Pool | None],
        broker_budget: BrokerBudget | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings, self.duties, self.folder = settings, duties, folder
        self.incarnation = int(time.time() * 1000)
        self.name = broker_name(settings)
        self.keys = tuple(read_key(folder / path) for path in duties.key)
        super().__init__(Seal(self.keys, self.incarnation))
        self.driver, self.clock = driver, clock
        self.log = get(part="duties")
        self.timing = lease_timing(duties)
        self.voter_addresses = {v.name: parse_address(v.address) for v in duties.voter}
        self.local_voter: LocalVoter | None = None
        self.holder: LeaseHolder | None = None
        self.fence = FencingGuard()
        home = settings.sites.home(settings.identity.zone) if settings.sites is not None else None
        self.duty = f"{PROBING_DUTY}:{home.name}" if home is not None else PROBING_DUTY
        self.probing = ProbingDuty(
            self,
            duties,
            self.duty,
            self.name,
            self.fence,
            driver,
            directory,
            pool_of,
            clock,
        )
        self.budget_exchange: BudgetExchange | None = None
        if broker_budget is not None:
            self.budget_exchange = BudgetExchange(
                broker_budget, directory, settings.servers.cold_ms, driver.schedule.now_ms
            )
        self.budget_replies = 0  # answers to brokers that asked for an allowance
        self._timer: asyncio.TimerHandle | None = None
        self._asking: asyncio.TimerHandle | None = None
        self._closed = False

    async def start(self) -> int:
        """Binds, votes where it has a store, and stands for its duties; returns the port."""
        duties = self.duties
        if duties.store is not None:
            tuning = RaftConfig(duties.election_ms / 1000.0, duties.beat_ms / 1000.0)
            self.local_voter = LocalVoter(
                self.folder / duties.store,
                tuning,
                self.timing,
                self._seed(1),
                self.clock,
                self._to_voter,
                self._to_broker,
                self._note,
                self._after,
            )
            if self.local_voter.name != self.name:
                named = self.local_voter.name
                self.local_voter.close()
                raise StoreOwnerError(self.folder / duties.store, named, self.name)
        port = await self.open(duties.host, duties.port)
        if duties.advertise is not None:
            self.own = parse_address(duties.advertise)
        stands = dict.fromkeys(
            [self.duty] * duties.probing + [SLOW_START_DUTY] * (self.budget_exchange is not None), True
        )
        at, voters = address_text(self.own), tuple(self.voter_addresses)
        self.holder = LeaseHolder(self.name, at, stands, voters, self.timing, self._seed(2), self.clock())
        if duties.probing:
            self.probing.start(self.holder)
        if self.budget_exchange is not None:
            self._asking = self.loop.call_later(
                self.budget_exchange.request_interval_s * self.holder.rng.random(), self._ask
            )
        self._after()
        return port

    def _seed(self, what: int) -> int:
        return (self.settings.seed * 1_000_003 + self.settings.identity.index) * 4 + what + (self.incarnation << 64)

    async def close(self) -> None:
        """Gives back what it holds, lets another lead, and ends."""
        self._closed = True
        self.probing.close()
        for timer in (self._timer, self._asking):
            if timer is not None:
                timer.cancel()
        if self.holder is not None:
            self.holder.shut_down(self.clock())
            self._send_holder()
        if self.local_voter is not None:
            if self.local_voter.transfer_leadership():
                until = self.loop.time() + TRANSFER_TIMEOUT_S
                while self.local_voter.voter.is_leader and self.loop.time() < until:
                    await asyncio.sleep(0.01)
            self.local_voter.close()
        self.shut()

    # -- datagrams
    def body(self, body: bytes, source: Address) -> None:
        try:
            message = wire.decode(body)
        except wire.MalformedMessageError:
            self.refused += 1
            return
        match message:
            case LeaseRequest() | LeaseReturn():
                if self.local_voter is not None:
                    self.local_voter.receive_from_broker(message, source)
            case LeaseReply():
                self._told(message)
            case SuspicionReport():
                self.probing.heard_doubt(message, source)
            case ProbeReport():
                self.probing.heard_found(message)
            case BudgetRequest():
                self._heard_ask(message, source)
            case BudgetReply():
                self._heard_dealt(message)
            case _:
                if self.local_voter is not None:
                    self.local_voter.receive_from_voter(message)
        self._after()

    def _told(self, message: LeaseReply) -> None:
        if self.holder is not None:
            before = self.holder.granted_leases()
            self.holder.receive_reply(self.clock(), message)
            for lease in self.holder.granted_leases():
                if lease not in before:
                    self._note("holds", duty=lease.duty, epoch=lease.epoch)

    def _to_voter(self, name: str, message: voting.Message) -> None:
        address = self.voter_addresses.get(name)
        if address is not None:
            self.send(address, wire.encode_consensus_message(message))

    def _to_broker(self, address: Address, message: LeaseReply) -> None:
        if address == self.own:
            self.loop.call_soon(self._told_self, message)
        else:
            self.send(address, wire.encode_lease_message(message))

    def _told_self(self, message: LeaseReply) -> None:
        if not self._closed:
            self._told(message)
            self._after()

    def _send_holder(self) -> None:
        assert self.holder is not None
        for name, message in self.holder.drain_output():
            if self.local_voter is not None and name == self.local_voter.name:
                self.local_voter.receive_from_broker(message, self.own)
            elif name in self.voter_addresses:
                self.send(self.voter_addresses[name], wire.encode_lease_message(message))

    # -- time
    def _after(self) -> None:
        """Sends what there is to send, and sets the clock for what comes next."""
        if self._closed or self.holder is None:
            return
        self._send_holder()
        if self._timer is not None:
            self._timer.cancel()
        at = min(self.holder.next_at, self.local_voter.next_at if self.local_voter is not None else float("inf"))
        self._timer = self.loop.call_later(max(at - self.clock(), 0.001), self._tick)

    def _tick(self) -> None:
        self._timer = None
        assert self.holder is not None
        now = self.clock()
        self.holder.load = float(self.driver.open_parts)
        if now >= self.holder.next_at:
            self.holder.tick(now)
        if self.local_voter is not None and now >= self.local_voter.next_at:
            self.local_voter.tick()
        self._after()

    # -- acting
    def may_act(self, duty: str) -> int | None:
        """The epoch under which this broker may act on a duty now, if it may."""
        return self.holder.may_act(self.clock(), duty) if self.holder is not None else None

    def send_to_holder(self, duty: str, body: bytes) -> None:
        """To whoever holds a duty, as this broker was last told; to nobody where that is not known."""
        assert self.holder is not None
        mine = self.holder.duties[duty]
        if mine.holder and mine.holder_address:
            try:
                self.send(parse_address(mine.holder_address), body)
            except ValueError:
                self.refused += 1

    # -- cold allowance
    def _ask(self) -> None:
        assert self.holder is not None and self.budget_exchange is not None
        self._asking = self.loop.call_later(
            self.budget_exchange.request_interval_s * self.holder.rng.uniform(0.8, 1.2), self._ask
        )
        if self.may_act(SLOW_START_DUTY) is None:
            self.budget_exchange.stop_allocating()
        for ask in self.budget_exchange.create_requests():
            self.send_to_holder(SLOW_START_DUTY, wire.encode_peer_message(ask))

    def _heard_ask(self, ask: BudgetRequest, source: Address) -> None:
        """An answer is an act: told under the epoch in force now, or not at all."""
        if self.budget_exchange is None:
            return
        dealt = self.budget_exchange.handle_request(self.clock() * 1000.0, self.may_act(SLOW_START_DUTY), ask)
        if dealt is not None:
            self.budget_replies += 1
            self.send(source, wire.encode_peer_message(dealt), lambda: self.may_act(SLOW_START_DUTY) == dealt.epoch)

    def _heard_dealt(self, dealt: BudgetReply) -> None:
        if (
            self.budget_exchange is not None
            and dealt.duty == SLOW_START_DUTY
            and self.fence.admits(dealt.duty, dealt.epoch)
        ):
            self.budget_exchange.apply_reply(dealt)

    # -- for people
    def _note(self, what: str, **values: object) -> None:
        self.log.info(what, **values)

    def status(self) -> LeaseServiceStatus:
        """For a person: who holds what as this broker was last told, and the vote's state where it has one."""
        now = self.clock()
        return LeaseServiceStatus(
            name=self.name,
            leader=self.holder.leader if self.holder is not None else "",
            duties=duty_statuses(self.holder, now) if self.holder is not None else [],
            vote=vote_status(self.local_voter, now) if self.local_voter is not None else None,
            probes=self.probing.prober.checks_started,
            findings=self.probing.findings,
            acts=self.probing.acts + self.budget_replies,
            dealing=self.budget_exchange.status() if self.budget_exchange is not None else None,
            refused_acts=self.fence.rejected,
            sent=self.sent,
            received=self.received,
            refused=self.refused,
            bytes=self.bytes,
        )

    def update_metrics(self, metrics: Metrics) -> None:
        for duty in duty_statuses(self.holder, self.clock()) if self.holder is not None else ():
            metrics.duties.labels(duty.duty, "held here").set(duty.may_act)
            metrics.duties.labels(duty.duty, "epoch").set(duty.epoch)
        counts = {
            "probes": self.probing.prober.checks_started,
            "findings": self.probing.findings,
            "acts refused": self.fence.rejected,
            "datagrams sent": self.sent,
            "datagrams refused": self.refused,
        }
        if self.budget_exchange is not None:
            counts |= {
                "slices dealt": self.budget_exchange.allocator.grants_issued,
                "slices taken": self.budget_exchange.broker_budget.grants_applied,
            }
        if self.local_voter is not None:
            counts |= vote_counts(self.local_voter)
        for what, count in counts.items():
            metrics.rota.labels(what).set(count)

    def allows(self, authorization: bytes) -> bool:
        """Whether a command comes from one who holds a key."""
        return bears(authorization, self.keys)

    def command(self, path: str) -> tuple[int, str]:
        """`hand-over`, `voters/add/NAME`, `voters/remove/NAME`: an HTTP status, and a word."""
        if path == "hand-over":
            if self.holder is None or not self.holder.granted_leases():
                return 409, "nothing is held here"
            self.holder.release(self.clock())
            self._after()
            return 200, "given back"
        words = path.split("/")
        if len(words) == 3 and words[0] == "voters" and words[1] in ("add", "remove"):
            if self.local_voter is None or not self.local_voter.voter.is_leader:
                return 409, f"not the leader; that is {self.holder.leader if self.holder else ''}"
            against = self.local_voter.voter.raft.change_membership(self.clock(), words[2], words[1] == "add")
            self.local_voter.flush()
            self._after()
            return (409, against) if against else (200, "on the way; see the status")
        return 404, "no such command"
