"""A process of followers with real replicas and connections; instead of a broker, a recorder notes what is in force."""

from __future__ import annotations

import gc
import time
from dataclasses import dataclass

from badgerbend.feed.content import Content, bucket_index
from badgerbend.feed.errors import FeedError
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import FollowerTuning
from badgerbend.feed.messages import Change
from badgerbend.feed_service.follower import FollowerClient
from scale.feed_control import VERIFIER
from scale.feed_messages import (
    Audit,
    Collect,
    Collected,
    Command,
    Count,
    Counted,
    Done,
    FollowerSpec,
    InForce,
    Measure,
    Measured,
    Reply,
    ReturnZone,
    StartFollowers,
    StopZone,
)
from scale.feed_relays import relay_address
from scale.feed_usage import peak_bytes, resident_bytes
from scale.planned_fleet import ZONES

MAX_PUBLICATION_CHANGES = 2_000  # an installation of more changes is a snapshot, and all of its content is shared
TUNING = FollowerTuning()


class SharedValues:
    """Shares equal keys and values among all replicas of a process, so that 1,900 replicas fit on one machine."""

    def __init__(self) -> None:
        self._keys: dict[str, str] = {}
        self._values: dict[bytes, bytes] = {}

    def key(self, key: str) -> str:
        return self._keys.setdefault(key, key)

    def value(self, value: bytes) -> bytes:
        return self._values.setdefault(value, value)

    def share(self, content: Content, changes: tuple[Change, ...]) -> None:
        """Makes a replica hold the shared objects. Its digests stay valid, since the objects are equal."""
        buckets = content._buckets
        if len(changes) > MAX_PUBLICATION_CHANGES:
            buckets[:] = [{self.key(k): self.value(v) for k, v in bucket.items()} for bucket in buckets]
            return
        for change in changes:
            if change.value is not None:
                buckets[bucket_index(change.key)][change.key] = self.value(change.value)


@dataclass(frozen=True, slots=True)
class Installation:
    """The time since which revisions up to this one are in force."""

    revision: int
    at: float


class RecordingOwner:
    """Stands in for a broker: it puts changes in force in a dict and records when."""

    def __init__(self, follower: Follower, shared: SharedValues | None) -> None:
        self.follower, self.shared = follower, shared
        self.in_force: dict[str, bytes] = {}
        self.installations: list[Installation] = []
        self.rejections = 0

    def install(self, revision: int, changes: tuple[Change, ...]) -> str:
        for change in changes:
            self._put_in_force(change)
        self.installations.append(Installation(revision, time.monotonic()))
        if self.shared is not None:
            self.shared.share(self.follower.log.content, changes)
        return ""

    def rejected(self, relay: str, error: FeedError) -> None:
        self.rejections += 1

    def in_force_at(self, revision: int) -> float | None:
        """Returns when this revision was put in force, by itself or together with later ones."""
        return next((installation.at for installation in self.installations if installation.revision >= revision), None)

    def _put_in_force(self, change: Change) -> None:
        if change.value is None:
            self.in_force.pop(change.key, None)
        elif self.shared is None:
            self.in_force[change.key] = change.value
        else:
            self.in_force[self.shared.key(change.key)] = self.shared.value(change.value)


class RecordingFollower:
    """A follower with its connection and its recording owner."""

    def __init__(self, spec: FollowerSpec, seed: int, shared: SharedValues | None) -> None:
        self.spec, self.seed, self.shared = spec, seed, shared
        self._create()

    @property
    def relay_region(self) -> str:
        """The region of the relay that it uses now; empty between two relays."""
        return "" if self.follower.relay is None else self.follower.relay.region

    def reset(self) -> None:
        """Starts over with an empty replica, as a restarted broker does."""
        self.seed += 1
        self._create()

    def _create(self) -> None:
        spec = self.spec
        relays = [relay_address(relay) for relay in spec.relays]
        self.follower = Follower(spec.name, spec.region, relays, VERIFIER, TUNING, self.seed)
        self.owner = RecordingOwner(self.follower, self.shared)
        self.client = FollowerClient(self.follower, self.owner)


class FollowersWorker:
    """Executes commands for the followers of its process."""

    def __init__(self) -> None:
        self.followers: list[RecordingFollower] = []
        self.shared = SharedValues()

    async def handle(self, command: Command) -> Reply:
        match command:
            case StartFollowers():
                self._start(command)
            case StopZone():
                for follower in self._followers_in(command.zone):
                    follower.client.stop()
            case ReturnZone():
                self._return_zone(command)
            case Count():
                return Counted(sum(self._has_in_force(follower, command.revision) for follower in self.followers))
            case Collect():
                return self._collect(command)
            case Audit():
                return Counted(sum(self._matches(follower, command) for follower in self.followers))
            case Measure():
                return self._measure()
            case _:
                raise ValueError(type(command).__name__)
        return Done(time.monotonic())

    def _start(self, command: StartFollowers) -> None:
        shared = self.shared if command.share else None
        for index, spec in enumerate(command.followers):
            follower = RecordingFollower(spec, command.seed * 1_000_003 + index, shared)
            self.followers.append(follower)
            follower.client.start()

    def _return_zone(self, command: ReturnZone) -> None:
        for follower in self._followers_in(command.zone):
            if command.forget:
                follower.reset()
            follower.client.start()

    def _followers_in(self, zone: int) -> list[RecordingFollower]:
        return [follower for follower in self.followers if follower.spec.zone == zone]

    def _has_in_force(self, follower: RecordingFollower, revision: int) -> bool:
        return bool(follower.owner.installations) and follower.owner.installations[-1].revision >= revision

    def _matches(self, follower: RecordingFollower, command: Audit) -> bool:
        log = follower.follower.log
        is_in_force = follower.owner.in_force == dict(log.content.items())
        return is_in_force and (log.revision, log.content.digest()) == (command.revision, command.digest)

    def _collect(self, command: Collect) -> Collected:
        revisions = range(command.first, command.last + 1)
        return Collected(
            tuple(
                InForce(
                    follower.spec.zone,
                    follower.spec.is_uncrowded,
                    follower.spec.region,
                    follower.relay_region,
                    tuple(follower.owner.in_force_at(revision) for revision in revisions),
                )
                for follower in self.followers
            )
        )

    def _measure(self) -> Measured:
        cpu_s = time.process_time()  # before the garbage collection below, which is a cost of the measurement itself
        received, sent = [0] * ZONES, [0] * ZONES
        for follower in self.followers:
            traffic = follower.client.traffic
            received[follower.spec.zone] += traffic.received_bytes
            sent[follower.spec.zone] += traffic.sent_bytes
        rejected = sum(follower.owner.rejections for follower in self.followers)
        return Measured(
            time.monotonic(),
            cpu_s,
            0.0,
            self._resident_after_collection(),
            peak_bytes(),
            tuple(received),
            tuple(sent),
            rejected=rejected,
            attempts=sum(follower.follower.attempt for follower in self.followers),
        )

    def _resident_after_collection(self) -> int:
        gc.collect()
        return resident_bytes()
