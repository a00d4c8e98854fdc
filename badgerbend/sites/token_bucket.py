"""A token bucket whose rate can change over time."""

from __future__ import annotations

BURST_MS = 250.0  # tokens accrued over this long can be used at once
MIN_DEPTH = 2.0  # in tokens; with a smaller bucket a query of several parts might never be sent


class TokenBucket:
    """Tokens accrue at `rate`, per millisecond, up to the size of a burst. Each part that is sent takes one."""

    __slots__ = ("rate", "tokens", "updated_ms")

    def __init__(self) -> None:
        self.rate = 0.0
        self.tokens = 0.0
        self.updated_ms = 0.0

    def set_rate(self, now_ms: float, rate: float) -> None:
        """Changes the rate from now on."""
        self.available(now_ms)
        self.rate = rate

    def available(self, now_ms: float) -> float:
        """Accrues tokens up to now, and returns their number."""
        depth = max(self.rate * BURST_MS, MIN_DEPTH if self.rate else 0.0)
        if now_ms > self.updated_ms:
            self.tokens += self.rate * (now_ms - self.updated_ms)
            self.updated_ms = now_ms
        self.tokens = min(self.tokens, depth)
        return self.tokens

    def take(self, now_ms: float) -> None:
        """Takes one token."""
        self.available(now_ms)
        self.tokens -= 1.0
