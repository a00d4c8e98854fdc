"""One control machine's part in publishing: voter, lease, publisher and relay joined. Pure.

Each control machine has a vote, a relay of its own replica of the agreed log, and a publisher that works only while it
holds the lease on publishing. The parts' own calls stay their owner's; after each of them it calls `synchronize`.
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

MAX_SUMMARY_BYTES = 1200  # bytes: within one datagram, with its seal and head


@dataclass(frozen=True, slots=True)
class ControlTuning:
    """Times in seconds. confirm_interval: how often a leader has its lead confirmed, which ages rest on.

    proposal_burst, proposal_interval: a large publication goes to the leader in bursts that a datagram socket's buffer
    holds. Without them the same parts of it would be lost at each repeat.
    """

    confirm_interval: float = 0.5
    summary_interval: float = 1.0
    proposal_burst: int = 32
    proposal_interval: float = 0.01


# -- what a control machine wants done, in this order


@dataclass(frozen=True, slots=True)
class Propose:
    """A command for the agreed log, to be sent to its leader."""

    leader: str
    command: bytes


@dataclass(frozen=True, slots=True)
class ReportSummary:
    """The relay's summary, for the machine that publishes."""

    publisher: str
    summary: Summary


@dataclass(frozen=True, slots=True)
class ChangesAbandoned:
    """The lease is over, and these changes are not known to be published."""

    changes: tuple[Change, ...]


Action = Propose | ReportSummary | ChangesAbandoned


class ControlNode:
    """`take_actions` what it wants done after each call."""

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
        self.voter, self.holder, self.machine = voter, holder, machine
        self.publisher, self.relay, self.tuning = publisher, relay, tuning
        self.log_changed = True  # the log has changed since the publisher and the relay were told
        self._confirm_at = self._summary_at = now
        self._proposals: deque[bytes] = deque()  # commands that wait for their burst
        self._propose_at = now
        self._actions: list[Action] = []
        machine.on_log_change = self._changed

    def synchronize(self, now: float) -> bool:
        """After each call of a part: the others learn of what it led to. Whether the log has changed."""
        grown, self.log_changed = self.log_changed, False
        if grown:
            self.relay.log_advanced(now)
            self.publisher.log_advanced(now)
        self.relay.mark_current(now, self.voter.confirmed_at)
        self._follow_lease(now)
        self._propose(now)
        return grown

    def tick(self, now: float) -> None:
        """What is due by now, beside the parts' own."""
        if now >= self._confirm_at:
            self._confirm_at = now + self.tuning.confirm_interval
            self.voter.confirm(now)
        if now >= self._summary_at:
            self._summary_at = now + self.tuning.summary_interval
            self._report(now)
        if now >= self.publisher.next_at:
            self.publisher.tick(now)

    @property
    def next_at(self) -> float:
        """When `tick`, and `synchronize` after it, have something to do."""
        propose_at = self._propose_at if self._proposals else math.inf
        return min(self._confirm_at, self._summary_at, self.publisher.next_at, propose_at)

    def take_actions(self) -> list[Action]:
        """What is to be done, in this order, since the last call."""
        actions, self._actions = self._actions, []
        return actions

    # -- inside
    def _changed(self) -> None:
        self.log_changed = True

    def _follow_lease(self, now: float) -> None:
        """Publishes under the lease's epoch alone, and once the own replica has seen the grant: it then holds all that
        was published before."""
        epoch = self.holder.may_act(now, PUBLISH_LEASE)
        if self.publisher.epoch and self.publisher.epoch != epoch:
            abandoned = self.publisher.lease_lost()
            self._proposals.clear()
            if abandoned:
                self._actions.append(ChangesAbandoned(abandoned))
        lease = self.machine.table.lease(PUBLISH_LEASE)
        granted = epoch is not None and (lease.holder, lease.epoch) == (self.name, epoch)
        if granted and not self.publisher.epoch:
            self.publisher.lease_granted(now, lease.epoch)

    def _propose(self, now: float) -> None:
        """The next burst, to the leader as far as it is known; what is lost is proposed again by the publisher."""
        self._proposals.extend(self.publisher.take_commands())
        if not self._proposals or now < self._propose_at:
            return
        leader = self.name if self.voter.is_leader else self.voter.raft.leader or self.holder.leader
        self._propose_at = now + self.tuning.proposal_interval
        left = self.tuning.proposal_burst
        while self._proposals and left:
            command = self._proposals.popleft()
            if leader and self.machine.needs_part(command):
                self._actions.append(Propose(leader, command))
                left -= 1

    def _report(self, now: float) -> None:
        lease = self.machine.table.lease(PUBLISH_LEASE)
        summary = fit_to_datagram(self.relay.summary())
        if lease.holder == self.name:
            self.publisher.record_summary(now, summary)
        elif lease.holder:
            self._actions.append(ReportSummary(lease.holder, summary))


def fit_to_datagram(summary: Summary) -> Summary:
    """The summary with as many of its laggards as a datagram holds, the furthest behind first."""
    while summary.laggards and len(encode(summary)) > MAX_SUMMARY_BYTES:
        summary = msgspec.structs.replace(summary, laggards=summary.laggards[:-1])
    return summary
