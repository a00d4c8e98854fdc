"""A control machine on sockets: vote and lease over sealed datagrams, a relay over TCP. `feed.control` decides."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from badgerbend.consensus import messages as voting
from badgerbend.consensus.types import RaftConfig
from badgerbend.feed.control import Action, ChangesAbandoned, ControlNode, ControlTuning, Propose, ReportSummary
from badgerbend.feed.log import Retention
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.messages import Change, Summary
from badgerbend.feed.publisher import ChangeCheck, Publisher, PublisherTuning, RejectedChange
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.feed.rollout import RolloutProgress
from badgerbend.feed.signature import Signer
from badgerbend.feed_service import control_wire
from badgerbend.feed_service.control_wire import Proposal
from badgerbend.feed_service.relay import RelayServer
from badgerbend.feed_service.timer import Clock, Timer, monotonic
from badgerbend.lease_service.local_voter import LocalVoter
from badgerbend.lease_service.messenger import LeaseMessenger
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import LeaseReply, LeaseRequest, LeaseReturn
from badgerbend.leases.timing import LeaseTiming
from badgerbend.net.seal import Seal
from badgerbend.net.udp import Address, SealedSocket, address_text

MAX_ROUNDS = 64  # in which the parts of one machine answer each other at once


class NotPublishingError(Exception):
    """Another machine holds the lease on publishing, or nobody does for now."""


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """One control machine. voters: all of them by name; keys: the fleet's, for datagrams."""

    name: str
    store_path: Path
    voters: dict[str, Address]
    relay_address: Address
    keys: tuple[bytes, ...]
    retention: Retention = Retention()
    raft: RaftConfig = RaftConfig()
    lease_timing: LeaseTiming = LeaseTiming()
    publisher_tuning: PublisherTuning = PublisherTuning()
    relay_tuning: RelayTuning = RelayTuning()
    control_tuning: ControlTuning = ControlTuning()


class ControlServer(SealedSocket):
    """Built and used on one running loop. Raises BadStore or OSError where it cannot start."""

    def __init__(
        self,
        settings: ControlSettings,
        signer: Signer,
        check: ChangeCheck,
        note: Callable[..., None],
        clock: Clock = monotonic,
    ) -> None:
        life = int(time.time() * 1000)
        super().__init__(Seal(settings.keys, life))
        self.settings, self.note, self.clock = settings, note, clock
        self.own = settings.voters[settings.name]
        now, seed = clock(), life << 8
        machine = FeedStateMachine(settings.retention)
        self.messenger = LeaseMessenger(self, settings.name, settings.voters, self._receive_own_reply)
        self.local_voter = LocalVoter(
            settings.store_path,
            settings.raft,
            settings.lease_timing,
            seed + 1,
            clock,
            self.messenger,
            note,
            self._settle,
            machine,
        )
        self.lease_holder = LeaseHolder(
            settings.name,
            address_text(self.own),
            {PUBLISH_LEASE: True},
            tuple(settings.voters),
            settings.lease_timing,
            seed + 2,
            now,
        )
        self.relay = Relay(settings.name, machine.log, settings.relay_tuning)
        self.publisher = Publisher(machine.log, check, signer, settings.publisher_tuning)
        self.control_node = ControlNode(
            self.local_voter.voter, self.lease_holder, machine, self.publisher, self.relay, now, settings.control_tuning
        )
        self.relay_server = RelayServer(self.relay, clock)
        self._timer = Timer(clock, self._tick)
        self._closed = False

    async def start(self) -> int:
        """Binds both sockets; returns the relay's port."""
        await self.open(*self.own)
        port = await self.relay_server.start(*self.settings.relay_address)
        self._settle()
        return port

    async def close(self) -> None:
        """Gives the lease back, lets another lead, and ends."""
        self.lease_holder.shut_down(self.clock())
        self._settle()
        self.local_voter.transfer_leadership()
        self._closed = True
        self.messenger.close()
        self._timer.cancel()
        self.local_voter.close()
        await self.relay_server.stop()
        self.shut()

    # -- publishing
    @property
    def is_publisher(self) -> bool:
        """Whether this machine holds the lease on publishing now."""
        return bool(self.publisher.epoch)

    def submit(self, changes: Iterable[Change]) -> tuple[RejectedChange, ...]:
        """Takes all of these changes for publication, or none of them and says why. Raises NotPublishing."""
        if not self.is_publisher:
            raise NotPublishingError(f"{self.lease_holder.duties[PUBLISH_LEASE].holder or 'nobody'} publishes")
        problems = self.publisher.submit(self.clock(), changes)
        self._settle()
        return problems

    def progress(self, revision: int) -> RolloutProgress:
        """Who has this revision in force, as far as relays have reported."""
        return self.publisher.progress(self.clock(), revision)

    # -- datagrams
    def body(self, body: bytes, source: Address) -> None:
        if self._closed:
            return
        try:
            message = control_wire.decode(body)
        except control_wire.MalformedMessageError:
            self.refused += 1
            return
        self._heard(message, source)
        self._settle()

    def _heard(self, message: control_wire.ControlMessage, source: Address) -> None:
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
            case _:
                self.refused += 1

    def _receive_own_reply(self, reply: LeaseReply) -> None:
        self.lease_holder.receive_reply(self.clock(), reply)
        self._settle()

    # -- time
    def _tick(self) -> None:
        now = self.clock()
        if now >= self.lease_holder.next_at:
            self.lease_holder.tick(now)
        if now >= self.local_voter.next_at:
            self.local_voter.tick()
        self.control_node.tick(now)
        self._settle()

    def _settle(self) -> None:
        """Carries out what the parts want, until they want nothing, and sets the clock for what comes next."""
        if self._closed:
            return
        for _ in range(MAX_ROUNDS):
            busy = self.messenger.send_pending_requests(self.lease_holder, self.local_voter)
            busy |= self.control_node.synchronize(self.clock())
            for action in self.control_node.take_actions():
                busy = True
                self._carry_out(action)
            if not busy:
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
                self.note("changes not published", changes=len(changes))
