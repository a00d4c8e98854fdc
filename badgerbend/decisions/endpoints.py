"""The endpoint list: the servers, the replicas of each shard, and when to poll the discovery service for the list.

A failed poll is repeated after a random backoff, which doubles up to the interval within which the list must be polled.
When all brokers repeated failed polls at once, discovery remained unreachable for most of them. The trade-off is that
changes are learned later once discovery has recovered.
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

from badgerbend import api
from badgerbend.decisions.servers import Server

FIRST_BACKOFF_DIVISOR = 8.0
"""The first backoff is the longest poll interval divided by this."""

BACKOFF_DOUBLINGS = 3
"""Number of doublings after which the backoff has grown from an eighth of the poll interval to the whole interval."""

BACKOFF_NOTIFICATION_SHARE = 1 / 3
"""Largest backoff as a share of the longest notification delay; the failed call and the next one take a third each."""


class ServerStart(NamedTuple):
    """A start of a server that is new in this update. was_ready: the server was listed as ready before."""

    server: Server
    was_ready: bool


class EndpointTracker:
    """The servers of the list, and removed servers that still have attempts in flight.

    servers: all these servers, by node number.
    available_count: number of ready servers that are not down, as of the last `refresh`.
    """

    def __init__(self, settings: api.Settings, random: Random) -> None:
        self._settings = settings
        self._cell_count = settings.cell_count
        self._random = random
        self.servers: dict[int, Server] = {}
        self.available_count = 0
        self._replicas_by_cell: dict[int, list[Server]] = {}  # ready servers of a shard, by the shard's first cell
        self._ready_by_cell: dict[int, list[tuple[int, Server]]] = {}  # with their position in the list
        self._poll_at_ms = -inf
        self._failed_polls = 0

    def poll_is_due(self, now_ms: float) -> bool:
        """Whether discovery must be polled now; if so, schedules another poll in case this one is not answered."""
        if not self._settings.polls_endpoint_list or now_ms < self._poll_at_ms:
            return False
        self._poll_at_ms = now_ms + self._settings.max_poll_interval_ms / 2
        return True

    def poll_failed(self, now_ms: float) -> None:
        """Schedules the next poll after a failed poll or a broken watch."""
        doublings = min(self._failed_polls, BACKOFF_DOUBLINGS)
        backoff_ms = self._settings.max_poll_interval_ms * 2.0**doublings / FIRST_BACKOFF_DIVISOR
        backoff_ms = min(backoff_ms, self._settings.max_notification_delay_ms * BACKOFF_NOTIFICATION_SHARE)
        self._poll_at_ms = now_ms + backoff_ms * self._random.uniform(0.5, 1.0)
        self._failed_polls += 1

    def apply(self, update: api.EndpointUpdate) -> list[ServerStart]:
        """Applies an update of the list and returns the server starts that are new in it."""
        if update.kind != api.UpdateKind.CACHED:
            self._poll_at_ms = inf  # changes are pushed from now on
        self._failed_polls = 0
        changed = update.kind != api.UpdateKind.DELTA
        if changed:
            for server in self.servers.values():
                server.ready = False  # a server that is missing from a complete list has been removed
        starts: list[ServerStart] = []
        for endpoint in update.endpoints:
            server = self._server(endpoint)
            before = server.cell, server.ready
            if endpoint.started_ms > server.started_ms:
                server.started_ms = endpoint.started_ms
                starts.append(ServerStart(server, server.ready))
            server.cell = endpoint.cell
            server.ready = endpoint.state == api.EndpointState.READY
            changed = changed or before != (server.cell, server.ready)
        if changed:
            self._replicas_by_cell = {}
            self.servers = {n: server for n, server in self.servers.items() if server.ready or server.in_flight}
        return starts

    def refresh(self) -> None:
        """Recounts the available servers."""
        self.available_count = sum(1 for server in self.servers.values() if server.ready and not server.is_down)

    def replicas(self, shard: int) -> list[Server]:
        """The ready servers that hold a shard, in the order of the list."""
        cell = shard % self._cell_count
        replicas = self._replicas_by_cell.get(cell)
        if replicas is None:
            replicas = self._find_replicas(cell)
        return replicas

    def _server(self, endpoint: api.Endpoint) -> Server:
        server = self.servers.get(endpoint.node)
        if server is None:
            server = self.servers[endpoint.node] = Server(endpoint)
        return server

    def _find_replicas(self, cell: int) -> list[Server]:
        if not self._replicas_by_cell:  # the list has changed: one pass over it serves all shards
            self._ready_by_cell = {}
            for position, server in enumerate(server for server in self.servers.values() if server.ready):
                self._ready_by_cell.setdefault(server.cell, []).append((position, server))
        cells = [(cell + i) % self._cell_count for i in range(self._settings.cells_per_shard)]
        rows = [row for near in cells for row in self._ready_by_cell.get(near, [])]
        replicas = [server for _, server in sorted(rows, key=lambda row: row[0])]
        self._replicas_by_cell[cell] = replicas
        return replicas
