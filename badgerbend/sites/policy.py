"""The policy of preference among sites: the sites as one broker sees them, limits, and the classes of queries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from badgerbend import api


class LocalityTier(IntEnum):
    """How near a site is to the broker; sites of a lower tier are preferred."""

    OWN = 0
    NEAR = 1
    FAR = 2

    @property
    def label(self) -> str:
        """The word for this tier on status pages, which is part of their interface."""
        return _TIER_LABELS[self]


_TIER_LABELS = {LocalityTier.OWN: "own", LocalityTier.NEAR: "near", LocalityTier.FAR: "far"}


class SitePolicyError(ValueError):
    """Not exactly one site of a policy is the broker's own. own_sites: their names."""

    def __init__(self, own_sites: tuple[str, ...]) -> None:
        super().__init__(f"a broker has one site of its own, not {len(own_sites)}")
        self.own_sites = own_sites


@dataclass(frozen=True, slots=True)
class SiteSpec:
    """A site. zones: those of its servers; brokers: how many brokers stand there."""

    name: str
    zones: tuple[int, ...]
    brokers: int
    tier: LocalityTier


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """What `config.fleet.Sites` sets, which explains the values. Times in milliseconds, rates per millisecond.

    Raises SitePolicyError where not exactly one site is the broker's own.
    """

    sites: tuple[SiteSpec, ...]
    brokers: int  # of all sites
    cell_count: int
    cells_per_shard: int
    server_rate: float  # parts a millisecond that a warm server of size 1 serves
    spill_share: float = 0.8
    target_utilization: float = 0.85
    observation_share: float = 0.03  # of parts that go to other sites in good times, to observe those
    utilization_index: int | None = 0  # place of the utilization in load reports; None: it is not reported
    ejection_threshold: float = 0.5  # success rate below which a site is ejected
    base_ejection_ms: float = 1500.0
    max_ejection_ms: float = 60_000.0
    ejection_half_life_ms: float = 30_000.0  # of the count of past ejections
    trial_successes: int = 8  # consecutive, that end a trial
    initial_share: float = 0.05  # of its usual work, at the start of the recovery ramp
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
