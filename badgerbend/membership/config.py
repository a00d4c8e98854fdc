"""Parameters of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Parameters of SWIM. Times in seconds; the defaults are those of the papers.

    probe_interval_s: one member is probed in each interval, which is also called a period.
    probe_timeout_s: time for a direct answer, before other members are asked to ping.
    indirect_checks: number of members that are asked to ping on this one's behalf.
    suspicion_multiplier: least time-out of a suspicion, in periods, times the logarithm of the number of members.
    suspicion_max_multiplier: time-out of a suspicion that nobody confirms, as a multiple of the least.
    suspicion_confirmations: number of other reporters that bring the time-out down to the least.
    retransmit_multiplier: how often an update is gossiped, times the logarithm of the number of members.
    max_health_score: limit of the local health score, which stretches time-outs and periods.
    sync_every_periods: periods between exchanges of the full state with a random member.
    dead_probe_every_periods: periods between pings to a random dead member.
    dead_retention_s: how long dead and departed members are remembered.
    max_members: members beyond these are not taken in, whatever is gossiped.
    """

    probe_interval_s: float = 1.0
    probe_timeout_s: float = 0.3
    indirect_checks: int = 3
    suspicion_multiplier: float = 4.0
    suspicion_max_multiplier: float = 6.0
    suspicion_confirmations: int = 3
    retransmit_multiplier: float = 3.0
    max_health_score: int = 8
    sync_every_periods: int = 30
    dead_probe_every_periods: int = 8
    dead_retention_s: float = 3600.0
    max_members: int = 4096  # a fleet of 1,024 and its dead of the last hour fit
