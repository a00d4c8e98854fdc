"""The durations of leases, on which holders and leading voters agree.

Two lengths are derived from one lease duration, because clocks drift: the holder counts a shorter lease than the
leader. If both clocks stay within `clock_drift_bound` of real time, the holder's lease ends before the leader's does.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Durations in seconds, the same for the whole fleet.

    lease_duration_s: the nominal duration of a lease; its holder renews it every quarter of that.
    clock_drift_bound: the largest relative deviation of any clock from real time, as a fraction.
    candidacy_interval_s: time between two requests of a candidate that holds no lease.
    reply_timeout_s: a request without a reply is repeated after this time.
    stall_threshold_s: after a longer stall of its event loop, a holder acts under no lease until it is renewed.
    """

    lease_duration_s: float = 2.0
    clock_drift_bound: float = 0.01
    candidacy_interval_s: float = 1.0
    reply_timeout_s: float = 0.25
    stall_threshold_s: float = 0.5

    @property
    def holder_lease_s(self) -> float:
        """How long a holder may use a lease, by its own clock."""
        return self.lease_duration_s * (1.0 - self.clock_drift_bound)

    @property
    def leader_lease_s(self) -> float:
        """How long a leader waits before it treats a lease as expired, by its own clock."""
        return self.lease_duration_s * (1.0 + self.clock_drift_bound)
