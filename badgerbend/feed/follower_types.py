"""Values that a follower exchanges with its owner: addresses of relays, settings, phases and actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from badgerbend.feed.errors import FeedError
from badgerbend.feed.messages import Change


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """A relay that a follower may use."""

    name: str
    region: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class FollowerTuning:
    """Timeouts and intervals of a follower, in seconds."""

    start_jitter: float = 0.5  # spreads the first connections of followers that start together
    backoff_base: float = 0.1  # bound of the first pause between attempts; each further one doubles, with full jitter
    backoff_max: float = 10.0
    connect_timeout: float = 3.0
    heartbeat_timeout: float = 4.0  # without any message from the relay; covers four heartbeats
    quarantine: float = 60.0  # for a relay that sent something invalid
    progress_timeout: float = 30.0  # from an announced revision to the first message that leads to it
    staleness_limit: float = 5.0  # a relay whose own log is older than this is left for another one
    stale_retry_interval: float = 30.0  # before a stale relay is tried again
    failback_interval: float = 120.0  # connected to another region, before a relay of the own region is tried again
    status_min_interval: float = 1.0  # upper bound of the delay of a changed status
    status_max_interval: float = 10.0  # between statuses that did not change


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection; its events carry this attempt's number."""

    attempt: int
    relay: RelayAddress


@dataclass(frozen=True, slots=True)
class Send:
    """Send a frame on the connection of this attempt."""

    attempt: int
    frame: bytes


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection of this attempt, or give up opening it."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Install:
    """The replica is at this revision: apply these changes, then call `applied` or `rejected`."""

    revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """For the log: a message of this relay was not used."""

    relay: str
    error: FeedError


Action = Connect | Send | Disconnect | Install | MessageRejected


class FollowerPhase(Enum):
    """State of the connection to a relay."""

    BACKING_OFF = auto()  # until the next attempt
    CONNECTING = auto()
    STREAMING = auto()
    RECEIVING_SNAPSHOT = auto()
    STOPPED = auto()


CONNECTED_PHASES = (FollowerPhase.STREAMING, FollowerPhase.RECEIVING_SNAPSHOT)
ACTIVE_PHASES = (FollowerPhase.CONNECTING, *CONNECTED_PHASES)
