"""Which peers have stated things of servers that this broker then found to be wrong."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from badgerbend.knowledge.policy import TrustPolicy

MIN_SLOWDOWN = 0.1  # smaller ones count as this: differences between very short times do not matter


@dataclass(slots=True)
class PeerStatements:
    """What one peer stated of servers that this broker has not had an answer from since, and how often it was right.

    slowdowns: by server, as a multiple of the peer's usual latency.
    """

    slowdowns: dict[int, float] = field(default_factory=dict)
    right: int = 0
    wrong: int = 0
    distrusted_until_ms: float = -math.inf

    def clear(self) -> None:
        """Forget statements and counts."""
        self.slowdowns.clear()
        self.right = 0
        self.wrong = 0


class Reputation:
    """Compares what peers stated with this broker's own first answers. Times are milliseconds on the caller's clock."""

    def __init__(self, policy: TrustPolicy) -> None:
        self._policy = policy
        self._statements: dict[str, PeerStatements] = {}

    def is_trusted(self, peer: str, now_ms: float) -> bool:
        """Whether records of this peer are used now."""
        statements = self._statements.get(peer)
        return statements is None or now_ms >= statements.distrusted_until_ms

    def remember(self, peer: str, slowdowns: Mapping[int, float]) -> None:
        """Note what a peer states, by server; of a server that is already noted, the earlier statement stays."""
        statements = self._statements.setdefault(peer, PeerStatements())
        for node, slowdown in slowdowns.items():
            statements.slowdowns.setdefault(node, slowdown)

    def check(self, node: int, slowdown: float, now_ms: float) -> list[str]:
        """Compare an own answer of a server with what peers stated; return the peers that lose their trust by it."""
        distrusted = []
        for peer, statements in self._statements.items():
            stated = statements.slowdowns.pop(node, None)
            if stated is None:
                continue
            if self._is_wrong(stated, slowdown):
                statements.wrong += 1
            else:
                statements.right += 1
            if self._loses_trust(statements):
                statements.distrusted_until_ms = now_ms + self._policy.distrust_ms
                statements.clear()
                distrusted.append(peer)
        return distrusted

    def _is_wrong(self, stated: float, own: float) -> bool:
        observed = max(own, MIN_SLOWDOWN)
        factor = max(observed, stated) / max(min(observed, stated), MIN_SLOWDOWN)
        return factor > self._policy.wrong_factor

    def _loses_trust(self, statements: PeerStatements) -> bool:
        checks = statements.wrong + statements.right
        return checks >= self._policy.min_checks and statements.wrong > statements.right
