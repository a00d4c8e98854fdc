"""The limits of a pool of the HTTP client."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Times in seconds, sizes in bytes."""

    connect_timeout_s: float = 0.25
    idle_s: float = 15.0
    max_answer_bytes: int = 4_194_304
