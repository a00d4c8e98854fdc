"""Defects planted in the feed that the checker must find, by name: they show what `tests/simfeed.py` can detect."""

from dataclasses import dataclass

from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import Install
from badgerbend.feed.machine import FeedStateMachine
from badgerbend.feed.messages import Change, Checkpoint, Publication, decode_changes, signed_bytes
from badgerbend.feed.publisher import Publisher
from badgerbend.feed.relay import Relay
from badgerbend.feed.replica import Replica
from badgerbend.feed.snapshot import SnapshotAssembly, _decompress
from badgerbend.feed.snapshot_transfers import SnapshotTransfers
from badgerbend.feed.staleness import StalenessTracker
from badgerbend.leases.voter import Voter
from tests.simfeed_settings import Chaos, Implementations

# -- followers


def follower_with(replica):
    """A follower whose replica has a defect."""
    return type("DefectiveFollower", (Follower,), {"replica_type": replica})


class AppliesBeforeTheDigests(Follower):
    """Installs a signed publication's changes before it checks their digests."""

    def _apply_publication(self, publication):
        replica = self.replica
        if replica.assembly is None and publication.checkpoint.revision == self.log.revision + 1:
            replica._verify(publication.checkpoint)
            self._actions.append(Install(publication.checkpoint.revision, publication.changes))
        super()._apply_publication(publication)


class ChecksNoSignature(Replica):
    def _verify(self, checkpoint):
        pass


class ChecksNoDigestOfASnapshot(Replica):
    def add_snapshot_piece(self, message):
        assembly = self.assembly
        if assembly is None:
            return None
        assembly.add(message)
        if not assembly.complete:
            return None
        checkpoint = assembly.checkpoint
        digest = assembly.content.digest()
        false = Checkpoint(
            checkpoint.epoch, checkpoint.revision, digest, checkpoint.changes_digest, checkpoint.signature
        )
        changes = self.log.content.changes_to(assembly.content)
        self.log.install_snapshot(assembly.content, false)
        self.assembly = None
        return changes


class TakesAnOlderSnapshot(Replica):
    def _can_be_replaced_by(self, checkpoint):
        return True


class TakesAnOlderPublication(Replica):
    """Applies a replayed publication's changes once more."""

    def apply_publication(self, publication):
        if self.assembly is None and publication.checkpoint.revision <= self.log.revision:
            self._verify(publication.checkpoint)
            self.log.content.apply(publication.changes)
            return publication.changes
        return super().apply_publication(publication)


class KeepsHalfASnapshot(Replica):
    """Applies the pieces of an incomplete snapshot when the connection ends."""

    def discard_assembly(self):
        half = self.assembly
        super().discard_assembly()
        if half is not None and half._next:
            self.log.content.apply([Change(key, value) for key, value in half.content.items()])


class LoadsInPlace(Follower):
    """Installs each piece of a snapshot as it arrives."""

    def _add_snapshot_piece(self, message):
        assembly = self.replica.assembly
        if assembly is not None and message.index == assembly._next:
            changes = decode_changes(_decompress(message.compressed))
            self._actions.append(Install(assembly.checkpoint.revision, changes))
        super()._add_snapshot_piece(message)


class _UnorderedAssembly(SnapshotAssembly):
    def add(self, piece):
        self.content.apply(decode_changes(_decompress(piece.compressed)))
        self._next += 1


class ChecksNoOrderOfPieces(ChecksNoDigestOfASnapshot):
    """Counts pieces only, and trusts that they are the signed ones."""

    def begin_snapshot(self, message):
        changes = super().begin_snapshot(message)
        self.assembly = _UnorderedAssembly(message)
        return changes


class InstallsNoRemovals(Follower):
    def _install(self, changes):
        super()._install(tuple(change for change in changes if change.value is not None))


class TakesAgeOfAnyRelay(StalenessTracker):
    """Counts the age of a relay that announces a newer revision, or holds an older one."""

    def record_relay_age(self, now, message):
        self._as_of = max(self._as_of, now - message.age_ms / 1000.0)
        return super().record_relay_age(now, message)


class TakesAgeOfARelayBehind(Follower):
    staleness_type = TakesAgeOfAnyRelay


class ReportsDigestOfCheckpoint(Follower):
    """Reports the digest of its checkpoint, whatever its content is."""

    def connected(self, now, attempt):
        replica = self.replica
        damaged, replica.is_damaged = replica.is_damaged, False
        content, self.log.content = self.log.content, _ClaimsIntegrity(self.log)
        super().connected(now, attempt)
        self.log.content, replica.is_damaged = content, damaged


class _ClaimsIntegrity:
    def __init__(self, log):
        self.checkpoint = log.checkpoint

    def digest(self):
        return self.checkpoint.content_digest


class ForgetsTheFirstOfTwo(Follower):
    """Installs a batch without what came after its first change of a key."""

    def _install(self, changes):
        first = {}
        for change in changes:
            first.setdefault(change.key, change)
        super()._install(tuple(first.values()))


# -- relays


class SkipsOnCatchUp(Relay):
    """Skips the first publication for a follower that is more than one behind."""

    def catch_up(self, now, session):
        if self.log.oldest_revision <= session.position < self.log.revision - 1:
            session.position += 1
        super().catch_up(now, session)


class GoesOnAfterCompaction(Relay):
    """Sends the oldest retained publication to a follower behind it, in place of a snapshot."""

    def catch_up(self, now, session):
        if session.position < self.log.oldest_revision:
            session.position, session.digest = self.log.oldest_revision, None
        super().catch_up(now, session)


class ComparesNoDigests(Relay):
    def _has_same_history(self, session):
        session.digest = None
        return True


class AgeOfItsOwn(Relay):
    """Claims to be up to date whatever was confirmed."""

    def age_s(self, now):
        return 0.0


class SendsPastTheWindow(Relay):
    def send_frame(self, now, session, data):
        super().send_frame(now, session, data)
        session.in_flight = 0


class UnlimitedTransfers(SnapshotTransfers):
    def run(self, now):
        while self._queue:
            self._begin(self._queue.popleft())
        super().run(now)


class BeginsEverySnapshot(Relay):
    transfers_type = UnlimitedTransfers


# -- voters


class ChecksNoEpoch(FeedStateMachine):
    def is_current_epoch(self, epoch):
        return True


class TakesARevisionAgain(FeedStateMachine):
    """Publishes a repeated revision once more, as the next."""

    def _publish(self, part, data):
        before = self.log.revision
        super()._publish(part, data)
        if self.log.revision == before and self._pending_key.revision == before:
            publication = self.log._retained[-1] if self.log._retained else None
            if publication is not None:
                checkpoint = self.log.checkpoint
                self.log.checkpoint = Checkpoint(
                    checkpoint.epoch,
                    checkpoint.revision + 1,
                    checkpoint.content_digest,
                    checkpoint.changes_digest,
                    checkpoint.signature,
                )
                self.log._retain(Publication(self.log.checkpoint, ()))
                self.on_log_change()


class ConfirmsWithoutTheLog(Voter):
    """Counts any word of its leader, also while it lacks what the leader had committed."""

    def _confirm_by_leader(self, now, message):
        self.confirmed_at = max(self.confirmed_at, now)


class ConfirmsByANewLeader(Voter):
    """Counts the word of a leader that has committed nothing of its own term."""

    def _confirm_by_leader(self, now, message):
        if self.raft.leader == message.source and self.raft.last_applied >= message.commit_index:
            self.confirmed_at = max(self.confirmed_at, now)


class ConfirmsAlways(Voter):
    """Takes itself for confirmed as long as it runs."""

    def tick(self, now):
        super().tick(now)
        self.confirmed_at = now


# -- publishers


class SignsOnAnotherBase(Publisher):
    """Signs what a batch leads to from an empty content."""

    def _propose_next(self, now):
        before = self._in_flight
        super()._propose_next(now)
        flying = self._in_flight
        if flying is not None and flying is not before and self.log.revision % 5 == 4:
            old = flying.checkpoint
            content = type(self.log.content)().digest_after(flying.changes)
            signature = self.signer.sign(signed_bytes(old.epoch, old.revision, content, old.changes_digest))
            self._in_flight = Publication(
                Checkpoint(old.epoch, old.revision, content, old.changes_digest, signature), flying.changes
            )
            self._commands.clear()
            self._propose(now, self._in_flight)


class TakesAnyGrowthForItsOwn(Publisher):
    """Drops a batch when the log has reached its revision, whosever publication that is."""

    def log_advanced(self, now):
        if self._in_flight is not None and self.log.revision >= self._in_flight.checkpoint.revision:
            self._in_flight, self._retry_at = None, float("inf")
            self._propose_next(now)


@dataclass(frozen=True)
class Mutant:
    """A defect: classes in the place of the product's, the chaos in which it shows, and a seed that shows it."""

    kinds: Implementations
    seed: int = 0
    chaos: Chaos = Chaos()


LIES = Chaos(
    faults=("lying relay", "lying relay", "lying relay", "broken connections", "broken connections", "zone restart"),
    fault_interval_s=0.7,
)
CUTS = Chaos(
    faults=("partitioned region", "partitioned control", "burst of changes"), fault_interval_s=2.0, partition_s=(20.0,)
)
ZONES = Chaos(faults=("zone restart", "broken connections"), fault_interval_s=1.0)
DAMAGE = Chaos(
    faults=("damaged replica", "damaged replica", "broken connections", "burst of changes"), fault_interval_s=0.8
)
STOPS = Chaos(faults=("suspended followers", "burst of changes", "broken connections"), fault_interval_s=0.4)
LEASES = Chaos(
    faults=("lease release", "leadership transfer", "crash leader", "suspended relay", "burst of changes"),
    late=0.2,
    late_s=3.0,
    fault_interval_s=0.6,
)

STALLS = Chaos(
    faults=("suspended relay", "suspended relay", "partitioned control"),
    late=0.3,
    late_s=2.0,
    fault_interval_s=0.2,
    max_suspension_s=0.9,
)

MUTANTS = {
    "changes in force before their digest is checked": Mutant(
        Implementations(follower=AppliesBeforeTheDigests), 1, LIES
    ),
    "a signature not checked": Mutant(Implementations(follower=follower_with(ChecksNoSignature)), 0, LIES),
    "a snapshot's digest not checked": Mutant(
        Implementations(follower=follower_with(ChecksNoDigestOfASnapshot)), 1, LIES
    ),
    "an older snapshot taken": Mutant(Implementations(follower=follower_with(TakesAnOlderSnapshot)), 2, LIES),
    "an older publication taken": Mutant(Implementations(follower=follower_with(TakesAnOlderPublication)), 0, LIES),
    "half a snapshot kept": Mutant(Implementations(follower=follower_with(KeepsHalfASnapshot)), 0, ZONES),
    "a snapshot put in force piece by piece": Mutant(Implementations(follower=LoadsInPlace), 0, ZONES),
    "the order of pieces not checked": Mutant(Implementations(follower=follower_with(ChecksNoOrderOfPieces)), 3, LIES),
    "removals not installed": Mutant(Implementations(follower=InstallsNoRemovals)),
    "the age of a relay behind": Mutant(Implementations(follower=TakesAgeOfARelayBehind), 0, CUTS),
    "the first of two changes of a key": Mutant(Implementations(follower=ForgetsTheFirstOfTwo)),
    "a publication skipped on catch-up": Mutant(Implementations(relay=SkipsOnCatchUp)),
    "the wrong place after compaction": Mutant(Implementations(relay=GoesOnAfterCompaction), 1, STOPS),
    "digests not compared on resumption": Mutant(
        Implementations(relay=ComparesNoDigests, follower=ReportsDigestOfCheckpoint), 0, DAMAGE
    ),
    "an age whatever was confirmed": Mutant(Implementations(relay=AgeOfItsOwn), 0, CUTS),
    "a window not kept": Mutant(Implementations(relay=SendsPastTheWindow), 0, STOPS),
    "snapshots without number": Mutant(Implementations(relay=BeginsEverySnapshot), 0, ZONES),
    "an epoch not checked": Mutant(Implementations(machine=ChecksNoEpoch), 7, LEASES),
    "a repeated revision taken": Mutant(Implementations(machine=TakesARevisionAgain), 4, LEASES),
    "confirmed without the log": Mutant(Implementations(voter=ConfirmsWithoutTheLog), 0, LEASES),
    "confirmed by a leader that knows less": Mutant(Implementations(voter=ConfirmsByANewLeader), 1),
    "confirmed though cut off": Mutant(Implementations(voter=ConfirmsAlways), 0, CUTS),
    "signed on another base": Mutant(Implementations(publisher=SignsOnAnotherBase), 2),
    "any growth taken for its own": Mutant(Implementations(publisher=TakesAnyGrowthForItsOwn), 296, STALLS),
}
