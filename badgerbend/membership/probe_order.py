"""The order in which members are probed."""

from __future__ import annotations

from badgerbend.membership.context import SwimContext
from badgerbend.membership.members import Member


class ProbeOrder:
    """Round robin in an order that is reshuffled for each round, so each member is probed within two rounds."""

    def __init__(self, context: SwimContext) -> None:
        self._members = context.members
        self._rng = context.rng
        self._remaining: list[str] = []  # the names still to probe in this round, the next one last

    def insert(self, name: str) -> None:
        """Insert a new member at a random position in the current round."""
        self._remaining.insert(self._rng.randrange(len(self._remaining) + 1), name)

    def next(self) -> Member | None:
        """Return the next live member; None if there is none."""
        while self._remaining:
            member = self._members.get(self._remaining.pop())
            if member is not None and member.is_live:
                return member
        self._remaining = [member.name for member in self._members.live()]
        self._rng.shuffle(self._remaining)
        return self._members.get(self._remaining.pop()) if self._remaining else None
