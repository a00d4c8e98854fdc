"""Tracks which peers have made claims about servers that this broker later found to be wrong."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from badgerbend.knowledge.policy import TrustPolicy

MIN_SLOWDOWN = 0.1  # smaller values count as this, since differences between very short times do not matter


@dataclass(slots=True)
class PeerClaims:
    """The claims of one peer that have not been checked yet, and the results of the checks so far.

    A claim is checked by this broker's next answer from the server. slowdowns: the claimed latencies by server, as
    multiples of the peer's typical latency.
    """

    slowdowns: dict[int, float] = field(default_factory=dict)
    correct: int = 0
    wrong: int = 0
    distrusted_until_ms: float = -math.inf

    def clear(self) -> None:
        """Forget the claims and the results of their checks."""
        self.slowdowns.clear()
        self.correct = 0
        self.wrong = 0


class Reputation:
    """Compares the claims of peers with this broker's own first answers. Times are in milliseconds on one clock."""

    def __init__(self, policy: TrustPolicy) -> None:
        self._policy = policy
        self._claims: dict[str, PeerClaims] = {}

    def is_trusted(self, peer: str, now_ms: float) -> bool:
        """Whether records of this peer are used now."""
        claims = self._claims.get(peer)
        return claims is None or now_ms >= claims.distrusted_until_ms

    def add_claims(self, peer: str, slowdowns: Mapping[int, float]) -> None:
        """Record the claims of a peer, by server; an earlier claim that has not been checked yet is kept."""
        claims = self._claims.setdefault(peer, PeerClaims())
        for node, slowdown in slowdowns.items():
            claims.slowdowns.setdefault(node, slowdown)

    def check(self, node: int, slowdown: float, now_ms: float) -> list[str]:
        """Compare an own answer from a server with the claims of peers; return the peers that lose their trust."""
        distrusted = []
        for peer, claims in self._claims.items():
            claimed = claims.slowdowns.pop(node, None)
            if claimed is None:
                continue
            if self._is_wrong(claimed, slowdown):
                claims.wrong += 1
            else:
                claims.correct += 1
            if self._loses_trust(claims):
                claims.distrusted_until_ms = now_ms + self._policy.distrust_ms
                claims.clear()
                distrusted.append(peer)
        return distrusted

    def _is_wrong(self, claimed: float, own: float) -> bool:
        observed = max(own, MIN_SLOWDOWN)
        factor = max(observed, claimed) / max(min(observed, claimed), MIN_SLOWDOWN)
        return factor > self._policy.max_error_factor

    def _loses_trust(self, claims: PeerClaims) -> bool:
        checks = claims.wrong + claims.correct
        return checks >= self._policy.min_checks and claims.wrong > claims.correct
