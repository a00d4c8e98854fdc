"""A follower's log: entries and snapshots that come from the leader of its term."""

from __future__ import annotations

from badgerbend.consensus.messages import AppendEntries, AppendEntriesReply, InstallSnapshot, InstallSnapshotReply
from badgerbend.consensus.replica import Replica
from badgerbend.consensus.snapshots import IncomingSnapshot


class Follower:
    """Takes what the leader sends into the replica, and answers once it is persisted."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self._incoming: IncomingSnapshot | None = None

    def handle_append(self, message: AppendEntries) -> None:
        """Append entries that fit the log; answer with the last index that may match where they do not."""
        replica = self.replica
        log = replica.log
        snapshot_index = log.snapshot_index
        if message.prev_index >= snapshot_index and log.term_at(message.prev_index) != message.prev_term:
            hint = log.last_possible_match(message.prev_index, message.prev_term, replica.commit_index)
            self._answer_append(message, hint, success=False)
            return
        # Entries within the snapshot were committed, and so they are the same here.
        entries = [entry for entry in message.entries if entry.index > snapshot_index]
        missing = log.from_first_missing(entries)
        if missing:
            replica.append(missing)
        match_index = entries[-1].index if entries else max(message.prev_index, snapshot_index)
        commit_index = min(message.commit_index, match_index)
        if commit_index > replica.commit_index:
            replica.commit(commit_index)
        self._answer_append(message, match_index, success=True)

    def handle_snapshot(self, message: InstallSnapshot) -> None:
        """Take a chunk of a snapshot; install the snapshot with the last one."""
        if message.index <= self.replica.commit_index:
            self._incoming = None
            self._answer_installed(message)
            return
        if self._incoming is None or not self._incoming.includes(message):
            self._incoming = IncomingSnapshot(message)
        incoming = self._incoming
        incoming.add(message)
        if not incoming.complete:
            self._answer_chunk(message, incoming.received_bytes)
            return
        self._incoming = None
        self.replica.restore(incoming.snapshot(message))
        self._answer_installed(message)

    def _answer_append(self, message: AppendEntries, index: int, *, success: bool) -> None:
        reply = AppendEntriesReply(
            term=self.replica.term,
            source=self.replica.name,
            success=success,
            index=index,
            heartbeat_round=message.heartbeat_round,
        )
        self.replica.send_once_persisted(message.source, reply)

    def _answer_chunk(self, message: InstallSnapshot, received_bytes: int) -> None:
        """Chunks are held in memory, so that the answer promises nothing and does not wait for the disk."""
        self.replica.send(message.source, self._snapshot_reply(message, received_bytes, installed=False))

    def _answer_installed(self, message: InstallSnapshot) -> None:
        self.replica.send_once_persisted(message.source, self._snapshot_reply(message, 0, installed=True))

    def _snapshot_reply(self, message: InstallSnapshot, offset: int, *, installed: bool) -> InstallSnapshotReply:
        return InstallSnapshotReply(
            term=self.replica.term,
            source=self.replica.name,
            index=message.index,
            offset=offset,
            installed=installed,
            heartbeat_round=message.heartbeat_round,
        )
