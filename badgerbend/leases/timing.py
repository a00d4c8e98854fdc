"""The lengths of time that holders and leaders of leases agree on.

Why two lengths are derived from one lease: no clock is right, so the holder counts a shorter lease than the leader
does. With both within `clock_drift_bound` of real time, the holder's is over before the leader's is.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times in seconds, the same for the whole fleet.

    lease_duration_s: how long a lease lasts; its holder renews it every quarter of that.
    clock_drift_bound: how much faster or slower than real time any clock may run, as a fraction.
    candidacy_interval_s: time between two requests of a candidate that holds nothing.
    reply_timeout_s: a request without a reply is sent again after this long.
    stall_threshold_s: a holder whose event loop did not run for longer than this trusts none of its leases.
    """

    lease_duration_s: float = 2.0
    clock_drift_bound: float = 0.01
    candidacy_interval_s: float = 1.0
    reply_timeout_s: float = 0.25
    stall_threshold_s: float = 0.5

    @property
    def holder_lease_s(self) -> float:
        """How long a holder may count on a lease, by its own clock."""
        return self.lease_duration_s * (1.0 - self.clock_drift_bound)

    @property
    def leader_lease_s(self) -> float:
        """How long a leader waits before a lease is over, by its own clock."""
        return self.lease_duration_s * (1.0 + self.clock_drift_bound)
