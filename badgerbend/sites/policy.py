"""The policy of preference among sites: the sites from the view of one broker, limits, and the classes of queries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from badgerbend import api


class LocalityTier(IntEnum):
    """How near a site is to the broker. Sites of a lower tier are preferred."""

    OWN = 0
    NEAR = 1
    FAR = 2

    @property
    def label(self) -> str:
        """The name of this tier on status pages, which is part of their interface."""
        return _TIER_LABELS[self]


_TIER_LABELS = {LocalityTier.OWN: "own", LocalityTier.NEAR: "near", LocalityTier.FAR: "far"}


class SitePolicyError(ValueError):
    """A policy does not have exactly one own site of the broker. own_sites: the names of all that it has."""

    def __init__(self, own_sites: tuple[str, ...]) -> None:
        super().__init__(f"a broker must have exactly one own site, not {len(own_sites)}")
        self.own_sites = own_sites


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """A site. zones: the zones of its servers; brokers: the number of brokers at the site."""

    name: str
    zones: tuple[int, ...]
    brokers: int
    tier: LocalityTier


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """The parameters configured by `config.fleet.Sites`, which explains them. Times are in milliseconds, rates per ms.

    Raises SitePolicyError unless exactly one site is the broker's own.
    """

    sites: tuple[SiteSpec, ...]
    brokers: int  # of all sites together
    cell_count: int
    cells_per_shard: int
    server_rate: float  # parts per millisecond that a warm server of size 1 serves
    spill_share: float = 0.8
    target_utilization: float = 0.85
    observation_share: float = 0.03  # fraction of parts sent to other sites to observe them, while the own is healthy
    utilization_index: int | None = 0  # index of the utilization in load reports; None if it is not reported
    ejection_threshold: float = 0.5  # success rate below which a site is ejected
    base_ejection_ms: float = 1500.0
    max_ejection_ms: float = 60_000.0
    ejection_half_life_ms: float = 30_000.0  # half-life of the count of past ejections
    trial_successes: int = 8  # consecutive successes that end a trial
    initial_share: float = 0.05  # fraction of its normal traffic at the start of the recovery ramp
    ramp_step_ms: float = 500.0
    connection_rate: float = 0.02  # connections opened in advance, per millisecond
    slow_start_from: float = 0.2
    slow_start_ms: float = 15_000.0
    over_quota_weight: float = 0.1
    classes: tuple[api.QueryClass, ...] = field(default=())

    def __post_init__(self) -> None:
        own_sites = tuple(site.name for site in self.sites if site.tier is LocalityTier.OWN)
        if len(own_sites) != 1:
            raise SitePolicyError(own_sites)

    @property
    def own(self) -> SiteSpec:
        """The broker's own site."""
        return next(site for site in self.sites if site.tier is LocalityTier.OWN)
