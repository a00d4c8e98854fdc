"""A token bucket that keeps a rate which changes over time."""

from __future__ import annotations

BURST_MS = 250.0  # tokens saved up over this long can be spent at once
MIN_DEPTH = 2.0  # tokens: with a smaller bucket a query of several parts might never be sent


class TokenBucket:
    """Tokens accrue at `rate`, per millisecond, up to a burst; each part sent takes one."""

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
        """Accrues tokens up to now; returns how many there are."""
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
