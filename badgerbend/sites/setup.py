"""From the settings of one broker to the rules of its preference."""

from __future__ import annotations

from badgerbend.config.fleet import Sites
from badgerbend.config.module import module_settings
from badgerbend.config.settings import Settings
from badgerbend.sites.rules import FAR, NEAR, OWN, Rules, SiteRule


def rules_of(settings: Settings, sites: Sites) -> Rules:
    """`sites` is that of the settings, which have checked that the broker's zone stands in one of them."""
    home = sites.home(settings.identity.zone)
    assert home is not None
    near = {name for s in sites.site for name in s.near if s.name == home.name}
    near |= {s.name for s in sites.site if home.name in s.near}
    tiers = {s.name: OWN if s is home else NEAR if s.name in near else FAR for s in sites.site}
    module, report = module_settings(settings), settings.servers.report
    return Rules(
        sites=tuple(SiteRule(s.name, s.zones, s.brokers, tiers[s.name]) for s in sites.site),
        brokers=settings.identity.count,
        cells=module.cell_count,
        reach=module.cells_per_shard,
        server_pace=sites.server_parts_per_s / 1000.0,
        spill=sites.spill,
        fill=sites.fill,
        watch=sites.watch,
        util_at=report.index(sites.util) if sites.util in report else None,
        out_below=sites.out_below,
        hold_ms=sites.hold_ms,
        hold_most_ms=sites.hold_most_ms,
        fade_ms=sites.fade_ms,
        trials=sites.trials,
        first=sites.first,
        step_ms=sites.step_ms,
        connection_pace=sites.connections_per_s / 1000.0,
        cold_from=module.slow_start_from,
        cold_ms=module.slow_start_ms,
        over_share_worth=module.over_quota_weight,
        classes=module.classes,
    )
