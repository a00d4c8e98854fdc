"""What a leader knows of one follower's log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """A follower's state as its leader knows it.

    next_index: the index of the entry to send next. match_index: the last index known to be on the follower's disk.
    heartbeat_round: the latest round of heartbeats that it answered. snapshot_offset: how many bytes of the snapshot it
    acknowledged. in_flight: messages sent since its last answer. last_contact_at: when its last answer came, seconds.
    """

    next_index: int
    last_contact_at: float
    match_index: int = 0
    heartbeat_round: int = 0
    snapshot_offset: int = 0
    in_flight: int = 0

    def answered(self, now: float, heartbeat_round: int) -> None:
        """Note an answer of the leader's term to a message of that round of heartbeats."""
        self.last_contact_at = now
        self.in_flight = max(self.in_flight - 1, 0)
        self.heartbeat_round = max(self.heartbeat_round, heartbeat_round)

    def rejected(self, hint: int) -> None:
        """Note that entries did not fit the follower's log. hint: the last index that may match."""
        self.next_index = max(self.match_index + 1, min(hint + 1, self.next_index))

    def matched(self, index: int) -> None:
        """Note that the follower's log matches up to this index, further than before."""
        self.match_index = index
        self.next_index = max(self.next_index, index + 1)

    def installed(self, index: int) -> None:
        """Note that the follower has the whole snapshot of this index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.snapshot_offset = 0
