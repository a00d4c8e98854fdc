"""Brokers that decide otherwise, for comparison alone.

`least` sends m of k parts, `all` sends k, else the module's r. Of sites: `anywhere` prefers none; `unlimited` is the
preference without a limit on what spills; `priority` is that of proxies: the own site gets 1.4 times the share of its
servers that are sound, at most all, the rest goes to the others, and below half of sound ones all count as sound.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop

from badgerbend import api
from badgerbend.broker import Broker, read_subgraph
from badgerbend.config.reading import load
from badgerbend.decisions import Aggregator
from badgerbend.decisions.redundancy import RedundancyPolicy
from badgerbend.process import serve
from badgerbend.sites.preference import LocalityPreference

OVERPROVISIONING = 1.4
PANIC = 0.5  # below this share of sound servers all count as sound
EJECT_AFTER, EJECT_MS = 5, 5000.0  # losses in a row, and how long a server is left out for them


class FewestParts(RedundancyPolicy):
    """Sends no surplus parts."""

    def parts_to_send(self, m: int, k: int, now_ms: float) -> int:
        """Gives m."""
        return m


class AllParts(RedundancyPolicy):
    """Sends all parts."""

    def parts_to_send(self, m: int, k: int, now_ms: float) -> int:
        """Gives k."""
        return k


class Least(Aggregator):
    redundancy_type = FewestParts


class All(Aggregator):
    redundancy_type = AllParts


class LeastBroker(Broker):
    decisions = Least


class AllBroker(Broker):
    decisions = All


class Anywhere(Broker):
    def preference(self) -> api.SitePreference | None:
        return None


class _Unlimited(LocalityPreference):
    def _update_limits(self) -> None:
        super()._update_limits()
        for site in self.table.others:
            if site.accepts_work:
                site.bucket.set_rate(self.table.now_ms, 1e6)


class Unlimited(Broker):
    preference_type = _Unlimited


class Priority:
    """`api.SitePreference` by fixed priorities."""

    def __init__(self, own: Sequence[int], seed: int) -> None:
        self.own, self.rng, self.now = set(own), random.Random(seed), 0.0
        self.lines: dict[int, api.Endpoint] = {}
        self.lost: dict[int, int] = {}
        self.ejected: dict[int, float] = {}

    def observe(self, now_ms: float, events: Sequence[api.Event]) -> None:
        self.now = now_ms
        for event in events:
            if isinstance(event, api.EndpointUpdate):
                self.lines.update({line.node: line for line in event.endpoints})
            elif isinstance(event, api.AttemptCompleted):
                bad = event.outcome in (
                    api.Outcome.RESET,
                    api.Outcome.CONNECT_FAILED,
                    api.Outcome.TIMEOUT,
                    api.Outcome.ERROR,
                )
                self.lost[event.node] = self.lost.get(event.node, 0) + 1 if bad else 0
                if self.lost[event.node] >= EJECT_AFTER:
                    self.ejected[event.node] = now_ms + EJECT_MS
                    self.lost[event.node] = 0

    def _sound(self, own: bool) -> float:
        held = [line for line in self.lines.values() if (line.zone in self.own) == own]
        sound = [x for x in held if x.state == api.EndpointState.READY and self.ejected.get(x.node, 0.0) <= self.now]
        return len(sound) / len(held) if held else 0.0

    def admits(self, query: api.Query, over_quota: bool, fewest: int) -> bool:
        return True

    def allows_surplus(self) -> bool:
        return True

    def rank(self, shard: int) -> int:
        return 1

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        ours, theirs = self._sound(True), self._sound(False)
        first, second = min(1.0, OVERPROVISIONING * ours), min(1.0, OVERPROVISIONING * theirs)
        share = first if first + second >= 1.0 else first / (first + second) if first + second else 1.0
        own = self.rng.random() < share
        level = [n for n in nodes if n in self.lines and (self.lines[n].zone in self.own) == own]
        sound = [n for n in level if self.ejected.get(n, 0.0) <= self.now]
        panics = (ours if own else theirs) < PANIC
        return (level if panics else sound) or level or nodes

    def site_rate(self, node: int) -> float:
        return 0.0

    def attempt_sent(self, part: int, attempt: int, node: int) -> None: ...


class PriorityBroker(Broker):
    def preference(self) -> api.SitePreference | None:
        assert self.settings.sites is not None
        home = self.settings.sites.site_of_zone(self.settings.identity.zone)
        return Priority(home.zones if home else (), self.settings.seed + self.settings.identity.index)


KINDS: dict[str, type[Broker]] = {
    "least": LeastBroker,
    "all": AllBroker,
    "anywhere": Anywhere,
    "unlimited": Unlimited,
    "priority": PriorityBroker,
}


def main(path: Path, kind: str) -> int:
    settings = load(path)
    return uvloop.run(serve(KINDS[kind], settings, read_subgraph(settings, path), path.parent))


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]), sys.argv[2]))
