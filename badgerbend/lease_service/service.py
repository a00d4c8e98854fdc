"""One broker's lease service: its candidacies, the duties on which it holds leases, and its voter if it has one.

A duty is a task that one broker at a time performs for all brokers of the fleet or of a site, while it holds the lease
on that duty: checking the health of servers, or allocating the slow-start budget.

`LeaseService.body` receives and decodes datagrams; `_dispatch` passes each message to the component that handles it. No
query ever waits for this service.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path
from typing import assert_never

from badgerbend.config.fleet import Duties
from badgerbend.config.settings import Settings
from badgerbend.consensus import messages as consensus_messages
from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.lease_service.budget_exchange import BudgetExchange, broker_name
from badgerbend.lease_service.duty_socket import DutySocket
from badgerbend.lease_service.health_check_duty import HealthCheckDuty
from badgerbend.lease_service.local_voter import LocalVoter
from badgerbend.lease_service.messenger import LeaseMessenger
from badgerbend.lease_service.setup import (
    HOLDER_SEED,
    VOTER_SEED,
    candidacies,
    health_check_duty_name,
    lease_timing,
    raft_config,
    random_seed,
)
from badgerbend.lease_service.slow_start_duty import SlowStartDuty
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
from badgerbend.log import get_logger
from badgerbend.net.client import Pool
from badgerbend.net.seal import DatagramSealer, read_key
from badgerbend.net.udp import Address, SealedSocket, address_text
from badgerbend.runtime.driver import Driver
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.wal.errors import StoreOwnerError

TRANSFER_TIMEOUT_S = 0.3  # how long `close` waits for another voter to lead
MIN_WAKE_UP_DELAY_S = 0.001


class LeaseService(SealedSocket):
    """One broker's lease service, created and used on one running event loop.

    Raises KeyFileError, StoreError or OSError if it cannot start.

    folder: the base of relative paths in the settings. pool_of: returns the connections to a server, by its number.
    clock: in seconds; tests use it to make a broker's clock drift.
    """

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
        self.settings = settings
        self.duties = duties
        self.folder = folder
        self.driver = driver
        self.clock = clock
        self.incarnation = int(time.time() * 1000)
        self.name = broker_name(settings)
        self.keys = tuple(read_key(folder / path) for path in duties.key)
        super().__init__(DatagramSealer(self.keys, self.incarnation))
        self.log = get_logger(part="duties")
        self.timing = lease_timing(duties)
        self.voter_addresses = {voter.name: parse_address(voter.address) for voter in duties.voter}
        self.messenger = LeaseMessenger(self, self.name, self.voter_addresses, self._handle_own_reply)
        self.local_voter: LocalVoter | None = None
        self.holder: LeaseHolder | None = None
        self.fence = FencingGuard()
        duty = health_check_duty_name(settings)
        self.duty_socket = DutySocket(self, clock)
        self.health_checks = HealthCheckDuty(
            self.duty_socket, duties, duty, self.name, self.fence, driver, directory, pool_of, clock
        )
        self.slow_start: SlowStartDuty | None = None
        if broker_budget is not None:
            exchange = BudgetExchange(broker_budget, directory, settings.servers.cold_ms, driver.schedule.now_ms)
            self.slow_start = SlowStartDuty(self.duty_socket, exchange, self.fence, clock)
        self._wake_up: asyncio.TimerHandle | None = None
        self._closed = False

    # -- start and close

    async def start(self) -> int:
        """Binds the socket, starts the voter if there is a store, and becomes a candidate. Returns the port."""
        if self.duties.store is not None:
            self.local_voter = self._open_local_voter(self.folder / self.duties.store)
        port = await self.open(self.duties.host, self.duties.port)
        if self.duties.advertise is not None:
            self.own_address = parse_address(self.duties.advertise)
        self.holder = self._create_holder()
        self.duty_socket.holder = self.holder
        if self.duties.probing:
            self.health_checks.start(self.holder)
        if self.slow_start is not None:
            self.slow_start.start(self.holder)
        self.send_and_schedule()
        return port

    async def close(self) -> None:
        """Returns the leases, transfers the voters' leadership and closes the socket."""
        self._closed = True
        self.messenger.close()
        self.health_checks.close()
        if self.slow_start is not None:
            self.slow_start.close()
        if self._wake_up is not None:
            self._wake_up.cancel()
        if self.holder is not None:
            self.holder.shut_down(self.clock())
            self.messenger.send_pending_requests(self.holder, self.local_voter)
        if self.local_voter is not None:
            await self.local_voter.transfer_leadership_within(TRANSFER_TIMEOUT_S)
            self.local_voter.close()
        self.close_socket()

    def _open_local_voter(self, store_path: Path) -> LocalVoter:
        local_voter = LocalVoter(
            store_path,
            raft_config(self.duties),
            self.timing,
            random_seed(self.settings, self.incarnation, VOTER_SEED),
            self.clock,
            self.messenger,
            self.log.info,
            self.send_and_schedule,
        )
        if local_voter.name != self.name:
            local_voter.close()
            raise StoreOwnerError(store_path, local_voter.name, self.name)
        return local_voter

    def _create_holder(self) -> LeaseHolder:
        duties = candidacies(self.settings, self.duties, shares_budget=self.slow_start is not None)
        address = address_text(self.own_address)
        voters = tuple(self.voter_addresses)
        seed = random_seed(self.settings, self.incarnation, HOLDER_SEED)
        return LeaseHolder(self.name, address, duties, voters, self.timing, seed, self.clock())

    # -- datagrams

    def body(self, body: bytes, source: Address) -> None:
        """Handles the body of a datagram whose seal is valid."""
        try:
            message = wire.decode(body)
        except wire.MalformedMessageError:
            self.refused += 1
            return
        self._dispatch(message, source)
        self.send_and_schedule()

    def _dispatch(self, message: wire.Message, source: Address) -> None:
        match message:
            case LeaseRequest() | LeaseReturn():
                self._handle_lease_message(message, source)
            case LeaseReply():
                self._handle_lease_reply(message)
            case SuspicionReport():
                self.health_checks.handle_suspicion(message, source)
            case ProbeReport():
                self.health_checks.handle_report(message)
            case BudgetRequest():
                if self.slow_start is not None:
                    self.slow_start.handle_request(message, source)
            case BudgetReply():
                if self.slow_start is not None:
                    self.slow_start.handle_reply(message)
            case (
                consensus_messages.RequestVote()
                | consensus_messages.RequestVoteReply()
                | consensus_messages.AppendEntries()
                | consensus_messages.AppendEntriesReply()
                | consensus_messages.InstallSnapshot()
                | consensus_messages.InstallSnapshotReply()
                | consensus_messages.TimeoutNow()
            ):
                self._handle_consensus_message(message)
            case _:
                assert_never(message)

    def _handle_consensus_message(self, message: consensus_messages.Message) -> None:
        if self.local_voter is not None:
            self.local_voter.handle_consensus_message(message)

    def _handle_lease_message(self, message: LeaseRequest | LeaseReturn, source: Address) -> None:
        if self.local_voter is not None:
            self.local_voter.handle_lease_message(message, source)

    def _handle_lease_reply(self, reply: LeaseReply) -> None:
        if self.holder is None:
            return
        before = self.holder.granted_leases()
        self.holder.receive_reply(self.clock(), reply)
        for lease in self.holder.granted_leases():
            if lease not in before:
                self.log.info("lease acquired", duty=lease.duty, epoch=lease.epoch)

    def _handle_own_reply(self, reply: LeaseReply) -> None:
        self._handle_lease_reply(reply)
        self.send_and_schedule()

    # -- time

    def send_and_schedule(self) -> None:
        """Sends the lease holder's messages to voters, and schedules the next wake-up."""
        if self._closed or self.holder is None:
            return
        self.messenger.send_pending_requests(self.holder, self.local_voter)
        if self._wake_up is not None:
            self._wake_up.cancel()
        wake_up_at = self.holder.next_at
        if self.local_voter is not None:
            wake_up_at = min(wake_up_at, self.local_voter.next_at)
        delay_s = max(wake_up_at - self.clock(), MIN_WAKE_UP_DELAY_S)
        self._wake_up = self.loop.call_later(delay_s, self._handle_wake_up, self.holder)

    def _handle_wake_up(self, holder: LeaseHolder) -> None:
        self._wake_up = None
        now = self.clock()
        holder.load = float(self.driver.open_parts)
        if now >= holder.next_at:
            holder.tick(now)
        if self.local_voter is not None and now >= self.local_voter.next_at:
            self.local_voter.tick()
        self.send_and_schedule()

    def release_leases(self) -> bool:
        """Returns all leases at once. Returns False if this broker holds none."""
        if self.holder is None or not self.holder.granted_leases():
            return False
        self.holder.release(self.clock())
        self.send_and_schedule()
        return True
