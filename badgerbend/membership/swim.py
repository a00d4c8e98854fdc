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
    MalformedMessageError,
    Message,
    Nack,
    Ping,
    PingReq,
    State,
    Sync,
    Update,
    decode,
    encode,
    fill,
)

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Tuning:
    """Times in seconds; the defaults are those of the papers."""

    period: float = 1.0
    timeout: float = 0.3  # for a direct answer
    helpers: int = 3  # asked to ping for us
    suspicion: float = 4.0  # its least time: so many periods, times the logarithm of the members
    suspicion_most: float = 6.0  # its time while nobody else shares it, times the least
    enough: int = 3  # so many others who share a suspicion bring it down to the least
    spread: float = 3.0  # news are sent so many times, times the logarithm of the members
    health_most: int = 8
    sync_every: int = 30  # periods between exchanges of all that is held, once it has been in so long
    retry_dead_every: int = 8  # periods between pings to a dead member
    forget_dead: float = 3600.0  # after so long
    members_most: int = 4096  # a liar's inventions end there; a fleet of 1,024 and its dead of the last hour do not


@dataclass(slots=True)
class Member:
    """What is held of another."""

    name: str
    address: Address
    state: State
    incarnation: int
    info: str
    since: float
    suspected_by: set[str] = field(default_factory=set)
    deadline: float = 0.0  # of the suspicion


@dataclass(frozen=True, slots=True)
class Changed:
    """An event: a member's state is new."""

    name: str
    address: Address
    state: State
    incarnation: int
    info: str


@dataclass(slots=True)
class _Probe:
    target: str
    asked: int = 0  # helpers
    nacks: int = 0


@dataclass(slots=True)
class _Errand:
    """A ping on another's behalf."""

    seq: int
    home: Address


class Swim:
    """One member. `take` what it wants sent and what it noticed after each call."""

    def __init__(self, name: str, address: Address, incarnation: int, info: str, tuning: Tuning, seed: int) -> None:
        self.name, self.address, self.incarnation, self.info = name, address, incarnation, info
        self.tuning, self.rng = tuning, random.Random(seed)
        self.members: dict[str, Member] = {}
        self.health = 0
        self.left = False
        self.seeds: tuple[Address, ...] = ()
        self.out: list[tuple[Address, bytes]] = []
        self.events: list[Changed] = []
        self.refused = 0  # datagrams that were none of ours
        self._seq = count(1)
        self._probes: dict[int, _Probe] = {}
        self._errands: dict[int, _Errand] = {}
        self._round: list[str] = []
        self._news: dict[str, tuple[int, Update]] = {}  # times sent, by member
        self._period = 0
        self._next_period = -math.inf
        self._due: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = count()

    # -- the caller's side
    def join(self, now: float, seeds: tuple[Address, ...]) -> None:
        """Begins: asks the seeds, now and until one has answered."""
        self.seeds = tuple(s for s in seeds if s != self.address)
        self._next_period = now + self.rng.random() * self.tuning.period
        self._call_seeds()

    def leave(self, now: float) -> None:
        """Tells some others; nothing is answered from here on."""
        self.left = True
        me = self._me()
        alive = [m for m in self.members.values() if m.state <= State.SUSPECT]
        for member in self.rng.sample(alive, min(len(alive), 2 * self.tuning.helpers)):
            self._send(member.address, Sync(False, me))

    def receive(self, now: float, data: bytes, source: Address) -> None:
        """A datagram, its seal taken off."""
        if self.left:
            return
        try:
            message = decode(data)
        except MalformedMessageError:
            self.refused += 1
            return
        if message.me.name == self.name and message.me.incarnation != self.incarnation:
            return  # an echo of an earlier life, or another that has our name: `_hear` of it by news
        self._hear(now, message.me)
        for update in message.news:
            self._hear(now, update)
        match message:
            case Ping(seq, target):
                if target in ("", self.name):
                    self._send(source, Ack(seq, self._me()), to=message.me.name)
                    if not target:
                        self._send_all(source, reply=True)
            case PingReq(seq, target, host, port):
                own = next(self._seq)
                self._errands[own] = _Errand(seq, source)
                self._send((host, port), Ping(own, target, self._me()), to=target)
                self._at(now + self._timeout(), lambda at: self._errand_over(own))
            case Ack(seq):
                self._acked(now, seq, message)
            case Nack(seq):
                if seq in self._probes:
                    self._probes[seq].nacks += 1
            case Sync(reply):
                if reply:
                    self._send_all(source, reply=False)

    def tick(self, now: float) -> None:
        """What is due by now."""
        while self._due and self._due[0][0] <= now:
            at, _, what = heapq.heappop(self._due)
            what(max(at, now))
        if not self.left and now >= self._next_period:
            period = self.tuning.period * (1 + self.health)
            self._next_period = max(self._next_period + period, now + period / 2)
            self._begin_period(now)

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return min(self._next_period, self._due[0][0] if self._due else math.inf)

    def take(self) -> tuple[list[tuple[Address, bytes]], list[Changed]]:
        """Datagrams to send and events, since the last call."""
        out, events = self.out, self.events
        self.out, self.events = [], []
        return out, events

    def alive(self) -> list[Member]:
        """Members that are not known to be dead or gone."""
        return [m for m in self.members.values() if m.state <= State.SUSPECT]

    # -- periods and probes
    def _begin_period(self, now: float) -> None:
        self._period += 1
        tuning = self.tuning
        alive = self.alive()
        if not alive:
            self._call_seeds()
        young = self._period < tuning.sync_every and self._period.bit_count() == 1  # 1, 2, 4, …: many join at once
        if alive and (young or self._period % tuning.sync_every == 0):
            self._send_all(self.rng.choice(alive).address, reply=True)
        if self._period % tuning.retry_dead_every == 0:
            dead = [m for m in self.members.values() if m.state == State.DEAD]
            if dead:
                lost = self.rng.choice(dead)
                self._send(lost.address, Ping(next(self._seq), lost.name, self._me()), to=lost.name)
            if len(alive) < len(self.seeds):
                self._call_seeds()  # a seed that was never met may be there by now, also while others are dead
        for name in [m.name for m in self.members.values() if self._forgettable(m, now)]:
            del self.members[name]
        target = self._next_target()
        if target is not None:
            self._probe(now, target)

    def _forgettable(self, member: Member, now: float) -> bool:
        return member.state >= State.DEAD and now - member.since > self.tuning.forget_dead

    def _next_target(self) -> Member | None:
        """Round robin over a shuffled order, so that each is pinged within two rounds at most."""
        while self._round:
            member = self.members.get(self._round.pop())
            if member is not None and member.state <= State.SUSPECT:
                return member
        self._round = [m.name for m in self.alive()]
        self.rng.shuffle(self._round)
        return self.members[self._round.pop()] if self._round else None

    def _timeout(self) -> float:
        return self.tuning.timeout * (1 + self.health)

    def _probe(self, now: float, member: Member) -> None:
        seq = next(self._seq)
        wait = self._timeout()
        end = max(self.tuning.period, 3 * self.tuning.timeout) * (1 + self.health)
        self._probes[seq] = _Probe(member.name)
        self._send(member.address, Ping(seq, member.name, self._me()), to=member.name)
        self._at(now + wait, lambda at: self._ask_helpers(at, seq))
        self._at(now + end, lambda at: self._probe_over(at, seq))

    def _ask_helpers(self, now: float, seq: int) -> None:
        probe = self._probes.get(seq)
        member = self.members.get(probe.target) if probe else None
        if probe is None or member is None:
            return
        others = [m for m in self.alive() if m.name != member.name and m.state == State.ALIVE]
        chosen = self.rng.sample(others, min(len(others), self.tuning.helpers))
        probe.asked = len(chosen)
        for helper in chosen:
            self._send(helper.address, PingReq(seq, member.name, *member.address, self._me()), to=helper.name)

    def _acked(self, now: float, seq: int, message: Ack) -> None:
        errand = self._errands.pop(seq, None)
        if errand is not None:
            self._send(errand.home, Ack(errand.seq, message.me))
            return
        probe = self._probes.get(seq)
        if probe is not None and message.me.name == probe.target:
            del self._probes[seq]
            self.health = max(self.health - 1, 0)

    def _errand_over(self, seq: int) -> None:
        errand = self._errands.pop(seq, None)
        if errand is not None and not self.left:
            self._send(errand.home, Nack(errand.seq, self._me()))

    def _probe_over(self, now: float, seq: int) -> None:
        probe = self._probes.pop(seq, None)
        member = self.members.get(probe.target) if probe else None
        if probe is None or member is None or self.left:
            return
        # helpers that say nothing at all speak against our own link; without helpers the miss itself does
        silent = probe.asked - probe.nacks if probe.asked else 1
        self.health = min(self.health + min(silent, 1), self.tuning.health_most)
        if member.state == State.ALIVE:
            self._hear(now, self._update(member, State.SUSPECT, self.name))

    # -- news
    def _me(self) -> Update:
        state = State.LEFT if self.left else State.ALIVE
        return Update(self.name, *self.address, state, self.incarnation, "", self.info)

    @staticmethod
    def _update(member: Member, state: State, by: str = "") -> Update:
        return Update(member.name, *member.address, state, member.incarnation, by, member.info)

    def _hear(self, now: float, u: Update) -> None:
        """One piece of news, by SWIM's order: a greater incarnation wins, at the same one the graver state."""
        if u.name == self.name:
            self._hear_of_me(u)
            return
        member = self.members.get(u.name)
        if member is None:
            if u.state >= State.DEAD or len(self.members) >= self.tuning.members_most:
                return
            member = Member(u.name, (u.host, u.port), u.state, u.incarnation, u.info, now)
            self.members[u.name] = member
            self._round.insert(self.rng.randrange(len(self._round) + 1), u.name)
        elif u.incarnation == member.incarnation and u.state == member.state:
            if u.state == State.SUSPECT and u.by and u.by not in member.suspected_by:
                self._shared(now, member, u.by)
            return
        elif (u.incarnation, u.state) <= (member.incarnation, member.state):
            return
        member.state, member.incarnation, member.since = u.state, u.incarnation, now
        member.address, member.info = (u.host, u.port), u.info
        member.suspected_by = {u.by} if u.by else set()
        self._news[u.name] = (0, u)
        self.events.append(Changed(u.name, member.address, u.state, u.incarnation, u.info))
        if u.state == State.SUSPECT:
            member.deadline = now + self._patience(0)
            self._at(member.deadline, lambda at: self._suspicion_over(at, u.name))

    def _hear_of_me(self, u: Update) -> None:
        """What is said of us: anything but alive is refuted by a greater incarnation."""
        if u.incarnation > self.incarnation or (u.incarnation == self.incarnation and u.state != State.ALIVE):
            if self.left:
                return
            self.incarnation = u.incarnation + 1
            self.health = min(self.health + 1, self.tuning.health_most)
            self._news[self.name] = (0, self._me())

    def _shared(self, now: float, member: Member, by: str) -> None:
        """Another shares a suspicion: its time shrinks, and the news of it go on."""
        if len(member.suspected_by) > self.tuning.enough:
            return
        began = member.deadline - self._patience(max(len(member.suspected_by) - 1, 0))
        member.suspected_by.add(by)
        member.deadline = began + self._patience(len(member.suspected_by) - 1)
        self._news[member.name] = (0, self._update(member, State.SUSPECT, by))
        self._at(max(member.deadline, now), lambda at: self._suspicion_over(at, member.name))

    def _patience(self, shared: int) -> float:
        """How long a suspicion lasts that so many others share."""
        tuning = self.tuning
        least = tuning.suspicion * max(1.0, math.log10(max(len(self.members) + 1, 1))) * tuning.period
        most = least * tuning.suspicion_most
        if len(self.members) <= 2:  # nobody could share it
            return least
        share = math.log(shared + 1) / math.log(tuning.enough + 1)
        return max(least, most - (most - least) * share)

    def _suspicion_over(self, now: float, name: str) -> None:
        member = self.members.get(name)
        if member is not None and member.state == State.SUSPECT and now >= member.deadline - 1e-9:
            self._hear(now, self._update(member, State.DEAD, self.name))

    def _to_tell(self, to: str) -> list[Update]:
        """News, the least told first; what is held against the one spoken to comes before all else."""
        rows = sorted(self._news.values(), key=lambda row: row[0])
        told = [u for _, u in rows if u.name != to]
        member = self.members.get(to)
        if member is not None and member.state in (State.SUSPECT, State.DEAD):
            told.insert(0, self._update(member, member.state, self.name))
        return told

    def _call_seeds(self) -> None:
        for seed in self.seeds:
            self._send(seed, Ping(next(self._seq), "", self._me()))

    def _send(self, address: Address, message: Message, to: str = "") -> None:
        limit = math.ceil(self.tuning.spread * math.log10(len(self.members) + 2)) + 1
        message, taken = fill(message, self._to_tell(to))
        for update in message.news[:taken]:
            held = self._news.get(update.name)
            if held is not None and held[1] == update:
                if held[0] + 1 >= limit:
                    del self._news[update.name]
                else:
                    self._news[update.name] = (held[0] + 1, update)
        self.out.append((address, encode(message)))

    def _send_all(self, address: Address, reply: bool) -> None:
        """All that is held, in as many datagrams as it takes; a reply is asked for once."""
        rows = [self._update(m, m.state, self.name if m.state == State.SUSPECT else "") for m in self.members.values()]
        while True:
            message, taken = fill(Sync(reply, self._me()), rows)
            self.out.append((address, encode(message)))
            rows, reply = rows[taken:], False
            if not rows or not taken:
                return

    def _at(self, when: float, what: Callable[[float], None]) -> None:
        heapq.heappush(self._due, (when, next(self._order), what))
