"""SWIM (Das, Gupta, Motivala, DSN 2002) as a pure state machine: time and datagrams in, datagrams and events out.

In each period one member is pinged, in an order that is reshuffled for each round (`probe_order`). If it does not
reply, other members ping it; if they get no reply either, it is suspected (`failure_detector`), and declared dead if
it does not refute the suspicion in time (`suspicion`). Updates are piggybacked on these messages (`gossip`,
`broadcasts`).

From Lifeguard (Dadgar, Phillips, Currey, 2018): a member that misses replies lengthens its own timeouts (`health`);
a suspicion times out sooner if several members report it; messages to a suspected member carry the suspicion, so that
it can refute it immediately; a helper that gets no reply from the target sends a nack.

In addition to both, members exchange the full state from time to time and ping dead members, so that the sides of a
partition merge again once it ends (`anti_entropy`).

Times are seconds on any monotonic clock. Only the caller reads it.
"""

from __future__ import annotations

import math
import random
from typing import assert_never

from badgerbend.membership.anti_entropy import AntiEntropy
from badgerbend.membership.broadcasts import BroadcastQueue
from badgerbend.membership.config import SwimConfig
from badgerbend.membership.context import SwimContext
from badgerbend.membership.failure_detector import FailureDetector
from badgerbend.membership.gossip import Gossip
from badgerbend.membership.health import LocalHealth
from badgerbend.membership.members import Address, LocalMember, Member, MembershipTable
from badgerbend.membership.messages import (
    Ack,
    IndirectPing,
    MalformedMessageError,
    Message,
    Nack,
    Ping,
    Sync,
    decode,
)
from badgerbend.membership.output import Datagram, MemberChanged, SwimOutput
from badgerbend.membership.probe_order import ProbeOrder
from badgerbend.membership.sender import MessageSender
from badgerbend.membership.suspicion import SuspicionTimers
from badgerbend.membership.timers import (
    DirectProbeTimeout,
    IndirectProbeTimeout,
    ProbeTimeout,
    SuspicionTimeout,
    Timer,
    TimerQueue,
)

# These names are part of this module's interface, because callers of Swim need them.
__all__ = ["Address", "Datagram", "Member", "MemberChanged", "Swim", "SwimConfig", "SwimOutput"]

LEAVE_FANOUT = 2  # a member that leaves notifies this many times `indirect_checks` members


class Swim:
    """The state of one member. Call `take_output` after each call of another method.

    incarnation: greater than in any earlier run of the same member, such as its start time. periods: the number of
    protocol periods begun so far. rejected_datagrams: the number of datagrams that could not be decoded.
    """

    def __init__(
        self, name: str, address: Address, incarnation: int, metadata: str, config: SwimConfig, seed: int
    ) -> None:
        self.config = config
        self.local = LocalMember(name, address, incarnation, metadata)
        self.periods = 0
        self.rejected_datagrams = 0
        self._rng = random.Random(seed)
        self._timers = TimerQueue()
        self._next_period_at = -math.inf
        self._members = MembershipTable(config)
        self._health = LocalHealth(config.max_health_score)
        context = SwimContext(config, self.local, self._members, self._health, self._timers, self._rng)
        broadcasts = BroadcastQueue()
        probe_order = ProbeOrder(context)
        self._sender = MessageSender(context, broadcasts)
        self._gossip = Gossip(context, broadcasts, SuspicionTimers(context), probe_order)
        self._failure_detector = FailureDetector(context, self._sender, self._gossip, probe_order)
        self._anti_entropy = AntiEntropy(context, self._sender)

    # -- state

    @property
    def name(self) -> str:
        """The local member's name."""
        return self.local.name

    @property
    def address(self) -> Address:
        """The local member's address."""
        return self.local.address

    @property
    def incarnation(self) -> int:
        """The local member's incarnation; it grows when the member refutes a suspicion."""
        return self.local.incarnation

    @property
    def metadata(self) -> str:
        """The data that the local member publishes about itself for other members."""
        return self.local.metadata

    @property
    def members(self) -> dict[str, Member]:
        """All other members by name, including dead and departed ones."""
        return self._members.by_name

    @property
    def seeds(self) -> tuple[Address, ...]:
        """The addresses that are pinged to find other members."""
        return self._anti_entropy.seeds

    @seeds.setter
    def seeds(self, seeds: tuple[Address, ...]) -> None:
        self._anti_entropy.seeds = seeds

    @property
    def health_score(self) -> int:
        """The local health score; 0 is healthy."""
        return self._health.score

    @property
    def next_wakeup_at(self) -> float:
        """The time at which `tick` next has something to do."""
        return min(self._next_period_at, self._timers.next_at)

    def live_members(self) -> list[Member]:
        """Return the members that are neither dead nor departed."""
        return self._members.live()

    # -- input and output

    def join(self, now: float, seeds: tuple[Address, ...]) -> None:
        """Start the protocol: ping the seeds now, and again until a member has replied."""
        self._next_period_at = now + self._rng.random() * self.config.probe_interval_s
        self._anti_entropy.join(seeds)

    def leave(self, now: float) -> None:
        """Notify some members, and ignore all datagrams from now on."""
        self.local.left = True
        live = self._members.live()
        for member in self._rng.sample(live, min(len(live), LEAVE_FANOUT * self.config.indirect_checks)):
            self._sender.send(member.address, Sync(reply_requested=False, sender=self.local.make_update()))

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """Handle a datagram whose seal has been checked and removed."""
        if self.local.left:
            return
        try:
            message = decode(data)
        except MalformedMessageError:
            self.rejected_datagrams += 1
            return
        if message.sender.name == self.name and message.sender.incarnation != self.incarnation:
            return  # from an earlier run or another process with this name; refuted once its updates are gossiped here
        self._gossip.apply(now, message.sender)
        for update in message.updates:
            self._gossip.apply(now, update)
        self._handle(now, message, source)

    def tick(self, now: float) -> None:
        """Run what is due at `now`."""
        while (timer := self._timers.pop_due(now)) is not None:
            self._fire(now, timer)
        if not self.local.left and now >= self._next_period_at:
            period_s = self.config.probe_interval_s * self._health.factor
            self._next_period_at = max(self._next_period_at + period_s, now + period_s / 2)
            self._begin_period(now)

    def take_output(self) -> SwimOutput:
        """Return the output that has accumulated since the last call."""
        return SwimOutput(self._sender.take_datagrams(), self._gossip.take_events())

    def send_full_state(self, destination: Address, *, reply_requested: bool) -> None:
        """Send the state of all members to an address."""
        self._sender.send_full_state(destination, reply_requested=reply_requested)

    # -- dispatch

    def _begin_period(self, now: float) -> None:
        self.periods += 1
        self._anti_entropy.begin_period(self.periods)
        self._members.remove_expired(now)
        self._failure_detector.probe_next(now)

    def _handle(self, now: float, message: Message, source: Address) -> None:
        """Handle a message whose updates have been applied."""
        match message:
            case Ping():
                self._acknowledge_ping(message, source)
            case IndirectPing():
                self._failure_detector.handle_indirect_ping(now, message, source)
            case Ack():
                self._failure_detector.handle_ack(message)
            case Nack():
                self._failure_detector.handle_nack(message)
            case Sync():
                if message.reply_requested:
                    self.send_full_state(source, reply_requested=False)
            case _:
                assert_never(message)

    def _acknowledge_ping(self, ping: Ping, source: Address) -> None:
        """Acknowledge a ping for this member. A ping without a target may come from a member that joins."""
        if ping.target not in ("", self.name):
            return
        self._sender.send(source, Ack(ping.seq, self.local.make_update()), receiver=ping.sender.name)
        if not ping.target:
            self.send_full_state(source, reply_requested=True)

    def _fire(self, now: float, timer: Timer) -> None:
        match timer:
            case DirectProbeTimeout(seq):
                self._failure_detector.direct_probe_timed_out(seq)
            case ProbeTimeout(seq):
                self._failure_detector.probe_timed_out(now, seq)
            case IndirectProbeTimeout(seq):
                self._failure_detector.indirect_probe_timed_out(seq)
            case SuspicionTimeout(name):
                self._gossip.suspicion_timed_out(now, name)
            case _:
                assert_never(timer)
