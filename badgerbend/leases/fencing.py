"""Fencing at the receivers of a holder's messages: the epoch of the lease is the fencing token.

Fencing is what guarantees that a holder whose lease has ended has no further effect. Clocks do not guarantee it; they
only make it rare that such a holder still sends anything.
"""

from __future__ import annotations


class FencingGuard:
    """One receiver's fencing tokens for all duties.

    The tokens must be kept at least as long as the effects of the messages that were admitted.
    """

    def __init__(self) -> None:
        self.highest_epochs: dict[str, int] = {}  # by duty: of the messages that were admitted
        self.rejected = 0

    def admits(self, duty: str, epoch: int) -> bool:
        """Returns whether a message under this epoch may take effect. If so, older epochs are rejected from now on."""
        if epoch < self.highest_epochs.get(duty, 0):
            self.rejected += 1
            return False
        self.highest_epochs[duty] = epoch
        return True
