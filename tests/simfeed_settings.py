"""Settings of the simulated feed: probabilities, tunings, and the classes that planted defects replace."""

import hmac
from dataclasses import dataclass

from badgerbend.consensus.raft import RaftConfig
from badgerbend.feed.control import ControlTuning
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import (
    FollowerTuning,
)
from badgerbend.feed.log import Retention
from badgerbend.feed.machine import FeedStateMachine
from badgerbend.feed.publisher import Publisher, PublisherTuning
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import Voter

REGIONS = ("north", "south", "west")
PIECE_BYTES = 1500  # of a snapshot; small, so that the little content here still makes several pieces
HASH_KEY = b"the publisher's"
SLACK_S = 0.2  # for delays of the network and the drift of clocks
WATCH_INTERVAL_S = 0.5  # mean time between checks of ages and memory
SUMMARY_INTERVAL_S = 0.7
UNCHANGED_CHECK_PROBABILITY = 0.05  # that a replica is compared with what was installed, for each collection
KEYS = 60  # number of distinct keys that are changed


class KeyedHash:
    """A `Signer` and `Verifier` that use a keyed hash.

    In the simulation it is as hard to forge as Ed25519, and it is fast enough for many seeds.
    """

    def sign(self, payload):
        return hmac.digest(HASH_KEY, payload, "sha512")

    def verify(self, payload, signature):
        return hmac.compare_digest(self.sign(payload), signature)


@dataclass(frozen=True)
class Implementations:
    """The classes under test; a planted defect replaces one of them by a defective subclass."""

    machine: type = FeedStateMachine
    publisher: type = Publisher
    relay: type = Relay
    follower: type = Follower
    voter: type = Voter


PRODUCTION = Implementations()
FAULTS = (
    "crash",
    "crash",
    "crash leader",
    "suspended relay",
    "suspended followers",
    "suspended followers",
    "partitioned region",
    "partitioned region",
    "partitioned control",
    "zone restart",
    "lying relay",
    "lying relay",
    "broken connections",
    "broken connections",
    "broken connections",
    "burst of changes",
    "burst of changes",
    "lease release",
    "leadership transfer",
    "damaged replica",
    "crash mid-snapshot",
)


@dataclass(frozen=True)
class Chaos:
    """Probabilities and sizes of faults; times are in seconds.

    late: the probability that a datagram is delayed by up to late_s.
    """

    followers: tuple = (20, 32)
    edges: bool = True  # add two relays that follow other relays
    loss: float = 0.03
    late: float = 0.03
    late_s: float = 1.0
    delay: tuple = (0.001, 0.02)
    sync: tuple = (0.0005, 0.01)
    clock_drift: float = 0.01  # at most, as a fraction of elapsed time
    fault_interval_s: float = 0.8  # mean time between faults
    submit_interval_s: float = 0.25
    max_suspension_s: float = 3.0
    max_follower_suspension_s: float = 8.0
    partition_s: tuple = (2.0, 5.0, 20.0)
    bytes_per_second: tuple = (4_000, 30_000, 1_000_000)
    faults: tuple = FAULTS
    compact_after_entries: int = 60
    crash_before_fan_out: float = 0.03  # probability that a leader crashes between a publication and its fan-out


RAFT_CONFIG = RaftConfig(election_timeout_s=0.4, heartbeat_interval_s=0.1)
LEASE_TIMING = LeaseTiming(
    lease_duration_s=1.2,
    clock_drift_bound=0.01,
    candidacy_interval_s=0.4,
    reply_timeout_s=0.15,
    stall_threshold_s=0.3,
)
PUBLISHER = PublisherTuning(batch_window=0.05, retry_interval=0.5, summary_ttl=2.0, max_retry_interval=4.0)
RELAY = RelayTuning(
    heartbeat_interval=0.4,
    send_window=3000,
    stall_timeout=3.0,
    hello_timeout=2.0,
    idle_timeout=4.0,
    max_concurrent_snapshots=3,
    snapshot_bytes_per_second=64 * 1024,
    snapshot_burst_bytes=8 * 1024,
    max_image_lag=6,
)
FOLLOWER = FollowerTuning(
    start_jitter=0.3,
    backoff_base=0.1,
    backoff_max=1.5,
    connect_timeout=1.0,
    heartbeat_timeout=2.0,
    quarantine=4.0,
    progress_timeout=4.0,
    staleness_limit=2.0,
    stale_retry_interval=6.0,
    failback_interval=8.0,
    status_min_interval=0.3,
    status_max_interval=1.5,
)
CONTROL = ControlTuning(confirm_interval=0.4, summary_interval=SUMMARY_INTERVAL_S)
RETENTION = Retention(14, 12_000)
EDGE_RETENTION = Retention(8, 8_000)
