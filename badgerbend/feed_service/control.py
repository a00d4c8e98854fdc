"""Runs a control machine on sockets: consensus and leases use authenticated datagrams, and the relay uses TCP.

`feed.control` decides what is published and when.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import assert_never

from badgerbend.consensus import messages as voting
from badgerbend.feed.control import Action, ChangesAbandoned, ControlNode, Propose, ReportSummary
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.messages import Change, Summary
from badgerbend.feed.publisher import ChangeCheck, Publisher, RejectedChange
from badgerbend.feed.relay import Relay
from badgerbend.feed.rollout import RolloutProgress
from badgerbend.feed.signature import Signer
from badgerbend.feed_service import control_wire
from badgerbend.feed_service.control_settings import ControlSettings
from badgerbend.feed_service.control_wire import Proposal
from badgerbend.feed_service.relay import RelayServer
from badgerbend.feed_service.timer import Clock, Timer, monotonic
from badgerbend.lease_service.local_voter import LocalVoter
from badgerbend.lease_service.messenger import LeaseMessenger
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
from badgerbend.net.seal import DatagramSealer
from badgerbend.net.udp import Address, SealedSocket, address_text

MAX_ROUNDS = 64  # per call, since the components of one machine reply to each other; the rest waits for the next call


class NotPublishingError(Exception):
    """Raised when this machine does not hold the publishing lease.

    holder: the last known holder, or an empty string if there is none.
    """

    def __init__(self, holder: str) -> None:
        super().__init__(f"{holder or 'nobody'} holds the publishing lease")
        self.holder = holder


class ControlServer(SealedSocket):
    """One control machine: a voter, a holder of the publishing lease, a publisher and a relay.

    Created and used on one running event loop. validate: returns the reason to reject a change, or an empty string.
    log_event: writes an event with its fields to the log. Raises StoreError or OSError if the store is unusable.
    """

    def __init__(
        self,
        settings: ControlSettings,
        signer: Signer,
        validate: ChangeCheck,
        log_event: Callable[..., None],
        clock: Clock = monotonic,
    ) -> None:
        incarnation = int(time.time() * 1000)
        super().__init__(DatagramSealer(settings.keys, incarnation))
        self.settings = settings
        self.log_event = log_event
        self.clock = clock
        self.own_address = settings.voters[settings.name]
        now = clock()
        seed = incarnation << 8
        machine = FeedStateMachine(settings.retention)
        self.messenger = LeaseMessenger(self, settings.name, settings.voters, self._receive_own_reply)
        self.local_voter = self._create_voter(machine, seed + 1)
        self.lease_holder = self._create_lease_holder(now, seed + 2)
        self.relay = Relay(settings.name, machine.log, settings.relay_tuning)
        self.publisher = Publisher(machine.log, validate, signer, settings.publisher_tuning)
        self.control_node = ControlNode(
            self.local_voter.voter,
            self.lease_holder,
            machine,
            self.publisher,
            self.relay,
            now,
            settings.control_tuning,
        )
        self.relay_server = RelayServer(self.relay, clock)
        self._timer = Timer(clock, self._tick)
        self._closed = False

    def _create_voter(self, machine: FeedStateMachine, seed: int) -> LocalVoter:
        return LocalVoter(
            self.settings.store_path,
            self.settings.raft,
            self.settings.lease_timing,
            seed,
            self.clock,
            self.messenger,
            self.log_event,
            self._process_actions,
            machine,
        )

    def _create_lease_holder(self, now: float, seed: int) -> LeaseHolder:
        return LeaseHolder(
            self.settings.name,
            address_text(self.own_address),
            {PUBLISH_LEASE: True},
            tuple(self.settings.voters),
            self.settings.lease_timing,
            seed,
            now,
        )

    async def start(self) -> int:
        """Bind both sockets and return the port of the relay. Raises OSError."""
        await self.open(*self.own_address)
        port = await self.relay_server.start(*self.settings.relay_address)
        self._process_actions()
        return port

    async def close(self) -> None:
        """Return the lease, transfer the leadership of the log to another voter, and close the sockets."""
        self.lease_holder.shut_down(self.clock())
        self._process_actions()
        self.local_voter.transfer_leadership()
        self._closed = True
        self.messenger.close()
        self._timer.cancel()
        self.local_voter.close()
        await self.relay_server.stop()
        self.close_socket()

    # Publishing.

    @property
    def is_publisher(self) -> bool:
        """Whether this machine publishes under its lease now."""
        return bool(self.publisher.epoch)

    def submit(self, changes: Iterable[Change]) -> tuple[RejectedChange, ...]:
        """Accept all of these changes for publication, or none of them.

        Returns the rejected changes with their reasons. Raises NotPublishingError.
        """
        if not self.is_publisher:
            raise NotPublishingError(self.lease_holder.duties[PUBLISH_LEASE].holder)
        rejected_changes = self.publisher.submit(self.clock(), changes)
        self._process_actions()
        return rejected_changes

    def progress(self, revision: int) -> RolloutProgress:
        """Return how many followers have applied a revision, according to the reports of relays."""
        return self.publisher.progress(self.clock(), revision)

    # Datagrams.

    def body(self, body: bytes, source: Address) -> None:
        """Handle the body of a datagram whose seal is valid."""
        if self._closed:
            return
        try:
            message = control_wire.decode(body)
        except control_wire.MalformedMessageError:
            self.refused += 1
            return
        self._receive(message, source)
        self._process_actions()

    def _receive(self, message: control_wire.ControlMessage, source: Address) -> None:
        match message:
            case LeaseRequest() | LeaseReturn():
                self.local_voter.handle_lease_message(message, source)
            case LeaseReply():
                self.lease_holder.receive_reply(self.clock(), message)
            case Proposal(command):
                self.local_voter.propose(command)
            case Summary():
                self.publisher.record_summary(self.clock(), message)
            case (
                voting.RequestVote()
                | voting.RequestVoteReply()
                | voting.AppendEntries()
                | voting.AppendEntriesReply()
                | voting.InstallSnapshot()
                | voting.InstallSnapshotReply()
                | voting.TimeoutNow()
            ):
                self.local_voter.handle_consensus_message(message)
            case SuspicionReport() | ProbeReport() | BudgetRequest() | BudgetReply():
                self.refused += 1  # these messages are exchanged between brokers only
            case _:
                assert_never(message)

    def _receive_own_reply(self, reply: LeaseReply) -> None:
        self.lease_holder.receive_reply(self.clock(), reply)
        self._process_actions()

    # Timer and actions.

    def _tick(self) -> None:
        now = self.clock()
        if now >= self.lease_holder.next_at:
            self.lease_holder.tick(now)
        if now >= self.local_voter.next_at:
            self.local_voter.tick()
        self.control_node.tick(now)
        self._process_actions()

    def _process_actions(self) -> None:
        """Carry out the actions of all components until there are none, and schedule the next tick."""
        if self._closed:
            return
        for _ in range(MAX_ROUNDS):
            had_work = self.messenger.send_pending_requests(self.lease_holder, self.local_voter)
            had_work |= self.control_node.synchronize(self.clock())
            for action in self.control_node.take_actions():
                had_work = True
                self._carry_out(action)
            if not had_work:
                break
        self.local_voter.flush()
        self.relay_server.process_actions()
        self._timer.schedule(min(self.lease_holder.next_at, self.local_voter.next_at, self.control_node.next_at))

    def _carry_out(self, action: Action) -> None:
        match action:
            case Propose(leader, command):
                if leader == self.settings.name:
                    self.local_voter.propose(command)
                elif leader in self.settings.voters:
                    self.send(self.settings.voters[leader], control_wire.encode_proposal(command))
            case ReportSummary(publisher, summary):
                if publisher in self.settings.voters:
                    self.send(self.settings.voters[publisher], control_wire.encode_summary(summary))
            case ChangesAbandoned(changes):
                self.log_event("changes not published", changes=len(changes))
            case _:
                assert_never(action)
