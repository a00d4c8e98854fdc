"""Types that a relay shares with its owner: settings and actions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayTuning:
    """Limits of a relay: times are in seconds and sizes in bytes."""

    heartbeat_interval: float = 1.0
    send_window: int = 256 * 1024  # in flight to one follower
    stall_timeout: float = 10.0  # with a full send window before a follower is disconnected; it resumes later
    hello_timeout: float = 5.0  # until the first message on a connection
    idle_timeout: float = 30.0  # without any message from a follower
    max_concurrent_snapshots: int = 16
    snapshot_bytes_per_second: int = 16 * 1024 * 1024  # for all followers together
    snapshot_burst_bytes: int = 1024 * 1024
    max_image_lag: int = 256  # publications by which an image may lag and still be used for new transfers
    max_sessions: int = 8192


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a frame to a session."""

    session: int
    frame: bytes


@dataclass(frozen=True, slots=True)
class Close:
    """Close the connection of a session."""

    session: int
    reason: str


Action = SendTo | Close
