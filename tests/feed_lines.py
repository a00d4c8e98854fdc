"""Messages between a test and the processes that `tests.feed_processes` starts: JSON lines with a type tag."""

import msgspec

from badgerbend.feed.follower_types import FollowerTuning, RelayAddress
from badgerbend.feed.log import Retention
from badgerbend.feed.relay_types import RelayTuning

UNKNOWN_AGE_S = 1e12  # JSON has no infinity


class RelaySetup(msgspec.Struct, frozen=True, tag=True):
    """A relay: without an upstream it publishes what the test sends, otherwise what its upstream publishes."""

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
    """A control machine that votes. voters: host and port by name; store: the folder of its records."""

    name: str
    region: str
    store: str
    voters: dict[str, tuple[str, int]]
    tuning: RelayTuning = RelayTuning()


Setup = RelaySetup | FollowersSetup | ControlSetup


# -- test to process


class Publish(msgspec.Struct, frozen=True, tag=True):
    """Publish these changes in one batch. A value of None removes the key."""

    changes: tuple[tuple[str, str | None], ...]


class Fill(msgspec.Struct, frozen=True, tag=True):
    """Publish batches of rows with text that hardly compresses. All batches have the same keys."""

    batches: int
    rows: int
    value_bytes: int
    prefix: str = "row"


class Report(msgspec.Struct, frozen=True, tag=True):
    """Ask for a report."""


Command = Publish | Fill | Report


# -- process to test


class Listening(msgspec.Struct, frozen=True, tag=True):
    """The process accepts connections."""

    port: int


class Published(msgspec.Struct, frozen=True, tag=True):
    """A revision was published. digest: of its content, in hexadecimal."""

    revision: int
    digest: str


class Installed(msgspec.Struct, frozen=True, tag=True):
    """A follower put a revision in force. digest: of all content that it has put in force, not of its log."""

    follower: str
    revision: int
    digest: str


class PieceReceived(msgspec.Struct, frozen=True, tag=True):
    """A follower received a piece of a snapshot."""

    follower: str
    relay: str


class Rejected(msgspec.Struct, frozen=True, tag=True):
    """A follower rejected a message of a relay."""

    follower: str
    relay: str
    error: str


class RelayReport(msgspec.Struct, frozen=True, tag=True):
    """A relay's counters. max_*: the highest value so far.

    max_over_rate: the level of a leaky bucket that is filled with the bytes of snapshots and leaks at their rate limit.
    blocked: followers with a full send window in flight.
    """

    revision: int
    digest: str
    followers: int
    blocked: tuple[str, ...]
    snapshots_started: int
    evicted: int
    max_loading: int
    max_in_flight: int
    max_unsent: int
    max_over_rate: float
    largest_frame: int
    largest_piece: int
    snapshot_bytes: int


class Submitted(msgspec.Struct, frozen=True, tag=True):
    """Whether a control machine accepted changes for publication: it does so while it holds the lease."""

    accepted: bool


class ControlReport(msgspec.Struct, frozen=True, tag=True):
    """The state of a control machine. in_force: followers with its revision, as far as relays have reported to it."""

    is_leader: bool
    is_publisher: bool
    epoch: int
    revision: int
    digest: str
    followers: int
    in_force: int
    age_s: float


class FollowerState(msgspec.Struct, frozen=True):
    """The state of a follower.

    publications: number received, used or not. age_s: `UNKNOWN_AGE_S` before the first message with an age.
    """

    name: str
    relay: str | None
    revision: int
    digest: str
    publications: int
    age_s: float


class FollowersReport(msgspec.Struct, frozen=True, tag=True):
    """The states of all followers of a process."""

    followers: tuple[FollowerState, ...]


Event = (
    Listening
    | Published
    | Installed
    | PieceReceived
    | Rejected
    | RelayReport
    | FollowersReport
    | Submitted
    | ControlReport
)


def encode_line(message: msgspec.Struct) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def decode_setup(text: str) -> Setup:
    return msgspec.json.decode(text, type=Setup)


def decode_command(line: bytes) -> Command:
    return msgspec.json.decode(line, type=Command)


def decode_event(line: bytes) -> Event:
    return msgspec.json.decode(line, type=Event)
