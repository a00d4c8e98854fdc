"""The choice of the voter to which a broker sends its requests.

That is the leader, if it is known. Otherwise it is a voter chosen at random, and another one if that voter does not
reply. Safety does not depend on this choice: a voter that does not lead grants and renews nothing.
"""

from __future__ import annotations

import random

MAX_MISSED_REPLIES = 2  # after so many consecutive requests without a reply another voter is chosen


class VoterSelection:
    """One broker's choice of a voter.

    voters: the names to choose from. rng: that of the `LeaseHolder`, so that both draw from one sequence.
    """

    def __init__(self, voters: tuple[str, ...], rng: random.Random) -> None:
        self.voters = voters
        self.leader = ""  # as last reported by a voter; empty while no leader is known
        self.missed_replies = 0  # consecutive requests without a reply, including the latest request
        self._rng = rng
        self.current = rng.choice(voters)

    def next_voter(self) -> str:
        """Returns the voter to send the next request to."""
        if self.missed_replies >= MAX_MISSED_REPLIES:
            self.choose_another()
        return self.current

    def request_sent(self) -> None:
        """Records that a request was sent to the current voter."""
        self.missed_replies += 1

    def reply_received(self) -> None:
        """Records that a voter replied to one of the requests."""
        self.missed_replies = 0

    def follow(self, leader: str) -> None:
        """Selects this voter as the leader."""
        self.leader = leader
        self.current = leader

    def is_redirect(self, leader: str) -> bool:
        """Returns whether a leader that a voter has named is a known voter other than the selected one."""
        return leader in self.voters and leader != self.current

    def choose_another(self) -> None:
        """Discards the known leader and selects another voter at random."""
        self.leader = ""
        self.missed_replies = 0
        others = [voter for voter in self.voters if voter != self.current]
        self.current = self._rng.choice(others or list(self.voters))
