"""Parameters that limit the trust in peers' records."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrustPolicy:
    """How far records of peers are trusted.

    max_age_ms: older observations are not used; at this age the weight of a latency has been halved six times.
    sole_peer_slow_share: the fraction of servers that a sole peer may claim to be slow.
    max_slowdown: larger multiples of a peer's typical latency are reduced to this one.
    dead_slowdown: the multiple assumed for a dead server; the decisions treat a server as at most four calls slower.
    max_error_factor: a claim is wrong if it differs from this broker's own measurement by more than this factor, either
    way.
    min_checks: how many claims of a peer must have been checked before the peer can lose its trust.
    distrust_ms: how long a peer that has lost its trust is ignored.
    max_latency_divergence: answers of a peer are left out if its median latency differs from that of all peers by more
    than this factor.
    """

    max_age_ms: float = 60_000.0
    sole_peer_slow_share: float = 0.34
    max_slowdown: float = 10.0
    dead_slowdown: float = 5.0
    max_error_factor: float = 3.0
    min_checks: int = 5
    distrust_ms: float = 600_000.0
    max_latency_divergence: float = 3.0
