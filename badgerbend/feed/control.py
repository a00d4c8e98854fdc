"""One control machine's part in publishing: it connects voter, lease holder, publisher and relay. Pure.

Each control machine has a vote, a relay of its own replica of the agreed log, and a publisher that works only while the
machine holds the lease on publishing. Their owner calls them directly, and `synchronize` after each call.

Times are seconds on any clock that does not go backwards; it is read by the caller only.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

import msgspec

from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.messages import Change, Summary, encode
from badgerbend.feed.publisher import Publisher
from badgerbend.feed.relay import Relay
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.voter import Voter

MAX_SUMMARY_BYTES = 1200  # leaves room for a datagram's seal and head


@dataclass(frozen=True, slots=True)
class ControlTuning:
    """Intervals of a control machine, in seconds.

    A large publication goes to the leader in bursts that fit into a datagram socket's buffer; otherwise the same parts
    of it would be lost at each retry.
    """

    confirm_interval: float = 0.5  # between confirmations of a leader's lead, which ages rest on
    summary_interval: float = 1.0
    proposal_burst: int = 32  # commands
    proposal_interval: float = 0.01  # between bursts


@dataclass(frozen=True, slots=True)
class Propose:
    """Send a command for the agreed log to its leader."""

    leader: str
    command: bytes


@dataclass(frozen=True, slots=True)
class ReportSummary:
    """Send the relay's summary to the machine that publishes."""

    publisher: str
    summary: Summary


@dataclass(frozen=True, slots=True)
class ChangesAbandoned:
    """The lease is over, and these changes are not known to be published."""

    changes: tuple[Change, ...]


Action = Propose | ReportSummary | ChangesAbandoned


class ControlNode:
    """Connects the parts of one control machine; the caller carries out `take_actions` after each call."""

    def __init__(
        self,
        voter: Voter,
        holder: LeaseHolder,
        machine: FeedStateMachine,
        publisher: Publisher,
        relay: Relay,
        now: float,
        tuning: ControlTuning = ControlTuning(),
    ) -> None:
        self.name = voter.name
        self.voter = voter
        self.holder = holder
        self.machine = machine
        self.publisher = publisher
        self.relay = relay
        self.tuning = tuning
        self.log_changed = True  # since the publisher and the relay were notified
        self._confirm_at = now
        self._summary_at = now
        self._proposals: deque[bytes] = deque()  # commands that wait for their burst
        self._propose_at = now
        self._actions: list[Action] = []
        machine.on_log_change = self._note_log_change

    @property
    def next_at(self) -> float:
        """When `tick`, and `synchronize` after it, have something to do."""
        propose_at = self._propose_at if self._proposals else math.inf
        return min(self._confirm_at, self._summary_at, self.publisher.next_at, propose_at)

    def synchronize(self, now: float) -> bool:
        """Notify the parts of what a call of one of them led to; whether the log has changed."""
        has_changed = self.log_changed
        self.log_changed = False
        if has_changed:
            self.relay.log_advanced(now)
            self.publisher.log_advanced(now)
        self.relay.mark_current(now, self.voter.confirmed_at)
        self._follow_lease(now)
        self._propose(now)
        return has_changed

    def tick(self, now: float) -> None:
        """Do what is due by now, beside the ticks of voter, lease holder and relay."""
        if now >= self._confirm_at:
            self._confirm_at = now + self.tuning.confirm_interval
            self.voter.confirm(now)
        if now >= self._summary_at:
            self._summary_at = now + self.tuning.summary_interval
            self._report_summary(now)
        if now >= self.publisher.next_at:
            self.publisher.tick(now)

    def take_actions(self) -> list[Action]:
        """Return the actions since the last call, to be carried out in this order."""
        actions = self._actions
        self._actions = []
        return actions

    def _note_log_change(self) -> None:
        self.log_changed = True

    def _follow_lease(self, now: float) -> None:
        """Publish under the epoch of the own lease only.

        The publisher starts once the own replica has applied the grant: it then holds all that was published before.
        """
        epoch = self.holder.may_act(now, PUBLISH_LEASE)
        if self.publisher.epoch and self.publisher.epoch != epoch:
            abandoned = self.publisher.lease_lost()
            self._proposals.clear()
            if abandoned:
                self._actions.append(ChangesAbandoned(abandoned))
        lease = self.machine.table.lease(PUBLISH_LEASE)
        is_granted = epoch is not None and (lease.holder, lease.epoch) == (self.name, epoch)
        if is_granted and not self.publisher.epoch:
            self.publisher.lease_granted(now, lease.epoch)

    def _propose(self, now: float) -> None:
        """Send the next burst to the leader, if it is known; the publisher retries what is lost."""
        self._proposals.extend(self.publisher.take_commands())
        if not self._proposals or now < self._propose_at:
            return
        leader = self._known_leader()
        self._propose_at = now + self.tuning.proposal_interval
        remaining = self.tuning.proposal_burst
        while self._proposals and remaining:
            command = self._proposals.popleft()
            if leader and self.machine.needs_part(command):
                self._actions.append(Propose(leader, command))
                remaining -= 1

    def _known_leader(self) -> str:
        if self.voter.is_leader:
            return self.name
        return self.voter.raft.leader or self.holder.leader

    def _report_summary(self, now: float) -> None:
        lease = self.machine.table.lease(PUBLISH_LEASE)
        summary = fit_to_datagram(self.relay.summary())
        if lease.holder == self.name:
            self.publisher.record_summary(now, summary)
        elif lease.holder:
            self._actions.append(ReportSummary(lease.holder, summary))


def fit_to_datagram(summary: Summary) -> Summary:
    """Drop laggards, the most advanced first, until the summary fits into a datagram."""
    while summary.laggards and len(encode(summary)) > MAX_SUMMARY_BYTES:
        summary = msgspec.structs.replace(summary, laggards=summary.laggards[:-1])
    return summary
