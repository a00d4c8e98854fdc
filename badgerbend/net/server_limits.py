"""The limits of an HTTP server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Sizes in bytes, times in seconds."""

    max_connections: int = 10_000
    max_head_bytes: int = 16_384
    max_body_bytes: int = 262_144
    read_timeout_s: float = 10.0  # to receive one request; for the first, counted from the start of the connection
    idle_timeout_s: float = 75.0  # between requests
    first_byte_timeout_s: float = 75.0  # before the first byte of the first request
    # Beyond this number of connections, not counting lingering ones, a connection is closed after a response unless
    # further requests on it were received.
    max_keep_alive: int = 10_000
    # Held by all connections together; beyond it, requests are refused where the most is held.
    max_memory_bytes: int = 67_108_864
