"""What this broker knows of one server. Nothing of it outlives a restart of the broker."""

from __future__ import annotations

from math import inf

from badgerbend import api


class Server:
    """One server of the endpoint list. Each group of fields is written by the module that is named beside it."""

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
        self.started_ms = -1.0  # before any start that the list can state
        # slow_start
        self.warming_since_ms = -inf  # -inf: warm since long ago
        self.tokens = 0.0
        self.tokens_at_ms = 0.0
        # sending, attempts
        self.in_flight: dict[tuple[int, int], float] = {}  # when each attempt was sent, by part and number
        # outliers
        self.down_since_ms = inf  # when it first refused or broke connections since it last answered; inf: it did not
        self.refused_connection = False  # since then it refused one
        self.canary_failed = False  # since then the canary of a query was lost there
        # latency
        self.response_time_ms = 0.0  # what a typical part took there lately
        self.response_time_at_ms = -inf  # when that was observed; -inf: never
        self.peer_observed = False  # it was observed by other brokers alone
        # connections
        self.connection_used_ms = -inf  # last use of our connection; -inf: there is none that can be trusted

    @property
    def is_down(self) -> bool:
        """Whether it refused or broke connections and has not answered since."""
        return self.down_since_ms < inf
