"""The queue of updates that are piggybacked on other messages, each a limited number of times."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter

from badgerbend.membership.messages import MemberUpdate


@dataclass(slots=True)
class Broadcast:
    """An update that is being gossiped."""

    update: MemberUpdate
    transmissions: int = 0


def retransmit_limit(multiplier: float, member_count: int) -> int:
    """Return how many times an update is sent in a group with `member_count` other members."""
    return math.ceil(multiplier * math.log10(member_count + 2)) + 1


class BroadcastQueue:
    """Updates to gossip, at most one for each member; a later one replaces an earlier one."""

    def __init__(self) -> None:
        self._by_name: dict[str, Broadcast] = {}

    def add(self, update: MemberUpdate) -> None:
        """Gossip an update from now on."""
        self._by_name[update.name] = Broadcast(update)

    def pending(self) -> list[MemberUpdate]:
        """Return all updates, the least often sent first."""
        broadcasts = sorted(self._by_name.values(), key=attrgetter("transmissions"))
        return [broadcast.update for broadcast in broadcasts]

    def mark_sent(self, updates: Iterable[MemberUpdate], limit: int) -> None:
        """Count a transmission of each update; those that reach the limit are removed."""
        for update in updates:
            broadcast = self._by_name.get(update.name)
            if broadcast is None or broadcast.update != update:
                continue
            broadcast.transmissions += 1
            if broadcast.transmissions >= limit:
                del self._by_name[update.name]
