"""The components of one control machine, connected: voter, lease holder, publisher and relay.

Each control machine is a voter, runs a relay that serves its own replica of the replicated log, and has a publisher
that works only while the machine holds the publishing lease. The owner calls the components directly and calls
`ControlNode.synchronize` after each such call.

This module does no I/O. Times are seconds on any monotonic clock, which only the caller reads.
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

MAX_SUMMARY_BYTES = 1200  # leaves space for the seal and the header of a datagram


@dataclass(frozen=True, slots=True)
class ControlTuning:
    """Intervals of a control machine, in seconds.

    The parts of a large publication are sent to the leader in bursts that fit into the buffer of a datagram socket.
    Without this limit, the same parts would be lost at each retry.
    """

    confirm_interval: float = 0.5  # between leadership confirmations, from which replica ages are derived
    summary_interval: float = 1.0
    proposal_burst: int = 32  # commands
    proposal_interval: float = 0.01  # between bursts


@dataclass(frozen=True, slots=True)
class Propose:
    """Send a command to the leader of the replicated log."""

    leader: str
    command: bytes


@dataclass(frozen=True, slots=True)
class ReportSummary:
    """Send the relay's summary to the machine that holds the publishing lease."""

    publisher: str
    summary: Summary


@dataclass(frozen=True, slots=True)
class ChangesAbandoned:
    """The lease has ended before these changes were known to be published."""

    changes: tuple[Change, ...]


Action = Propose | ReportSummary | ChangesAbandoned


class ControlNode:
    """Connects the components of one control machine. The caller carries out `take_actions` after each call."""

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
        self.log_changed = True  # since the publisher and the relay were last notified
        self._confirm_at = now
        self._summary_at = now
        self._proposals: deque[bytes] = deque()  # commands waiting for a burst
        self._propose_at = now
        self._actions: list[Action] = []
        machine.on_log_change = self._note_log_change

    @property
    def next_at(self) -> float:
        """The time at which `tick`, followed by `synchronize`, next has something to do."""
        propose_at = self._propose_at if self._proposals else math.inf
        return min(self._confirm_at, self._summary_at, self.publisher.next_at, propose_at)

    def synchronize(self, now: float) -> bool:
        """Pass on the effects of a call of one component to the others. Returns whether the log has changed."""
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
        """Do what is due by now. The owner calls the ticks of voter, lease holder and relay itself."""
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
        """Start and stop the publisher, so that it works only under the epoch of this machine's own lease.

        The publisher starts once this machine's replica has applied the grant, since the replica then contains
        everything that was published under earlier leases.
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
        """Send the next burst to the leader, if it is known. The publisher retries lost commands."""
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
    """Remove laggards, the most advanced first, until the summary fits into a datagram."""
    while summary.laggards and len(encode(summary)) > MAX_SUMMARY_BYTES:
        summary = msgspec.structs.replace(summary, laggards=summary.laggards[:-1])
    return summary
