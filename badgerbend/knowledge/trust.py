"""Combines the records of several peers into one prior for the decisions, so that no single peer can mislead them.

The decisions use a server's time only if they have observed nothing of it themselves, and let it fade by its age; so
all that a record can do is to make a server look slow, or as good as unknown, until its first own answer. Beyond that:

- *Several peers.* Of each server the median of what they state is used, the lower of two. One liar in three can only
  choose between what the two others state; one of two can only make a server look as good as unknown.
- *A sole peer.* Only the slowest third of its servers are believed to be slow; the others count as usual.
- *Old observations.* Beyond `max_age_ms` they are not used; below, they keep their age.
- *Wrong statements.* They are compared with this broker's own first answers (`reputation`). A peer that was wrong on
  most of enough servers is ignored for `distrust_ms`.
- *Absurd values* end at the record's bounds; times beyond `max_slowdown` are cut.

Free of I/O. Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from statistics import median
from typing import NamedTuple

from badgerbend import api
from badgerbend.knowledge.policy import TrustPolicy
from badgerbend.knowledge.record import MAX_ANSWERS, AnswerLatency, KnowledgeRecord, ServerObservation
from badgerbend.knowledge.reputation import Reputation


class Statement(NamedTuple):
    """What one peer states of one server. slowdown: a multiple of the peer's own usual latency."""

    slowdown: float
    age_ms: float


class PeerRecord(NamedTuple):
    """A record, and its peer's own usual latency; 0 if it states none."""

    record: KnowledgeRecord
    usual_ms: float


class AnswerSample(NamedTuple):
    """Answers of several peers, the oldest first, and the median of the peers' usual latencies; 0 if there are none."""

    answers: tuple[AnswerLatency, ...]
    usual_ms: float


class PeerTrust:
    """One broker's view of its peers' records. It remembers which peers were wrong."""

    def __init__(self, policy: TrustPolicy | None = None) -> None:
        self.policy = policy or TrustPolicy()
        self._reputation = Reputation(self.policy)

    def is_trusted(self, peer: str, now_ms: float) -> bool:
        """Whether records of this peer are used now."""
        return self._reputation.is_trusted(peer, now_ms)

    def check_answer(self, node: int, latency_ms: float, usual_ms: float, now_ms: float) -> list[str]:
        """Compare an own answer with what peers stated of its server; return the peers that lose their trust by it.

        usual_ms: this broker's own usual latency; while it is not known, nothing is compared.
        """
        if usual_ms <= 0:
            return []
        return self._reputation.check(node, latency_ms / usual_ms, now_ms)

    def combine(
        self,
        records: Mapping[str, KnowledgeRecord],
        node_by_name: Mapping[str, int],
        now_ms: float,
        *,
        is_own: bool = False,
    ) -> api.Observations:
        """Combine records, by peer, into a prior.

        node_by_name: this broker's numbers of servers. is_own: the sole record is this broker's own, of before a
        restart; all of it is believed.
        """
        trusted = {
            peer: PeerRecord(record, usual_latency_ms(record))
            for peer, record in records.items()
            if self.is_trusted(peer, now_ms)
        }
        by_node: dict[int, list[Statement]] = {}
        for peer, peer_record in trusted.items():
            if not peer_record.usual_ms:
                continue
            statements = self._statements(peer_record, node_by_name)
            if len(trusted) == 1 and not is_own:
                statements = self._limited(statements)
            self._reputation.remember(peer, {node: statement.slowdown for node, statement in statements.items()})
            for node, statement in statements.items():
                by_node.setdefault(node, []).append(statement)
        sample = self._combine_answers(list(trusted.values()))
        nodes = combine_statements(by_node, len(trusted), sample.usual_ms)
        answers = tuple((answer.age_ms, answer.latency_ms, answer.censored) for answer in sample.answers)
        return api.Observations(nodes, answers)

    def _statements(self, peer_record: PeerRecord, node_by_name: Mapping[str, int]) -> dict[int, Statement]:
        """What a peer states of servers on this broker's list, by their numbers, as far as it is fresh enough."""
        statements = {}
        for server in peer_record.record.servers:
            node = node_by_name.get(server.name)
            if node is not None and server.age_ms < self.policy.max_age_ms:
                statements[node] = Statement(self._slowdown(server, peer_record.usual_ms), server.age_ms)
        return statements

    def _slowdown(self, server: ServerObservation, usual_ms: float) -> float:
        if server.dead:
            return self.policy.dead_slowdown
        return min(server.time_ms / usual_ms, self.policy.max_slowdown)

    def _limited(self, statements: dict[int, Statement]) -> dict[int, Statement]:
        """Keep the slowest share of what a sole peer states; its other servers count as usual."""
        limit = max(1, int(self.policy.sole_witness_share * len(statements)))
        slowest = set(sorted(statements, key=lambda node: -statements[node].slowdown)[:limit])
        return {
            node: statement if node in slowest else Statement(1.0, statement.age_ms)
            for node, statement in statements.items()
        }

    def _combine_answers(self, peer_records: Sequence[PeerRecord]) -> AnswerSample:
        """Combine the peers' answers into one sample: equally many of each peer whose usual latency agrees."""
        usable = [
            peer_record
            for peer_record in peer_records
            if any(not answer.censored for answer in peer_record.record.answers)
        ]
        if not usable:
            return AnswerSample((), 0.0)
        usual_ms = lower_median([peer_record.usual_ms for peer_record in usable])
        divergence = self.policy.max_latency_divergence
        agreeing = [
            peer_record.record
            for peer_record in usable
            if usual_ms / divergence <= peer_record.usual_ms <= usual_ms * divergence
        ] or [usable[0].record]
        per_peer = max(1, MAX_ANSWERS // len(agreeing))
        answers = [answer for record in agreeing for answer in record.answers[-per_peer:]]
        answers.sort(key=lambda answer: -answer.age_ms)
        return AnswerSample(tuple(answers), usual_ms)


def combine_statements(
    by_node: Mapping[int, Sequence[Statement]], peer_count: int, usual_ms: float
) -> tuple[api.EndpointObservation, ...]:
    """Combine what peers state of each server; nothing if the usual latency is 0, which means unknown."""
    if not usual_ms:
        return ()
    nodes = []
    for node, statements in by_node.items():
        if peer_count > 2 and len(statements) * 2 <= peer_count:
            continue  # most peers state nothing of it: a liar may have invented it
        slowdown = lower_median([statement.slowdown for statement in statements])
        age_ms = upper_median([statement.age_ms for statement in statements])
        nodes.append(api.EndpointObservation(node, max(slowdown, 1.0) * usual_ms, age_ms, is_down=False))
    return tuple(nodes)


def usual_latency_ms(record: KnowledgeRecord) -> float:
    """A peer's own usual latency: the median of its answers, else of its servers' times; 0 if there is neither."""
    latencies_ms = [answer.latency_ms for answer in record.answers if not answer.censored]
    if not latencies_ms:
        latencies_ms = [server.time_ms for server in record.servers if not server.dead]
    return median(latencies_ms) if latencies_ms else 0.0


def lower_median(values: Sequence[float]) -> float:
    """The median; of two middle values the lower one."""
    return sorted(values)[(len(values) - 1) // 2]


def upper_median(values: Sequence[float]) -> float:
    """The median; of two middle values the greater one."""
    return sorted(values)[len(values) // 2]
