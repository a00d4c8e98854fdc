"""Combines the records of several peers into one prior for the decisions, so that no single peer can mislead them.

The decisions use a latency from a peer only while they have observed nothing of the server themselves, and reduce its
weight with its age. A record can therefore only make a server look slow, or no better than an unknown one, until this
broker has its own first answer from it. Further limits apply:

- *Several peers.* The median of their claims about a server is used, the lower one of two. One lying peer of three can
  only choose between the claims of the other two; one of two can only make a server look like an unknown one.
- *A sole peer.* Only the slowest third of its servers are assumed to be slow, and the others to be typical.
- *Old observations.* They are not used beyond `max_age_ms`; younger ones keep their age.
- *Wrong claims.* Claims are compared with this broker's own first answers (`reputation`). A peer is ignored for
  `distrust_ms` if enough of its claims have been checked and most of them were wrong.
- *Absurd values.* The decoder rejects values outside the record's bounds, and `max_slowdown` limits latencies.

The module does no I/O. Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from statistics import median
from typing import NamedTuple

from badgerbend import api
from badgerbend.knowledge.policy import TrustPolicy
from badgerbend.knowledge.record import MAX_ANSWERS, AnswerLatency, KnowledgeRecord, ServerObservation
from badgerbend.knowledge.reputation import Reputation


class Claim(NamedTuple):
    """What one peer claims about one server. slowdown: its latency as a multiple of the peer's own typical latency."""

    slowdown: float
    age_ms: float


class PeerRecord(NamedTuple):
    """The record of a peer, and the peer's own typical latency; 0 if the record contains no latency."""

    record: KnowledgeRecord
    typical_ms: float


class AnswerSample(NamedTuple):
    """Answers of several peers, oldest first, and the median of the peers' typical latencies; 0 without answers."""

    answers: tuple[AnswerLatency, ...]
    typical_ms: float


class PeerTrust:
    """Combines the records of one broker's peers, and remembers which peers were wrong."""

    def __init__(self, policy: TrustPolicy | None = None) -> None:
        self.policy = policy or TrustPolicy()
        self._reputation = Reputation(self.policy)

    def is_trusted(self, peer: str, now_ms: float) -> bool:
        """Whether records of this peer are used now."""
        return self._reputation.is_trusted(peer, now_ms)

    def check_answer(self, node: int, latency_ms: float, typical_ms: float, now_ms: float) -> list[str]:
        """Compare an own answer with the claims of peers about its server; return the peers that lose their trust.

        typical_ms: this broker's own typical latency; 0 while it is unknown, in which case nothing is compared.
        """
        if typical_ms <= 0:
            return []
        return self._reputation.check(node, latency_ms / typical_ms, now_ms)

    def combine(
        self,
        records: Mapping[str, KnowledgeRecord],
        node_by_name: Mapping[str, int],
        now_ms: float,
        *,
        is_own: bool = False,
    ) -> api.Observations:
        """Combine records, given by peer, into a prior.

        node_by_name: this broker's numbers of the servers. is_own: the only record is the one that this broker itself
        saved before a restart, which is trusted completely.
        """
        trusted = {
            peer: PeerRecord(record, typical_latency_ms(record))
            for peer, record in records.items()
            if self.is_trusted(peer, now_ms)
        }
        by_node: dict[int, list[Claim]] = {}
        for peer, peer_record in trusted.items():
            if not peer_record.typical_ms:
                continue
            claims = self._claims(peer_record, node_by_name)
            if len(trusted) == 1 and not is_own:
                claims = self._limit_sole_peer(claims)
            self._reputation.add_claims(peer, {node: claim.slowdown for node, claim in claims.items()})
            for node, claim in claims.items():
                by_node.setdefault(node, []).append(claim)
        sample = self._combine_answers(list(trusted.values()))
        nodes = combine_claims(by_node, len(trusted), sample.typical_ms)
        answers = tuple((answer.age_ms, answer.latency_ms, answer.censored) for answer in sample.answers)
        return api.Observations(nodes, answers)

    def _claims(self, peer_record: PeerRecord, node_by_name: Mapping[str, int]) -> dict[int, Claim]:
        """The claims of a peer that are recent enough, by server; only servers on this broker's list are included."""
        claims = {}
        for server in peer_record.record.servers:
            node = node_by_name.get(server.name)
            if node is not None and server.age_ms < self.policy.max_age_ms:
                claims[node] = Claim(self._slowdown(server, peer_record.typical_ms), server.age_ms)
        return claims

    def _slowdown(self, server: ServerObservation, typical_ms: float) -> float:
        if server.dead:
            return self.policy.dead_slowdown
        return min(server.time_ms / typical_ms, self.policy.max_slowdown)

    def _limit_sole_peer(self, claims: dict[int, Claim]) -> dict[int, Claim]:
        """Keep the claims of a sole peer about its slowest servers; its other servers count as typical."""
        limit = max(1, int(self.policy.sole_peer_slow_share * len(claims)))
        slowest = set(sorted(claims, key=lambda node: -claims[node].slowdown)[:limit])
        return {node: claim if node in slowest else Claim(1.0, claim.age_ms) for node, claim in claims.items()}

    def _combine_answers(self, peer_records: Sequence[PeerRecord]) -> AnswerSample:
        """Combine answers into one sample, equally many of each peer whose typical latency agrees with the others'."""
        usable = [
            peer_record
            for peer_record in peer_records
            if any(not answer.censored for answer in peer_record.record.answers)
        ]
        if not usable:
            return AnswerSample((), 0.0)
        typical_ms = lower_median([peer_record.typical_ms for peer_record in usable])
        divergence = self.policy.max_latency_divergence
        agreeing = [
            peer_record.record
            for peer_record in usable
            if typical_ms / divergence <= peer_record.typical_ms <= typical_ms * divergence
        ] or [usable[0].record]
        per_peer = max(1, MAX_ANSWERS // len(agreeing))
        answers = [answer for record in agreeing for answer in record.answers[-per_peer:]]
        answers.sort(key=lambda answer: -answer.age_ms)
        return AnswerSample(tuple(answers), typical_ms)


def combine_claims(
    by_node: Mapping[int, Sequence[Claim]], peer_count: int, typical_ms: float
) -> tuple[api.EndpointObservation, ...]:
    """Combine the claims of peers about each server; empty if the typical latency is unknown (0)."""
    if not typical_ms:
        return ()
    nodes = []
    for node, claims in by_node.items():
        if peer_count > 2 and len(claims) * 2 <= peer_count:
            continue  # most peers make no claim about it, so a lying peer may have invented it
        slowdown = lower_median([claim.slowdown for claim in claims])
        age_ms = upper_median([claim.age_ms for claim in claims])
        nodes.append(api.EndpointObservation(node, max(slowdown, 1.0) * typical_ms, age_ms, is_down=False))
    return tuple(nodes)


def typical_latency_ms(record: KnowledgeRecord) -> float:
    """A peer's own typical latency: the median of its answers, or else of its servers' latencies; 0 without either."""
    latencies_ms = [answer.latency_ms for answer in record.answers if not answer.censored]
    if not latencies_ms:
        latencies_ms = [server.time_ms for server in record.servers if not server.dead]
    return median(latencies_ms) if latencies_ms else 0.0


def lower_median(values: Sequence[float]) -> float:
    """The median, or the lower one of two middle values."""
    return sorted(values)[(len(values) - 1) // 2]


def upper_median(values: Sequence[float]) -> float:
    """The median, or the greater one of two middle values."""
    return sorted(values)[len(values) // 2]
