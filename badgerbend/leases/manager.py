"""The leading voter's side of leases: it grants, renews, hands over and ends them.

Renewals do not go through the log, so that hundreds of brokers add nothing to it. This is safe: the voter replies to a
request only after a round of heartbeats that began after the arrival of the request has confirmed its leadership
(`Raft.read_index`). Any later leader was elected after that, and waits for the full length of a lease before it ends
any.

A lease always ends by a command of the log. The leader proposes the command when the lease has expired by its clock or
when the holder has returned the lease; `LeaseTable` decides whether the command takes effect.
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

# In lease durations: how long a better placed candidate must have been there before a hand-over, and how long a lease
# must have lasted before that time begins to count.
HANDOVER_LEASE_DURATIONS = 5.0
UNCONFIRMED_GRANT_TIMEOUTS = 4.0  # in reply timeouts: a grant that is not renewed by then ends
GRANT_RETRY_S = 1.0  # a grant that was not applied is proposed again after this time


class LeaseManager:
    """One voter's manager of leases, active only while that voter leads. Times are in seconds of that voter's clock."""

    def __init__(self, table: LeaseTable, timing: LeaseTiming, seed: int) -> None:
        self.table = table
        self.timing = timing
        self.candidates = CandidateRegistry(timing, seed)
        self.is_leading = False
        self.leading_since = math.inf
        self.lease_clocks: dict[str, LeaseClock] = {}  # by duty: of each lease that has a holder
        self.pending_grants: dict[str, float] = {}  # by duty: when the grant may be proposed again

    # -- leadership and the log

    def become_leader(self, now: float) -> None:
        """Starts every lease anew at its full length, since the previous leader may have renewed it just before."""
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
        """Stops managing leases: this voter no longer leads."""
        self.is_leading = False

    def table_changed(self, now: float) -> list[str]:
        """Updates the lease clocks after a command was applied, and returns the duties that have a new holder."""
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
        """Allows a command that did not get into the log to be proposed again."""
        if isinstance(command, ReleaseLease) and command.duty in self.lease_clocks:
            self.lease_clocks[command.duty].is_releasing = False
        elif isinstance(command, GrantLease):
            self.pending_grants.pop(command.duty, None)

    def _lease_length(self) -> float:
        """The validity of a lease, in seconds from the arrival of the request that renewed it."""
        return self.timing.leader_lease_s

    def _unconfirmed_grant_length(self) -> float:
        """The validity of a grant of this leader until its first renewal, in seconds.

        The holder may not act before that renewal, so that this may be shorter than a lease.
        """
        return UNCONFIRMED_GRANT_TIMEOUTS * self.timing.reply_timeout_s

    # -- messages of brokers

    def receive_request(self, now: float, request: LeaseRequest) -> bool:
        """Records the candidacies of a request, and returns whether there is a lease to renew.

        If not, `current_leases` can be sent as the reply at once. Otherwise `renew` gives the reply, once it is
        confirmed that this voter leads.
        """
        renews = False
        for candidacy in request.candidacies:
            self.candidates.record(now, request, candidacy)
            renews |= self._is_holder(request.source, candidacy)
        return renews

    def renew(self, received_at: float, request: LeaseRequest) -> list[LeaseState]:
        """Renews a broker's leases after leadership was confirmed. received_at: when its request arrived."""
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
        """Returns the states for the reply to a request that renews nothing."""
        return [self.lease_state(candidacy.duty) for candidacy in request.candidacies]

    def lease_state(self, duty: str, *, renewed: bool = False, should_yield: bool = False) -> LeaseState:
        """Returns the state of a duty as it is sent to brokers."""
        lease = self.table.lease(duty)
        candidate = self.candidates.find(duty, lease.holder)
        address = "" if candidate is None else candidate.address
        return LeaseState(duty, lease.holder, address, lease.epoch, renewed=renewed, should_yield=should_yield)

    def receive_return(self, message: LeaseReturn) -> list[Command]:
        """Returns the commands that end the returned leases. A departing broker is no longer a candidate."""
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
        """Returns whether the broker holds the lease whose epoch its candidacy states."""
        lease = self.table.lease(candidacy.duty)
        return candidacy.epoch != 0 and lease.holder == broker and lease.epoch == candidacy.epoch

    # -- time

    def due_commands(self, now: float) -> list[Command]:
        """Returns the commands that are due to be proposed."""
        commands: list[Command] = []
        for duty in sorted({*self.candidates.by_duty, *self.table.leases}):
            clock = self.lease_clocks.get(duty)
            if clock is None:
                commands += self._grant_if_due(now, duty)
                continue
            if clock.is_expired(now):
                commands.append(self._release(duty, clock))
                # The holder is silent: it must not be chosen again before it has sent another request.
                self.candidates.remove(self.table.lease(duty).holder)
            self._review_holder(now, duty, clock)
        return commands

    def _grant_if_due(self, now: float, duty: str) -> list[Command]:
        """Returns the grant of a free duty if it is due.

        A new leader first waits for candidacies; otherwise it would choose the first broker that it hears from.
        """
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
        """Revokes the lease of a holder that fails, and records whether another candidate is better placed."""
        holder = self.table.lease(duty).holder
        if not clock.is_revoked:
            clock.is_revoked = self._has_failed(now, duty, clock, holder)
        has_better = self.candidates.has_better_placed(now, duty, holder)
        may_hand_over = now - clock.started_at >= HANDOVER_LEASE_DURATIONS * self.timing.lease_duration_s
        clock.observe_better_candidate(now, exists=has_better and may_hand_over)

    def _has_failed(self, now: float, duty: str, clock: LeaseClock, holder: str) -> bool:
        """Returns whether the holder has failed at the duty for a lease's duration and another broker can take over.

        If so, the holder's candidacy goes into backoff.
        """
        candidate = self.candidates.find(duty, holder)
        is_failing = candidate is not None and candidate.is_failing
        failing_s = clock.observe_failing(now, is_failing=is_failing)
        if candidate is None or not is_failing:
            return False
        has_alternative = self.candidates.has_healthy_alternative(now, duty, holder)
        if failing_s < self.timing.lease_duration_s or not has_alternative:
            return False
        candidate.back_off(now, self.timing.lease_duration_s)
        return True

    def _is_handover_due(self, now: float, clock: LeaseClock) -> bool:
        return now - clock.better_candidate_since > HANDOVER_LEASE_DURATIONS * self.timing.lease_duration_s
