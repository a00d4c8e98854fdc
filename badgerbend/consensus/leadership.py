"""What a voter does while it leads: it joins replication, commits, reads, changes of membership and transfer."""

from __future__ import annotations

from badgerbend.consensus.leadership_transfer import LeadershipTransfer
from badgerbend.consensus.membership import Membership, MembershipRefusal
from badgerbend.consensus.messages import AppendEntriesReply, Entry, EntryKind, InstallSnapshotReply, encode_voters
from badgerbend.consensus.read_index import ReadIndex
from badgerbend.consensus.replica import Replica
from badgerbend.consensus.replication import Replication

READ_BATCH_FRACTION = 1 / 20  # of a heartbeat interval: reads within it share a round of heartbeats


class Leadership:
    """The leader's side of a voter; idle on any other.

    is_over: this voter is removed from the configuration, and that is committed, so that it must step down.
    """

    def __init__(self, replica: Replica, replication: Replication) -> None:
        self.replica = replica
        self.replication = replication
        self.membership = Membership(replica)
        self.reads = ReadIndex(replica)
        self.transfer = LeadershipTransfer(replica)
        self.is_over = False

    def start(self, now: float) -> None:
        """Begin a term of leadership with an entry of that term."""
        self._reset()
        self.replication.start(now)
        self.append_entry(now, EntryKind.NOOP, b"")
        self.broadcast_heartbeat(now)

    def stop(self) -> None:
        """End a term of leadership; reads, a transfer and a change of membership under way are dropped."""
        self._reset()
        self.replication.stop()

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        self.transfer.tick(now)
        if now >= self.replication.heartbeat_at:
            self.broadcast_heartbeat(now)

    def append_entry(self, now: float, kind: EntryKind, data: bytes) -> int:
        """Append an entry to the log and replicate it; return its index."""
        replica = self.replica
        entry = Entry(replica.log.last_index + 1, replica.term, kind, data)
        replica.append((entry,))
        if kind is EntryKind.CONFIGURATION:
            self.replication.retain_voters()
        self.replication.broadcast_entries()
        self.advance_commit(now)
        return entry.index

    def advance_commit(self, now: float) -> None:
        """Commit what a majority of voters has on disk."""
        index = self.replication.committable_index()
        if index is None:
            return
        self.replica.commit(index)
        if self.membership.has_left():
            self.broadcast_heartbeat(now)  # the others learn that the change is committed
            self.stop()
            self.is_over = True

    def broadcast_heartbeat(self, now: float) -> None:
        """Begin a round of heartbeats."""
        self.replication.broadcast_heartbeat(now)
        self._confirm_reads()

    def add_read(self, now: float, token: int) -> None:
        """Confirm a read by the next round of heartbeats, which begins soon."""
        self.reads.add(self.replication.heartbeat_round + 1, token)
        batch_s = self.replica.config.heartbeat_interval_s * READ_BATCH_FRACTION
        self.replication.hasten_heartbeat(now + batch_s)

    def change_membership(self, now: float, name: str, *, add: bool) -> MembershipRefusal | None:
        """Add a voter, once it has caught up, or remove one; return why that is refused, or None."""
        refusal = self.membership.refusal(name, add=add)
        if refusal is not None:
            return refusal
        if add:
            self.membership.learner = name
            self.replication.add_learner(now, name)
            self.broadcast_heartbeat(now)
        else:
            self._append_configuration(now, self.membership.voters_without(name))
        return None

    def begin_transfer(self, now: float, to: str) -> bool:
        """Transfer leadership to a voter, or to the most advanced one; return False where there is none."""
        target = self.transfer.choose_target(self.replication.progress, to)
        if target is None:
            return False
        self.transfer.begin(now, target)
        self.transfer.notify_if_caught_up(self.replication.progress)
        return True

    def handle_append_reply(self, now: float, reply: AppendEntriesReply) -> None:
        """Handle a follower's answer to entries or to a heartbeat."""
        if not self._record_answer(now, reply):
            return
        if self.replication.handle_append_reply(reply):
            self.advance_commit(now)
        self._continue_replication(now, reply.source)

    def handle_snapshot_reply(self, now: float, reply: InstallSnapshotReply) -> None:
        """Handle a follower's answer to a chunk of a snapshot."""
        if self._record_answer(now, reply) and self.replication.handle_snapshot_reply(reply):
            self._continue_replication(now, reply.source)

    def _reset(self) -> None:
        self.is_over = False
        self.membership.reset()
        self.reads.reset()
        self.transfer.reset()

    def _record_answer(self, now: float, reply: AppendEntriesReply | InstallSnapshotReply) -> bool:
        is_follower = self.replication.record_answer(now, reply)
        if is_follower:
            self._confirm_reads()
        return is_follower

    def _continue_replication(self, now: float, follower: str) -> None:
        """Send a follower what it lacks still, and take the step that waited for it to catch up."""
        if self.is_over:
            return
        self.replication.send_entries(follower)
        if self.membership.has_caught_up(follower, self.replication.progress[follower]):
            self._append_configuration(now, self.membership.promote_learner())
        self.transfer.notify_if_caught_up(self.replication.progress)

    def _append_configuration(self, now: float, voters: tuple[str, ...]) -> None:
        self.append_entry(now, EntryKind.CONFIGURATION, encode_voters(voters))

    def _confirm_reads(self) -> None:
        if self.reads.pending:
            self.reads.confirm(self.replication.quorum_round())
