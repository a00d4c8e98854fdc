"""Applies updates, received or made by the local member, to the table, and gossips them to others."""

from __future__ import annotations

from badgerbend.membership.broadcasts import BroadcastQueue
from badgerbend.membership.context import SwimContext
from badgerbend.membership.members import Member
from badgerbend.membership.messages import MemberState, MemberUpdate
from badgerbend.membership.output import MemberChanged
from badgerbend.membership.probe_order import ProbeOrder
from badgerbend.membership.suspicion import SuspicionTimers


class Gossip:
    """Applies updates in SWIM's order of precedence: the greater incarnation, then the greater state."""

    def __init__(
        self,
        context: SwimContext,
        broadcasts: BroadcastQueue,
        suspicions: SuspicionTimers,
        probe_order: ProbeOrder,
    ) -> None:
        self._local = context.local
        self._members = context.members
        self._health = context.health
        self._broadcasts = broadcasts
        self._suspicions = suspicions
        self._probe_order = probe_order
        self._events: list[MemberChanged] = []

    def take_events(self) -> list[MemberChanged]:
        """Return the events since the last call, in order."""
        events = self._events
        self._events = []
        return events

    def apply(self, now: float, update: MemberUpdate) -> None:
        """Apply one update, unless it is older than what is known."""
        if update.name == self._local.name:
            self._refute(update)
            return
        member = self._members.get(update.name)
        if member is None:
            if update.state >= MemberState.DEAD or self._members.is_full:
                return
            member = self._members.add(update, now)
            self._probe_order.insert(update.name)
        elif (update.incarnation, update.state) == (member.incarnation, member.state):
            self._confirm_suspicion(now, member, update)
            return
        elif (update.incarnation, update.state) < (member.incarnation, member.state):
            return
        self._change(now, member, update)

    def suspect(self, now: float, member: Member) -> None:
        """Suspect a member, on the local member's own observation."""
        self.apply(now, member.make_update(MemberState.SUSPECT, self._local.name))

    def suspicion_timed_out(self, now: float, name: str) -> None:
        """Declare a member dead if it is still suspected and its deadline has passed."""
        member = self._suspicions.expired(name, now)
        if member is not None:
            self.apply(now, member.make_update(MemberState.DEAD, self._local.name))

    def _change(self, now: float, member: Member, update: MemberUpdate) -> None:
        """Apply an update to a member, gossip it, and report it as an event."""
        member.apply(update, now)
        self._broadcasts.add(update)
        self._events.append(
            MemberChanged(member.name, member.address, member.state, member.incarnation, member.metadata)
        )
        if member.state == MemberState.SUSPECT:
            self._suspicions.start(member, now)

    def _confirm_suspicion(self, now: float, member: Member, update: MemberUpdate) -> None:
        """Count another reporter of a known suspicion, and gossip its report."""
        if update.state != MemberState.SUSPECT or not update.reporter or update.reporter in member.suspected_by:
            return
        if self._suspicions.confirm(member, update.reporter, now):
            self._broadcasts.add(member.make_update(MemberState.SUSPECT, update.reporter))

    def _refute(self, update: MemberUpdate) -> None:
        """Refute an update about the local member with a greater incarnation.

        An older update, and one that says alive in the current incarnation, need no refutation.
        """
        is_older = update.incarnation < self._local.incarnation
        is_same = update.incarnation == self._local.incarnation and update.state == MemberState.ALIVE
        if is_older or is_same or self._local.left:
            return
        self._local.incarnation = update.incarnation + 1
        self._health.adjust(1)
        self._broadcasts.add(self._local.make_update())
