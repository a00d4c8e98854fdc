"""Which voter a broker sends its requests to.

The leader of the voters as far as it is known; else a voter chosen at random, and another one once that does not
reply. Nothing of safety rests on this choice: a voter that does not lead grants and renews nothing.
"""

from __future__ import annotations

import random

MAX_MISSED_REPLIES = 2  # requests in a row without a reply, after which another voter is chosen


class VoterSelection:
    """The choice of one broker.

    voters: the names to choose from. rng: shared with the owner, whose draws keep their order.
    """

    def __init__(self, voters: tuple[str, ...], rng: random.Random) -> None:
        self.voters = voters
        self.leader = ""  # as last stated by a voter; empty while no leader is known
        self.missed_replies = 0  # requests in a row without a reply, the latest request included
        self._rng = rng
        self.current = rng.choice(voters)

    def next_voter(self) -> str:
        """The voter that the next request goes to."""
        if self.missed_replies >= MAX_MISSED_REPLIES:
            self.choose_another()
        return self.current

    def request_sent(self) -> None:
        """Notes that a request was sent to the current voter."""
        self.missed_replies += 1

    def reply_received(self) -> None:
        """Notes that a voter replied to one of the requests."""
        self.missed_replies = 0

    def follow(self, leader: str) -> None:
        """Sends requests to this voter from now on, which leads as far as is known."""
        self.leader = leader
        self.current = leader

    def is_redirect(self, leader: str) -> bool:
        """Whether a voter names a leader that requests do not go to yet."""
        return leader in self.voters and leader != self.current

    def choose_another(self) -> None:
        """Forgets the leader, and sends requests to another voter from now on."""
        self.leader = ""
        self.missed_replies = 0
        others = [voter for voter in self.voters if voter != self.current]
        self.current = self._rng.choice(others or list(self.voters))
