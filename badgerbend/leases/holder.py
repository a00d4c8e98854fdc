"""A broker's side of duties: standing for them, holding a lease, and knowing when it may no longer act. Pure.

The lease counts from before its request was sent, by the broker's own clock, and is shortened by the stated bound on
clock rates. Before every act `may_act` is asked. A broker whose loop stood still for longer than `stall_s` doubts all
that it holds: it acts again only under a renewal that was asked for after that.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import dataclass

from badgerbend.leases.messages import Candidacy, LeaseReply, LeaseRequest, LeaseReturn, LeaseState

ASKED_MOST = 64  # requests whose time of sending is remembered
MISSED = 2  # unanswered requests after which another voter is asked


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in seconds, the same for the whole fleet.

    lease_s: a lease's length. rate: bound on how much faster or slower than real time any clock runs. ask_s: a
    candidate shows itself so often; a holder renews in a quarter of its lease. answer_s: what is unanswered for so
    long is asked again. stall_s: a loop that stood still for longer has lost track.
    """

    lease_s: float = 2.0
    rate: float = 0.01
    ask_s: float = 1.0
    answer_s: float = 0.25
    stall_s: float = 0.5

    @property
    def held_s(self) -> float:
        """How long a holder may count on a lease, by its own clock."""
        return self.lease_s * (1.0 - self.rate)

    @property
    def waited_s(self) -> float:
        """How long a leader waits before a lease is over, by its own clock."""
        return self.lease_s * (1.0 + self.rate)


@dataclass(slots=True)
class _Duty:
    near: bool
    epoch: int = 0  # of the lease it was told it holds; 0: none
    until: float = -math.inf  # it may act before this
    failing: bool = False
    given: int = 0  # the last epoch it gave back; it takes none up to that again
    holder: str = ""  # who holds it, as last told, and where that one is reached
    at: str = ""
    holder_epoch: int = 0
    heard: bool = False  # anything of it, in this life


class LeaseHolder:
    """One broker. at: where others reach it. near: the duties it stands for, and whether it is at their own site."""

    def __init__(
        self,
        name: str,
        at: str,
        near: dict[str, bool],
        voters: tuple[str, ...],
        terms: LeaseTiming,
        seed: int,
        now: float,
    ) -> None:
        self.name, self.at, self.voters, self.terms = name, at, voters, terms
        self.rng = random.Random(seed)
        self.duties = {duty: _Duty(at_home) for duty, at_home in near.items()}
        self.load = 0.0
        self.leader = ""  # as last told; empty: any voter is asked
        self.gone = False
        self.out: list[tuple[str, LeaseRequest | LeaseReturn]] = []
        self._seq = self.rng.getrandbits(48)  # an answer to an earlier life of this name fits no request of this one
        self._sent: OrderedDict[int, float] = OrderedDict()
        self._unanswered = 0
        self._asked = self.rng.choice(voters)
        self._alive_at = now
        self._next = now + self.rng.random() * terms.answer_s  # a fleet that starts at once asks in turn

    # -- acting
    def may_act(self, now: float, duty: str) -> int | None:
        """The epoch to act under, now and at once; None: not this broker, or not any longer."""
        self._notice(now)
        mine = self.duties.get(duty)
        return mine.epoch if mine is not None and mine.epoch and now < mine.until else None

    def failing(self, duty: str, failing: bool) -> None:
        """Whether the acts of a duty come to nothing."""
        self.duties[duty].failing = failing

    def held(self) -> list[tuple[str, int]]:
        """Duties and epochs it was told it holds, whether it may act on them or not."""
        return [(duty, d.epoch) for duty, d in self.duties.items() if d.epoch]

    # -- time and answers
    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return self._next

    def tick(self, now: float) -> None:
        self._notice(now)
        if now < self._next or self.gone:
            return
        if self._unanswered >= MISSED:
            self._elsewhere()
        self._ask(now)

    def told(self, now: float, message: LeaseReply) -> None:
        """A voter's word."""
        self._notice(now)
        sent = self._sent.get(message.seq)
        if self.gone:
            return
        if sent is not None:
            self._unanswered = 0
        if message.leads:
            self.leader = self._asked = message.source
        elif sent is not None and message.leader in self.voters and message.leader != self._asked:
            self.leader = self._asked = message.leader
            self._next = min(self._next, now + self.rng.random() * 0.02)
        elif sent is not None and not message.leader:
            self._elsewhere()
            self._next = min(self._next, now + self.terms.answer_s * self.rng.uniform(0.5, 1.0))
        yielded = []
        for line in message.lines if message.leads else ():
            self._line(now, line, sent)
            if line.yields and line.holder == self.name:
                yielded.append(line.duty)
        if yielded:
            self.release(now, tuple(yielded))
        if sent is not None and message.leads and message.wait_s and not self.held():
            self._next = max(self._next, now + message.wait_s * self.rng.uniform(0.8, 1.0))

    def _line(self, now: float, line: LeaseState, sent: float | None) -> None:
        mine = self.duties.get(line.duty)
        if mine is None or line.epoch < mine.holder_epoch:  # an answer that was overtaken
            return
        mine.at = line.at or (mine.at if line.epoch == mine.holder_epoch else "")
        mine.holder, mine.holder_epoch = line.holder, line.epoch
        first, mine.heard = not mine.heard, True
        if first and line.holder == self.name:
            # an earlier life's: its word that gives it back may still be on the way, and would take it from this one
            mine.given = line.epoch
            self._say_leave(now, ((line.duty, line.epoch),), gone=False)
        if line.holder != self.name or line.epoch <= mine.given:
            if mine.epoch <= line.epoch:
                mine.epoch, mine.until = 0, -math.inf
            return
        if mine.epoch != line.epoch:  # granted: renewed first, and acted on then
            mine.epoch, mine.until = line.epoch, -math.inf
            self._next = now
        if line.renewed and sent is not None:
            mine.until = max(mine.until, sent + self._window())

    def _window(self) -> float:
        return self.terms.held_s

    # -- giving back
    def release(self, now: float, duties: tuple[str, ...] | None = None) -> None:
        """Stops acting on these, or on all, and gives them back at once."""
        held = [(d, e) for d, e in self.held() if duties is None or d in duties]
        self._drop(held)
        if held:
            self._say_leave(now, tuple(held), gone=False)

    def leave(self, now: float) -> None:
        """For the end of the process: gives back what it holds and stands for nothing any more."""
        held = self.held()
        self._drop(held)
        self._say_leave(now, tuple(held), gone=True)
        self.gone, self._next = True, math.inf

    # -- inside
    def _drop(self, held: list[tuple[str, int]]) -> None:
        for name, epoch in held:
            duty = self.duties[name]
            duty.epoch, duty.until, duty.given = 0, -math.inf, epoch

    def _notice(self, now: float) -> None:
        """Before anything else: has this loop stood still?"""
        if now - self._alive_at > self.terms.stall_s:
            self._stalled(now)
        self._alive_at = max(self._alive_at, now)

    def _stalled(self, now: float) -> None:
        """Nothing asked before this renews anything: the times of sending are forgotten."""
        for duty in self.duties.values():
            duty.until = -math.inf
        self._sent.clear()
        self._next = now

    def _ask(self, now: float) -> None:
        self._seq += 1
        self._sent[self._seq] = now
        if len(self._sent) > ASKED_MOST:
            self._sent.popitem(last=False)
        stands = tuple(Candidacy(name, d.epoch, d.near, d.failing) for name, d in self.duties.items())
        self.out.append(
            (self._asked, LeaseRequest(self.name, self._seq, self.at, self.load, self.name in self.voters, stands))
        )
        self._unanswered += 1
        wait = self.terms.lease_s / 4 if self.held() else self.terms.ask_s
        if self._unanswered > 1 or not self.leader:
            wait = min(wait, self.terms.answer_s * min(self._unanswered, 4))
        self._next = now + wait * self.rng.uniform(0.8, 1.0)

    def _elsewhere(self) -> None:
        """Asks another voter from now on."""
        self.leader, self._unanswered = "", 0
        others = [v for v in self.voters if v != self._asked] or list(self.voters)
        self._asked = self.rng.choice(others)

    def _say_leave(self, now: float, held: tuple[tuple[str, int], ...], gone: bool) -> None:
        """To all voters, since nobody may be left to say it again: one of them leads."""
        self._seq += 1
        for voter in self.voters:
            self.out.append((voter, LeaseReturn(self.name, self._seq, held, gone)))
        self._next = min(self._next, now + self.terms.answer_s)

    def take(self) -> list[tuple[str, LeaseRequest | LeaseReturn]]:
        """What is to be sent, and to which voter."""
        out, self.out = self.out, []
        return out
