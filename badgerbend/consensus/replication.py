"""The leader's side of replication: missing entries, heartbeats, and the index that a majority has reached."""

from __future__ import annotations

import math

from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import (
    MAX_MESSAGE_BYTES,
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    encoded_size,
)
from badgerbend.consensus.progress import Progress
from badgerbend.consensus.quorum import is_majority, majority_index
from badgerbend.consensus.replica import Replica

MESSAGE_OVERHEAD_BYTES = 300  # of a message, apart from its entries or its chunk of a snapshot
MAX_IN_FLIGHT = 4  # messages to one follower without a reply
CHECK_QUORUM_TIMEOUTS = 2.0  # election timeouts without a reply after which a follower counts as unreachable


class Replication:
    """Replicates the leader's log to its followers; idle while the voter does not lead.

    progress: by the name of the follower. heartbeat_round: the number of the latest round of heartbeats in this term.
    heartbeat_at: the time at which the next one is due.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.progress: dict[str, Progress] = {}
        self.heartbeat_round = 0
        self.heartbeat_at = math.inf

    def start(self, now: float) -> None:
        """Begin a term of leadership, with nothing known about the followers."""
        next_index = self.replica.log.last_index + 1
        self.progress = {voter: Progress(next_index, now) for voter in self.replica.other_voters}
        self.heartbeat_round = 0

    def stop(self) -> None:
        """End a term of leadership."""
        self.progress = {}
        self.heartbeat_at = math.inf

    def add_learner(self, now: float, name: str) -> None:
        """Replicate to a server that does not vote yet."""
        if name not in self.progress:
            self.progress[name] = Progress(self.replica.log.last_index + 1, now)

    def retain_voters(self) -> None:
        """Stop replicating to servers that are not voters in the current configuration."""
        self.progress = {voter: self.progress[voter] for voter in self.replica.other_voters}

    def schedule_heartbeat_by(self, at: float) -> None:
        """Send the next round of heartbeats at this time or earlier."""
        self.heartbeat_at = min(self.heartbeat_at, at)

    def broadcast_heartbeat(self, now: float) -> None:
        """Begin a round of heartbeats, and resend the messages that have had no reply."""
        self.heartbeat_round += 1
        self.heartbeat_at = now + self.replica.config.heartbeat_interval_s
        for follower, progress in self.progress.items():
            progress.in_flight = 0
            self.send_entries(follower, heartbeat=True)

    def broadcast_entries(self) -> None:
        """Send each follower the entries that it lacks."""
        for follower in self.progress:
            self.send_entries(follower)

    def send_entries(self, follower: str, *, heartbeat: bool = False) -> None:
        """Send a follower the entries that it lacks, within the limit of messages in flight.

        heartbeat: send a message even if it lacks none.
        """
        log = self.replica.log
        progress = self.progress[follower]
        while progress.in_flight < MAX_IN_FLIGHT and (heartbeat or progress.next_index <= log.last_index):
            heartbeat = False
            previous_term = log.term_at(progress.next_index - 1)
            if previous_term is None:  # the entry was compacted, so only the snapshot has it
                self._send_snapshot_chunk(follower)
                return
            self._send_append(follower, previous_term)

    def has_quorum(self, now: float) -> bool:
        """Whether a majority of voters has replied recently; if not, the leader steps down (Ongaro 2014, 6.2)."""
        timeout_s = CHECK_QUORUM_TIMEOUTS * self.replica.config.election_timeout_s
        reachable = [
            voter
            for voter in self.replica.voters
            if voter == self.replica.name or now - self.progress[voter].last_contact_at < timeout_s
        ]
        return is_majority(reachable, self.replica.voters)

    def quorum_round(self) -> int:
        """Return the latest round of heartbeats to which a majority of voters has replied."""
        rounds = (
            self.heartbeat_round if voter == self.replica.name else self.progress[voter].heartbeat_round
            for voter in self.replica.voters
        )
        return min(majority_index(rounds), self.heartbeat_round)

    def committable_index(self) -> int | None:
        """Return the index up to which entries may be committed now; None if it has not advanced."""
        replica = self.replica
        index = majority_index(
            replica.durability.persisted_index if voter == replica.name else self.progress[voter].match_index
            for voter in replica.voters
        )
        return index if index > replica.commit_index and self.may_commit(index) else None

    def may_commit(self, index: int) -> bool:
        """Whether the entry is of the current term.

        Entries of earlier terms are not committed by counting replicas (Ongaro 2014, 3.6.2).
        """
        return self.replica.log.term_at(index) == self.replica.term

    def record_reply(self, now: float, reply: AppendEntriesReply | InstallSnapshotReply) -> bool:
        """Note that a follower has replied; return False if the sender is not a follower of this leader."""
        progress = self.progress.get(reply.source)
        if progress is None:
            return False
        progress.reply_received(now, reply.heartbeat_round)
        return True

    def handle_append_reply(self, reply: AppendEntriesReply) -> bool:
        """Handle a follower's reply to entries; return whether its match index has advanced."""
        progress = self.progress[reply.source]
        if not reply.success:
            progress.rejected(reply.index)
            self.send_entries(reply.source, heartbeat=True)
            return False
        if reply.index <= progress.match_index:
            return False
        progress.matched(reply.index)
        return True

    def handle_snapshot_reply(self, reply: InstallSnapshotReply) -> bool:
        """Handle a follower's reply to a chunk; return True if entries may follow, else send the next chunk."""
        progress = self.progress[reply.source]
        if reply.installed:
            progress.installed(reply.index)
            return True
        snapshot_index = self.replica.log.snapshot_index
        progress.snapshot_offset = reply.offset if reply.index == snapshot_index else 0
        if progress.next_index > snapshot_index:
            return True
        self._send_snapshot_chunk(reply.source)
        return False

    def _send_append(self, follower: str, previous_term: int) -> None:
        replica = self.replica
        progress = self.progress[follower]
        previous_index = progress.next_index - 1
        entries = entries_for_one_message(replica.log, previous_index)
        progress.in_flight += 1
        progress.next_index += len(entries)
        message = AppendEntries(
            term=replica.term,
            source=replica.name,
            prev_index=previous_index,
            prev_term=previous_term,
            entries=entries,
            commit_index=replica.commit_index,
            heartbeat_round=self.heartbeat_round,
        )
        replica.send(follower, message)

    def _send_snapshot_chunk(self, follower: str) -> None:
        """Send the chunk that follows the bytes that the follower has acknowledged."""
        replica = self.replica
        snapshot = replica.log.snapshot
        progress = self.progress[follower]
        progress.in_flight += 1
        offset = min(progress.snapshot_offset, len(snapshot.state))
        message = InstallSnapshot(
            term=replica.term,
            source=replica.name,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            voters=snapshot.voters,
            offset=offset,
            size=len(snapshot.state),
            data=snapshot.state[offset : offset + MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES],
            heartbeat_round=self.heartbeat_round,
        )
        replica.send(follower, message)


def entries_for_one_message(log: Log, previous_index: int) -> tuple[Entry, ...]:
    """Return as many entries after an index as fit into one message, but at least one if there is any."""
    entries: list[Entry] = []
    capacity = MAX_MESSAGE_BYTES - MESSAGE_OVERHEAD_BYTES
    for entry in log.entries_after(previous_index):
        capacity -= encoded_size(entry)
        if entries and capacity < 0:
            break
        entries.append(entry)
    return tuple(entries)
