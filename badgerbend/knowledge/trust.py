"""What of others' records to believe: decided here, free of I/O, and told to the module as a prior.

The module takes a server's time only where it has seen nothing itself, and lets it fade by its age; so all that news
can do is to make a server look slow, or as good as unknown, until the first own answer. What is left to decide:

- *One among several.* Of each server the middle of what peers say is taken, the lower of two. One liar in three can
  only choose between what the two others say; one of two can only make a server look as good as unknown.
- *One alone.* Of a sole witness only the slowest third of its servers are taken, the others count as usual.
- *Old news.* Beyond `stale_ms` nothing is taken; below, the age stays with the item.
- *Told wrong.* What a peer said of a server is held against this broker's own first answers from there. A peer that
  was wrong on more than half of enough servers loses its say for `distrust_ms`.
- *Absurd figures* end at the record's bounds; here times above `slowest` times the peer's own middle are cut to that.

Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from statistics import median

from badgerbend import api
from badgerbend.knowledge.record import KnowledgeRecord

DEAD_RATIO = 5.0  # a dead server counts as so much slower than usual: the module's most is four calls more


@dataclass(frozen=True, slots=True)
class TrustPolicy:
    """stale_ms: the module's times have halved six times by then."""

    stale_ms: float = 60_000.0
    alone_share: float = 0.34  # of servers that a sole witness may call slow
    slowest: float = 10.0
    wrong_by: float = 3.0  # times more, or less, than an own answer: told wrong
    checks: int = 5  # so many servers compared before a peer can lose its say
    distrust_ms: float = 600_000.0
    answers_differ: float = 3.0  # a peer whose middle answer differs so much from all peers' is left out


@dataclass(slots=True)
class _Claims:
    """What a peer said of servers that this broker has not met since, as a ratio to the peer's own usual."""

    ratios: dict[int, float] = field(default_factory=dict)
    right: int = 0
    wrong: int = 0
    distrusted_until: float = -math.inf


class PeerTrust:
    """Weighs records of peers. One for each broker; it remembers who was wrong."""

    def __init__(self, policy: TrustPolicy = TrustPolicy()) -> None:  # noqa: B008 - frozen
        self.policy = policy
        self.peers: dict[str, _Claims] = {}

    def is_trusted(self, peer: str, now_ms: float) -> bool:
        claims = self.peers.get(peer)
        return claims is None or now_ms >= claims.distrusted_until

    def combine(
        self, records: Mapping[str, KnowledgeRecord], numbers: Mapping[str, int], now_ms: float, own: bool = False
    ) -> api.Observations:
        """A prior from peers' records, by peer's name; `numbers` are this broker's for servers by name.

        own: the record is this broker's own, from before a restart: a sole witness, but no stranger.
        """
        heard = {peer: r for peer, r in records.items() if self.is_trusted(peer, now_ms)}
        said: dict[int, list[tuple[float, float]]] = {}  # ratio, age
        middles = {peer: _usual(record) for peer, record in heard.items()}
        for peer, record in heard.items():
            usual = middles[peer]
            if not usual:
                continue
            lines = {}
            for s in record.servers:
                node = numbers.get(s.name)
                if node is not None and s.age_ms < self.policy.stale_ms:
                    ratio = DEAD_RATIO if s.dead else min(s.time_ms / usual, self.policy.slowest)
                    lines[node] = (ratio, s.age_ms)
            if len(heard) == 1 and not own:
                lines = self._few(lines)
            claims = self.peers.setdefault(peer, _Claims())
            for node, line in lines.items():
                said.setdefault(node, []).append(line)
                claims.ratios.setdefault(node, line[0])
        answers, usual = self._answers([(r, middles[peer]) for peer, r in heard.items()])
        nodes = []
        for node, lines_of in said.items():
            if usual and (len(lines_of) * 2 > len(heard) or len(heard) <= 2):  # a server that one liar invents is none
                ratio = _lower_middle([r for r, _ in lines_of])
                age = _lower_middle([-a for _, a in lines_of])  # of ages the greater of two
                nodes.append(api.EndpointObservation(node, max(ratio, 1.0) * usual, -age, False))
        return api.Observations(tuple(nodes), answers)

    def _few(self, lines: dict[int, tuple[float, float]]) -> dict[int, tuple[float, float]]:
        """Only the slowest share of what a sole witness says; the others count as usual."""
        most = max(1, int(self.policy.alone_share * len(lines)))
        slowest = set(sorted(lines, key=lambda node: -lines[node][0])[:most])
        return {node: line if node in slowest else (1.0, line[1]) for node, line in lines.items()}

    def _answers(
        self, records: Sequence[tuple[KnowledgeRecord, float]]
    ) -> tuple[tuple[tuple[float, float, bool], ...], float]:
        """Peers' answers as one sample, the same share from each whose middle agrees; and its middle."""
        usable = [(r, m) for r, m in records if any(not a.censored for a in r.answers)]
        if not usable:
            return (), 0.0
        centre = _lower_middle([m for _, m in usable])
        far = self.policy.answers_differ
        kept = [r for r, m in usable if centre / far <= m <= centre * far] or [usable[0][0]]
        share = max(1, 400 // len(kept))
        rows = [(a.age_ms, a.latency_ms, a.censored) for r in kept for a in r.answers[-share:]]
        rows.sort(key=lambda row: -row[0])
        return tuple(rows), centre

    def check_answer(self, node: int, took_ms: float, usual_ms: float, now_ms: float) -> list[str]:
        """Holds an own answer from a server against what peers said of it; the peers that lose their say now."""
        lost: list[str] = []
        if usual_ms <= 0:
            return lost
        own = max(took_ms / usual_ms, 0.1)
        for peer, claims in self.peers.items():
            ratio = claims.ratios.pop(node, None)
            if ratio is None:
                continue
            off = max(own, ratio) / max(min(own, ratio), 0.1)
            if off > self.policy.wrong_by:
                claims.wrong += 1
            else:
                claims.right += 1
            if claims.wrong + claims.right >= self.policy.checks and claims.wrong > claims.right:
                claims.distrusted_until = now_ms + self.policy.distrust_ms
                claims.right = claims.wrong = 0
                claims.ratios.clear()
                lost.append(peer)
        return lost


def _usual(record: KnowledgeRecord) -> float:
    """A peer's own usual time of a part: the middle of its answers, else of its servers' times."""
    times = [a.latency_ms for a in record.answers if not a.censored] or [
        s.time_ms for s in record.servers if not s.dead
    ]
    return median(times) if times else 0.0


def _lower_middle(values: list[float]) -> float:
    return sorted(values)[(len(values) - 1) // 2]
