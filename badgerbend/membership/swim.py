"""SWIM (Das, Gupta, Motivala, DSN 2002) as a pure state machine: time and datagrams in, datagrams and events out.

Each period one member is pinged, in an order shuffled anew each round; if it does not answer, others ping it for us;
if that brings nothing, it is suspected, and dead when nobody refutes in time. News ride on these messages.

From Lifeguard (Dadgar, Phillips, Currey, 2018): a member that hears little trusts itself less (`health` stretches its
time-outs); a suspicion's time shrinks with the number of those who share it; a suspected member is told so by whoever
pings it, so that it can refute at once; who is asked to ping for another says when it heard nothing.

Beyond both: dead members are pinged now and then, so that halves of a partition find each other again.

Times are seconds on any clock that does not go backwards; it is read by the caller only.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from badgerbend.membership.messages import (
    Ack,
    IndirectPing,
    MalformedMessageError,
    MemberState,
    MemberUpdate,
    Message,
    Nack,
    Ping,
    Sync,
    decode,
    encode,
    with_updates,
)

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Times in seconds; the defaults are those of the papers."""

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.3  # for a direct answer
    indirect_checks: int = 3  # asked to ping for us
    suspicion_multiplier: float = 4.0  # its least time: so many periods, times the logarithm of the members
    suspicion_max_multiplier: float = 6.0  # its time while nobody else shares it, times the least
    suspicion_confirmations: int = 3  # so many others who share a suspicion bring it down to the least
    retransmit_multiplier: float = 3.0  # news are sent so many times, times the logarithm of the members
    max_health_score: int = 8
    sync_every_periods: int = 30  # periods between exchanges of all that is held, once it has been in so long
    dead_probe_every_periods: int = 8  # periods between pings to a dead member
    dead_retention_s: float = 3600.0  # after so long
    max_members: int = 4096  # a liar's inventions end there; a fleet of 1,024 and its dead of the last hour do not


@dataclass(slots=True)
class Member:
    """What is held of another."""

    name: str
    address: Address
    state: MemberState
    incarnation: int
    metadata: str
    since: float
    suspected_by: set[str] = field(default_factory=set)
    deadline: float = 0.0  # of the suspicion


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """An event: a member's state is new."""

    name: str
    address: Address
    state: MemberState
    incarnation: int
    metadata: str


@dataclass(frozen=True, slots=True)
class Datagram:
    """An encoded message, not yet sealed, for the address of another member."""

    destination: Address
    payload: bytes


@dataclass(frozen=True, slots=True)
class SwimOutput:
    """What a `Swim` wants done: datagrams to send and events to pass on, both in order."""

    datagrams: list[Datagram]
    events: list[MemberChanged]


@dataclass(slots=True)
class _Probe:
    target: str
    asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class _IndirectProbe:
    """A ping on another's behalf."""

    seq: int
    requester: Address


class Swim:
    """The state of one member. Call `take_output` after each call of another method."""

    def __init__(
        self, name: str, address: Address, incarnation: int, metadata: str, config: SwimConfig, seed: int
    ) -> None:
        self.name = name
        self.address = address
        self.incarnation = incarnation
        self.metadata = metadata
        self.config = config
        self.rng = random.Random(seed)
        self.members: dict[str, Member] = {}
        self.health_score = 0
        self.left = False
        self.seeds: tuple[Address, ...] = ()
        self._datagrams: list[Datagram] = []
        self._events: list[MemberChanged] = []
        self.rejected_datagrams = 0  # datagrams that were none of ours
        self._seq = count(1)
        self._probes: dict[int, _Probe] = {}
        self._indirect_probes: dict[int, _IndirectProbe] = {}
        self._round: list[str] = []
        self._broadcasts: dict[str, tuple[int, MemberUpdate]] = {}  # times sent, by member
        self._periods = 0
        self._next_period = -math.inf
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()

    # -- the caller's side
    def join(self, now: float, seeds: tuple[Address, ...]) -> None:
        """Begins: asks the seeds, now and until one has answered."""
        self.seeds = tuple(s for s in seeds if s != self.address)
        self._next_period = now + self.rng.random() * self.config.probe_interval_s
        self._ping_seeds()

    def leave(self, now: float) -> None:
        """Tells some others; nothing is answered from here on."""
        self.left = True
        me = self._local_update()
        alive = [m for m in self.members.values() if m.state <= MemberState.SUSPECT]
        for member in self.rng.sample(alive, min(len(alive), 2 * self.config.indirect_checks)):
            self._send(member.address, Sync(False, me))

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """A datagram, its seal taken off."""
        if self.left:
            return
        try:
            message = decode(data)
        except MalformedMessageError:
            self.rejected_datagrams += 1
            return
        if message.sender.name == self.name and message.sender.incarnation != self.incarnation:
            return  # an echo of an earlier life, or another that has our name: `_apply_update` of it by news
        self._apply_update(now, message.sender)
        for update in message.updates:
            self._apply_update(now, update)
        match message:
            case Ping(seq, target):
                if target in ("", self.name):
                    self._send(source, Ack(seq, self._local_update()), to=message.sender.name)
                    if not target:
                        self._send_full_state(source, reply=True)
            case IndirectPing(seq, target, host, port):
                own = next(self._seq)
                self._indirect_probes[own] = _IndirectProbe(seq, source)
                self._send((host, port), Ping(own, target, self._local_update()), to=target)
                self._at(now + self._timeout(), lambda at: self._indirect_probe_timed_out(own))
            case Ack(seq):
                self._acked(now, seq, message)
            case Nack(seq):
                if seq in self._probes:
                    self._probes[seq].nacks += 1
            case Sync(reply):
                if reply:
                    self._send_full_state(source, reply=False)

    def tick(self, now: float) -> None:
        """What is due by now."""
        while self._due and self._due[0][0] <= now:
            at, _, what = heapq.heappop(self._due)
            what(max(at, now))
        if not self.left and now >= self._next_period:
            period = self.config.probe_interval_s * (1 + self.health_score)
            self._next_period = max(self._next_period + period, now + period / 2)
            self._begin_period(now)

    @property
    def next_wakeup_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._next_period, self._due[0][0] if self._due else math.inf)

    def take_output(self) -> SwimOutput:
        """Return what has accumulated since the last call, and forget it."""
        output = SwimOutput(self._datagrams, self._events)
        self._datagrams = []
        self._events = []
        return output

    def live_members(self) -> list[Member]:
        """Members that are not known to be dead or gone."""
        return [m for m in self.members.values() if m.state <= MemberState.SUSPECT]

    # -- periods and probes
    def _begin_period(self, now: float) -> None:
        self._periods += 1
        config = self.config
        alive = self.live_members()
        if not alive:
            self._ping_seeds()
        young = (
            self._periods < config.sync_every_periods and self._periods.bit_count() == 1
        )  # 1, 2, 4, …: many join at once
        if alive and (young or self._periods % config.sync_every_periods == 0):
            self._send_full_state(self.rng.choice(alive).address, reply=True)
        if self._periods % config.dead_probe_every_periods == 0:
            dead = [m for m in self.members.values() if m.state == MemberState.DEAD]
            if dead:
                lost = self.rng.choice(dead)
                self._send(lost.address, Ping(next(self._seq), lost.name, self._local_update()), to=lost.name)
            if len(alive) < len(self.seeds):
                self._ping_seeds()  # a seed that was never met may be there by now, also while others are dead
        for name in [m.name for m in self.members.values() if self._forgettable(m, now)]:
            del self.members[name]
        target = self._next_target()
        if target is not None:
            self._probe(now, target)

    def _forgettable(self, member: Member, now: float) -> bool:
        return member.state >= MemberState.DEAD and now - member.since > self.config.dead_retention_s

    def _next_target(self) -> Member | None:
        """Round robin over a shuffled order, so that each is pinged within two rounds at most."""
        while self._round:
            member = self.members.get(self._round.pop())
            if member is not None and member.state <= MemberState.SUSPECT:
                return member
        self._round = [m.name for m in self.live_members()]
        self.rng.shuffle(self._round)
        return self.members[self._round.pop()] if self._round else None

    def _timeout(self) -> float:
        return self.config.probe_timeout_s * (1 + self.health_score)

    def _probe(self, now: float, member: Member) -> None:
        seq = next(self._seq)
        wait = self._timeout()
        end = max(self.config.probe_interval_s, 3 * self.config.probe_timeout_s) * (1 + self.health_score)
        self._probes[seq] = _Probe(member.name)
        self._send(member.address, Ping(seq, member.name, self._local_update()), to=member.name)
        self._at(now + wait, lambda at: self._send_indirect_pings(at, seq))
        self._at(now + end, lambda at: self._probe_timed_out(at, seq))

    def _send_indirect_pings(self, now: float, seq: int) -> None:
        probe = self._probes.get(seq)
        member = self.members.get(probe.target) if probe else None
        if probe is None or member is None:
            return
        others = [m for m in self.live_members() if m.name != member.name and m.state == MemberState.ALIVE]
        chosen = self.rng.sample(others, min(len(others), self.config.indirect_checks))
        probe.asked = len(chosen)
        for helper in chosen:
            self._send(
                helper.address, IndirectPing(seq, member.name, *member.address, self._local_update()), to=helper.name
            )

    def _acked(self, now: float, seq: int, message: Ack) -> None:
        indirect = self._indirect_probes.pop(seq, None)
        if indirect is not None:
            self._send(indirect.requester, Ack(indirect.seq, message.sender))
            return
        probe = self._probes.get(seq)
        if probe is not None and message.sender.name == probe.target:
            del self._probes[seq]
            self.health_score = max(self.health_score - 1, 0)

    def _indirect_probe_timed_out(self, seq: int) -> None:
        indirect = self._indirect_probes.pop(seq, None)
        if indirect is not None and not self.left:
            self._send(indirect.requester, Nack(indirect.seq, self._local_update()))

    def _probe_timed_out(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        member = self.members.get(probe.target) if probe else None
        if probe is None or member is None or self.left:
            return
        # helpers that say nothing at all speak against our own link; without helpers the miss itself does
        silent = probe.asked - probe.nacks if probe.asked else 1
        self.health_score = min(self.health_score + min(silent, 1), self.config.max_health_score)
        if member.state == MemberState.ALIVE:
            self._apply_update(now, self._update(member, MemberState.SUSPECT, self.name))

    # -- news
    def _local_update(self) -> MemberUpdate:
        state = MemberState.LEFT if self.left else MemberState.ALIVE
        return MemberUpdate(self.name, *self.address, state, self.incarnation, "", self.metadata)

    @staticmethod
    def _update(member: Member, state: MemberState, by: str = "") -> MemberUpdate:
        return MemberUpdate(member.name, *member.address, state, member.incarnation, by, member.metadata)

    def _apply_update(self, now: float, u: MemberUpdate) -> None:
        """One piece of news, by SWIM's order: a greater incarnation wins, at the same one the graver state."""
        if u.name == self.name:
            self._refute(u)
            return
        member = self.members.get(u.name)
        if member is None:
            if u.state >= MemberState.DEAD or len(self.members) >= self.config.max_members:
                return
            member = Member(u.name, (u.host, u.port), u.state, u.incarnation, u.metadata, now)
            self.members[u.name] = member
            self._round.insert(self.rng.randrange(len(self._round) + 1), u.name)
        elif u.incarnation == member.incarnation and u.state == member.state:
            if u.state == MemberState.SUSPECT and u.reporter and u.reporter not in member.suspected_by:
                self._confirm_suspicion(now, member, u.reporter)
            return
        elif (u.incarnation, u.state) <= (member.incarnation, member.state):
            return
        member.state, member.incarnation, member.since = u.state, u.incarnation, now
        member.address, member.metadata = (u.host, u.port), u.metadata
        member.suspected_by = {u.reporter} if u.reporter else set()
        self._broadcasts[u.name] = (0, u)
        self._events.append(MemberChanged(u.name, member.address, u.state, u.incarnation, u.metadata))
        if u.state == MemberState.SUSPECT:
            member.deadline = now + self._suspicion_timeout(0)
            self._at(member.deadline, lambda at: self._suspicion_timed_out(at, u.name))

    def _refute(self, u: MemberUpdate) -> None:
        """What is said of us: anything but alive is refuted by a greater incarnation."""
        if u.incarnation > self.incarnation or (u.incarnation == self.incarnation and u.state != MemberState.ALIVE):
            if self.left:
                return
            self.incarnation = u.incarnation + 1
            self.health_score = min(self.health_score + 1, self.config.max_health_score)
            self._broadcasts[self.name] = (0, self._local_update())

    def _confirm_suspicion(self, now: float, member: Member, by: str) -> None:
        """Another shares a suspicion: its time shrinks, and the news of it go on."""
        if len(member.suspected_by) > self.config.suspicion_confirmations:
            return
        began = member.deadline - self._suspicion_timeout(max(len(member.suspected_by) - 1, 0))
        member.suspected_by.add(by)
        member.deadline = began + self._suspicion_timeout(len(member.suspected_by) - 1)
        self._broadcasts[member.name] = (0, self._update(member, MemberState.SUSPECT, by))
        self._at(max(member.deadline, now), lambda at: self._suspicion_timed_out(at, member.name))

    def _suspicion_timeout(self, shared: int) -> float:
        """How long a suspicion lasts that so many others share."""
        config = self.config
        least = (
            config.suspicion_multiplier * max(1.0, math.log10(max(len(self.members) + 1, 1))) * config.probe_interval_s
        )
        most = least * config.suspicion_max_multiplier
        if len(self.members) <= 2:  # nobody could share it
            return least
        share = math.log(shared + 1) / math.log(config.suspicion_confirmations + 1)
        return max(least, most - (most - least) * share)

    def _suspicion_timed_out(self, now: float, name: str) -> None:
        member = self.members.get(name)
        if member is not None and member.state == MemberState.SUSPECT and now >= member.deadline - 1e-9:
            self._apply_update(now, self._update(member, MemberState.DEAD, self.name))

    def _gossip_for(self, to: str) -> list[MemberUpdate]:
        """News, the least told first; what is held against the one spoken to comes before all else."""
        rows = sorted(self._broadcasts.values(), key=lambda row: row[0])
        told = [u for _, u in rows if u.name != to]
        member = self.members.get(to)
        if member is not None and member.state in (MemberState.SUSPECT, MemberState.DEAD):
            told.insert(0, self._update(member, member.state, self.name))
        return told

    def _ping_seeds(self) -> None:
        for seed in self.seeds:
            self._send(seed, Ping(next(self._seq), "", self._local_update()))

    def _send(self, address: Address, message: Message, to: str = "") -> None:
        limit = math.ceil(self.config.retransmit_multiplier * math.log10(len(self.members) + 2)) + 1
        message = with_updates(message, self._gossip_for(to))
        for update in message.updates:
            held = self._broadcasts.get(update.name)
            if held is not None and held[1] == update:
                if held[0] + 1 >= limit:
                    del self._broadcasts[update.name]
                else:
                    self._broadcasts[update.name] = (held[0] + 1, update)
        self._datagrams.append(Datagram(address, encode(message)))

    def _send_full_state(self, address: Address, reply: bool) -> None:
        """All that is held, in as many datagrams as it takes; a reply is asked for once."""
        rows = [
            self._update(m, m.state, self.name if m.state == MemberState.SUSPECT else "") for m in self.members.values()
        ]
        while True:
            message = with_updates(Sync(reply, self._local_update()), rows)
            taken = len(message.updates)
            self._datagrams.append(Datagram(address, encode(message)))
            rows = rows[taken:]
            reply = False
            if not rows or not taken:
                return

    def _at(self, when: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (when, next(self._order), what))
