"""How long brokers and the allocator count on a grant. Pure."""

from __future__ import annotations

from dataclasses import dataclass

CAP_GRANTS = 3.0  # grants: one for the request and its reply, one for what is granted out of it, one to spare


@dataclass(frozen=True, slots=True)
class BudgetTiming:
    """Durations in milliseconds, the same for all brokers.

    grant_ms: the nominal duration of a grant. clock_rate: bound on how much faster or slower than real time any clock
    runs, as a fraction.
    """

    grant_ms: float
    clock_rate: float

    @property
    def broker_grant_ms(self) -> float:
        """How long a broker uses a grant, by its own clock, from before it sent the request."""
        return self.grant_ms * (1.0 - self.clock_rate)

    @property
    def allocator_grant_ms(self) -> float:
        """How long the allocator considers a grant to be in use, by its own clock, from when it issued it."""
        return self.grant_ms * (1.0 + self.clock_rate)

    @property
    def broker_cap_ms(self) -> float:
        """How long a broker that was granted less than its own rate stays below it, from when the reply arrived.

        An allocator that hears of it after the usual time can then grant the rest for a full duration.
        """
        return CAP_GRANTS * self.grant_ms

    @property
    def allocator_cap_ms(self) -> float:
        """How long the allocator counts on that, from when it issued the grant; both clocks may be off."""
        return CAP_GRANTS * self.grant_ms * (1.0 - self.clock_rate) / (1.0 + self.clock_rate)
