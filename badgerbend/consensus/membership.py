"""Changes of who votes, one voter at a time (Ongaro 2014, 4.2.1).

With the erratum of 2015: no change before the leader has committed an entry of its own term. A voter that joins is
first brought up to date as a learner.
"""

from __future__ import annotations

from enum import StrEnum

from badgerbend.consensus.messages import MAX_VOTERS
from badgerbend.consensus.progress import Progress
from badgerbend.consensus.replica import Replica

CAUGHT_UP_ENTRIES = 8  # a learner that lacks no more than these entries may vote


class MembershipRefusal(StrEnum):
    """Why a change of membership is not begun."""

    NOT_LEADER = "not the leader"
    CHANGE_PENDING = "another change is under way"
    NOTHING_TO_CHANGE = "nothing to change"
    TOO_MANY_VOTERS = f"there are {MAX_VOTERS} voters already"
    LAST_VOTER = "the last voter stays"


class Membership:
    """The leader's side of a change of membership. learner: who is to vote once it has caught up, or an empty text."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.learner = ""

    def reset(self) -> None:
        """Forget a change that was begun, at the start and the end of a term of leadership."""
        self.learner = ""

    def refusal(self, name: str, *, add: bool) -> MembershipRefusal | None:
        """Why a voter may not be added (`add`) or removed now, or None where it may."""
        replica = self.replica
        if not replica.is_established_leader:
            return MembershipRefusal.NOT_LEADER
        if replica.configuration.entry_index > replica.commit_index or self.learner not in ("", name):
            return MembershipRefusal.CHANGE_PENDING
        if add == (name in replica.voters):
            return MembershipRefusal.NOTHING_TO_CHANGE
        if add and len(replica.voters) >= MAX_VOTERS:
            return MembershipRefusal.TOO_MANY_VOTERS
        if not add and len(replica.voters) == 1:
            return MembershipRefusal.LAST_VOTER
        return None

    def has_caught_up(self, name: str, progress: Progress) -> bool:
        """Whether this is the learner and it lacks so little that it may vote."""
        return name == self.learner and progress.match_index + CAUGHT_UP_ENTRIES >= self.replica.log.last_index

    def promote_learner(self) -> tuple[str, ...]:
        """Return the voters with the learner among them; there is no learner any more."""
        voters = (*self.replica.voters, self.learner)
        self.learner = ""
        return voters

    def voters_without(self, name: str) -> tuple[str, ...]:
        """Return the voters that remain once one is removed."""
        return tuple(voter for voter in self.replica.voters if voter != name)

    def has_left(self) -> bool:
        """Whether the configuration without this voter is committed."""
        replica = self.replica
        return replica.name not in replica.voters and replica.configuration.entry_index <= replica.commit_index
