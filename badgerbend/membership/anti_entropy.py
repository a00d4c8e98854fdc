"""Repair of what gossip alone does not: updates that were lost, and groups that were partitioned."""

from __future__ import annotations

from badgerbend.membership.context import SwimContext
from badgerbend.membership.members import Address, Member
from badgerbend.membership.messages import MemberState
from badgerbend.membership.sender import MessageSender


class AntiEntropy:
    """Exchanges the full state with random members, and looks for lost ones: seeds and members believed dead."""

    def __init__(self, context: SwimContext, sender: MessageSender) -> None:
        self.seeds: tuple[Address, ...] = ()
        self._config = context.config
        self._local = context.local
        self._members = context.members
        self._rng = context.rng
        self._sender = sender

    def join(self, seeds: tuple[Address, ...]) -> None:
        """Ping all seeds; they are pinged again as long as nobody has answered."""
        self.seeds = tuple(seed for seed in seeds if seed != self._local.address)
        self._ping_seeds()

    def begin_period(self, period: int) -> None:
        """Do what is due in this period; periods count from 1."""
        live = self._members.live()
        if not live:
            self._ping_seeds()
        if live and self._is_sync_due(period):
            self._sender.send_full_state(self._rng.choice(live).address, reply_requested=True)
        if period % self._config.dead_probe_every_periods == 0:
            self._look_for_lost(live)

    def _is_sync_due(self, period: int) -> bool:
        """Periods 1, 2, 4, 8, … at first, since many may join at once; later at a fixed distance."""
        is_early = period < self._config.sync_every_periods and period.bit_count() == 1
        return is_early or period % self._config.sync_every_periods == 0

    def _look_for_lost(self, live: list[Member]) -> None:
        """Ping a dead member, which is alive if there was a partition, and seeds if some were never met."""
        dead = self._members.in_state(MemberState.DEAD)
        if dead:
            lost = self._rng.choice(dead)
            self._sender.ping(lost.address, lost.name)
        if len(live) < len(self.seeds):
            self._ping_seeds()

    def _ping_seeds(self) -> None:
        for seed in self.seeds:
            self._sender.ping(seed)
