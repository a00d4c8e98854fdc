"""Messages between a test and the processes that `tests.feed_processes` starts: typed JSON lines."""

import msgspec

from badgerbend.feed.follower_types import FollowerTuning, RelayAddress
from badgerbend.feed.log import Retention
from badgerbend.feed.relay_types import RelayTuning

UNKNOWN_AGE_S = 1e12  # JSON has no infinity


class RelaySetup(msgspec.Struct, frozen=True, tag=True):
    """A relay. Without an upstream it publishes what the test sends; with one it relays what that one publishes."""

    name: str = "core"
    region: str = "north"
    tuning: RelayTuning = RelayTuning()
    retention: Retention = Retention()
    upstream: tuple[RelayAddress, ...] = ()
    upstream_tuning: FollowerTuning = FollowerTuning()


class FollowersSetup(msgspec.Struct, frozen=True, tag=True):
    """Several followers in one process."""

    count: int
    region: str
    relays: tuple[RelayAddress, ...]
    tuning: FollowerTuning = FollowerTuning()


class ControlSetup(msgspec.Struct, frozen=True, tag=True):
    """A control machine with a vote. voters: host and port by name; store: the folder of its records."""

    name: str
    region: str
    store: str
    voters: dict[str, tuple[str, int]]
    tuning: RelayTuning = RelayTuning()


Setup = RelaySetup | FollowersSetup | ControlSetup


# -- test to process


class Publish(msgspec.Struct, frozen=True, tag=True):
    """Publish these changes in one batch. None takes a key away."""

    changes: tuple[tuple[str, str | None], ...]


class Fill(msgspec.Struct, frozen=True, tag=True):
    """Publish so many batches, each of so many rows of hardly compressible text, always of the same keys."""

    batches: int
    rows: int
    value_bytes: int
    prefix: str = "row"


class Report(msgspec.Struct, frozen=True, tag=True):
    """Ask for a report."""


Command = Publish | Fill | Report


# -- process to test


class Listening(msgspec.Struct, frozen=True, tag=True):
    port: int


class Published(msgspec.Struct, frozen=True, tag=True):
    """A revision came about; the hexadecimal digest of the content there."""

    revision: int
    digest: str


class Installed(msgspec.Struct, frozen=True, tag=True):
    """A follower put a revision in force; the digest is made from all that it has put in force, not from its log."""

    follower: str
    revision: int
    digest: str


class PieceCame(msgspec.Struct, frozen=True, tag=True):
    """A piece of a snapshot reached a follower."""

    follower: str
    relay: str


class Refused(msgspec.Struct, frozen=True, tag=True):
    """A follower did not use what a relay sent."""

    follower: str
    relay: str
    error: str


class RelayReport(msgspec.Struct, frozen=True, tag=True):
    """A relay's counters. *_most: the highest so far. over_pace_most: bytes of snapshots above what the pace alone
    allowed, as a bucket that leaks at the pace. blocked: followers to which a whole window is on its way."""

    revision: int
    digest: str
    followers: int
    blocked: tuple[str, ...]
    snapshots_started: int
    cut: int
    loading_most: int
    in_flight_most: int
    waiting_most: int
    over_pace_most: float
    largest_frame: int
    largest_piece: int
    snapshot_bytes: int


class Submitted(msgspec.Struct, frozen=True, tag=True):
    """Whether a control machine took changes for publication: it does so while it holds the lease."""

    taken: bool


class ControlReport(msgspec.Struct, frozen=True, tag=True):
    """How a control machine stands. in_force: followers with its revision, as far as relays have reported to it."""

    leads: bool
    publishes: bool
    epoch: int
    revision: int
    digest: str
    followers: int
    in_force: int
    age_s: float


class FollowerState(msgspec.Struct, frozen=True):
    """publications: that came, used or not. age_s: `UNKNOWN_AGE_S` before the first word."""

    name: str
    relay: str | None
    revision: int
    digest: str
    publications: int
    age_s: float


class FollowersReport(msgspec.Struct, frozen=True, tag=True):
    followers: tuple[FollowerState, ...]


Event = (
    Listening | Published | Installed | PieceCame | Refused | RelayReport | FollowersReport | Submitted | ControlReport
)


def encode_line(message: msgspec.Struct) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def decode_setup(text: str) -> Setup:
    return msgspec.json.decode(text, type=Setup)


def decode_command(line: bytes) -> Command:
    return msgspec.json.decode(line, type=Command)


def decode_event(line: bytes) -> Event:
    return msgspec.json.decode(line, type=Event)
