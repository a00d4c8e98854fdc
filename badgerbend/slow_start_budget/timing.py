"""How long a grant and the cap that follows it count for brokers and for the allocator."""

from __future__ import annotations

from dataclasses import dataclass

# In durations of a grant: one for the request and its reply, one for what is granted out of it, one to spare.
CAP_GRANT_DURATIONS = 3.0


@dataclass(frozen=True, slots=True)
class BudgetTiming:
    """Durations in milliseconds, the same for all brokers.

    grant_ms: the nominal duration of a grant. clock_rate: the largest relative deviation of any clock from real time,
    as a fraction.
    """

    grant_ms: float
    clock_rate: float

    @property
    def broker_grant_ms(self) -> float:
        """How long a broker uses a grant, by its own clock, from before it sent the request."""
        return self.grant_ms * (1.0 - self.clock_rate)

    @property
    def allocator_grant_ms(self) -> float:
        """How long the allocator treats a grant as in use, by its own clock, from when it issued it."""
        return self.grant_ms * (1.0 + self.clock_rate)

    @property
    def broker_cap_ms(self) -> float:
        """How long a broker that was granted less than its own rate stays capped, from when the reply arrived.

        An allocator that receives the acknowledgement after the usual time can then grant the rest for a full duration.
        """
        return CAP_GRANT_DURATIONS * self.grant_ms

    @property
    def allocator_cap_ms(self) -> float:
        """How long the allocator relies on the cap, from when it issued the grant. Allows for drift of both clocks."""
        return CAP_GRANT_DURATIONS * self.grant_ms * (1.0 - self.clock_rate) / (1.0 + self.clock_rate)
