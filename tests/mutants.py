"""Defects that the checks must catch, each by its name: what `tests/simvoters.py` and its like are worth."""

from badgerbend.consensus import messages as voting
from badgerbend.consensus.raft import Raft, ReadConfirmed, Role
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.manager import LeaseManager
from badgerbend.leases.table import LeaseTable
from badgerbend.leases.voter import Voter
from tests.simvoters import Chaos


class CountsTwice(Raft):
    def _vote_for_me(self, now, name):
        if not self.votes:
            self.heard = []
        self.votes.add(name)
        self.heard.append(name)
        if 2 * len(self.heard) > len(self.voters):
            self._stand(now) if self.role is Role.PRE_CANDIDATE else self._lead(now)


class VotesBeforeTheDisk(Raft):
    def _send(self, to, message, after):
        super()._send(to, message, 0 if isinstance(message, voting.RequestVoteReply) else after)


class AcknowledgesBeforeTheDisk(Raft):
    def _send(self, to, message, after):
        super()._send(to, message, 0 if isinstance(message, voting.AppendEntriesReply) else after)


class CountsOwnBeforeTheDisk(Raft):
    def _advance(self, now):
        kept, self.disk.durable = self.disk.durable, self.log.last_index
        super()._advance(now)
        self.disk.durable = kept


class CommitsAnEarlierTerm(Raft):
    def _countable(self, index):
        return True


class TakesAnyLog(Raft):
    """Votes for a candidate that has less than itself."""

    def _asked(self, now, m):
        super()._asked(now, voting.RequestVote(m.term, m.source, 1 << 40, 1 << 40, m.pre_vote, m.leadership_transfer))


class ReadsWithoutARound(Raft):
    def read_index(self, now, token):
        if self.is_established_leader:
            self.events.append(ReadConfirmed(token))
        return self.is_established_leader


class HoldsTheWholeLease(LeaseHolder):
    def _lease_length(self):
        return self.timing.lease_duration_s


class CountsFromTheAnswer(LeaseHolder):
    def receive_reply(self, now, reply):
        if reply.seq in self._sent_at:
            self._sent_at[reply.seq] = now
        super().receive_reply(now, reply)


class NoticesNoStall(LeaseHolder):
    """Acts by the time of its last look at the clock."""

    def _check_stall(self, now):
        pass

    def tick(self, now):
        super().tick(now)
        self._last_run_at = now

    def may_act(self, now, duty):
        return super().may_act(self._last_run_at, duty)


class TakesBackWhatItGave(LeaseHolder):
    def _apply_lease_state(self, now, state, sent_at):
        if state.duty in self.duties:
            self.duties[state.duty].returned_epoch = 0
        super()._apply_lease_state(now, state, sent_at)


class WaitsForNobody(LeaseManager):
    """A new leader ends leases as if it had renewed none, though the last one did."""

    def become_leader(self, now):
        super().become_leader(now)
        for clock in self.lease_clocks.values():
            clock.expires_at = now


class WaitsNoLonger(LeaseManager):
    def _lease_length(self):
        return self.timing.lease_duration_s


class RenewsWhatEnds(LeaseManager):
    def renew(self, received_at, request):
        for clock in self.lease_clocks.values():
            clock.is_releasing = False
        return super().renew(received_at, request)


class LosesALease(LeaseTable):
    def dump(self):
        gone = LeaseTable()
        gone.leases, gone.facts = dict(list(self.leases.items())[:-1]), self.facts
        return LeaseTable.dump(gone)


class AdmitsAll(FencingGuard):
    def admits(self, duty, epoch):
        return True


def voter(raft=Raft, manager=LeaseManager):
    return type("Mutant", (Voter,), {"raft_class": raft, "manager_class": manager})


DRIFT = Chaos(rate=0.1, rate_claimed=0.1)
FIVE = Chaos(voters=5, brokers=2, duplicates=0.3, loss=0.15, every_s=0.3)
DISKS = Chaos(sync=(0.01, 0.3), slow_sync=0.2, every_s=0.25, brokers=2)
NETS = Chaos(voters=5, brokers=2, loss=0.2, late=0.2, every_s=0.25)
STALLS = Chaos(every_s=0.25, troubles=("stall", "cut", "oneway"))
LATE = Chaos(late=0.4, late_s=0.6, every_s=0.3, troubles=("fail", "fail", "fail", "stall"))

# name: what replaces the product's classes, the chaos in which it shows, and a seed that shows it
MUTANTS = {
    "a vote counted twice": ({"voter": voter(CountsTwice)}, FIVE, 37),
    "entries not synced": ({"voter": voter(AcknowledgesBeforeTheDisk)}, DISKS, 19),
    "own entries not synced": ({"voter": voter(CountsOwnBeforeTheDisk)}, DISKS, 102),
    "a vote for a shorter log": ({"voter": voter(TakesAnyLog)}, NETS, 5),
    "a lease not shortened by drift": (
        {"holder": HoldsTheWholeLease, "voter": voter(manager=WaitsNoLonger)},
        DRIFT,
        23,
    ),
    "a lease counted from its answer": ({"holder": CountsFromTheAnswer}, Chaos(late=0.2, every_s=0.3), 104),
    "a stall not noticed": ({"holder": NoticesNoStall}, STALLS, 2),
    "a lease taken back after it was given": ({"holder": TakesBackWhatItGave}, LATE, 73),
    "a new leader that does not wait": ({"voter": voter(manager=WaitsForNobody)}, Chaos(every_s=0.4), 101),
    "a lease renewed while it ends": ({"voter": voter(manager=RenewsWhatEnds)}, STALLS, 24),
    "an epoch not checked": ({"fence": AdmitsAll}, Chaos(), 1),
}
