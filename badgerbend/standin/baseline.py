"""Brokers with other policies, as baselines for comparison.

`least` sends the m parts that an answer needs and `all` sends all k; the module itself chooses a number between. The
others choose among sites: `anywhere` prefers none; `unlimited` prefers its own site without a limit on the spill;
`priority` works as common proxies do: its own site gets 1.4 times the share of its healthy servers, at most all
traffic, and the rest goes to other sites. Below half of healthy servers all servers of a site count as healthy.
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
PANIC = 0.5  # below this share of healthy servers all count as healthy
EJECT_AFTER, EJECT_MS = 5, 5000.0  # consecutive failures before an ejection, and how long it lasts


class FewestParts(RedundancyPolicy):
    """Sends no surplus parts: only as many as an answer needs."""

    def parts_to_send(self, m: int, k: int, now_ms: float) -> int:
        return m


class AllParts(RedundancyPolicy):
    """Sends all parts."""

    def parts_to_send(self, m: int, k: int, now_ms: float) -> int:
        return k


class Least(Aggregator):
    """Decides as the module does, but sends no surplus parts."""

    redundancy_type = FewestParts


class All(Aggregator):
    """Decides as the module does, but always sends all parts."""

    redundancy_type = AllParts


class LeastBroker(Broker):
    decisions = Least


class AllBroker(Broker):
    decisions = All


class Anywhere(Broker):
    """Prefers no site."""

    def preference(self) -> api.SitePreference | None:
        return None


class _Unlimited(LocalityPreference):
    def _update_limits(self) -> None:
        super()._update_limits()
        for site in self.table.others:
            if site.accepts_work:
                site.bucket.set_rate(self.table.now_ms, 1e6)


class Unlimited(Broker):
    """Prefers its own site and does not limit the spill to others."""

    preference_type = _Unlimited


class Priority:
    """An `api.SitePreference` by fixed priorities: the own site first, others as its healthy share drops."""

    def __init__(self, own: Sequence[int], seed: int) -> None:
        self.own, self.rng, self.now = set(own), random.Random(seed), 0.0
        self.endpoints: dict[int, api.Endpoint] = {}
        self.failures: dict[int, int] = {}
        self.ejected: dict[int, float] = {}

    def observe(self, now_ms: float, events: Sequence[api.Event]) -> None:
        self.now = now_ms
        for event in events:
            if isinstance(event, api.EndpointUpdate):
                self.endpoints.update({endpoint.node: endpoint for endpoint in event.endpoints})
            elif isinstance(event, api.AttemptCompleted):
                failed = event.outcome in (
                    api.Outcome.RESET,
                    api.Outcome.CONNECT_FAILED,
                    api.Outcome.TIMEOUT,
                    api.Outcome.ERROR,
                )
                self.failures[event.node] = self.failures.get(event.node, 0) + 1 if failed else 0
                if self.failures[event.node] >= EJECT_AFTER:
                    self.ejected[event.node] = now_ms + EJECT_MS
                    self.failures[event.node] = 0

    def _healthy_share(self, own: bool) -> float:
        known = [x for x in self.endpoints.values() if (x.zone in self.own) == own]
        healthy = [x for x in known if x.state == api.EndpointState.READY and self.ejected.get(x.node, 0.0) <= self.now]
        return len(healthy) / len(known) if known else 0.0

    def admits(self, query: api.Query, over_quota: bool, fewest: int) -> bool:
        return True

    def allows_surplus(self) -> bool:
        return True

    def rank(self, shard: int) -> int:
        return 1

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        ours, theirs = self._healthy_share(True), self._healthy_share(False)
        first, second = min(1.0, OVERPROVISIONING * ours), min(1.0, OVERPROVISIONING * theirs)
        share = first if first + second >= 1.0 else first / (first + second) if first + second else 1.0
        own = self.rng.random() < share
        level = [n for n in nodes if n in self.endpoints and (self.endpoints[n].zone in self.own) == own]
        healthy = [n for n in level if self.ejected.get(n, 0.0) <= self.now]
        panics = (ours if own else theirs) < PANIC
        return (level if panics else healthy) or level or nodes

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
