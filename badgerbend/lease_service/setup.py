"""What a lease service's parts are made of, from the settings."""

from __future__ import annotations

from badgerbend.config.fleet import Duties
from badgerbend.config.settings import Settings
from badgerbend.consensus.types import RaftConfig
from badgerbend.lease_service.probing import PROBING_DUTY
from badgerbend.leases.timing import LeaseTiming

VOTER_SEED = 1  # streams of random numbers
HOLDER_SEED = 2


def lease_timing(duties: Duties) -> LeaseTiming:
    """The timing of leases."""
    return LeaseTiming(
        duties.lease_ms / 1000.0,
        duties.clock_rate,
        duties.ask_ms / 1000.0,
        min(duties.lease_ms / 8, duties.ask_ms / 4) / 1000.0,
        duties.stall_ms / 1000.0,
    )


def raft_config(duties: Duties) -> RaftConfig:
    """The timing of elections among the voters."""
    return RaftConfig(duties.election_ms / 1000.0, duties.beat_ms / 1000.0)


def probing_duty_name(settings: Settings) -> str:
    """The probing duty of this broker's site; of the whole fleet where it has no site."""
    if settings.sites is None:
        return PROBING_DUTY
    home = settings.sites.home(settings.identity.zone)
    return f"{PROBING_DUTY}:{home.name}" if home is not None else PROBING_DUTY


def random_seed(settings: Settings, incarnation: int, stream: int) -> int:
    """The seed of one stream of random numbers in one incarnation of a broker."""
    broker_seed = settings.seed * 1_000_003 + settings.identity.index
    return broker_seed * 4 + stream + (incarnation << 64)
