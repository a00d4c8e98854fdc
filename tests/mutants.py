"""Defects that the simulations and the model checker must detect, as replacements of the product's classes."""

import msgspec

from badgerbend.consensus import messages
from badgerbend.consensus.election import Election
from badgerbend.consensus.raft import Raft, ReadConfirmed, Role
from badgerbend.consensus.replication import Replication
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.manager import LeaseManager
from badgerbend.leases.table import LeaseTable
from badgerbend.leases.voter import Voter
from tests.simvoters import Chaos


class CountsVotesTwice(Election):
    """Counts a vote that is delivered twice as two votes."""

    def count_vote(self, now, voter):
        if not self.votes:
            self.counted = []
        self.votes.add(voter)
        self.counted.append(voter)
        if 2 * len(self.counted) <= len(self.replica.voters):
            return False
        if self.replica.role is Role.PRE_CANDIDATE:
            self.campaign(now)
            return False
        return True


class VotesBeforePersisting(Raft):
    """Sends a vote before the vote is on disk."""

    def send(self, to, message, after=0):
        super().send(to, message, 0 if isinstance(message, messages.RequestVoteReply) else after)


class AcknowledgesBeforePersisting(Raft):
    """Acknowledges entries before they are on disk."""

    def send(self, to, message, after=0):
        super().send(to, message, 0 if isinstance(message, messages.AppendEntriesReply) else after)


class CountsUnpersistedEntries(Replication):
    """Counts the leader's own entries before they are on disk."""

    def committable_index(self):
        durability = self.replica.durability
        persisted_index = durability.persisted_index
        durability.persisted_index = self.replica.log.last_index
        index = super().committable_index()
        durability.persisted_index = persisted_index
        return index


class CountsEntriesOfEarlierTerms(Replication):
    """Commits an entry of an earlier term once a majority has it."""

    def may_commit(self, index):
        return True


class CommitsEntriesOfEarlierTerms(Raft):
    """A voter whose replication counts entries of earlier terms."""

    replication_class = CountsEntriesOfEarlierTerms


class VotesForShorterLogs(Election):
    """Votes for a candidate whose log is behind its own."""

    def handle_request(self, now, request):
        super().handle_request(now, msgspec.structs.replace(request, last_index=1 << 40, last_term=1 << 40))


class ConfirmsReadsWithoutHeartbeats(Raft):
    """Confirms a read at once, without a round of heartbeats."""

    def read_index(self, now, token):
        if self.is_established_leader:
            self.events.append(ReadConfirmed(token))
        return self.is_established_leader


class HolderIgnoresClockDrift(LeaseHolder):
    """Uses a lease for its full duration, as if its clock had no drift."""

    def _lease_length(self):
        return self.timing.lease_duration_s


class CountsFromTheReply(LeaseHolder):
    """Counts a lease from the arrival of the reply, not from the sending of the request."""

    def receive_reply(self, now, reply):
        if reply.seq in self._sent_at:
            self._sent_at[reply.seq] = now
        super().receive_reply(now, reply)


class IgnoresStalls(LeaseHolder):
    """Decides whether it may act by the time of its last tick instead of the current time."""

    def _check_stall(self, now):
        pass

    def tick(self, now):
        super().tick(now)
        self._last_run_at = now

    def may_act(self, now, duty):
        return super().may_act(self._last_run_at, duty)


class AcceptsReturnedLeases(LeaseHolder):
    """Accepts a lease that it has already returned."""

    def _apply_lease_state(self, now, state, sent_at):
        if state.duty in self.duties:
            self.duties[state.duty].returned_epoch = 0
        super()._apply_lease_state(now, state, sent_at)


class NewLeaderDoesNotWait(LeaseManager):
    """Expires all leases when it becomes leader, although the previous leader may have renewed them."""

    def become_leader(self, now):
        super().become_leader(now)
        for clock in self.lease_clocks.values():
            clock.expires_at = now


class LeaderIgnoresClockDrift(LeaseManager):
    """Expires a lease after its nominal duration, as if its clock had no drift."""

    def _lease_length(self):
        return self.timing.lease_duration_s


class RenewsReleasedLeases(LeaseManager):
    """Renews a lease although the command that releases it is in flight."""

    def renew(self, received_at, request):
        for clock in self.lease_clocks.values():
            clock.is_releasing = False
        return super().renew(received_at, request)


class LosesALease(LeaseTable):
    """Omits one lease from its snapshots."""

    def dump(self):
        incomplete = LeaseTable()
        incomplete.leases = dict(list(self.leases.items())[:-1])
        incomplete.values = self.values
        return LeaseTable.dump(incomplete)


class AdmitsAnyEpoch(FencingGuard):
    """Admits acts of any epoch."""

    def admits(self, duty, epoch):
        return True


def raft(election=Election, replication=Replication):
    return type("Mutant", (Raft,), {"election_class": election, "replication_class": replication})


def voter(raft=Raft, manager=LeaseManager):
    return type("Mutant", (Voter,), {"raft_class": raft, "manager_class": manager})


DRIFT = Chaos(clock_drift=0.1, claimed_clock_drift=0.1)
FIVE = Chaos(voters=5, brokers=2, duplicates=0.3, loss=0.15, fault_interval_s=0.3)
DISKS = Chaos(sync=(0.01, 0.3), slow_sync=0.2, fault_interval_s=0.25, brokers=2)
NETS = Chaos(voters=5, brokers=2, loss=0.2, late=0.2, fault_interval_s=0.25)
STALLS = Chaos(fault_interval_s=0.25, faults=("stall", "cut", "cut one way"))
LATE = Chaos(late=0.4, late_s=0.6, fault_interval_s=0.3, faults=("fail", "fail", "fail", "stall"))

# name: (the replacements of the product's classes, the faults under which the defect shows, a seed that shows it)
MUTANTS = {
    "a vote counted twice": ({"voter": voter(raft(election=CountsVotesTwice))}, FIVE, 37),
    "entries not synced": ({"voter": voter(AcknowledgesBeforePersisting)}, DISKS, 19),
    "own entries not synced": ({"voter": voter(raft(replication=CountsUnpersistedEntries))}, DISKS, 102),
    "a vote for a shorter log": ({"voter": voter(raft(election=VotesForShorterLogs))}, NETS, 5),
    "a lease not shortened by drift": (
        {"holder": HolderIgnoresClockDrift, "voter": voter(manager=LeaderIgnoresClockDrift)},
        DRIFT,
        23,
    ),
    "a lease counted from its reply": ({"holder": CountsFromTheReply}, Chaos(late=0.2, fault_interval_s=0.3), 104),
    "a stall not noticed": ({"holder": IgnoresStalls}, STALLS, 2),
    "a returned lease accepted again": ({"holder": AcceptsReturnedLeases}, LATE, 73),
    "a new leader that does not wait": (
        {"voter": voter(manager=NewLeaderDoesNotWait)},
        Chaos(fault_interval_s=0.4),
        101,
    ),
    "a lease renewed while it ends": ({"voter": voter(manager=RenewsReleasedLeases)}, STALLS, 24),
    "an epoch not checked": ({"guard": AdmitsAnyEpoch}, Chaos(), 1),
}
