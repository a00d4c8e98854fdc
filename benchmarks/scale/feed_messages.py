"""Commands of the feed's scale benchmark to its processes, and their replies: MessagePack arrays over pipes."""

from __future__ import annotations

import msgspec

from badgerbend.feed.messages import Change


class Address(msgspec.Struct, array_like=True, frozen=True):
    """The address at which followers connect to a relay: that of its own socket or of a proxy's."""

    name: str
    region: str
    port: int


class FollowerSpec(msgspec.Struct, array_like=True, frozen=True):
    """A follower to start. zone: its index among all zones. is_uncrowded: its process has only a few followers."""

    name: str
    region: str
    zone: int
    is_uncrowded: bool
    relays: tuple[Address, ...]


# -- to any process


class Measure(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Requests `Measured`."""


# -- to relays


class StartControl(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Start publisher, log and a relay. retained: publications that the log retains."""

    name: str
    retained: int


class StartRelay(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Start a relay that follows another one."""

    name: str
    region: str
    upstream: Address
    seed: int


class Publish(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Publish these changes. forget: then drop the past publications, as a machine restarted from its dump does."""

    changes: tuple[Change, ...]
    forget: bool = False


# -- to followers


class StartFollowers(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Start followers with empty replicas. share: the process keeps one copy of equal keys and values."""

    followers: tuple[FollowerSpec, ...]
    seed: int
    share: bool = True


class StopZone(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """Close the connections of the followers of a zone."""

    zone: int


class ReturnZone(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Start the followers of a zone again. forget: with empty replicas."""

    zone: int
    forget: bool


class Count(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Requests how many followers have this revision in force."""

    revision: int


class Collect(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Requests when each follower put the revisions of this range in force."""

    first: int
    last: int


class Audit(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Requests how many followers have exactly this content in their replica and in force."""

    revision: int
    digest: bytes


# -- to the proxy


class OpenProxy(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Open a listening socket for each target. group: the links that are disturbed together."""

    group: str
    targets: tuple[Address, ...]


class Disturb(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """How a group's links are disturbed from now on.

    stall: probability that a chunk is delayed. reset_every_s: mean time until a connection is reset, 0 for never. cut:
    nothing passes, and nothing is closed either.
    """

    group: str
    stall: float = 0.0
    reset_every_s: float = 0.0
    cut: bool = False


# -- to control machines that vote


class VoterAddress(msgspec.Struct, array_like=True, frozen=True):
    """The port at which a voter receives datagrams."""

    name: str
    port: int


class StartVoter(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Start a control machine that votes. store: the folder of its persistent state."""

    name: str
    store: str
    voters: tuple[VoterAddress, ...]


class GetStatus(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Requests `ControlStatus`."""


Command = (
    Measure
    | StartControl
    | StartRelay
    | Publish
    | StartFollowers
    | StopZone
    | ReturnZone
    | Count
    | Collect
    | Audit
    | OpenProxy
    | Disturb
    | StartVoter
    | GetStatus
)


# -- replies


class Measured(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Measurements of a process. cpu_s: since its start. resident, peak: bytes of memory.

    Of its followers: received, sent: bytes by zone; rejected: messages; attempts: connection attempts.
    """

    at: float
    cpu_s: float
    publisher_cpu_s: float
    resident: int
    peak: int
    received: tuple[int, ...] = ()
    sent: tuple[int, ...] = ()
    snapshots: int = 0
    rejected: int = 0
    attempts: int = 0


class Listening(msgspec.Struct, array_like=True, frozen=True, tag=2):
    ports: tuple[int, ...]


class Published(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The revision of the last of the changes, when they were submitted, and the digest of the content."""

    revision: int
    at: float
    digest: bytes


class Counted(msgspec.Struct, array_like=True, frozen=True, tag=4):
    count: int


class InForce(msgspec.Struct, array_like=True, frozen=True):
    """When one follower put each revision in force, None if it has not.

    relay_region: the region of the relay that it uses now.
    """

    zone: int
    is_uncrowded: bool
    region: str
    relay_region: str
    times: tuple[float | None, ...]


class Collected(msgspec.Struct, array_like=True, frozen=True, tag=5):
    followers: tuple[InForce, ...]


class Done(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """The command has been executed. at: the time."""

    at: float


class ControlStatus(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The status of a control machine. in_force: followers at its revision, as reported by the relays."""

    leads: bool
    publishes: bool
    revision: int
    in_force: int


Reply = ControlStatus | Measured | Listening | Published | Counted | Collected | Done
