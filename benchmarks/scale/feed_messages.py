"""What the feed's scale test says to its processes and hears from them; typed arrays in MessagePack on their pipes."""

from __future__ import annotations

import msgspec

from badgerbend.feed.messages import Change


class Address(msgspec.Struct, array_like=True, frozen=True):
    """A relay as its clients reach it: its own socket, or a proxy's."""

    name: str
    region: str
    port: int


class FollowerSpec(msgspec.Struct, array_like=True, frozen=True):
    """A follower to be started. zone: its place among all zones. apart: not among hundreds in its process."""

    name: str
    region: str
    zone: int
    apart: bool
    relays: tuple[Address, ...]


# -- to any process


class Measure(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Asks for `Measured`."""


# -- to relays


class StartControl(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Be the machine with publisher and log, and a relay beside them. retained: publications kept."""

    name: str
    retained: int


class StartRelay(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Be a relay that follows another one."""

    name: str
    region: str
    upstream: Address
    seed: int


class Publish(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Have these changes published. forget: then drop the log's past, as a machine restarted from its dump does."""

    changes: tuple[Change, ...]
    forget: bool = False


# -- to followers


class StartFollowers(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Add followers with empty replicas. share: equal keys and values are held once in the process."""

    followers: tuple[FollowerSpec, ...]
    seed: int
    share: bool = True


class StopZone(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """End a zone's followers' connections."""

    zone: int


class ReturnZone(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Start a zone's followers again. forget: with empty replicas."""

    zone: int
    forget: bool


class Count(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """Asks how many followers have this revision in force."""

    revision: int


class Collect(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """Asks when each follower put the revisions of this range in force."""

    first: int
    last: int


class Audit(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """Asks how many followers hold just this content, and have put it in force."""

    revision: int
    digest: bytes


# -- to the proxy


class OpenProxy(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """Listen for each target. group: by which links are disturbed."""

    group: str
    targets: tuple[Address, ...]


class Disturb(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """What befalls a group's links from now on. stall: probability a chunk; reset_every_s: a connection, 0 for never.

    cut: nothing passes, and nothing is closed either.
    """

    group: str
    stall: float = 0.0
    reset_every_s: float = 0.0
    cut: bool = False


# -- to control machines with votes


class VoterAddress(msgspec.Struct, array_like=True, frozen=True):
    """Where a voter hears datagrams."""

    name: str
    port: int


class StartVoter(msgspec.Struct, array_like=True, frozen=True, tag=13):
    """Be a control machine with a vote. store: the folder of its records."""

    name: str
    store: str
    voters: tuple[VoterAddress, ...]


class Stand(msgspec.Struct, array_like=True, frozen=True, tag=14):
    """Asks for `Standing`."""


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
    | Stand
)


# -- replies


class Measured(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A process by now. cpu_s: of its life; resident, peak: bytes of memory.

    Of its followers: received, sent: bytes by zone; rejected: messages; attempts: connections tried.
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
    """The revision of the last of the changes, and when they were submitted."""

    revision: int
    at: float
    digest: bytes


class Counted(msgspec.Struct, array_like=True, frozen=True, tag=4):
    count: int


class InForce(msgspec.Struct, array_like=True, frozen=True):
    """When one follower put each revision in force; None where it has not. relay_region: of the relay it uses now."""

    zone: int
    apart: bool
    region: str
    relay_region: str
    times: tuple[float | None, ...]


class Collected(msgspec.Struct, array_like=True, frozen=True, tag=5):
    followers: tuple[InForce, ...]


class Done(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """It has been done; `at` which time."""

    at: float


class Standing(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """What a control machine is now. in_force: followers at its revision, as far as relays have reported to it."""

    leads: bool
    publishes: bool
    revision: int
    in_force: int


Reply = Standing | Measured | Listening | Published | Counted | Collected | Done
