"""Suspicions: how long they last, and how further reporters shorten them."""

from __future__ import annotations

import math

from badgerbend.membership.context import SwimContext
from badgerbend.membership.members import Member
from badgerbend.membership.messages import MemberState
from badgerbend.membership.timers import SuspicionTimeout

CLOCK_TOLERANCE_S = 1e-9  # rounding may let a timer fire this much before the deadline that it was set for


class SuspicionTimers:
    """Deadlines of suspicions. Each further reporter brings a deadline forward, as in Lifeguard."""

    def __init__(self, context: SwimContext) -> None:
        self._config = context.config
        self._members = context.members
        self._timers = context.timers

    def start(self, member: Member, now: float) -> None:
        """Set the deadline of a new suspicion."""
        member.suspicion_deadline = now + self.timeout_s(0)
        self._timers.set(member.suspicion_deadline, SuspicionTimeout(member.name))

    def confirm(self, member: Member, reporter: str, now: float) -> bool:
        """Count another reporter and bring the deadline forward; return False if there are enough reporters."""
        if len(member.suspected_by) > self._config.suspicion_confirmations:
            return False
        started_at = member.suspicion_deadline - self.timeout_s(max(len(member.suspected_by) - 1, 0))
        member.suspected_by.add(reporter)
        member.suspicion_deadline = started_at + self.timeout_s(len(member.suspected_by) - 1)
        self._timers.set(max(member.suspicion_deadline, now), SuspicionTimeout(member.name))
        return True

    def expired(self, name: str, now: float) -> Member | None:
        """Return the member of this name if it is suspected and its deadline has passed."""
        member = self._members.get(name)
        if member is None or member.state != MemberState.SUSPECT:
            return None
        return member if now >= member.suspicion_deadline - CLOCK_TOLERANCE_S else None

    def timeout_s(self, confirmations: int) -> float:
        """Return how long a suspicion lasts with this many reporters in addition to the first one."""
        config = self._config
        scale = max(1.0, math.log10(max(len(self._members) + 1, 1)))
        min_timeout_s = config.suspicion_multiplier * scale * config.probe_interval_s
        max_timeout_s = min_timeout_s * config.suspicion_max_multiplier
        if len(self._members) <= 2:  # no other member could confirm the suspicion
            return min_timeout_s
        fraction = math.log(confirmations + 1) / math.log(config.suspicion_confirmations + 1)
        return max(min_timeout_s, max_timeout_s - (max_timeout_s - min_timeout_s) * fraction)
