"""What a leader knows about the log of one follower."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """The state of a follower as its leader knows it.

    next_index: the index of the entry to send next. match_index: the last index known to be on the follower's disk.
    heartbeat_round: the latest round of heartbeats that it replied to. snapshot_offset: the number of bytes of the
    snapshot that it has acknowledged. in_flight: messages sent that have had no reply yet. last_contact_at: the time of
    its last reply, in seconds.
    """

    next_index: int
    last_contact_at: float
    match_index: int = 0
    heartbeat_round: int = 0
    snapshot_offset: int = 0
    in_flight: int = 0

    def reply_received(self, now: float, heartbeat_round: int) -> None:
        """Note a reply in the leader's term to a message of this round of heartbeats."""
        self.last_contact_at = now
        self.in_flight = max(self.in_flight - 1, 0)
        self.heartbeat_round = max(self.heartbeat_round, heartbeat_round)

    def rejected(self, hint: int) -> None:
        """Note that entries did not follow the follower's log. hint: the last index at which the logs may match."""
        self.next_index = max(self.match_index + 1, min(hint + 1, self.next_index))

    def matched(self, index: int) -> None:
        """Note that the follower's log matches up to this index, which is greater than `match_index`."""
        self.match_index = index
        self.next_index = max(self.next_index, index + 1)

    def installed(self, index: int) -> None:
        """Note that the follower has installed the snapshot of this index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        self.snapshot_offset = 0
