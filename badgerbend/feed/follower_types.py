"""Types that a follower shares with its owner: addresses of relays, settings, phases and actions."""

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
    backoff_base: float = 0.1  # upper bound of the first backoff; doubles with each attempt, with full jitter
    backoff_max: float = 10.0
    connect_timeout: float = 3.0
    heartbeat_timeout: float = 4.0  # without any message from the relay; covers four heartbeat intervals
    quarantine: float = 60.0  # for a relay that sent invalid data
    progress_timeout: float = 30.0  # from the announcement of a revision to the first message towards it
    staleness_limit: float = 5.0  # a relay whose own log is older is left for another relay
    stale_retry_interval: float = 30.0  # before a stale relay is tried again
    failback_interval: float = 120.0  # on a relay of another region, before one of the own region is tried again
    status_min_interval: float = 1.0  # upper bound of the delay before a changed status is sent
    status_max_interval: float = 10.0  # between statuses that have not changed


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a connection to a relay. Its events carry the number of this attempt."""

    attempt: int
    relay: RelayAddress


@dataclass(frozen=True, slots=True)
class Send:
    """Send a frame on the connection of this attempt."""

    attempt: int
    frame: bytes


@dataclass(frozen=True, slots=True)
class Disconnect:
    """Close the connection of this attempt, or stop opening it."""

    attempt: int


@dataclass(frozen=True, slots=True)
class Install:
    """Apply the changes that lead to this revision, then call `Follower.applied` or `Follower.rejected`."""

    revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """Log that a message of this relay was rejected."""

    relay: str
    error: FeedError


Action = Connect | Send | Disconnect | Install | MessageRejected


class FollowerPhase(Enum):
    """State of the connection to a relay."""

    BACKING_OFF = auto()  # waiting for the next attempt
    CONNECTING = auto()
    STREAMING = auto()
    RECEIVING_SNAPSHOT = auto()
    STOPPED = auto()


CONNECTED_PHASES = (FollowerPhase.STREAMING, FollowerPhase.RECEIVING_SNAPSHOT)
ACTIVE_PHASES = (FollowerPhase.CONNECTING, *CONNECTED_PHASES)
