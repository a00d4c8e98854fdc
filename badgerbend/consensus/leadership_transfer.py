"""Leadership transfer: the leader stops proposing and tells one follower to start an election (Ongaro 2014, 3.10)."""

from __future__ import annotations

import math
from collections.abc import Mapping

from badgerbend.consensus.messages import TimeoutNow
from badgerbend.consensus.progress import Progress
from badgerbend.consensus.replica import Replica


class LeadershipTransfer:
    """The leader's side of a leadership transfer.

    target: the follower that is to lead, or an empty string. deadline: the time at which the transfer is abandoned.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.target = ""
        self.deadline = math.inf

    @property
    def in_progress(self) -> bool:
        """Whether leadership is being transferred; proposals are rejected meanwhile."""
        return self.target != ""

    def begin(self, now: float, target: str) -> None:
        """Begin a transfer, which is abandoned after an election timeout."""
        self.target = target
        self.deadline = now + self.replica.config.election_timeout_s

    def reset(self) -> None:
        """Abandon the transfer, if there is one."""
        self.target = ""
        self.deadline = math.inf

    def tick(self, now: float) -> None:
        """Abandon the transfer once its deadline has passed."""
        if now >= self.deadline:
            self.reset()

    def choose_target(self, progress: Mapping[str, Progress], requested: str) -> str | None:
        """Return the requested voter, or the most up-to-date one if `requested` is empty; None if there is none."""
        others = self.replica.other_voters
        if not others or (requested and requested not in others):
            return None
        return requested or max(
            others, key=lambda other: (progress[other].match_index, progress[other].last_contact_at)
        )

    def notify_if_caught_up(self, progress: Mapping[str, Progress]) -> None:
        """Tell the target to start an election once it has the whole log."""
        if self.in_progress and progress[self.target].match_index == self.replica.log.last_index:
            self.replica.send(self.target, TimeoutNow(self.replica.term, self.replica.name))
