"""Durations in milliseconds that several modules use. None of them depends on a deployment."""

from __future__ import annotations

TICK_MS = 20.0
"""Interval between reviews of open queries: short compared to any latency objective, long compared to a step."""

REFRESH_INTERVAL_MS = 1_000.0
"""Interval at which the latency estimate and the redundancy are recomputed, as in the paper that `redundancy` cites."""

REVIEW_INTERVAL_MS = 100.0
"""Interval after which sending a part is attempted again if it was not possible before."""

EARLY_FINISH_MS = 30.0
"""Partial answers and retries of keyed parts are sent this long before their limit, which covers a tick and a step."""

FINAL_ANSWER_MARGIN_MS = 10.0
"""Time reserved before a client's deadline for the final answer: a step and the transmission to the client."""
