"""A broker's side of duties: standing for them, holding a lease, and knowing when it may no longer act. Pure.

The lease counts from before its request was sent, by the broker's own clock, and is shortened by the stated bound on
clock rates. Before every act `may_act` is asked. A broker whose loop stood still for longer than `stall_threshold_s`
doubts all that it holds: it acts again only under a renewal that was asked for after that.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import dataclass

from badgerbend.leases.messages import Candidacy, LeaseId, LeaseReply, LeaseRequest, LeaseReturn, LeaseState
from badgerbend.leases.timing import LeaseTiming

ASKED_MOST = 64  # requests whose time of sending is remembered
MISSED = 2  # unanswered requests after which another voter is asked


@dataclass(slots=True)
class DutyState:
    is_local: bool
    epoch: int = 0  # of the lease it was told it holds; 0: none
    valid_until: float = -math.inf  # it may act before this
    is_failing: bool = False
    returned_epoch: int = 0  # the last epoch it gave back; it takes none up to that again
    holder: str = ""  # who holds it, as last told, and where that one is reached
    holder_address: str = ""
    holder_epoch: int = 0
    is_known: bool = False  # anything of it, in this life


class LeaseHolder:
    """One broker. address: where others reach it. duties: what it is a candidate for, and whether it is at the
    duty's own site."""

    def __init__(
        self,
        name: str,
        address: str,
        duties: dict[str, bool],
        voters: tuple[str, ...],
        timing: LeaseTiming,
        seed: int,
        now: float,
    ) -> None:
        self.name, self.address, self.voters, self.timing = name, address, voters, timing
        self.rng = random.Random(seed)
        self.duties = {duty: DutyState(is_local) for duty, is_local in duties.items()}
        self.load = 0.0
        self.leader = ""  # as last told; empty: any voter is asked
        self.is_shut_down = False
        self._output: list[tuple[str, LeaseRequest | LeaseReturn]] = []
        self._seq = self.rng.getrandbits(48)  # an answer to an earlier life of this name fits no request of this one
        self._sent: OrderedDict[int, float] = OrderedDict()
        self._unanswered = 0
        self._asked = self.rng.choice(voters)
        self._alive_at = now
        self._next = now + self.rng.random() * timing.reply_timeout_s  # a fleet that starts at once asks in turn

    # -- acting
    def may_act(self, now: float, duty: str) -> int | None:
        """The epoch to act under, now and at once; None: not this broker, or not any longer."""
        self._notice(now)
        mine = self.duties.get(duty)
        return mine.epoch if mine is not None and mine.epoch and now < mine.valid_until else None

    def set_failing(self, duty: str, is_failing: bool) -> None:
        """Whether the acts of a duty come to nothing."""
        self.duties[duty].is_failing = is_failing

    def granted_leases(self) -> list[LeaseId]:
        """Duties and epochs it was told it holds, whether it may act on them or not."""
        return [LeaseId(duty, d.epoch) for duty, d in self.duties.items() if d.epoch]

    # -- time and answers
    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        return self._next

    def tick(self, now: float) -> None:
        self._notice(now)
        if now < self._next or self.is_shut_down:
            return
        if self._unanswered >= MISSED:
            self._elsewhere()
        self._ask(now)

    def receive_reply(self, now: float, message: LeaseReply) -> None:
        """A voter's word."""
        self._notice(now)
        sent = self._sent.get(message.seq)
        if self.is_shut_down:
            return
        if sent is not None:
            self._unanswered = 0
        if message.is_leader:
            self.leader = self._asked = message.source
        elif sent is not None and message.leader in self.voters and message.leader != self._asked:
            self.leader = self._asked = message.leader
            self._next = min(self._next, now + self.rng.random() * 0.02)
        elif sent is not None and not message.leader:
            self._elsewhere()
            self._next = min(self._next, now + self.timing.reply_timeout_s * self.rng.uniform(0.5, 1.0))
        yielded = []
        for line in message.leases if message.is_leader else ():
            self._line(now, line, sent)
            if line.should_yield and line.holder == self.name:
                yielded.append(line.duty)
        if yielded:
            self.release(now, tuple(yielded))
        if sent is not None and message.is_leader and message.request_delay_s and not self.granted_leases():
            self._next = max(self._next, now + message.request_delay_s * self.rng.uniform(0.8, 1.0))

    def _line(self, now: float, line: LeaseState, sent: float | None) -> None:
        mine = self.duties.get(line.duty)
        if mine is None or line.epoch < mine.holder_epoch:  # an answer that was overtaken
            return
        mine.holder_address = line.address or (mine.holder_address if line.epoch == mine.holder_epoch else "")
        mine.holder, mine.holder_epoch = line.holder, line.epoch
        first, mine.is_known = not mine.is_known, True
        if first and line.holder == self.name:
            # an earlier life's: its word that gives it back may still be on the way, and would take it from this one
            mine.returned_epoch = line.epoch
            self._say_leave(now, (LeaseId(line.duty, line.epoch),), is_departing=False)
        if line.holder != self.name or line.epoch <= mine.returned_epoch:
            if mine.epoch <= line.epoch:
                mine.epoch, mine.valid_until = 0, -math.inf
            return
        if mine.epoch != line.epoch:  # granted: renewed first, and acted on then
            mine.epoch, mine.valid_until = line.epoch, -math.inf
            self._next = now
        if line.renewed and sent is not None:
            mine.valid_until = max(mine.valid_until, sent + self._window())

    def _window(self) -> float:
        return self.timing.holder_lease_s

    # -- giving back
    def release(self, now: float, duties: tuple[str, ...] | None = None) -> None:
        """Stops acting on these, or on all, and gives them back at once."""
        held = [lease for lease in self.granted_leases() if duties is None or lease.duty in duties]
        self._drop(held)
        if held:
            self._say_leave(now, tuple(held), is_departing=False)

    def shut_down(self, now: float) -> None:
        """For the end of the process: gives back what it holds and stands for nothing any more."""
        held = self.granted_leases()
        self._drop(held)
        self._say_leave(now, tuple(held), is_departing=True)
        self.is_shut_down, self._next = True, math.inf

    # -- inside
    def _drop(self, held: list[LeaseId]) -> None:
        for lease in held:
            duty = self.duties[lease.duty]
            duty.epoch, duty.valid_until, duty.returned_epoch = 0, -math.inf, lease.epoch

    def _notice(self, now: float) -> None:
        """Before anything else: has this loop stood still?"""
        if now - self._alive_at > self.timing.stall_threshold_s:
            self._stalled(now)
        self._alive_at = max(self._alive_at, now)

    def _stalled(self, now: float) -> None:
        """Nothing asked before this renews anything: the times of sending are forgotten."""
        for duty in self.duties.values():
            duty.valid_until = -math.inf
        self._sent.clear()
        self._next = now

    def _ask(self, now: float) -> None:
        self._seq += 1
        self._sent[self._seq] = now
        if len(self._sent) > ASKED_MOST:
            self._sent.popitem(last=False)
        stands = tuple(Candidacy(name, d.epoch, d.is_local, d.is_failing) for name, d in self.duties.items())
        self._output.append(
            (self._asked, LeaseRequest(self.name, self._seq, self.address, self.load, self.name in self.voters, stands))
        )
        self._unanswered += 1
        wait = self.timing.lease_duration_s / 4 if self.granted_leases() else self.timing.candidacy_interval_s
        if self._unanswered > 1 or not self.leader:
            wait = min(wait, self.timing.reply_timeout_s * min(self._unanswered, 4))
        self._next = now + wait * self.rng.uniform(0.8, 1.0)

    def _elsewhere(self) -> None:
        """Asks another voter from now on."""
        self.leader, self._unanswered = "", 0
        others = [v for v in self.voters if v != self._asked] or list(self.voters)
        self._asked = self.rng.choice(others)

    def _say_leave(self, now: float, held: tuple[LeaseId, ...], is_departing: bool) -> None:
        """To all voters, since nobody may be left to say it again: one of them leads."""
        self._seq += 1
        for voter in self.voters:
            self._output.append((voter, LeaseReturn(self.name, self._seq, held, is_departing)))
        self._next = min(self._next, now + self.timing.reply_timeout_s)

    def drain_output(self) -> list[tuple[str, LeaseRequest | LeaseReturn]]:
        """What is to be sent, and to which voter."""
        out, self._output = self._output, []
        return out
