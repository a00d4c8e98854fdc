"""An exponentially decaying sum, from which recent rates and fractions are estimated."""

from __future__ import annotations

import math


class DecayingSum:
    """A sum whose items lose half of their weight every `half_life_ms`."""

    __slots__ = ("half_life_ms", "updated_ms", "value")

    def __init__(self, half_life_ms: float) -> None:
        self.half_life_ms = half_life_ms
        self.value = 0.0  # as of updated_ms
        self.updated_ms = -math.inf

    def add(self, now_ms: float, amount: float) -> None:
        """Adds an item with its full weight."""
        self.value = self.read(now_ms) + amount
        self.updated_ms = max(now_ms, self.updated_ms)

    def read(self, now_ms: float) -> float:
        """The present sum, in which items are weighted by their age."""
        if not self.value or now_ms <= self.updated_ms:
            return self.value
        return float(self.value * 2.0 ** -((now_ms - self.updated_ms) / self.half_life_ms))

    def rate(self, now_ms: float) -> float:
        """The rate, per millisecond, of a steady stream of items that would result in the present sum."""
        return self.read(now_ms) * math.log(2.0) / self.half_life_ms
