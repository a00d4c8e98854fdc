"""Transfer of leadership: the leader stops proposing and lets one follower stand at once (Ongaro 2014, 3.10)."""

from __future__ import annotations

import math
from collections.abc import Mapping

from badgerbend.consensus.messages import TimeoutNow
from badgerbend.consensus.progress import Progress
from badgerbend.consensus.replica import Replica


class LeadershipTransfer:
    """A transfer that the leader has begun.

    target: the follower that is to lead, or an empty text. deadline: when the transfer is given up, in seconds.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.target = ""
        self.deadline = math.inf

    @property
    def in_progress(self) -> bool:
        """Whether leadership is being transferred, so that proposals are rejected."""
        return self.target != ""

    def begin(self, now: float, target: str) -> None:
        """Begin a transfer, which is given up after an election timeout."""
        self.target = target
        self.deadline = now + self.replica.config.election_timeout_s

    def reset(self) -> None:
        """Give up a transfer."""
        self.target = ""
        self.deadline = math.inf

    def tick(self, now: float) -> None:
        """Give the transfer up once its time has passed."""
        if now >= self.deadline:
            self.reset()

    def choose_target(self, progress: Mapping[str, Progress], wanted: str) -> str | None:
        """Return the voter that is to lead: the one that is wanted, or the most advanced; None where there is none."""
        others = self.replica.other_voters
        if not others or (wanted and wanted not in others):
            return None
        return wanted or max(others, key=lambda other: (progress[other].match_index, progress[other].last_contact_at))

    def notify_if_caught_up(self, progress: Mapping[str, Progress]) -> None:
        """Tell the target to stand once it has the whole log."""
        if self.in_progress and progress[self.target].match_index == self.replica.log.last_index:
            self.replica.send(self.target, TimeoutNow(self.replica.term, self.replica.name))
