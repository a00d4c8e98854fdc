"""The leading voter's side of leases: it grants, renews, hands over and ends them. Pure.

Renewals do not go through the log, so that hundreds of brokers add nothing to it. Why that is safe: the voter replies
to a request only after a round of heartbeats that began after the request arrived has confirmed that it leads
(`Raft.read_index`). Whoever leads later was elected later than that, and waits for a complete lease before it ends any.

What ends a lease is always a command of the log, proposed when the lease has expired by the leader's clock or when its
holder has returned it; `LeaseTable` decides whether it takes effect.
"""

from __future__ import annotations

import math

from badgerbend.leases.candidates import CandidateRegistry
from badgerbend.leases.lease_clock import LeaseClock
from badgerbend.leases.messages import (
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

HANDOVER_LEASES = 5.0  # lease durations that a better candidate must last before a hand-over, and between two of them
UNCONFIRMED_GRANT_TIMEOUTS = 4.0  # reply timeouts: a grant that was not renewed by then goes to another broker
GRANT_RETRY_S = 1.0  # seconds after which a grant that was not applied is proposed again


class LeaseManager:
    """One voter's. It does something only while that voter leads; times are seconds of that voter's clock."""

    def __init__(self, table: LeaseTable, timing: LeaseTiming, seed: int) -> None:
        self.table = table
        self.timing = timing
        self.candidates = CandidateRegistry(timing, seed)
        self.is_leading = False
        self.leading_since = math.inf
        self.lease_clocks: dict[str, LeaseClock] = {}  # by duty: of each lease that is held
        self.pending_grants: dict[str, float] = {}  # by duty: when a proposed grant may be proposed again

    # -- leadership and the log

    def become_leader(self, now: float) -> None:
        """Gives every lease a complete length from now: the last leader may have renewed it a moment ago."""
        self.is_leading = True
        self.leading_since = now
        self.candidates.clear()
        self.pending_grants = {}
        self.lease_clocks = {
            duty: LeaseClock(lease.epoch, now, now + self._lease_length())
            for duty, lease in self.table.leases.items()
            if lease.holder
        }

    def step_down(self) -> None:
        """Another voter leads."""
        self.is_leading = False

    def table_changed(self, now: float) -> list[str]:
        """Follows the table after a command was applied; gives the duties that have a new holder."""
        granted = []
        for duty, lease in self.table.leases.items():
            clock = self.lease_clocks.get(duty)
            if not lease.holder:
                self.lease_clocks.pop(duty, None)
            elif clock is None or clock.epoch != lease.epoch:
                self.lease_clocks[duty] = LeaseClock(lease.epoch, now, now + self._unconfirmed_grant_length())
                self.pending_grants.pop(duty, None)
                granted.append(duty)
        return granted

    def proposal_dropped(self, command: Command) -> None:
        """A command did not get into the log, and may be proposed again."""
        if isinstance(command, ReleaseLease) and command.duty in self.lease_clocks:
            self.lease_clocks[command.duty].is_releasing = False
        elif isinstance(command, GrantLease):
            self.pending_grants.pop(command.duty, None)

    def _lease_length(self) -> float:
        """How long a lease counts from when its renewal arrived, in seconds."""
        return self.timing.leader_lease_s

    def _unconfirmed_grant_length(self) -> float:
        """A grant of this leader that it never renewed lets nobody act, so that it need not last for a lease."""
        return UNCONFIRMED_GRANT_TIMEOUTS * self.timing.reply_timeout_s

    # -- messages of brokers

    def receive_request(self, now: float, request: LeaseRequest) -> bool:
        """Records the candidacies; whether there is a lease to renew, which takes a confirmation that this voter leads.

        If there is none, `current_leases` is the answer at once; else `renew` is, once the lead is confirmed.
        """
        renews = False
        for candidacy in request.candidacies:
            self.candidates.record(now, request, candidacy)
            renews |= self._is_holder(request.source, candidacy)
        return renews

    def renew(self, received_at: float, request: LeaseRequest) -> list[LeaseState]:
        """Renews what a broker holds, now that the lead is confirmed. received_at: when its request arrived."""
        states = []
        for candidacy in request.candidacies:
            clock = self.lease_clocks.get(candidacy.duty)
            if clock is None or clock.is_releasing or not self._is_holder(request.source, candidacy):
                states.append(self.lease_state(candidacy.duty))
                continue
            if clock.is_renewable:
                clock.extend(received_at + self._lease_length())
            should_yield = clock.is_revoked or self._is_handover_due(received_at, clock)
            state = self.lease_state(candidacy.duty, renewed=clock.is_renewable, should_yield=should_yield)
            states.append(state)
        return states

    def current_leases(self, request: LeaseRequest) -> list[LeaseState]:
        """The answer to a request that renews nothing."""
        return [self.lease_state(candidacy.duty) for candidacy in request.candidacies]

    def lease_state(self, duty: str, *, renewed: bool = False, should_yield: bool = False) -> LeaseState:
        """What brokers are notified of about a duty."""
        lease = self.table.lease(duty)
        candidate = self.candidates.find(duty, lease.holder)
        address = "" if candidate is None else candidate.address
        return LeaseState(duty, lease.holder, address, lease.epoch, renewed=renewed, should_yield=should_yield)

    def receive_return(self, message: LeaseReturn) -> list[Command]:
        """Leases that are returned end at once; a broker that departs is a candidate no more."""
        commands: list[Command] = []
        for returned in message.returned_leases:
            clock = self.lease_clocks.get(returned.duty)
            if clock is None or clock.is_releasing or clock.epoch != returned.epoch:
                continue
            if self.table.lease(returned.duty).holder == message.source:
                commands.append(self._release(returned.duty, clock))
        if message.is_departing:
            self.candidates.remove(message.source)
        return commands

    def _is_holder(self, broker: str, candidacy: Candidacy) -> bool:
        """Whether the broker holds the very lease that its candidacy states."""
        lease = self.table.lease(candidacy.duty)
        return candidacy.epoch != 0 and lease.holder == broker and lease.epoch == candidacy.epoch

    # -- time

    def due_commands(self, now: float) -> list[Command]:
        """The commands that are to be proposed by now."""
        commands: list[Command] = []
        for duty in sorted({*self.candidates.by_duty, *self.table.leases}):
            clock = self.lease_clocks.get(duty)
            if clock is None:
                commands += self._grant_if_due(now, duty)
                continue
            if clock.is_expired(now):
                commands.append(self._release(duty, clock))
                # Its holder is not heard: it becomes a candidate again with its next request, and not before.
                self.candidates.remove(self.table.lease(duty).holder)
            self._review_holder(now, duty, clock)
        return commands

    def _grant_if_due(self, now: float, duty: str) -> list[Command]:
        """A new leader first waits for candidacies, or the first broker that it hears would be chosen."""
        waits_for_candidates = now < self.leading_since + self.timing.candidacy_interval_s
        if waits_for_candidates or now < self.pending_grants.get(duty, -math.inf):
            return []
        broker = self.candidates.choose(now, duty)
        if broker is None:
            return []
        self.pending_grants[duty] = now + GRANT_RETRY_S
        return [GrantLease(duty, broker, self.table.lease(duty).epoch)]

    @staticmethod
    def _release(duty: str, clock: LeaseClock) -> ReleaseLease:
        clock.is_releasing = True
        return ReleaseLease(duty, clock.epoch)

    def _review_holder(self, now: float, duty: str, clock: LeaseClock) -> None:
        """Compares the holder of a lease with the other candidates."""
        holder = self.table.lease(duty).holder
        if not clock.is_revoked:
            clock.is_revoked = self._has_failed(now, duty, clock, holder)
        is_better_there = self.candidates.has_better_placed(now, duty, holder)
        may_hand_over = now - clock.started_at >= HANDOVER_LEASES * self.timing.lease_duration_s
        clock.observe_better_candidate(now, is_there=is_better_there and may_hand_over)

    def _has_failed(self, now: float, duty: str, clock: LeaseClock, holder: str) -> bool:
        """Whether the holder's acts have had no effect for a lease's duration, and there is another broker to try."""
        candidate = self.candidates.find(duty, holder)
        is_failing = candidate is not None and candidate.is_failing
        failing_s = clock.observe_failing(now, is_failing=is_failing)
        if candidate is None or not is_failing:
            return False
        has_alternative = self.candidates.has_sound_alternative(now, duty, holder)
        if failing_s < self.timing.lease_duration_s or not has_alternative:
            return False
        candidate.back_off(now, self.timing.lease_duration_s)
        return True

    def _is_handover_due(self, now: float, clock: LeaseClock) -> bool:
        return now - clock.better_candidate_since > HANDOVER_LEASES * self.timing.lease_duration_s
