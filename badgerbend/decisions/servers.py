"""The state that this broker keeps of one server. It is lost when the broker restarts."""

from __future__ import annotations

from math import inf

from badgerbend import api


class Server:
    """One server of the endpoint list. Each group of fields is written by the modules named above it."""

    __slots__ = (
        "canary_failed",
        "cell",
        "connection_used_ms",
        "down_since_ms",
        "id",
        "in_flight",
        "peer_observed",
        "ready",
        "refused_connection",
        "response_time_at_ms",
        "response_time_ms",
        "started_ms",
        "tokens",
        "tokens_at_ms",
        "warming_since_ms",
        "zone",
    )

    def __init__(self, endpoint: api.Endpoint) -> None:
        # endpoints
        self.id = endpoint.node
        self.cell = endpoint.cell
        self.zone = endpoint.zone
        self.ready = False
        self.started_ms = -1.0  # less than any start time in the list
        # slow_start
        self.warming_since_ms = -inf  # -inf: it is not warming up
        self.tokens = 0.0
        self.tokens_at_ms = 0.0
        # sending, attempts
        self.in_flight: dict[tuple[int, int], float] = {}  # send times of attempts, by part and attempt number
        # outliers
        self.down_since_ms = inf  # first refused or broken connection since its last answer; inf: none
        self.refused_connection = False  # whether it has refused a connection since then
        self.canary_failed = False  # whether the canary of a query has been lost there since then
        # latency
        self.response_time_ms = 0.0  # recent response time for a typical part
        self.response_time_at_ms = -inf  # time of that observation; -inf: none
        self.peer_observed = False  # whether only other brokers have observed it
        # connections
        self.connection_used_ms = -inf  # last use of this broker's connection; -inf: there is none that can be trusted

    @property
    def is_down(self) -> bool:
        """Whether it has refused or broken connections since its last answer."""
        return self.down_since_ms < inf
