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
from badgerbend.feed.publisher import ChangeCheck, Publisher, PublisherTuning, RejectedChange, RolloutProgress
from badgerbend.feed.relay import Relay, RelayTuning
from badgerbend.feed.signature import Signer
from badgerbend.feed_service import control_wire
from badgerbend.feed_service.control_wire import Proposal
from badgerbend.feed_service.relay import RelayServer
from badgerbend.feed_service.timer import Clock, WakeUp, monotonic
from badgerbend.lease_service import wire
from badgerbend.lease_service.local_voter import LocalVoter
from badgerbend.leases.holder import LeaseHolder, LeaseTiming
from badgerbend.leases.messages import LeaseReply, LeaseRequest, LeaseReturn
from badgerbend.net.seal import Seal
from badgerbend.net.udp import Address, SealedSocket, address_text

MOST_TURNS = 64  # in which the parts of one machine answer each other at once


class NotPublishingError(Exception):
    """Another machine holds the lease on publishing, or nobody does for now."""


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """One control machine. voters: all of them by name; keys: the fleet's, for datagrams."""

    name: str
    store: Path
    voters: dict[str, Address]
    relay: Address
    keys: tuple[bytes, ...]
    retention: Retention = Retention()
    voting: RaftConfig = RaftConfig()
    terms: LeaseTiming = LeaseTiming()
    publishing: PublisherTuning = PublisherTuning()
    relaying: RelayTuning = RelayTuning()
    control: ControlTuning = ControlTuning()


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
        self.ballot = LocalVoter(
            settings.store,
            settings.voting,
            settings.terms,
            seed + 1,
            clock,
            self._to_voter,
            self._to_candidate,
            note,
            self._after,
            machine,
        )
        self.holder = LeaseHolder(
            settings.name,
            address_text(self.own),
            {PUBLISH_LEASE: True},
            tuple(settings.voters),
            settings.terms,
            seed + 2,
            now,
        )
        self.relay = Relay(settings.name, machine.log, settings.relaying)
        self.publisher = Publisher(machine.log, check, signer, settings.publishing)
        self.node = ControlNode(
            self.ballot.voter, self.holder, machine, self.publisher, self.relay, now, settings.control
        )
        self.server = RelayServer(self.relay, clock)
        self._wake_up = WakeUp(clock, self._tick)
        self._closed = False

    async def start(self) -> int:
        """Binds both sockets; returns the relay's port."""
        await self.open(*self.own)
        port = await self.server.start(*self.settings.relay)
        self._after()
        return port

    async def close(self) -> None:
        """Gives the lease back, lets another lead, and ends."""
        self.holder.leave(self.clock())
        self._after()
        self.ballot.hand_over()
        self._closed = True
        self._wake_up.cancel()
        self.ballot.close()
        await self.server.stop()
        self.shut()

    # -- publishing
    @property
    def publishes(self) -> bool:
        """Whether this machine holds the lease on publishing now."""
        return bool(self.publisher.epoch)

    def submit(self, changes: Iterable[Change]) -> tuple[RejectedChange, ...]:
        """Takes all of these changes for publication, or none of them and says why. Raises NotPublishing."""
        if not self.publishes:
            raise NotPublishingError(f"{self.holder.duties[PUBLISH_LEASE].holder or 'nobody'} publishes")
        problems = self.publisher.submit(self.clock(), changes)
        self._after()
        return problems

    def progress(self, revision: int) -> RolloutProgress:
        """Who has this revision in force, as far as relays have reported."""
        return self.publisher.progress(self.clock(), revision)

    # -- datagrams
    def body(self, body: bytes, source: Address) -> None:
        if self._closed:
            return
        try:
            message = control_wire.read(body)
        except control_wire.MalformedMessageError:
            self.refused += 1
            return
        self._heard(message, source)
        self._after()

    def _heard(self, message: control_wire.Said, source: Address) -> None:
        match message:
            case LeaseRequest() | LeaseReturn():
                self.ballot.from_broker(message, source)
            case LeaseReply():
                self.holder.told(self.clock(), message)
            case Proposal(command):
                self._proposed(command)
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
                self.ballot.from_voter(message)
            case _:
                self.refused += 1

    def _proposed(self, command: bytes) -> None:
        if self.ballot.broken is None:
            self.ballot.voter.propose(self.clock(), command)
            self.ballot.flush()

    def _to_voter(self, name: str, message: voting.Message) -> None:
        address = self.settings.voters.get(name)
        if address is not None:
            self.send(address, wire.voter_body(message))

    def _to_candidate(self, address: Address, message: LeaseReply) -> None:
        if address == self.own:
            self.loop.call_soon(self._told_self, message)
        else:
            self.send(address, wire.broker_body(message))

    def _told_self(self, message: LeaseReply) -> None:
        if not self._closed:
            self.holder.told(self.clock(), message)
            self._after()

    # -- time
    def _tick(self) -> None:
        now = self.clock()
        if now >= self.holder.next_at:
            self.holder.tick(now)
        if now >= self.ballot.next_at:
            self.ballot.tick()
        self.node.tick(now)
        self._after()

    def _after(self) -> None:
        """Carries out what the parts want, until they want nothing, and sets the clock for what comes next."""
        if self._closed:
            return
        for _ in range(MOST_TURNS):
            busy = self._ask_for_lease()
            busy |= self.node.synchronize(self.clock())
            for action in self.node.take_actions():
                busy = True
                self._carry_out(action)
            if not busy:
                break
        self.ballot.flush()
        self.server.pump()
        self._wake_up.set(min(self.holder.next_at, self.ballot.next_at, self.node.next_at))

    def _ask_for_lease(self) -> bool:
        """The holder's words to the voters, this machine's own among them."""
        words = self.holder.take()
        for name, message in words:
            if name == self.settings.name:
                self.ballot.from_broker(message, self.own)
            else:
                self.send(self.settings.voters[name], wire.broker_body(message))
        return bool(words)

    def _carry_out(self, action: Action) -> None:
        match action:
            case Propose(leader, command):
                if leader == self.settings.name:
                    self._proposed(command)
                elif leader in self.settings.voters:
                    self.send(self.settings.voters[leader], control_wire.proposal_body(command))
            case ReportSummary(publisher, summary):
                if publisher in self.settings.voters:
                    self.send(self.settings.voters[publisher], control_wire.summary_body(summary))
            case ChangesAbandoned(changes):
                self.note("changes not published", changes=len(changes))
