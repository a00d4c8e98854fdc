"""A process of hollow followers: real replicas and connections, and an owner that only notes when what is in force."""

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

MANY_CHANGES = 2_000  # of one installation: a snapshot, whose content is shared as a whole
TUNING = FollowerTuning()


class SharedValues:
    """Equal keys and values of a process's replicas, held once, so that 1,900 replicas fit on one machine."""

    def __init__(self) -> None:
        self._keys: dict[str, str] = {}
        self._values: dict[bytes, bytes] = {}

    def key(self, key: str) -> str:
        return self._keys.setdefault(key, key)

    def value(self, value: bytes) -> bytes:
        return self._values.setdefault(value, value)

    def share(self, content: Content, changes: tuple[Change, ...]) -> None:
        """Has a replica hold the shared objects. Its digests stay as they are, since nothing changes."""
        buckets = content._buckets
        if len(changes) > MANY_CHANGES:
            buckets[:] = [{self.key(k): self.value(v) for k, v in bucket.items()} for bucket in buckets]
            return
        for change in changes:
            if change.value is not None:
                buckets[bucket_index(change.key)][change.key] = self.value(change.value)


@dataclass(frozen=True, slots=True)
class Installation:
    """Revisions up to this one are in force since then."""

    revision: int
    at: float


class HollowOwner:
    """A broker without its work: it puts changes in force in a dict and notes when."""

    def __init__(self, follower: Follower, shared: SharedValues | None) -> None:
        self.follower, self.shared = follower, shared
        self.held: dict[str, bytes] = {}
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
        """When this revision, or a later one at once, was put in force."""
        return next((done.at for done in self.installations if done.revision >= revision), None)

    def _put_in_force(self, change: Change) -> None:
        if change.value is None:
            self.held.pop(change.key, None)
        elif self.shared is None:
            self.held[change.key] = change.value
        else:
            self.held[self.shared.key(change.key)] = self.shared.value(change.value)


class HollowFollower:
    """A follower, its connection and its owner."""

    def __init__(self, spec: FollowerSpec, seed: int, shared: SharedValues | None) -> None:
        self.spec, self.seed, self.shared = spec, seed, shared
        self._make()

    @property
    def relay_region(self) -> str:
        """Where the relay is that it uses now; nothing between two."""
        return "" if self.follower.relay is None else self.follower.relay.region

    def forget(self) -> None:
        """As a broker that was started anew."""
        self.seed += 1
        self._make()

    def _make(self) -> None:
        spec = self.spec
        relays = [relay_address(relay) for relay in spec.relays]
        self.follower = Follower(spec.name, spec.region, relays, VERIFIER, TUNING, self.seed)
        self.owner = HollowOwner(self.follower, self.shared)
        self.client = FollowerClient(self.follower, self.owner)


class FollowersWorker:
    """Carries out commands for the followers of its process."""

    def __init__(self) -> None:
        self.followers: list[HollowFollower] = []
        self.shared = SharedValues()

    async def handle(self, command: Command) -> Reply:
        match command:
            case StartFollowers():
                self._start(command)
            case StopZone():
                for hollow in self._of_zone(command.zone):
                    hollow.client.stop()
            case ReturnZone():
                self._return(command)
            case Count():
                return Counted(sum(self._has(hollow, command.revision) for hollow in self.followers))
            case Collect():
                return self._collected(command)
            case Audit():
                return Counted(sum(self._holds(hollow, command) for hollow in self.followers))
            case Measure():
                return self._measured()
            case _:
                raise ValueError(type(command).__name__)
        return Done(time.monotonic())

    def _start(self, command: StartFollowers) -> None:
        shared = self.shared if command.share else None
        for place, spec in enumerate(command.followers):
            hollow = HollowFollower(spec, command.seed * 1_000_003 + place, shared)
            self.followers.append(hollow)
            hollow.client.start()

    def _return(self, command: ReturnZone) -> None:
        for hollow in self._of_zone(command.zone):
            if command.forget:
                hollow.forget()
            hollow.client.start()

    def _of_zone(self, zone: int) -> list[HollowFollower]:
        return [hollow for hollow in self.followers if hollow.spec.zone == zone]

    def _has(self, hollow: HollowFollower, revision: int) -> bool:
        return bool(hollow.owner.installations) and hollow.owner.installations[-1].revision >= revision

    def _holds(self, hollow: HollowFollower, command: Audit) -> bool:
        log = hollow.follower.log
        in_force = hollow.owner.held == dict(log.content.items())
        return in_force and (log.revision, log.content.digest()) == (command.revision, command.digest)

    def _collected(self, command: Collect) -> Collected:
        revisions = range(command.first, command.last + 1)
        return Collected(
            tuple(
                InForce(
                    hollow.spec.zone,
                    hollow.spec.apart,
                    hollow.spec.region,
                    hollow.relay_region,
                    tuple(hollow.owner.in_force_at(revision) for revision in revisions),
                )
                for hollow in self.followers
            )
        )

    def _measured(self) -> Measured:
        cpu_s = time.process_time()  # before the collection of garbage, which is this measurement's own cost
        received, sent = [0] * ZONES, [0] * ZONES
        for hollow in self.followers:
            traffic = hollow.client.traffic
            received[hollow.spec.zone] += traffic.received_bytes
            sent[hollow.spec.zone] += traffic.sent_bytes
        rejected = sum(hollow.owner.rejections for hollow in self.followers)
        return Measured(
            time.monotonic(),
            cpu_s,
            0.0,
            self._settled(),
            peak_bytes(),
            tuple(received),
            tuple(sent),
            rejected=rejected,
            attempts=sum(hollow.follower.attempt for hollow in self.followers),
        )

    def _settled(self) -> int:
        gc.collect()
        return resident_bytes()
