"""Converts the settings of a broker to its policy of preference among sites."""

from __future__ import annotations

from badgerbend.config.fleet import Sites
from badgerbend.config.module import module_settings
from badgerbend.config.settings import Settings
from badgerbend.sites.policy import LocalityTier, SitePolicy, SiteSpec


def site_policy(settings: Settings, sites: Sites) -> SitePolicy:
    """The site policy of the broker with these settings.

    `sites` is that of the settings, whose validation ensures that the broker's zone belongs to one of the sites.
    """
    module = module_settings(settings)
    report = settings.servers.report
    return SitePolicy(
        sites=_site_specs(settings, sites),
        brokers=settings.identity.count,
        cell_count=module.cell_count,
        cells_per_shard=module.cells_per_shard,
        server_rate=sites.server_parts_per_s / 1000.0,
        spill_share=sites.spill,
        target_utilization=sites.fill,
        observation_share=sites.watch,
        utilization_index=report.index(sites.util) if sites.util in report else None,
        ejection_threshold=sites.out_below,
        base_ejection_ms=sites.hold_ms,
        max_ejection_ms=sites.hold_most_ms,
        ejection_half_life_ms=sites.fade_ms,
        trial_successes=sites.trials,
        initial_share=sites.first,
        ramp_step_ms=sites.step_ms,
        connection_rate=sites.connections_per_s / 1000.0,
        slow_start_from=module.slow_start_from,
        slow_start_ms=module.slow_start_ms,
        over_quota_weight=module.over_quota_weight,
        classes=module.classes,
    )


def _site_specs(settings: Settings, sites: Sites) -> tuple[SiteSpec, ...]:
    own = sites.site_of_zone(settings.identity.zone)
    assert own is not None
    near = set(own.near)
    near |= {site.name for site in sites.site if own.name in site.near}
    specs = []
    for site in sites.site:
        if site is own:
            tier = LocalityTier.OWN
        elif site.name in near:
            tier = LocalityTier.NEAR
        else:
            tier = LocalityTier.FAR
        specs.append(SiteSpec(site.name, site.zones, site.brokers, tier))
    return tuple(specs)
