"""Parameters of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SwimConfig:
    """Parameters of SWIM. Times are in seconds; the defaults are those of the papers.

    probe_interval_s: one member is probed in each interval, which is also called a period.
    probe_timeout_s: the time for a direct ack before other members are asked to ping.
    indirect_checks: the number of members that are asked to ping on behalf of this one.
    suspicion_multiplier: the shortest suspicion timeout, in periods, times log10 of the number of members.
    suspicion_max_multiplier: the timeout of a suspicion that nobody confirms, as a multiple of the shortest one.
    suspicion_confirmations: the number of other reporters that reduce the timeout to the shortest one.
    retransmit_multiplier: the number of times an update is gossiped, times log10 of the number of members.
    max_health_score: the limit of the local health score, which lengthens timeouts and periods.
    sync_every_periods: the number of periods between exchanges of the full state with a random member.
    dead_probe_every_periods: the number of periods between pings to a random dead member.
    dead_retention_s: how long dead and departed members stay in the table.
    max_members: the size limit of the table; further members are ignored, whatever is gossiped.
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
    max_members: int = 4096  # enough for 1,024 live members and those that died within the last hour
