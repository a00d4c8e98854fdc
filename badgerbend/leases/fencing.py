"""The guard of whoever receives acts on duties: epochs of leases are the fencing tokens that it checks.

This is what guarantees that a holder whose lease is over changes nothing more. Clocks do not: they only make it rare
that such an act is sent at all.
"""

from __future__ import annotations


class FencingGuard:
    """One receiver's guard, of all duties.

    What it has seen must last at least as long as the effects of the acts that it admits.
    """

    def __init__(self) -> None:
        self.highest_epochs: dict[str, int] = {}  # by duty: of the acts that were admitted
        self.rejected = 0

    def admits(self, duty: str, epoch: int) -> bool:
        """Whether an act under this epoch may take effect. If so, no act under an older epoch will from now on."""
        if epoch < self.highest_epochs.get(duty, 0):
            self.rejected += 1
            return False
        self.highest_epochs[duty] = epoch
        return True
