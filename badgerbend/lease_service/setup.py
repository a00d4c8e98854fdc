"""Derives the configuration of a lease service's components from the settings."""

from __future__ import annotations

from badgerbend.config.fleet import Duties
from badgerbend.config.settings import Settings
from badgerbend.consensus.types import RaftConfig
from badgerbend.lease_service.budget_exchange import SLOW_START_DUTY
from badgerbend.lease_service.health_check_duty import HEALTH_CHECK_DUTY
from badgerbend.leases.timing import LeaseTiming

# Numbers of the streams of random numbers, for `random_seed`.
VOTER_SEED = 1
HOLDER_SEED = 2


def lease_timing(duties: Duties) -> LeaseTiming:
    """Returns the timing of leases."""
    return LeaseTiming(
        duties.lease_ms / 1000.0,
        duties.clock_rate,
        duties.ask_ms / 1000.0,
        min(duties.lease_ms / 8, duties.ask_ms / 4) / 1000.0,
        duties.stall_ms / 1000.0,
    )


def raft_config(duties: Duties) -> RaftConfig:
    """Returns the timing of elections and heartbeats among the voters."""
    return RaftConfig(duties.election_ms / 1000.0, duties.beat_ms / 1000.0)


def health_check_duty_name(settings: Settings) -> str:
    """Returns the health-check duty of this broker's site, or that of the whole fleet if it has no site."""
    if settings.sites is None:
        return HEALTH_CHECK_DUTY
    home = settings.sites.site_of_zone(settings.identity.zone)
    return f"{HEALTH_CHECK_DUTY}:{home.name}" if home is not None else HEALTH_CHECK_DUTY


def candidacies(settings: Settings, duties: Duties, *, shares_budget: bool) -> dict[str, bool]:
    """Returns the duties that a broker is a candidate for.

    The value of each tells whether the broker is at the duty's own site, which holds for all of them.
    """
    names = []
    if duties.probing:
        names.append(health_check_duty_name(settings))
    if shares_budget:
        names.append(SLOW_START_DUTY)
    return dict.fromkeys(names, True)


def random_seed(settings: Settings, incarnation: int, stream: int) -> int:
    """Returns the seed of one stream of random numbers in one incarnation of a broker."""
    broker_seed = settings.seed * 1_000_003 + settings.identity.index
    return broker_seed * 4 + stream + (incarnation << 64)
