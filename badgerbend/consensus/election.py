"""Elections: when a voter stands, whom it votes for, and the votes that it counts.

With pre-vote (Ongaro 2014, 9.6): a voter enters a new term only once a majority would vote for it, so that one that
was cut off does not depose a leader when it returns.
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
    """A candidate's vote for itself in a term, which counts once the record with this number is persisted."""

    sequence: int
    term: int


class Election:
    """A voter's side of elections, as candidate and as voter.

    deadline: when this voter stands unless it hears from a leader. votes: who voted for it in the running election.
    leader_contact_at: when a leader was last heard.
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
        """Wait for one to two election timeouts from now on, by chance, so that few stand at the same time."""
        self.deadline = now + self.replica.config.election_timeout_s * self.rng.uniform(1.0, 2.0)

    def note_leader_contact(self, now: float) -> None:
        """Note that the current leader has sent something."""
        self.leader_contact_at = now
        self.reset_deadline(now)

    def tick(self, now: float) -> None:
        """Start an election where no leader was heard for too long."""
        if now < self.deadline:
            return
        self.reset_deadline(now)
        if self.replica.name in self.replica.voters:
            self._start_pre_vote(now)

    def campaign(self, now: float, *, leadership_transfer: bool = False) -> None:
        """Stand in a new term. The vote for itself counts once it is persisted."""
        replica = self.replica
        self._become(Role.CANDIDATE)
        sequence = replica.enter_next_term_as_candidate()
        self._own_vote = OwnVote(sequence, replica.term)
        self.reset_deadline(now)
        request = self._request(replica.term, pre_vote=False, leadership_transfer=leadership_transfer)
        for voter in replica.other_voters:
            replica.send_once_persisted(voter, request)

    def persisted(self, now: float) -> bool:
        """Count the vote for itself once it is persisted; return whether the election is won."""
        own_vote = self._own_vote
        if own_vote is None or own_vote.sequence > self.replica.durability.persisted_sequence:
            return False
        self._own_vote = None
        if self.replica.role is not Role.CANDIDATE or self.replica.term != own_vote.term:
            return False
        return self.count_vote(now, self.replica.name)

    def handle_reply(self, now: float, reply: RequestVoteReply) -> bool:
        """Count a voter's answer; return whether the election is won."""
        replica = self.replica
        asking_role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        asked_term = replica.term + 1 if reply.pre_vote else replica.term
        if not reply.granted or replica.role is not asking_role or reply.term != asked_term:
            return False
        return self.count_vote(now, reply.source)

    def count_vote(self, now: float, voter: str) -> bool:
        """Count a vote; return whether the election is won. A pre-vote that is won leads on to the election."""
        self.votes.add(voter)
        if not is_majority(self.votes, self.replica.voters):
            return False
        if self.replica.role is Role.PRE_CANDIDATE:
            self.campaign(now)
            return False
        return True

    def disregards(self, now: float, request: RequestVote) -> bool:
        """Whether a request gets no answer, since there is a leader.

        So a voter that was cut off or removed does not disturb the others.
        """
        if request.leadership_transfer:
            return False
        has_leader = now - self.leader_contact_at < self.replica.config.election_timeout_s
        return self.replica.is_leader or has_leader

    def reject(self, request: RequestVote) -> None:
        """Answer a request of an earlier term."""
        self._answer(request, self.replica.term, granted=False)

    def answer(self, now: float, request: RequestVote) -> None:
        """Answer a request of this term, or of a later one if it is a pre-vote."""
        replica = self.replica
        up_to_date = (request.last_term, request.last_index) >= (replica.log.last_term, replica.log.last_index)
        if request.pre_vote:
            granted = up_to_date and request.term > replica.term
            self._answer(request, request.term if granted else replica.term, granted=granted)
            return
        granted = up_to_date and replica.voted_for in ("", request.source)
        if granted and not replica.voted_for:
            replica.vote_for(request.source)
        if granted:
            self.reset_deadline(now)
        self._answer(request, replica.term, granted=granted)

    def _answer(self, request: RequestVote, term: int, *, granted: bool) -> None:
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
