"""The failure detector: direct probes, and indirect probes through other members."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.membership.context import SwimContext
from badgerbend.membership.gossip import Gossip
from badgerbend.membership.members import Address, Member
from badgerbend.membership.messages import Ack, IndirectPing, MemberState, Nack
from badgerbend.membership.probe_order import ProbeOrder
from badgerbend.membership.sender import MessageSender
from badgerbend.membership.timers import DirectProbeTimeout, IndirectProbeTimeout, ProbeTimeout


@dataclass(slots=True)
class Probe:
    """A probe by the local member.

    helpers: the number of members asked to ping the target. nacks: how many of them reported that it did not reply.
    """

    target: str
    helpers: int = 0
    nacks: int = 0


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """A probe on behalf of another member. seq: the sequence number of its request."""

    seq: int
    requester: Address


class FailureDetector:
    """Probes one member in each period, and suspects it if no ack arrives in time, directly or through a helper."""

    def __init__(
        self,
        context: SwimContext,
        sender: MessageSender,
        gossip: Gossip,
        probe_order: ProbeOrder,
    ) -> None:
        self._config = context.config
        self._local = context.local
        self._members = context.members
        self._health = context.health
        self._timers = context.timers
        self._rng = context.rng
        self._sender = sender
        self._gossip = gossip
        self._probe_order = probe_order
        self._probes: dict[int, Probe] = {}  # by the sequence number of the ping
        self._indirect_probes: dict[int, IndirectProbe] = {}

    # -- probes by the local member

    def probe_next(self, now: float) -> None:
        """Probe the next member, if there is one."""
        member = self._probe_order.next()
        if member is None:
            return
        probe_time_s = max(self._config.probe_interval_s, 3 * self._config.probe_timeout_s) * self._health.factor
        seq = self._sender.ping(member.address, member.name)
        self._probes[seq] = Probe(member.name)
        self._timers.set(now + self._direct_timeout_s(), DirectProbeTimeout(seq))
        self._timers.set(now + probe_time_s, ProbeTimeout(seq))

    def direct_probe_timed_out(self, seq: int) -> None:
        """Ask some other members to ping the target, unless it has replied."""
        probe = self._probes.get(seq)
        target = self._members.get(probe.target) if probe is not None else None
        if probe is None or target is None:
            return
        helpers = self._choose_helpers(target)
        probe.helpers = len(helpers)
        for helper in helpers:
            request = IndirectPing(seq, target.name, *target.address, self._local.make_update())
            self._sender.send(helper.address, request, receiver=helper.name)

    def probe_timed_out(self, now: float, seq: int) -> None:
        """Suspect the target, unless it has replied."""
        probe = self._probes.pop(seq, None)
        target = self._members.get(probe.target) if probe is not None else None
        if probe is None or target is None or self._local.left:
            return
        # Helpers that send no nack either, or a lack of helpers, suggest that this member itself is badly connected.
        missing_nacks = probe.helpers - probe.nacks if probe.helpers else 1
        self._health.adjust(min(missing_nacks, 1))
        if target.state == MemberState.ALIVE:
            self._gossip.suspect(now, target)

    def handle_nack(self, nack: Nack) -> None:
        """Count a helper that got no reply from the target."""
        probe = self._probes.get(nack.seq)
        if probe is not None:
            probe.nacks += 1

    def handle_ack(self, ack: Ack) -> None:
        """End the probe that an ack belongs to; forward the ack if the probe was on behalf of another member."""
        indirect = self._indirect_probes.pop(ack.seq, None)
        if indirect is not None:
            self._sender.send(indirect.requester, Ack(indirect.seq, ack.sender))
            return
        probe = self._probes.get(ack.seq)
        if probe is not None and ack.sender.name == probe.target:
            del self._probes[ack.seq]
            self._health.improve()

    def _choose_helpers(self, target: Member) -> list[Member]:
        """Choose random live members to ping the target."""
        others = [member for member in self._members.in_state(MemberState.ALIVE) if member.name != target.name]
        return self._rng.sample(others, min(len(others), self._config.indirect_checks))

    def _direct_timeout_s(self) -> float:
        return self._config.probe_timeout_s * self._health.factor

    # -- probes on behalf of others

    def handle_indirect_ping(self, now: float, request: IndirectPing, requester: Address) -> None:
        """Ping a member on behalf of another."""
        seq = self._sender.ping((request.host, request.port), request.target)
        self._indirect_probes[seq] = IndirectProbe(request.seq, requester)
        self._timers.set(now + self._direct_timeout_s(), IndirectProbeTimeout(seq))

    def indirect_probe_timed_out(self, seq: int) -> None:
        """Send a nack to the requester, unless the target has replied."""
        indirect = self._indirect_probes.pop(seq, None)
        if indirect is not None and not self._local.left:
            self._sender.send(indirect.requester, Nack(indirect.seq, self._local.make_update()))
