"""Settings of one control machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from badgerbend.consensus.types import RaftConfig
from badgerbend.feed.control import ControlTuning
from badgerbend.feed.log import Retention
from badgerbend.feed.publisher import PublisherTuning
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.leases.timing import LeaseTiming
from badgerbend.net.udp import Address


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of one control machine.

    name: this machine's key in `voters`. store_path: the directory of its voter's records. voters: the datagram
    addresses of all control machines by name. relay_address: the listening address of its relay. keys: the keys that
    seal datagrams, the current one first.
    """

    name: str
    store_path: Path
    voters: dict[str, Address]
    relay_address: Address
    keys: tuple[bytes, ...]
    retention: Retention = field(default_factory=Retention)
    raft: RaftConfig = field(default_factory=RaftConfig)
    lease_timing: LeaseTiming = field(default_factory=LeaseTiming)
    publisher_tuning: PublisherTuning = field(default_factory=PublisherTuning)
    relay_tuning: RelayTuning = field(default_factory=RelayTuning)
    control_tuning: ControlTuning = field(default_factory=ControlTuning)
