"""Defects planted in the feed that the simulation must find, by name: they show what `tests/simfeed.py` detects."""

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
    """Return a follower class whose replica has a defect."""
    return type("DefectiveFollower", (Follower,), {"replica_type": replica})


class InstallsBeforeDigestCheck(Follower):
    """Installs a signed publication's changes before it checks their digests."""

    def _apply_publication(self, publication):
        replica = self.replica
        if replica.assembly is None and publication.checkpoint.revision == self.log.revision + 1:
            replica._verify(publication.checkpoint)
            self._actions.append(Install(publication.checkpoint.revision, publication.changes))
        super()._apply_publication(publication)


class SkipsSignatureCheck(Replica):
    """Accepts publications and snapshots without a valid signature."""

    def _verify(self, checkpoint):
        pass


class SkipsSnapshotDigestCheck(Replica):
    """Installs a snapshot whose content differs from the signed digest."""

    def add_snapshot_piece(self, message):
        assembly = self.assembly
        if assembly is None:
            return None
        assembly.add(message)
        if not assembly.complete:
            return None
        checkpoint = assembly.checkpoint
        digest = assembly.content.digest()
        forged_checkpoint = Checkpoint(
            checkpoint.epoch, checkpoint.revision, digest, checkpoint.changes_digest, checkpoint.signature
        )
        changes = self.log.content.changes_to(assembly.content)
        self.log.install_snapshot(assembly.content, forged_checkpoint)
        self.assembly = None
        return changes


class AcceptsOlderSnapshot(Replica):
    """Replaces its content by a snapshot of an older revision."""

    def _can_be_replaced_by(self, checkpoint):
        return True


class AppliesOlderPublication(Replica):
    """Applies the changes of a replayed publication again."""

    def apply_publication(self, publication):
        if self.assembly is None and publication.checkpoint.revision <= self.log.revision:
            self._verify(publication.checkpoint)
            self.log.content.apply(publication.changes)
            return publication.changes
        return super().apply_publication(publication)


class AppliesIncompleteSnapshot(Replica):
    """Applies the received pieces of an incomplete snapshot when the connection ends."""

    def discard_assembly(self):
        incomplete = self.assembly
        super().discard_assembly()
        if incomplete is not None and incomplete._next_index:
            self.log.content.apply([Change(key, value) for key, value in incomplete.content.items()])


class InstallsPiecesSeparately(Follower):
    """Installs each piece of a snapshot as it arrives."""

    def _add_snapshot_piece(self, message):
        assembly = self.replica.assembly
        if assembly is not None and message.index == assembly._next_index:
            changes = decode_changes(_decompress(message.compressed))
            self._actions.append(Install(assembly.checkpoint.revision, changes))
        super()._add_snapshot_piece(message)


class _UnorderedAssembly(SnapshotAssembly):
    """Accepts pieces with any index."""

    def add(self, piece):
        self.content.apply(decode_changes(_decompress(piece.compressed)))
        self._next_index += 1


class SkipsPieceOrderCheck(SkipsSnapshotDigestCheck):
    """Only counts pieces and checks neither their order nor the digest of the snapshot."""

    def begin_snapshot(self, message):
        changes = super().begin_snapshot(message)
        self.assembly = _UnorderedAssembly(message)
        return changes


class IgnoresRemovals(Follower):
    """Does not install the removal of keys."""

    def _install(self, changes):
        super()._install(tuple(change for change in changes if change.value is not None))


class AcceptsAgeOfAnyRelay(StalenessTracker):
    """Applies the age in a heartbeat even if the relay's revision is newer or older than the replica's."""

    def record_relay_age(self, now, message):
        self._as_of = max(self._as_of, now - message.age_ms / 1000.0)
        return super().record_relay_age(now, message)


class AcceptsAgeOfLaggingRelay(Follower):
    """Reports a low age although its replica is not at the relay's revision."""

    staleness_type = AcceptsAgeOfAnyRelay


class ReportsCheckpointDigest(Follower):
    """Reports the digest of its checkpoint instead of that of its content, which hides damage."""

    def connected(self, now, attempt):
        replica = self.replica
        damaged, replica.is_damaged = replica.is_damaged, False
        content, self.log.content = self.log.content, _CheckpointDigestContent(self.log)
        super().connected(now, attempt)
        self.log.content, replica.is_damaged = content, damaged


class _CheckpointDigestContent:
    """Stands in for content and returns the digest of the checkpoint."""

    def __init__(self, log):
        self.checkpoint = log.checkpoint

    def digest(self):
        return self.checkpoint.content_digest


class KeepsFirstChangeOfKey(Follower):
    """Installs only the first change of each key in a batch, where the last one must win."""

    def _install(self, changes):
        first = {}
        for change in changes:
            first.setdefault(change.key, change)
        super()._install(tuple(first.values()))


# -- relays


class SkipsPublicationOnCatchUp(Relay):
    """Skips the first publication for a follower that is more than one revision behind."""

    def catch_up(self, now, session):
        if self.log.oldest_revision <= session.position < self.log.revision - 1:
            session.position += 1
        super().catch_up(now, session)


class IgnoresCompaction(Relay):
    """Sends the oldest retained publication instead of a snapshot to a follower that is behind it."""

    def catch_up(self, now, session):
        if session.position < self.log.oldest_revision:
            session.position, session.digest = self.log.oldest_revision, None
        super().catch_up(now, session)


class SkipsDigestComparison(Relay):
    """Resumes from any revision, although the follower's content may differ."""

    def _has_same_history(self, session):
        session.digest = None
        return True


class AlwaysReportsZeroAge(Relay):
    """Reports that its log is current although no leader has confirmed that."""

    def age_s(self, now):
        return 0.0


class IgnoresSendWindow(Relay):
    """Counts no bytes as in flight, so that it never waits for a slow follower."""

    def send_frame(self, now, session, data):
        super().send_frame(now, session, data)
        session.in_flight = 0


class UnlimitedTransfers(SnapshotTransfers):
    """Starts all queued transfers at once."""

    def run(self, now):
        while self._queue:
            self._begin(self._queue.popleft())
        super().run(now)


class IgnoresTransferLimit(Relay):
    """Exceeds the maximum number of concurrent snapshot transfers."""

    transfers_type = UnlimitedTransfers


# -- voters


class SkipsEpochCheck(FeedStateMachine):
    """Accepts publications of a publisher that has lost its lease."""

    def is_current_epoch(self, epoch):
        return True


class PublishesRevisionTwice(FeedStateMachine):
    """Publishes a repeated revision again as the next one."""

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


class ConfirmsWithoutCommittedEntries(Voter):
    """Counts any message of a leader as a confirmation, although it lacks committed entries."""

    def _confirm_by_leader(self, now, message):
        self.confirmed_at = max(self.confirmed_at, now)


class ConfirmsByLeaderWithoutCommit(Voter):
    """Counts a message of a leader that has not committed an entry of its own term yet."""

    def _confirm_by_leader(self, now, message):
        if self.raft.leader == message.source and self.raft.last_applied >= message.commit_index:
            self.confirmed_at = max(self.confirmed_at, now)


class AlwaysConfirmed(Voter):
    """Counts its log as confirmed as long as it runs, even when it is partitioned."""

    def tick(self, now):
        super().tick(now)
        self.confirmed_at = now


# -- publishers


class SignsFromEmptyContent(Publisher):
    """Signs the content that a batch would lead to from empty content."""

    def _propose_next(self, now):
        before = self._in_flight
        super()._propose_next(now)
        in_flight = self._in_flight
        if in_flight is not None and in_flight is not before and self.log.revision % 5 == 4:
            old = in_flight.checkpoint
            content = type(self.log.content)().digest_after(in_flight.changes)
            signature = self.signer.sign(signed_bytes(old.epoch, old.revision, content, old.changes_digest))
            self._in_flight = Publication(
                Checkpoint(old.epoch, old.revision, content, old.changes_digest, signature), in_flight.changes
            )
            self._commands.clear()
            self._propose(now, self._in_flight)


class AssumesGrowthIsOwnPublication(Publisher):
    """Drops a batch when the log has reached its revision, even if the publication there is another publisher's."""

    def log_advanced(self, now):
        if self._in_flight is not None and self.log.revision >= self._in_flight.checkpoint.revision:
            self._in_flight, self._retry_at = None, float("inf")
            self._propose_next(now)


@dataclass(frozen=True)
class Mutant:
    """A defect: the defective classes, the faults under which it has an effect, and a seed that reveals it."""

    kinds: Implementations
    seed: int = 0
    chaos: Chaos = Chaos()


LYING_RELAYS = Chaos(
    faults=("lying relay", "lying relay", "lying relay", "broken connections", "broken connections", "zone restart"),
    fault_interval_s=0.7,
)
PARTITIONS = Chaos(
    faults=("partitioned region", "partitioned control", "burst of changes"), fault_interval_s=2.0, partition_s=(20.0,)
)
ZONE_RESTARTS = Chaos(faults=("zone restart", "broken connections"), fault_interval_s=1.0)
DAMAGED_REPLICAS = Chaos(
    faults=("damaged replica", "damaged replica", "broken connections", "burst of changes"), fault_interval_s=0.8
)
SUSPENSIONS = Chaos(faults=("suspended followers", "burst of changes", "broken connections"), fault_interval_s=0.4)
LEASE_CHANGES = Chaos(
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
    "changes installed before the digest check": Mutant(
        Implementations(follower=InstallsBeforeDigestCheck), 1, LYING_RELAYS
    ),
    "signature not checked": Mutant(Implementations(follower=follower_with(SkipsSignatureCheck)), 0, LYING_RELAYS),
    "digest of a snapshot not checked": Mutant(
        Implementations(follower=follower_with(SkipsSnapshotDigestCheck)), 1, LYING_RELAYS
    ),
    "older snapshot accepted": Mutant(Implementations(follower=follower_with(AcceptsOlderSnapshot)), 2, LYING_RELAYS),
    "older publication applied": Mutant(
        Implementations(follower=follower_with(AppliesOlderPublication)), 0, LYING_RELAYS
    ),
    "incomplete snapshot applied": Mutant(
        Implementations(follower=follower_with(AppliesIncompleteSnapshot)), 0, ZONE_RESTARTS
    ),
    "pieces of a snapshot installed separately": Mutant(
        Implementations(follower=InstallsPiecesSeparately), 0, ZONE_RESTARTS
    ),
    "order of pieces not checked": Mutant(
        Implementations(follower=follower_with(SkipsPieceOrderCheck)), 3, LYING_RELAYS
    ),
    "removals not installed": Mutant(Implementations(follower=IgnoresRemovals)),
    "age of a lagging relay accepted": Mutant(Implementations(follower=AcceptsAgeOfLaggingRelay), 0, PARTITIONS),
    "first of two changes of a key kept": Mutant(Implementations(follower=KeepsFirstChangeOfKey)),
    "publication skipped on catch-up": Mutant(Implementations(relay=SkipsPublicationOnCatchUp)),
    "compaction ignored on catch-up": Mutant(Implementations(relay=IgnoresCompaction), 1, SUSPENSIONS),
    "digests not compared on resumption": Mutant(
        Implementations(relay=SkipsDigestComparison, follower=ReportsCheckpointDigest), 0, DAMAGED_REPLICAS
    ),
    "age zero without confirmation": Mutant(Implementations(relay=AlwaysReportsZeroAge), 0, PARTITIONS),
    "send window ignored": Mutant(Implementations(relay=IgnoresSendWindow), 0, SUSPENSIONS),
    "number of snapshot transfers not limited": Mutant(Implementations(relay=IgnoresTransferLimit), 0, ZONE_RESTARTS),
    "epoch not checked": Mutant(Implementations(machine=SkipsEpochCheck), 7, LEASE_CHANGES),
    "revision published twice": Mutant(Implementations(machine=PublishesRevisionTwice), 4, LEASE_CHANGES),
    "confirmed without committed entries": Mutant(
        Implementations(voter=ConfirmsWithoutCommittedEntries), 0, LEASE_CHANGES
    ),
    "confirmed by a leader without a commit in its term": Mutant(
        Implementations(voter=ConfirmsByLeaderWithoutCommit), 1
    ),
    "confirmed although partitioned": Mutant(Implementations(voter=AlwaysConfirmed), 0, PARTITIONS),
    "signed from empty content": Mutant(Implementations(publisher=SignsFromEmptyContent), 2),
    "growth assumed to be its own publication": Mutant(
        Implementations(publisher=AssumesGrowthIsOwnPublication), 296, STALLS
    ),
}
