"""Runs a broker's preference among sites: opens connections in advance, logs state changes, and sets metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path

from badgerbend.config.fleet import Sites
from badgerbend.config.settings import Settings
from badgerbend.log import get_logger
from badgerbend.metrics import Metrics
from badgerbend.net.client import Pool
from badgerbend.net.exchange import Exchange
from badgerbend.site_service.http import SitesHandler
from badgerbend.site_service.operator_key import read_operator_key
from badgerbend.sites.from_settings import site_policy
from badgerbend.sites.preference import LocalityPreference
from badgerbend.sites.status import SiteStatus, sites_status

PRECONNECT_INTERVAL_S = 0.1  # also the interval of logging; short compared with the steps of a recovery ramp
SEED_FACTOR = 1_000_003  # a prime, so that brokers with the same seed draw different random numbers


class SiteService:
    """Owns the broker's `LocalityPreference`.

    folder: the path of the key file is relative to it; pool_of: returns the connection pool of a server, or None for an
    unknown server; now_ms: the clock of the decisions. Raises OperatorKeyError, a ValueError, if the key is too short,
    and OSError if it cannot be read.
    """

    def __init__(
        self,
        settings: Settings,
        sites: Sites,
        folder: Path,
        pool_of: Callable[[int], Pool | None],
        now_ms: Callable[[], float],
        metrics: Metrics,
        preference_type: type[LocalityPreference] = LocalityPreference,
    ) -> None:
        self.settings = settings
        self.pool_of = pool_of
        self.now_ms = now_ms
        self.metrics = metrics
        seed = settings.seed * SEED_FACTOR + settings.identity.index
        self.preference = preference_type(site_policy(settings, sites), seed)
        self.log = get_logger(part="sites")
        operator_key = read_operator_key(folder, sites.key) if sites.key else None
        self._handler = SitesHandler(self.preference, now_ms, operator_key)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Starts to open connections in advance and to log state changes."""
        self._timer = asyncio.get_running_loop().call_later(PRECONNECT_INTERVAL_S, self._run)

    def close(self) -> None:
        """Stops the timer that `start` has set."""
        if self._timer is not None:
            self._timer.cancel()

    def _run(self) -> None:
        preconnector = self.preference.preconnector
        for node in preconnector.servers_due(self.now_ms()):
            pool = self.pool_of(node)
            if pool is not None:
                pool.preconnect(partial(self._connection_opened, node))
        changes = self.preference.states.changes
        for change in changes:
            self.log.warning("site", site=change.site, now=change.description)
        changes.clear()
        self.start()

    def _connection_opened(self, node: int, connected: bool) -> None:
        self.preference.preconnector.record_result(self.now_ms(), node, connected)

    def handle(self, exchange: Exchange) -> None:
        """Answers a request for `/sites` or a path below it."""
        self._handler.handle(exchange)

    def update_metrics(self) -> None:
        """Sets the gauges of sites and of rejected queries."""
        status = sites_status(self.preference, self.now_ms())
        for site in status.sites:
            for what, value in _gauge_values(site).items():
                if value is not None:
                    self.metrics.sites.labels(site.name, what).set(value)
        tenants = [tenant.name for tenant in self.settings.tenant]
        for rejection in status.rejections:
            tenant = tenants[rejection.tenant] if rejection.tenant < len(tenants) else ""
            class_name = self.metrics.classes[rejection.class_index]
            self.metrics.site_refusals.labels(rejection.reason, class_name, tenant).set(rejection.count)


def _gauge_values(site: SiteStatus) -> dict[str, float | None]:
    """The values of the gauge `badgerbend_site`, by the value of its label `what`."""
    return {
        "share": site.share,
        "sent_per_s": site.sent_per_s,
        "spilled_per_s": site.spilled_per_s,
        "allowed_per_s": site.allowed_per_s,
        "room_per_s": site.capacity_per_s,
        "used": site.utilization,
        "turns": site.ejections,
    }
