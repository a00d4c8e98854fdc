"""Elections: when a voter starts one, which candidate it votes for, and how it counts votes.

With pre-vote (Ongaro 2014, 9.6), a voter enters a new term only once a majority would vote for it. So a voter that
returns from a network partition does not depose a working leader.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from badgerbend.consensus.messages import RequestVote, RequestVoteReply
from badgerbend.consensus.quorum import is_majority
from badgerbend.consensus.replica import Replica
from badgerbend.consensus.types import Role


class OwnVote(NamedTuple):
    """A candidate's vote for itself in a term. It counts once the record with this sequence number is persisted."""

    sequence: int
    term: int


class Election:
    """A voter's side of elections, as candidate and as voter.

    deadline: when this voter starts an election unless it hears from a leader. votes: the voters that have voted for it
    in the current election. leader_contact_at: the time of the last message from a leader.
    """

    def __init__(self, replica: Replica, seed: int, now: float) -> None:
        self.replica = replica
        self.rng = random.Random(seed)
        self.votes: set[str] = set()
        self.leader_contact_at = -math.inf
        self._own_vote: OwnVote | None = None
        self.deadline = math.inf
        self.reset_deadline(now)

    def reset_deadline(self, now: float) -> None:
        """Wait for a random time of one to two election timeouts, so that voters rarely start elections together."""
        self.deadline = now + self.replica.config.election_timeout_s * self.rng.uniform(1.0, 2.0)

    def note_leader_contact(self, now: float) -> None:
        """Note that a message from the current leader has arrived."""
        self.leader_contact_at = now
        self.reset_deadline(now)

    def tick(self, now: float) -> None:
        """Start an election if no leader has been heard from before the deadline."""
        if now < self.deadline:
            return
        self.reset_deadline(now)
        if self.replica.name in self.replica.voters:
            self._start_pre_vote(now)

    def campaign(self, now: float, *, leadership_transfer: bool = False) -> None:
        """Become a candidate in a new term. The vote for itself counts once it is persisted."""
        replica = self.replica
        self._become(Role.CANDIDATE)
        sequence = replica.enter_next_term_as_candidate()
        self._own_vote = OwnVote(sequence, replica.term)
        self.reset_deadline(now)
        request = self._request(replica.term, pre_vote=False, leadership_transfer=leadership_transfer)
        for voter in replica.other_voters:
            replica.send_once_persisted(voter, request)

    def persisted(self, now: float) -> bool:
        """Count this voter's vote for itself if it is now persisted; return whether the election is won."""
        own_vote = self._own_vote
        if own_vote is None or own_vote.sequence > self.replica.durability.persisted_sequence:
            return False
        self._own_vote = None
        if self.replica.role is not Role.CANDIDATE or self.replica.term != own_vote.term:
            return False
        return self.count_vote(now, self.replica.name)

    def handle_reply(self, now: float, reply: RequestVoteReply) -> bool:
        """Count the vote in a reply, if it grants one; return whether the election is won."""
        replica = self.replica
        expected_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        expected_term = replica.term + 1 if reply.pre_vote else replica.term
        if not reply.granted or replica.role is not expected_role or reply.term != expected_term:
            return False
        return self.count_vote(now, reply.source)

    def count_vote(self, now: float, voter: str) -> bool:
        """Count a vote; return whether the election is won. Winning a pre-vote starts the election itself."""
        self.votes.add(voter)
        if not is_majority(self.votes, self.replica.voters):
            return False
        if self.replica.role is Role.PRE_CANDIDATE:
            self.campaign(now)
            return False
        return True

    def ignores(self, now: float, request: RequestVote) -> bool:
        """Whether a request gets no reply because there is a leader.

        This keeps a voter that was partitioned or removed from disturbing the others. Requests that follow a leadership
        transfer are always handled.
        """
        if request.leadership_transfer:
            return False
        has_leader = now - self.leader_contact_at < self.replica.config.election_timeout_s
        return self.replica.is_leader or has_leader

    def reject(self, request: RequestVote) -> None:
        """Reply to a request of an earlier term."""
        self._reply(request, self.replica.term, granted=False)

    def handle_request(self, now: float, request: RequestVote) -> None:
        """Reply to a request of this term, or to a pre-vote request of any later term."""
        replica = self.replica
        up_to_date = (request.last_term, request.last_index) >= (replica.log.last_term, replica.log.last_index)
        if request.pre_vote:
            granted = up_to_date and request.term > replica.term
            self._reply(request, request.term if granted else replica.term, granted=granted)
            return
        granted = up_to_date and replica.voted_for in ("", request.source)
        if granted and not replica.voted_for:
            replica.vote_for(request.source)
        if granted:
            self.reset_deadline(now)
        self._reply(request, replica.term, granted=granted)

    def _reply(self, request: RequestVote, term: int, *, granted: bool) -> None:
        reply = RequestVoteReply(
            term=term,
            source=self.replica.name,
            pre_vote=request.pre_vote,
            granted=granted,
        )
        self.replica.send_once_persisted(request.source, reply)

    def _become(self, role: Role) -> None:
        self.replica.role = role
        self.replica.leader = ""
        self.votes = set()

    def _start_pre_vote(self, now: float) -> None:
        replica = self.replica
        self._become(Role.PRE_CANDIDATE)
        request = self._request(replica.term + 1, pre_vote=True)
        for voter in replica.other_voters:
            replica.send(voter, request)
        self.count_vote(now, replica.name)

    def _request(self, term: int, *, pre_vote: bool, leadership_transfer: bool = False) -> RequestVote:
        log = self.replica.log
        return RequestVote(
            term=term,
            source=self.replica.name,
            last_index=log.last_index,
            last_term=log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=leadership_transfer,
        )
