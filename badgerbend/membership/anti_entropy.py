"""Repairs what gossip alone cannot: lost updates, and groups that were separated by a network partition."""

from __future__ import annotations

from badgerbend.membership.context import SwimContext
from badgerbend.membership.members import Address, Member
from badgerbend.membership.messages import MemberState
from badgerbend.membership.sender import MessageSender


class AntiEntropy:
    """Exchanges the full state with random members, and pings seeds and dead members in case they are reachable."""

    def __init__(self, context: SwimContext, sender: MessageSender) -> None:
        self.seeds: tuple[Address, ...] = ()
        self._config = context.config
        self._local = context.local
        self._members = context.members
        self._rng = context.rng
        self._sender = sender

    def join(self, seeds: tuple[Address, ...]) -> None:
        """Ping all seeds; they are pinged again until a member has replied."""
        self.seeds = tuple(seed for seed in seeds if seed != self._local.address)
        self._ping_seeds()

    def begin_period(self, period: int) -> None:
        """Run what is due in this period; periods count from 1."""
        live = self._members.live()
        if not live:
            self._ping_seeds()
        if live and self._is_sync_due(period):
            self._sender.send_full_state(self._rng.choice(live).address, reply_requested=True)
        if period % self._config.dead_probe_every_periods == 0:
            self._ping_lost_members(live)

    def _is_sync_due(self, period: int) -> bool:
        """Whether a full exchange is due: in periods 1, 2, 4, 8, … at first, and later at a fixed interval.

        Early exchanges are frequent because many members may join at the same time.
        """
        is_early = period < self._config.sync_every_periods and period.bit_count() == 1
        return is_early or period % self._config.sync_every_periods == 0

    def _ping_lost_members(self, live: list[Member]) -> None:
        """Ping a dead member, which may be alive beyond a partition, and all seeds if some may never have joined."""
        dead = self._members.in_state(MemberState.DEAD)
        if dead:
            lost = self._rng.choice(dead)
            self._sender.ping(lost.address, lost.name)
        if len(live) < len(self.seeds):
            self._ping_seeds()

    def _ping_seeds(self) -> None:
        for seed in self.seeds:
            self._sender.ping(seed)
