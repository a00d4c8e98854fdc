"""What a voter does while it leads: replication, commits, reads, membership changes and leadership transfer."""

from __future__ import annotations

from badgerbend.consensus.leadership_transfer import LeadershipTransfer
from badgerbend.consensus.membership import Membership, MembershipRefusal
from badgerbend.consensus.messages import AppendEntriesReply, Entry, EntryKind, InstallSnapshotReply, encode_voters
from badgerbend.consensus.read_index import ReadIndex
from badgerbend.consensus.replica import Replica
from badgerbend.consensus.replication import Replication

READ_BATCH_FRACTION = 1 / 20  # of a heartbeat interval; reads that arrive within it share a round of heartbeats


class Leadership:
    """The leader's side of a voter; idle while the voter does not lead.

    must_step_down: the configuration that removes this voter is committed.
    """

    def __init__(self, replica: Replica, replication: Replication) -> None:
        self.replica = replica
        self.replication = replication
        self.membership = Membership(replica)
        self.reads = ReadIndex(replica)
        self.transfer = LeadershipTransfer(replica)
        self.must_step_down = False

    def start(self, now: float) -> None:
        """Begin a term of leadership by appending an entry of that term."""
        self._reset()
        self.replication.start(now)
        self.append_entry(now, EntryKind.NOOP, b"")
        self.broadcast_heartbeat(now)

    def stop(self) -> None:
        """End a term of leadership; drop its pending reads, leadership transfer and membership change."""
        self._reset()
        self.replication.stop()

    def tick(self, now: float) -> None:
        """Run what is due at `now`."""
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
        """Commit the entries that a majority of voters has on disk."""
        index = self.replication.committable_index()
        if index is None:
            return
        self.replica.commit(index)
        if self.membership.has_left():
            self.broadcast_heartbeat(now)  # tells the other voters that the change is committed
            self.stop()
            self.must_step_down = True

    def broadcast_heartbeat(self, now: float) -> None:
        """Begin a round of heartbeats."""
        self.replication.broadcast_heartbeat(now)
        self._confirm_reads()

    def add_read(self, now: float, token: int) -> None:
        """Have the next round of heartbeats confirm a read, and bring that round forward. token: identifies it."""
        self.reads.add(self.replication.heartbeat_round + 1, token)
        batch_s = self.replica.config.heartbeat_interval_s * READ_BATCH_FRACTION
        self.replication.schedule_heartbeat_by(now + batch_s)

    def change_membership(self, now: float, name: str, *, add: bool) -> MembershipRefusal | None:
        """Add a voter once it has caught up, or remove one; return why the change is refused, or None."""
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
        """Begin to transfer leadership to the named voter, or to the most up-to-date one if the name is empty.

        Returns False if there is no such voter.
        """
        target = self.transfer.choose_target(self.replication.progress, to)
        if target is None:
            return False
        self.transfer.begin(now, target)
        self.transfer.notify_if_caught_up(self.replication.progress)
        return True

    def handle_append_reply(self, now: float, reply: AppendEntriesReply) -> None:
        """Handle a follower's reply to entries or to a heartbeat."""
        if not self._record_reply(now, reply):
            return
        if self.replication.handle_append_reply(reply):
            self.advance_commit(now)
        self._continue_replication(now, reply.source)

    def handle_snapshot_reply(self, now: float, reply: InstallSnapshotReply) -> None:
        """Handle a follower's reply to a chunk of a snapshot."""
        if self._record_reply(now, reply) and self.replication.handle_snapshot_reply(reply):
            self._continue_replication(now, reply.source)

    def _reset(self) -> None:
        self.must_step_down = False
        self.membership.reset()
        self.reads.reset()
        self.transfer.reset()

    def _record_reply(self, now: float, reply: AppendEntriesReply | InstallSnapshotReply) -> bool:
        is_follower = self.replication.record_reply(now, reply)
        if is_follower:
            self._confirm_reads()
        return is_follower

    def _continue_replication(self, now: float, follower: str) -> None:
        """Send a follower the entries that it still lacks, and finish what waited for it to catch up."""
        if self.must_step_down:
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
