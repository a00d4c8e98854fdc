"""Changes to the set of voters, one voter at a time (Ongaro 2014, 4.2.1).

As the erratum of 2015 requires, no change begins before the leader has committed an entry of its own term. A server
that joins first receives the log as a learner, without a vote.
"""

from __future__ import annotations

from enum import StrEnum

from badgerbend.consensus.messages import MAX_VOTERS
from badgerbend.consensus.progress import Progress
from badgerbend.consensus.replica import Replica

MAX_LEARNER_LAG_ENTRIES = 8  # a learner that lacks no more entries than these becomes a voter


class MembershipRefusal(StrEnum):
    """Why a membership change is refused. Operators see these texts."""

    NOT_LEADER = "not the leader"
    CHANGE_PENDING = "another change is under way"
    NOTHING_TO_CHANGE = "nothing to change"
    TOO_MANY_VOTERS = f"there are {MAX_VOTERS} voters already"
    LAST_VOTER = "the last voter stays"


class Membership:
    """The leader's side of a membership change.

    learner: the server that becomes a voter once it has caught up, or an empty string.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.learner = ""

    def reset(self) -> None:
        """Drop a pending change, at the start and at the end of a term of leadership."""
        self.learner = ""

    def refusal(self, name: str, *, add: bool) -> MembershipRefusal | None:
        """Return why a voter may not be added (`add`) or removed now, or None if it may."""
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
        """Whether this is the learner and it lacks so few entries that it can become a voter."""
        return name == self.learner and progress.match_index + MAX_LEARNER_LAG_ENTRIES >= self.replica.log.last_index

    def promote_learner(self) -> tuple[str, ...]:
        """Return the voters including the learner, which stops being one."""
        voters = (*self.replica.voters, self.learner)
        self.learner = ""
        return voters

    def voters_without(self, name: str) -> tuple[str, ...]:
        """Return all voters but this one."""
        return tuple(voter for voter in self.replica.voters if voter != name)

    def has_left(self) -> bool:
        """Whether a configuration without this voter is committed."""
        replica = self.replica
        return replica.name not in replica.voters and replica.configuration.entry_index <= replica.commit_index
