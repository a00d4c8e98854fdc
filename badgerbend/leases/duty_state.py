"""What a broker knows about one duty: who holds its lease, and until when the broker itself may act under it.

The epochs of a duty only grow. A reply that arrives out of order, or one about a lease that was returned already, is
therefore recognised by its lower epoch and ignored.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from badgerbend.leases.messages import LeaseState


@dataclass(slots=True)
class DutyState:
    """One broker's view of one duty. Times are in seconds of the broker's own clock."""

    is_local: bool  # whether the broker is at the duty's own site
    epoch: int = 0  # of the lease granted to this broker; 0 while there is none
    valid_until: float = -math.inf  # the broker may act under that lease before this time
    is_failing: bool = False  # the broker runs, but its work on this duty has no effect
    returned_epoch: int = 0  # of the last lease that the broker returned; no lease up to it is accepted again
    holder: str = ""  # as last reported by the leader, like the address and the epoch below
    holder_address: str = ""
    holder_epoch: int = 0
    is_known: bool = False  # whether this incarnation of the broker has ever been notified of the duty

    def may_act(self, now: float) -> bool:
        """Returns whether the broker may act under its lease now."""
        return self.epoch > 0 and now < self.valid_until

    def is_outdated(self, state: LeaseState) -> bool:
        """Returns whether a newer lease than the reported one is known already."""
        return state.epoch < self.holder_epoch

    def record_holder(self, state: LeaseState) -> None:
        """Records who holds the lease. A known address is kept for as long as the epoch does not change."""
        if state.address:
            self.holder_address = state.address
        elif state.epoch != self.holder_epoch:
            self.holder_address = ""
        self.holder = state.holder
        self.holder_epoch = state.epoch
        self.is_known = True

    def accept_grant(self, epoch: int) -> None:
        """Records a lease that was granted to this broker, which may act under it once it is renewed."""
        self.epoch = epoch
        self.valid_until = -math.inf

    def extend(self, valid_until: float) -> None:
        """Applies a renewal. Replies may arrive out of order, so that this never shortens the lease."""
        self.valid_until = max(self.valid_until, valid_until)

    def suspend(self) -> None:
        """Forbids acting under the lease until the next renewal."""
        self.valid_until = -math.inf

    def lose(self) -> None:
        """Drops the lease, which another broker may hold by now."""
        self.epoch = 0
        self.valid_until = -math.inf

    def give_up(self, epoch: int) -> None:
        """Drops the lease of this epoch because it is being returned, and never accepts it again."""
        self.lose()
        self.returned_epoch = epoch
