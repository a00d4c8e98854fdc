"""A leader's side of replication to one follower: what is known of the follower's log, and what to send it next."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import (
    MAX_MESSAGE_BYTES,
    AppendEntries,
    Entry,
    InstallSnapshot,
    Snapshot,
    encoded_size,
)

HEAD_BYTES = 300  # of a message: all but its entries or its piece
PIPELINE = 4  # messages on the way to one follower, between its answers


@dataclass(frozen=True, slots=True)
class Leadership:
    """What every message of a leader states. heartbeat_round: the number of its latest round of heartbeats."""

    term: int
    leader: str
    commit_index: int
    heartbeat_round: int


@dataclass(slots=True)
class Progress:
    """What a leader knows of one follower.

    next_index: the index of the entry to send next. match_index: the last index known to be on the follower's disk.
    heartbeat_round: the latest round of heartbeats that it answered. offset: how much of the snapshot it acknowledged,
    in bytes. in_flight: messages sent since its last answer. last_contact_at: when its last answer came.
    """

    next_index: int
    last_contact_at: float
    match_index: int = 0
    heartbeat_round: int = 0
    offset: int = 0
    in_flight: int = 0

    def answered(self, now: float, heartbeat_round: int) -> None:
        """Any answer of this leader's term has come, to a message of that round of heartbeats."""
        self.last_contact_at = now
        self.in_flight = max(self.in_flight - 1, 0)
        self.heartbeat_round = max(self.heartbeat_round, heartbeat_round)

    def rejected(self, hint: int) -> None:
        """Entries did not fit the follower's log. hint: the last index that may match."""
        self.next_index = max(self.match_index + 1, min(hint + 1, self.next_index))

    def matched(self, index: int) -> None:
        """The follower's log is known to match up to this index, further than before."""
        self.match_index = index
        self.next_index = max(self.next_index, index + 1)

    def installed(self, index: int) -> None:
        """The follower has the whole snapshot of this index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.offset = 0


def outstanding(
    leadership: Leadership, log: Log, progress: Progress, heartbeat: bool
) -> list[AppendEntries | InstallSnapshot]:
    """What the follower lacks, as far as may be in flight at once. heartbeat: send a message if it lacks nothing."""
    messages = list[AppendEntries | InstallSnapshot]()
    while progress.in_flight < PIPELINE and (heartbeat or progress.next_index <= log.last_index):
        heartbeat = False
        progress.in_flight += 1
        previous = progress.next_index - 1
        previous_term = log.term_at(previous)
        if previous_term is None:  # compacted: only the snapshot holds it
            messages.append(snapshot_piece(leadership, log.snapshot, progress.offset))
            break
        entries = _entries_for_one_message(log, previous)
        progress.next_index += len(entries)
        messages.append(
            AppendEntries(
                leadership.term,
                leadership.leader,
                previous,
                previous_term,
                entries,
                leadership.commit_index,
                leadership.heartbeat_round,
            )
        )
    return messages


def _entries_for_one_message(log: Log, previous: int) -> tuple[Entry, ...]:
    """Entries after an index, as many as fit; at least one if there is one."""
    entries, room = list[Entry](), MAX_MESSAGE_BYTES - HEAD_BYTES
    for entry in log.after(previous):
        room -= encoded_size(entry)
        if entries and room < 0:
            break
        entries.append(entry)
    return tuple(entries)


def snapshot_piece(leadership: Leadership, snapshot: Snapshot, acknowledged: int) -> InstallSnapshot:
    """The piece of a snapshot that follows its first `acknowledged` bytes."""
    offset = min(acknowledged, len(snapshot.state))
    piece = snapshot.state[offset : offset + MAX_MESSAGE_BYTES - HEAD_BYTES]
    return InstallSnapshot(
        leadership.term,
        leadership.leader,
        snapshot.index,
        snapshot.term,
        snapshot.voters,
        offset,
        len(snapshot.state),
        piece,
        leadership.heartbeat_round,
    )
