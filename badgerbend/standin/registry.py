"""A stand-in for the part of the Consul API that brokers read: `/v1/health/service/NAME` with blocking queries."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from badgerbend.net.exchange import Exchange
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits
from badgerbend.standin.server import Record


@dataclass(slots=True)
class Entry:
    """An instance of the service. state: "ready", "draining" or "gone"."""

    name: str
    port: int
    cell: int
    zone: int
    started: float  # Unix time in seconds; 0: long ago
    state: str = "ready"

    def as_json(self) -> dict[str, Any]:
        status = {"ready": "passing", "draining": "warning", "gone": "critical"}[self.state]
        meta = {"cell": str(self.cell), "zone": str(self.zone), "started": f"{self.started:.3f}", "size": "1"}
        return {
            "Node": {"Node": self.name, "Address": "127.0.0.1"},
            "Service": {"ID": self.name, "Service": "rates", "Address": "127.0.0.1", "Port": self.port, "Meta": meta},
            "Checks": [{"CheckID": "process", "Status": status}],
        }


class Registry:
    """The server list and its blocking queries.

    lag_s: changes become visible this much later. down: connections are dropped.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.entries: dict[str, Entry] = {}
        self.index = 1
        self.shown: list[dict[str, Any]] = []
        self.states: dict[str, str] = {}
        self.lag_s = 0.0
        self.down = False
        self.extra: list[Any] = []  # malformed rows that are appended to the list
        self.waiting: dict[Exchange, asyncio.TimerHandle] = {}
        self.http = HttpServer(self._handle, ServerLimits(idle_timeout_s=300.0))
        self.loop = asyncio.get_running_loop()

    async def start(self, port: int = 0) -> int:
        return await self.http.start("127.0.0.1", port)

    def changed(self) -> None:
        """Publishes the entries as they are now, after the list's lag."""
        rows = [e.as_json() for e in self.entries.values()]
        states = {e.name: e.state for e in self.entries.values()}
        if self.lag_s:
            self.loop.call_later(self.lag_s, self._publish, rows, states)
        else:
            self._publish(rows, states)

    def _publish(self, rows: list[dict[str, Any]], states: dict[str, str]) -> None:
        self.index += 1
        self.shown, self.states = rows, states
        for exchange, timer in list(self.waiting.items()):
            timer.cancel()
            self._answer(exchange)

    def set_down(self, down: bool) -> None:
        """Makes the list unreachable, which drops waiting requests, or reachable again."""
        self.down = down
        if down:
            for exchange, timer in list(self.waiting.items()):
                timer.cancel()
                exchange.drop()
            self.waiting.clear()

    def _handle(self, exchange: Exchange) -> None:
        parts = urlsplit(exchange.target.decode("latin-1"))
        if self.down:
            exchange.drop()
            return
        if not parts.path.startswith("/v1/health/service/"):
            exchange.respond(404, b"", b"text/plain")
            return
        query = parse_qs(parts.query)
        index = int(query.get("index", ["0"])[0])
        wait = float(query.get("wait", ["300s"])[0].removesuffix("s"))
        if index != self.index or wait <= 0:
            self._answer(exchange)
            return
        self.waiting[exchange] = self.loop.call_later(wait, self._answer, exchange)
        exchange.on_disconnect = lambda: self._forget(exchange)

    def _forget(self, exchange: Exchange) -> None:
        timer = self.waiting.pop(exchange, None)
        if timer is not None:
            timer.cancel()

    def _answer(self, exchange: Exchange) -> None:
        self.waiting.pop(exchange, None)
        body = msgspec.json.encode(self.shown + self.extra)
        index = ((b"x-consul-index", b"%d" % self.index),)
        if exchange.respond(200, body, b"application/json", index):
            agent = exchange.headers.get(b"user-agent", b"").decode("latin-1")
            self.record({"k": "told", "agent": agent, "states": dict(self.states)})
