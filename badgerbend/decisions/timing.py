"""Durations in milliseconds that several decisions share. None of them depends on a deployment."""

from __future__ import annotations

TICK_MS = 20.0
"""Interval between reviews of open queries: small beside any latency objective, large beside a batch of events."""

REFRESH_INTERVAL_MS = 1_000.0
"""Interval at which the latency estimate and the redundancy are recomputed, as in the paper."""

REVIEW_INTERVAL_MS = 100.0
"""Interval after which a part that could not be sent is tried again."""

EARLY_FINISH_MS = 30.0
"""Partial answers and retries of idempotent parts leave this long before their limit: a tick and a batch."""

FINAL_ANSWER_MARGIN_MS = 10.0
"""Time kept back from a client's deadline for the final answer: a batch and the way to the client."""
