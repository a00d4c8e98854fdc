"""What a broker knows of one duty: who holds its lease, and until when the broker itself may act under it.

Epochs of a duty only grow, which is what makes replies that were overtaken, and leases that were returned, safe to
recognise: whatever has a lower epoch is ignored.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from badgerbend.leases.messages import LeaseState


@dataclass(slots=True)
class DutyState:
    """One duty, as one broker knows it. Times are seconds of the broker's own clock."""

    is_local: bool  # whether the broker is at the duty's own site
    epoch: int = 0  # of the lease granted to this broker; 0 while there is none
    valid_until: float = -math.inf  # the broker may act under that lease before this time
    is_failing: bool = False  # the broker runs, but its acts on this duty have no effect
    returned_epoch: int = 0  # the last epoch that the broker returned: no lease up to it is accepted again
    holder: str = ""  # the lease holder as last stated by the leader, with its address and epoch
    holder_address: str = ""
    holder_epoch: int = 0
    is_known: bool = False  # whether this incarnation of the broker was ever notified of the duty

    def may_act(self, now: float) -> bool:
        """Whether the broker may act under the lease at this moment."""
        return self.epoch > 0 and now < self.valid_until

    def is_overtaken(self, state: LeaseState) -> bool:
        """Whether a newer lease than the stated one is known already."""
        return state.epoch < self.holder_epoch

    def record_holder(self, state: LeaseState) -> None:
        """Takes note of who holds the lease. An address stays known for as long as the epoch does not change."""
        if state.address:
            self.holder_address = state.address
        elif state.epoch != self.holder_epoch:
            self.holder_address = ""
        self.holder = state.holder
        self.holder_epoch = state.epoch
        self.is_known = True

    def accept_grant(self, epoch: int) -> None:
        """Takes over a lease that was granted. The broker may act under it once it is renewed."""
        self.epoch = epoch
        self.valid_until = -math.inf

    def extend(self, valid_until: float) -> None:
        """Counts a renewal; replies may arrive out of order, so this never shortens the lease."""
        self.valid_until = max(self.valid_until, valid_until)

    def suspend(self) -> None:
        """Forbids acts until the next renewal."""
        self.valid_until = -math.inf

    def lose(self) -> None:
        """Drops the lease, which somebody else may hold by now."""
        self.epoch = 0
        self.valid_until = -math.inf

    def give_up(self, epoch: int) -> None:
        """Drops the lease of this epoch in order to return it: it is never accepted again."""
        self.lose()
        self.returned_epoch = epoch
