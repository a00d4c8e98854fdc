"""The status of sites for the HTTP page, the command line and metrics. Its JSON field names are an interface."""

from __future__ import annotations

import msgspec

from badgerbend.sites.availability import SiteState
from badgerbend.sites.preference import LocalityPreference
from badgerbend.sites.site import Site

MS_PER_S = 1000.0


class SiteStatus(msgspec.Struct, frozen=True):
    """One site. Rates are in parts per second and of this broker alone; shares are 0 to 1; None means unknown."""

    name: str
    tier: str
    state: str
    drained: bool
    share: float  # of its normal traffic that it may receive
    ejections: float = msgspec.field(name="turns")  # a count that decays over time
    success_rate: float | None = msgspec.field(name="success")
    utilization: float | None = msgspec.field(name="used")
    capacity_per_s: float = msgspec.field(name="room_per_s")
    full_capacity_per_s: float = msgspec.field(name="whole_per_s")
    sent_per_s: float
    spilled_per_s: float  # sent parts that count against the spill-over limit of another site
    allowed_per_s: float | None  # None means no limit
    failing_servers: int = msgspec.field(name="failing")


class RetainedShares(msgspec.Struct, frozen=True):
    """Limits on the share of its traffic that the broker's own site keeps, by utilization and by latency."""

    by_utilization: float = msgspec.field(name="by_load")
    by_latency: float = msgspec.field(name="by_time")


class RejectionCount(msgspec.Struct, frozen=True):
    """How many queries of a class and a tenant were rejected for a reason."""

    reason: str
    class_index: int = msgspec.field(name="class")
    tenant: int
    count: int


class SitesStatus(msgspec.Struct, frozen=True):
    """All sites as one broker observes them."""

    own: str  # the name of the broker's own site
    list_age_ms: int | None  # time since an update of the endpoint list last contained servers
    demand_per_s: float
    retained: RetainedShares = msgspec.field(name="keeps")
    sites: tuple[SiteStatus, ...]
    rejections: tuple[RejectionCount, ...] = msgspec.field(name="refusals")


def sites_status(preference: LocalityPreference, now_ms: float) -> SitesStatus:
    """The current status of all sites."""
    table = preference.table
    load = preference.own_load
    updated_ms = table.list_updated_ms
    return SitesStatus(
        own=table.own.name,
        list_age_ms=None if updated_ms is None else round(now_ms - updated_ms),
        demand_per_s=round(table.demand.rate(now_ms) * MS_PER_S, 1),
        retained=RetainedShares(round(load.utilization_share, 3), round(load.latency_share, 3)),
        sites=tuple(_site_status(preference, site, now_ms) for site in table.sites),
        rejections=tuple(
            RejectionCount(rejection.reason, rejection.class_index, rejection.tenant, count)
            for rejection, count in sorted(preference.admission.rejections.items())
        ),
    )


def _site_status(preference: LocalityPreference, site: Site, now_ms: float) -> SiteStatus:
    capacity = preference.table.inventory.capacity(now_ms, site.index, site.health.failing_servers)
    unlimited = site.is_own and site.state is SiteState.ACTIVE
    return SiteStatus(
        name=site.name,
        tier=site.tier.label,
        state=site.state.value,
        drained=site.drain.drained,
        share=round(min(site.availability.share, site.drain.retained_share), 3),
        ejections=round(site.availability.ejections.read(now_ms), 2),
        success_rate=_rounded(site.health.success_rate(now_ms)),
        utilization=_rounded(site.health.utilization(now_ms)),
        capacity_per_s=round(capacity.available * MS_PER_S, 1),
        full_capacity_per_s=round(capacity.full * MS_PER_S, 1),
        sent_per_s=round(site.health.sent.rate(now_ms) * MS_PER_S, 1),
        spilled_per_s=round(site.spilled.rate(now_ms) * MS_PER_S, 1),
        allowed_per_s=None if unlimited else round(site.bucket.rate * MS_PER_S, 1),
        failing_servers=len(site.health.failing_servers),
    )


def _rounded(fraction: float | None) -> float | None:
    return None if fraction is None else round(fraction, 3)
