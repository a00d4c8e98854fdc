"""The leading voter's side of duties: who stands for them, when a lease is over, who is next. Pure.

Renewals do not go through the log, so that hundreds of brokers cost it nothing. That is safe: one is answered only
after a round of heartbeats that began after it came has confirmed the leader (`Raft.read`); whoever leads later was
elected later than that, and waits a whole lease from then before it ends any.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from badgerbend.leases.messages import (
    MAX_REQUEST_DELAY_S,
    Candidacy,
    Command,
    GrantLease,
    LeaseRequest,
    LeaseReturn,
    LeaseState,
    ReleaseLease,
)
from badgerbend.leases.table import LeaseTable
from badgerbend.leases.timing import LeaseTiming

CANDIDATE_TTL_INTERVALS = 3.0  # a candidate not heard for so many times `candidacy_interval_s` stands no more
HANDOVER_LEASES = 5.0  # leases: somebody better placed for so long is worth a hand-over, and no sooner after the last
MAX_BACKOFF_S = 60.0  # a holder that failed is not chosen for a while, twice as long each time up to this
LOAD_STEP = 10.0  # of what is open at a broker: less is no difference
UNCONFIRMED_GRANT_TIMEOUTS = 4.0  # answers' times: a grant that was not taken up by then goes to another
MAX_FREQUENT_CANDIDATES = (
    16  # candidates for a duty that show themselves often: hundreds cost a leader a tenth of a core
)
MAX_REQUEST_INTERVALS = (
    10.0  # times `candidacy_interval_s`: the others are heard so often at least, and take a place that falls free
)
GRANT_RETRY_S = 1.0  # a command that has not come about is proposed again


@dataclass(slots=True)
class _Candidate:
    address: str
    is_local: bool
    is_voter: bool
    load: float
    heard_at: float
    is_failing: bool = False
    fails: int = 0
    barred_until: float = -math.inf

    def place(self) -> tuple[bool, bool]:
        """Less is better: at the duty's site, and no voter. Load is left out: it changes, and would flap."""
        return (not self.is_local, self.is_voter)


@dataclass(slots=True)
class _Held:
    """What time says of a lease."""

    epoch: int
    since: float
    ends: float
    closing: bool = False  # its end is on the way into the log: it is renewed no more
    replaced: bool = False  # its holder failed: renewed no more either, and free once it has run out or is given back
    failing_since: float = math.inf
    better_since: float = math.inf


class LeaseManager:
    """One voter's; it does something only while that one leads."""

    def __init__(self, table: LeaseTable, timing: LeaseTiming, seed: int) -> None:
        self.table, self.timing, self.rng = table, timing, random.Random(seed)
        self.is_leading, self.leading_since = False, math.inf
        self.candidates: dict[str, dict[str, _Candidate]] = {}
        self.lease_clocks: dict[str, _Held] = {}
        self.pending_grants: dict[str, float] = {}  # a grant that is on the way, and when it is proposed again
        self.frequent_candidates: dict[str, set[str]] = {}  # by duty: the candidates that show themselves often

    # -- leading
    def become_leader(self, now: float) -> None:
        """Every lease runs a whole length from here: the last leader may have renewed it a moment ago."""
        self.is_leading, self.leading_since = True, now
        self.candidates, self.lease_clocks, self.pending_grants, self.frequent_candidates = {}, {}, {}, {}
        for duty, lease in self.table.leases.items():
            if lease.holder:
                self.lease_clocks[duty] = _Held(lease.epoch, now, now + self._waited())

    def step_down(self) -> None:
        self.is_leading = False

    def table_changed(self, now: float) -> list[str]:
        """The table has changed: the duties that have a new holder."""
        new = []
        for duty, lease in self.table.leases.items():
            held = self.lease_clocks.get(duty)
            if not lease.holder:
                self.lease_clocks.pop(duty, None)
            elif held is None or held.epoch != lease.epoch:
                self.lease_clocks[duty] = _Held(lease.epoch, now, now + self._taken_up())
                self.pending_grants.pop(duty, None)
                new.append(duty)
        return new

    def _waited(self) -> float:
        return self.timing.leader_lease_s

    def _taken_up(self) -> float:
        """A grant that this leader made and never renewed lets nobody act: it need not run out to be given on."""
        return UNCONFIRMED_GRANT_TIMEOUTS * self.timing.reply_timeout_s

    # -- brokers
    def receive_request(self, now: float, want: LeaseRequest) -> bool:
        """A broker shows itself; whether there is something to renew, once this voter's lead is confirmed."""
        renews = False
        for stand in want.candidacies:
            standing = self.candidates.setdefault(stand.duty, {})
            one = standing.get(want.source)
            if one is None:
                one = standing[want.source] = _Candidate(want.address, stand.is_local, want.is_voter, want.load, now)
            one.address, one.is_local, one.is_voter, one.load = want.address, stand.is_local, want.is_voter, want.load
            one.heard_at, one.is_failing = now, stand.is_failing
            self._hear_often(now, stand.duty, want.source)
            renews |= self._holds(want.source, stand)
        return renews

    def _hear_often(self, now: float, duty: str, name: str) -> None:
        """A candidate takes a place among those heard often, if one is free or somebody worse placed has it."""
        standing, often = self.candidates[duty], self.frequent_candidates.setdefault(duty, set())
        often -= {n for n in often if n not in standing or now - standing[n].heard_at > self._fresh_s}
        if name not in often and len(often) >= MAX_FREQUENT_CANDIDATES:
            worst = max(often, key=lambda n: (standing[n].place(), n))
            if standing[worst].place() > standing[name].place():
                often.discard(worst)
        if len(often) < MAX_FREQUENT_CANDIDATES:
            often.add(name)

    def request_delay_s(self, want: LeaseRequest) -> float:
        """How long a broker that showed itself may stay silent: not at all if it is heard often for any duty."""
        if any(want.source in self.frequent_candidates.get(s.duty, ()) for s in want.candidacies):
            return 0.0
        most = min((len(self.candidates.get(s.duty, ())) for s in want.candidacies), default=0)
        return min(
            self.timing.candidacy_interval_s * min(most / MAX_FREQUENT_CANDIDATES, MAX_REQUEST_INTERVALS),
            MAX_REQUEST_DELAY_S,
        )

    def infrequent_candidates(self, duty: str) -> list[str]:
        """Candidates that are not heard often, and so would hear late of a new holder."""
        return sorted(self.candidates.get(duty, {}).keys() - self.frequent_candidates.get(duty, set()))

    def renew(self, received: float, want: LeaseRequest) -> list[LeaseState]:
        """The answer to a `want` that came then, now that the lead is confirmed."""
        lines = []
        for stand in want.candidacies:
            held = self.lease_clocks.get(stand.duty)
            renewed = should_yield = False
            if held is not None and self._holds(want.source, stand) and not held.closing:
                renewed = not held.replaced
                should_yield = (
                    held.replaced or received - held.better_since > HANDOVER_LEASES * self.timing.lease_duration_s
                )
                held.ends = max(held.ends, received + self._waited()) if renewed else held.ends
            lines.append(self.lease_state(stand.duty, renewed, should_yield))
        return lines

    def current_leases(self, want: LeaseRequest) -> list[LeaseState]:
        """The answer to a `want` that renews nothing."""
        return [self.lease_state(stand.duty) for stand in want.candidacies]

    def lease_state(self, duty: str, renewed: bool = False, should_yield: bool = False) -> LeaseState:
        lease = self.table.lease(duty)
        one = self.candidates.get(duty, {}).get(lease.holder)
        return LeaseState(
            duty, lease.holder, one.address if one is not None else "", lease.epoch, renewed, should_yield
        )

    def receive_return(self, leave: LeaseReturn) -> list[Command]:
        """Leases given back end at once; who has gone is chosen no more."""
        out: list[Command] = []
        for returned in leave.returned_leases:
            held, lease = self.lease_clocks.get(returned.duty), self.table.lease(returned.duty)
            if held is not None and held.epoch == returned.epoch and lease.holder == leave.source and not held.closing:
                held.closing = True
                out.append(ReleaseLease(returned.duty, returned.epoch))
        if leave.is_departing:
            for standing in self.candidates.values():
                standing.pop(leave.source, None)
        return out

    def _holds(self, name: str, stand: Candidacy) -> bool:
        lease = self.table.lease(stand.duty)
        return bool(stand.epoch) and lease.holder == name and lease.epoch == stand.epoch

    # -- time
    def due_commands(self, now: float) -> list[Command]:
        """What is to be proposed by now."""
        out: list[Command] = []
        for duty in sorted({*self.candidates, *self.table.leases}):
            held = self.lease_clocks.get(duty)
            if held is not None:
                if now >= held.ends and not held.closing:
                    held.closing = True
                    out.append(ReleaseLease(duty, held.epoch))
                    self._silent(duty)
                held.replaced = held.replaced or self._fails(now, duty, held)
                self._compare(now, duty, held)
            elif now >= self._settled() and now >= self.pending_grants.get(duty, -math.inf):
                best = self._best(now, duty)
                if best is not None:
                    self.pending_grants[duty] = now + GRANT_RETRY_S
                    out.append(GrantLease(duty, best, self.table.lease(duty).epoch))
        return out

    def _silent(self, duty: str) -> None:
        """Who let a lease run out stands again once it is heard again: it would be given the same one else."""
        for standing in self.candidates.values():
            standing.pop(self.table.lease(duty).holder, None)

    def proposal_dropped(self, command: Command) -> None:
        """A command did not get into the log: it may be proposed again."""
        if isinstance(command, ReleaseLease) and command.duty in self.lease_clocks:
            self.lease_clocks[command.duty].closing = False
        elif isinstance(command, GrantLease):
            self.pending_grants.pop(command.duty, None)

    def _settled(self) -> float:
        """A new leader first hears who stands, or the first to be heard would win."""
        return self.leading_since + self.timing.candidacy_interval_s

    @property
    def _fresh_s(self) -> float:
        """Who was heard within this stands."""
        return CANDIDATE_TTL_INTERVALS * self.timing.candidacy_interval_s

    def _standing(self, now: float, duty: str) -> dict[str, _Candidate]:
        standing = self.candidates.get(duty, {})
        for name in [n for n, c in standing.items() if now - c.heard_at > max(self._fresh_s, MAX_BACKOFF_S)]:
            del standing[name]
        return {n: c for n, c in standing.items() if now - c.heard_at <= self._fresh_s and now >= c.barred_until}

    def _best(self, now: float, duty: str) -> str | None:
        """The best placed of those who stand, the least loaded of these, ties at random."""
        standing = self._standing(now, duty)
        if not standing:
            return None
        sound = {n: c for n, c in standing.items() if not c.is_failing} or standing
        ranks = {n: (*c.place(), int(c.load / LOAD_STEP)) for n, c in sound.items()}
        least = min(ranks.values())
        return self.rng.choice(sorted(n for n, rank in ranks.items() if rank == least))

    def _fails(self, now: float, duty: str, held: _Held) -> bool:
        """Whether a holder that is up has failed at its duty for a lease's length, and there is another to try."""
        name = self.table.lease(duty).holder
        one = self.candidates.get(duty, {}).get(name)
        if one is None or not one.is_failing:
            held.failing_since = math.inf
            return False
        held.failing_since = min(held.failing_since, now)
        others = [n for n, c in self._standing(now, duty).items() if n != name and not c.is_failing]
        if now - held.failing_since < self.timing.lease_duration_s or not others:
            return False
        one.fails += 1
        one.barred_until = now + min(self.timing.lease_duration_s * 2.0**one.fails, MAX_BACKOFF_S)
        return True

    def _compare(self, now: float, duty: str, held: _Held) -> None:
        standing = self._standing(now, duty)
        holder = standing.get(self.table.lease(duty).holder)
        better = holder is not None and any(c.place() < holder.place() for c in standing.values() if not c.is_failing)
        if not better or now - held.since < HANDOVER_LEASES * self.timing.lease_duration_s:
            held.better_since = math.inf
        else:
            held.better_since = min(held.better_since, now)
