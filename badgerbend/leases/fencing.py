"""Who receives a duty's acts refuses one under an older epoch than it has seen. No clock is the guarantee; this is."""

from __future__ import annotations


class FencingGuard:
    """One receiver's, of all duties. What it has seen should outlive it where its effects do."""

    def __init__(self) -> None:
        self.highest_epochs: dict[str, int] = {}
        self.rejected = 0

    def admits(self, duty: str, epoch: int) -> bool:
        """Whether an act under this epoch may take effect; if so, none under an older one will again."""
        if epoch < self.highest_epochs.get(duty, 0):
            self.rejected += 1
            return False
        self.highest_epochs[duty] = epoch
        return True
