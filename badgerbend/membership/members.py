"""The local member, and the table of all other members."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerbend.membership.config import SwimConfig
from badgerbend.membership.messages import MemberState, MemberUpdate

Address = tuple[str, int]


@dataclass(slots=True)
class LocalMember:
    """This process as a member of the group."""

    name: str
    address: Address
    incarnation: int
    metadata: str
    left: bool = False

    def make_update(self) -> MemberUpdate:
        """Return an update that this member gossips about itself."""
        state = MemberState.LEFT if self.left else MemberState.ALIVE
        return MemberUpdate(self.name, *self.address, state, self.incarnation, "", self.metadata)


@dataclass(slots=True)
class Member:
    """Another member, as the local member knows it.

    state_changed_at: in seconds on the caller's clock. suspected_by: the reporters of the current suspicion.
    suspicion_deadline: the time at which the suspicion times out; it has no meaning in other states.
    """

    name: str
    address: Address
    state: MemberState
    incarnation: int
    metadata: str
    state_changed_at: float
    suspected_by: set[str] = field(default_factory=set)
    suspicion_deadline: float = 0.0

    @property
    def is_live(self) -> bool:
        """Whether the member is neither dead nor departed."""
        return self.state <= MemberState.SUSPECT

    def make_update(self, state: MemberState, reporter: str = "") -> MemberUpdate:
        """Return an update that gives the member this state in its current incarnation."""
        return MemberUpdate(self.name, *self.address, state, self.incarnation, reporter, self.metadata)

    def apply(self, update: MemberUpdate, now: float) -> None:
        """Set the member's fields from an update."""
        self.state = update.state
        self.incarnation = update.incarnation
        self.state_changed_at = now
        self.address = (update.host, update.port)
        self.metadata = update.metadata
        self.suspected_by = {update.reporter} if update.reporter else set()


class MembershipTable:
    """All other members by name, in the order in which they were first heard of.

    Its methods scan all members in each period, so they compare states directly instead of calling a method or a
    property of each member.
    """

    def __init__(self, config: SwimConfig) -> None:
        self.by_name: dict[str, Member] = {}
        self._max_members = config.max_members
        self._dead_retention_s = config.dead_retention_s

    def __len__(self) -> int:
        return len(self.by_name)

    @property
    def is_full(self) -> bool:
        """Whether the table has reached its size limit."""
        return len(self.by_name) >= self._max_members

    def get(self, name: str) -> Member | None:
        """Return the member of this name; None if it is unknown."""
        return self.by_name.get(name)

    def add(self, update: MemberUpdate, now: float) -> Member:
        """Add a member that was unknown."""
        address = (update.host, update.port)
        member = Member(update.name, address, update.state, update.incarnation, update.metadata, now)
        self.by_name[update.name] = member
        return member

    def live(self) -> list[Member]:
        """Return the members that are neither dead nor departed."""
        return [member for member in self.by_name.values() if member.state <= MemberState.SUSPECT]

    def in_state(self, state: MemberState) -> list[Member]:
        """Return the members in this state."""
        return [member for member in self.by_name.values() if member.state == state]

    def remove_expired(self, now: float) -> None:
        """Remove members that have been dead or departed for longer than the retention time."""
        expired = [
            member.name
            for member in self.by_name.values()
            if member.state >= MemberState.DEAD and now - member.state_changed_at > self._dead_retention_s
        ]
        for name in expired:
            del self.by_name[name]
