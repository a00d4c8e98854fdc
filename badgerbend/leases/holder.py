"""A broker's side of leases: its candidacies, the leases that it holds, and when it may act under them.

At most one broker acts on a duty at a time, for this reason: the holder counts a lease from the moment at which it
sent the request that renewed it, and shortens it by the bound on clock drift. The leading voter counts it from the
arrival of that request, and lengthens it by the bound. `LeaseHolder.may_act` must be called right before every action
on a duty. After the event loop has stalled for longer than `LeaseTiming.stall_threshold_s`, the broker may act only
under renewals that it requested after the stall.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from badgerbend.leases.duty_state import DutyState
from badgerbend.leases.messages import Candidacy, LeaseId, LeaseReply, LeaseRequest, LeaseReturn, LeaseState
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter_selection import VoterSelection

MAX_REQUESTS_REMEMBERED = 64  # requests whose send time is kept, since a renewal is valid from that time
RENEWALS_PER_LEASE = 4  # requests of a holder during one lease, so that three of them may be lost
MAX_RETRY_TIMEOUTS = 4  # the delay before a retry grows with each missed reply, up to this many reply timeouts
MAX_REDIRECT_DELAY_S = 0.02  # spreads the requests that brokers send to a new leader
MIN_JITTER = 0.8  # each interval is multiplied by a random factor of at least this, so that brokers do not synchronize
MIN_RETRY_JITTER = 0.5  # the same for the delay before a request to another voter


class OutboundRequest(NamedTuple):
    """A message to a voter and the name of that voter."""

    to: str
    message: LeaseRequest | LeaseReturn


class LeaseHolder:
    """One broker as a candidate for duties and as a holder of leases. Call `drain_output` after each other call.

    address: where other brokers reach this one. duties: the duties that it is a candidate for, each with whether the
    broker is at the duty's own site. Times are in seconds of the broker's own clock, which must be monotonic.
    """

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
        self.name = name
        self.address = address
        self.timing = timing
        self.rng = random.Random(seed)
        self.duties = {duty: DutyState(is_local) for duty, is_local in duties.items()}
        self.load = 0.0  # sent with each request: among equally placed candidates the least loaded is chosen
        self.is_shut_down = False
        self._output: list[OutboundRequest] = []
        self._seq = self.rng.getrandbits(48)  # a random start: replies to an earlier incarnation match no request
        self._sent_at: OrderedDict[int, float] = OrderedDict()  # by sequence number
        self.voter_selection = VoterSelection(voters, self.rng)
        self._last_run_at = now
        self._next_at = now + self.rng.random() * timing.reply_timeout_s  # jitter for brokers that start together

    def may_act(self, now: float, duty: str) -> int | None:
        """Returns the epoch under which the broker may act on a duty now, or None if it may not."""
        self._check_stall(now)
        state = self.duties.get(duty)
        if state is None or not state.may_act(now):
            return None
        return state.epoch

    def set_failing(self, duty: str, is_failing: bool) -> None:
        """Sets what the next candidacy reports: whether the broker's work on a duty has no effect."""
        self.duties[duty].is_failing = is_failing

    def granted_leases(self) -> list[LeaseId]:
        """Returns the leases granted to this broker, including those under which it may not act at the moment."""
        return [LeaseId(duty, state.epoch) for duty, state in self.duties.items() if state.epoch]

    @property
    def leader(self) -> str:
        """The leading voter as last reported by a voter; empty while it is not known."""
        return self.voter_selection.leader

    @property
    def next_at(self) -> float:
        """The time at which `tick` must be called next."""
        return self._next_at

    def tick(self, now: float) -> None:
        """Sends a request if one is due."""
        self._check_stall(now)
        if now >= self._next_at and not self.is_shut_down:
            self._send_request(now)

    def receive_reply(self, now: float, reply: LeaseReply) -> None:
        """Handles a voter's reply, or a notification that answers no request."""
        self._check_stall(now)
        if self.is_shut_down:
            return
        sent_at = self._sent_at.get(reply.seq)
        if sent_at is not None:
            self.voter_selection.reply_received()
        if reply.is_leader:
            self.voter_selection.follow(reply.source)
            self._apply_reply_of_leader(now, reply, sent_at)
        elif sent_at is not None:
            self._redirect(now, reply.leader)

    def _apply_reply_of_leader(self, now: float, reply: LeaseReply, sent_at: float | None) -> None:
        to_return = set()
        for state in reply.leases:
            self._apply_lease_state(now, state, sent_at)
            if state.should_yield and state.holder == self.name:
                to_return.add(state.duty)
        if to_return:
            self.release(now, to_return)
        if sent_at is not None and reply.request_delay_s and not self.granted_leases():
            delay_s = reply.request_delay_s * self.rng.uniform(MIN_JITTER, 1.0)
            self._next_at = max(self._next_at, now + delay_s)

    def _redirect(self, now: float, leader: str) -> None:
        """Handles the reply of a voter that does not lead. leader: the one that it names; empty if it names none."""
        if self.voter_selection.is_redirect(leader):
            self.voter_selection.follow(leader)
            self._send_within(now, self.rng.random() * MAX_REDIRECT_DELAY_S)
        elif not leader:
            self.voter_selection.choose_another()
            self._send_within(now, self.timing.reply_timeout_s * self.rng.uniform(MIN_RETRY_JITTER, 1.0))

    def _apply_lease_state(self, now: float, state: LeaseState, sent_at: float | None) -> None:
        """Applies the reported state of a duty. sent_at: send time of the answered request; None for a notification."""
        duty = self.duties.get(state.duty)
        if duty is None or duty.is_outdated(state):
            return
        is_first = not duty.is_known
        duty.record_holder(state)
        if is_first and state.holder == self.name:
            # The lease is of an earlier incarnation. That incarnation's return of it may still be in flight, and would
            # end the lease while this incarnation acts under it.
            duty.returned_epoch = state.epoch
            self._send_return(now, (LeaseId(state.duty, state.epoch),), is_departing=False)
        if state.holder != self.name or state.epoch <= duty.returned_epoch:
            if duty.epoch <= state.epoch:
                duty.lose()
            return
        if duty.epoch != state.epoch:
            duty.accept_grant(state.epoch)
            self._next_at = now  # renew at once: the broker may act only after a renewal
        if state.renewed and sent_at is not None:
            duty.extend(sent_at + self._lease_length())

    def _lease_length(self) -> float:
        """The validity of a renewal, in seconds from when it was requested."""
        return self.timing.holder_lease_s

    # -- returning leases

    def release(self, now: float, duties: Iterable[str] | None = None) -> None:
        """Gives up the leases on these duties, or on all duties, and returns them at once."""
        leases = tuple(lease for lease in self.granted_leases() if duties is None or lease.duty in duties)
        if leases:
            self._give_up(now, leases, is_departing=False)

    def shut_down(self, now: float) -> None:
        """Returns all leases and ends all candidacies for good."""
        leases = tuple(self.granted_leases())
        self._give_up(now, leases, is_departing=True)
        self.is_shut_down = True
        self._next_at = math.inf

    def drain_output(self) -> list[OutboundRequest]:
        """Removes and returns the messages to send, each with the voter to send it to."""
        output = self._output
        self._output = []
        return output

    def _give_up(self, now: float, leases: tuple[LeaseId, ...], *, is_departing: bool) -> None:
        for lease in leases:
            self.duties[lease.duty].give_up(lease.epoch)
        self._send_return(now, leases, is_departing=is_departing)

    def _check_stall(self, now: float) -> None:
        """Detects an event loop that stalled. Must run before anything else in a call."""
        if now - self._last_run_at > self.timing.stall_threshold_s:
            self._suspend_leases(now)
        self._last_run_at = max(self._last_run_at, now)

    def _suspend_leases(self, now: float) -> None:
        """Forbids acting until a renewal. Send times are discarded, so that earlier requests can renew nothing."""
        for duty in self.duties.values():
            duty.suspend()
        self._sent_at.clear()
        self._next_at = now

    def _send_request(self, now: float) -> None:
        voter = self.voter_selection.next_voter()
        self._seq += 1
        self._sent_at[self._seq] = now
        if len(self._sent_at) > MAX_REQUESTS_REMEMBERED:
            self._sent_at.popitem(last=False)
        candidacies = tuple(
            Candidacy(name, duty.epoch, duty.is_local, duty.is_failing) for name, duty in self.duties.items()
        )
        is_voter = self.name in self.voter_selection.voters
        request = LeaseRequest(self.name, self._seq, self.address, self.load, is_voter, candidacies)
        self._output.append(OutboundRequest(voter, request))
        self.voter_selection.request_sent()
        self._next_at = now + self._request_interval() * self.rng.uniform(MIN_JITTER, 1.0)

    def _request_interval(self) -> float:
        """The time until the next request in seconds, before jitter, unless a reply changes it."""
        is_holder = bool(self.granted_leases())
        interval_s = (
            self.timing.lease_duration_s / RENEWALS_PER_LEASE if is_holder else self.timing.candidacy_interval_s
        )
        missed = self.voter_selection.missed_replies
        if missed > 1 or not self.leader:
            interval_s = min(interval_s, self.timing.reply_timeout_s * min(missed, MAX_RETRY_TIMEOUTS))
        return interval_s

    def _send_return(self, now: float, leases: tuple[LeaseId, ...], *, is_departing: bool) -> None:
        """Sends a return to all voters, one of which leads, since there may be no chance to send it again."""
        self._seq += 1
        message = LeaseReturn(self.name, self._seq, leases, is_departing=is_departing)
        for voter in self.voter_selection.voters:
            self._output.append(OutboundRequest(voter, message))
        self._send_within(now, self.timing.reply_timeout_s)

    def _send_within(self, now: float, seconds: float) -> None:
        self._next_at = min(self._next_at, now + seconds)
