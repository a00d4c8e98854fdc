"""What the decisions on sites are told: sites as this broker sees them, limits, and the classes' worths."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerbend import api

OWN, NEAR, FAR = 0, 1, 2


@dataclass(frozen=True, slots=True)
class SiteRule:
    """A site. tier: OWN, NEAR or FAR for this broker; brokers: how many have it for their own."""

    name: str
    zones: tuple[int, ...]
    brokers: int
    tier: int


@dataclass(frozen=True, slots=True)
class Rules:
    """See `config.fleet.Sites` for what the values mean. Times in milliseconds, paces a millisecond."""

    sites: tuple[SiteRule, ...]
    brokers: int
    cells: int
    reach: int
    server_pace: float  # parts a millisecond of a warm server of size 1
    spill: float = 0.8
    fill: float = 0.85
    watch: float = 0.03
    util_at: int | None = 0  # place of the load among what servers report; None: they don't report it
    out_below: float = 0.5
    hold_ms: float = 1500.0
    hold_most_ms: float = 60_000.0
    fade_ms: float = 30_000.0
    trials: int = 8
    first: float = 0.05
    step_ms: float = 500.0
    connection_pace: float = 0.02
    cold_from: float = 0.2
    cold_ms: float = 15_000.0
    over_share_worth: float = 0.1
    classes: tuple[api.QueryClass, ...] = field(default=())

    def __post_init__(self) -> None:
        if [s.tier for s in self.sites].count(OWN) != 1:
            raise ValueError("a broker has one site of its own")

    @property
    def own(self) -> SiteRule:
        return next(s for s in self.sites if s.tier == OWN)
