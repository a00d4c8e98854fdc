"""Parameters of the trust in peers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrustPolicy:
    """How far records of peers are trusted.

    max_age_ms: older observations are not used; until then a time has faded by half six times.
    sole_witness_share: share of servers that a sole peer may state to be slow.
    max_slowdown: greater multiples of a peer's usual latency are cut to this.
    dead_slowdown: multiple that a dead server counts as; the decisions count a server as four calls slower at most.
    wrong_factor: a statement is wrong if it differs from the own answer by more than this factor, either way.
    min_checks: servers compared before a peer can lose its trust.
    distrust_ms: for how long it is then ignored.
    max_latency_divergence: answers of a peer are left out if its median differs from that of all by more than this.
    """

    max_age_ms: float = 60_000.0
    sole_witness_share: float = 0.34
    max_slowdown: float = 10.0
    dead_slowdown: float = 5.0
    wrong_factor: float = 3.0
    min_checks: int = 5
    distrust_ms: float = 600_000.0
    max_latency_divergence: float = 3.0
