"""The rates at which a broker may send to each site, from spill-over limits, trials and recovery ramps."""

from __future__ import annotations

from badgerbend import api
from badgerbend.sites.availability import SiteState
from badgerbend.sites.site import Site, SiteTable
from badgerbend.sites.spill_limit import spill_allowance

TRIAL_RATE = 0.016  # parts per millisecond to a site on trial; the successes that end it then take half a second


class SiteRateLimits:
    """Sets the rate of every site's token bucket.

    slow_start_budget: divides the rate to a recovering site between brokers according to demand; None: each broker uses
    an equal share.
    """

    def __init__(self, table: SiteTable) -> None:
        self.table = table
        self.slow_start_budget: api.SlowStartBudget | None = None

    def update(self) -> None:
        """Recomputes all rates from the states, capacities and utilization of the sites."""
        demand_rate = self.table.demand.rate(self.table.now_ms)
        for site in self.table.sites:
            site.bucket.set_rate(self.table.now_ms, self._rate(site, demand_rate))

    def _rate(self, site: Site, demand_rate: float) -> float:
        if site.state is SiteState.EJECTED or (site.drain.drained and not site.is_own):
            return 0.0
        if site.state is SiteState.TRIAL:
            return TRIAL_RATE
        if site.is_own:
            return self._own_rate(site, demand_rate)
        return site.availability.share * spill_allowance(
            site.capacity,
            site.health.utilization(self.table.now_ms),
            demand_rate,
            site.spilled.rate(self.table.now_ms),
            self.table.policy.spill_share,
            site.local_brokers,
            self.table.policy.brokers - site.local_brokers,
        )

    def _own_rate(self, site: Site, demand_rate: float) -> float:
        """The rate to the own site, limited only while it recovers. Its brokers have equal shares of its capacity."""
        recovering = site.state is SiteState.RECOVERING
        wanted = site.availability.share * demand_rate
        bound = self.table.policy.target_utilization * site.capacity / site.local_brokers
        if self.slow_start_budget is not None and recovering:
            bound = self.slow_start_budget.recovering_site_rate(self.table.now_ms, site.name, bound, wanted)
        return max(min(wanted, bound), TRIAL_RATE if recovering else 0.0)
