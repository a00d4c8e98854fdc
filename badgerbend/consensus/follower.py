"""The follower's side of replication: entries and snapshots received from the leader of its term."""

from __future__ import annotations

from badgerbend.consensus.messages import AppendEntries, AppendEntriesReply, InstallSnapshot, InstallSnapshotReply
from badgerbend.consensus.replica import Replica
from badgerbend.consensus.snapshots import IncomingSnapshot


class Follower:
    """Stores what the leader sends in the replica, and replies once it is persisted."""

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self._incoming: IncomingSnapshot | None = None

    def handle_append(self, message: AppendEntries) -> None:
        """Append entries that follow the log; otherwise reply with the last index at which the logs may match."""
        replica = self.replica
        log = replica.log
        snapshot_index = log.snapshot_index
        if message.prev_index >= snapshot_index and log.term_at(message.prev_index) != message.prev_term:
            hint = log.last_possible_match(message.prev_index, message.prev_term, replica.commit_index)
            self._reply_to_append(message, hint, success=False)
            return
        # Entries covered by the snapshot are committed, so the leader has the same ones.
        entries = [entry for entry in message.entries if entry.index > snapshot_index]
        missing = log.skip_matching(entries)
        if missing:
            replica.append(missing)
        match_index = entries[-1].index if entries else max(message.prev_index, snapshot_index)
        commit_index = min(message.commit_index, match_index)
        if commit_index > replica.commit_index:
            replica.commit(commit_index)
        self._reply_to_append(message, match_index, success=True)

    def handle_snapshot(self, message: InstallSnapshot) -> None:
        """Store a chunk of a snapshot; install the snapshot once the last chunk has arrived."""
        if message.index <= self.replica.commit_index:
            self._incoming = None
            self._reply_installed(message)
            return
        if self._incoming is None or not self._incoming.includes(message):
            self._incoming = IncomingSnapshot(message)
        incoming = self._incoming
        incoming.add(message)
        if not incoming.complete:
            self._reply_to_chunk(message, incoming.received_bytes)
            return
        self._incoming = None
        self.replica.restore(incoming.snapshot(message))
        self._reply_installed(message)

    def _reply_to_append(self, message: AppendEntries, index: int, *, success: bool) -> None:
        reply = AppendEntriesReply(
            term=self.replica.term,
            source=self.replica.name,
            success=success,
            index=index,
            heartbeat_round=message.heartbeat_round,
        )
        self.replica.send_once_persisted(message.source, reply)

    def _reply_to_chunk(self, message: InstallSnapshot, received_bytes: int) -> None:
        """Reply immediately: chunks are kept in memory, so the reply promises nothing that must be on disk."""
        self.replica.send(message.source, self._snapshot_reply(message, received_bytes, installed=False))

    def _reply_installed(self, message: InstallSnapshot) -> None:
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
