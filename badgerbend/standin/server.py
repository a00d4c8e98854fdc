"""A stand-in rate server on a loopback port: the subgraph behind the work model, with faults that can be switched on.

Every call is reported to `record`, one line an event: that it arrived, ran, was answered, rejected, cancelled or lost.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from badgerbend.net.exchange import Exchange
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits
from badgerbend.standin.subgraph import Subgraph
from badgerbend.standin.work import Job, Machine, Model

JSON = b"application/json"
HEAVY_AMOUNT = 1e6
LIMITS = ServerLimits(max_body_bytes=4 << 20, idle_timeout_s=300.0)
Record = Callable[[dict[str, Any]], None]


@dataclass(slots=True)
class Faults:
    """The current faults of a server; with the defaults it is healthy. Brokers are named by their index."""

    silent: bool = False  # accepts calls and never answers
    errors: float = 0.0  # share of calls answered at once with an error
    full: float = 0.0  # share of calls rejected as if the server had no capacity
    reap_ms: float = 0.0  # calls on a connection that was idle for longer are lost
    reap_how: str = "silence"  # what the broker gets for such a call: "silence" or "reset"
    handshake_ms: float = 0.0  # delay of the first request on a new connection
    bad_for: frozenset[int] = frozenset()  # the brokers for which the server is faulty
    bad_how: str = "loss"  # "loss", "refuse", "slow"
    bad_ms: float = 0.0
    pause_until: float = 0.0  # until then calls that begin are delayed, as by a stalled process
    answer: str = "good"  # or a form of invalid answer, see `corrupt_answer`


class RateServer:
    """One server. It may be started and crashed repeatedly and keeps its port."""

    def __init__(
        self, name: str, cell: int, zone: int, blocks: list[int], model: Model, seed: int, record: Record
    ) -> None:
        self.name, self.cell, self.zone, self.record = name, cell, zone, record
        self.subgraph = Subgraph(name, blocks)
        self.rng = random.Random(seed)
        self.machine = Machine(model, self.rng)
        self.faults = Faults()
        self.port = 0
        self.up = False
        self.overloaded = False  # whether it has crashed from overload
        self.poison: float | None = None  # a query for this amount crashes the server
        self.http: HttpServer | None = None
        self.last_used: dict[int, float] = {}
        self.unanswered: set[Exchange] = set()  # kept open without an answer
        self.jobs: dict[Job, _ServerCall] = {}  # calls that wait or run
        self.loop = asyncio.get_running_loop()

    async def start(self, cold: bool) -> int:
        self.machine = Machine(self.machine.model, self.rng, self.now() if cold else None)
        self.faults = Faults()
        self.http = HttpServer(self._handle, LIMITS)
        self.port = await self.http.start("127.0.0.1", self.port)
        self.up = True
        self.record({"k": "up", "server": self.name, "cold": cold})
        return self.port

    def crash(self) -> None:
        """Simulates the death of the process: stops listening and resets all connections at once."""
        if self.http is not None and self.up:
            self.up = False
            self.record({"k": "down", "server": self.name})
            self.http.stop_listening()
            for connection in list(self.http.connections):
                connection.abort()
            self.last_used.clear()

    def now(self) -> float:
        return time.monotonic() * 1000.0

    def _handle(self, exchange: Exchange) -> None:
        if exchange.target.split(b"?")[0] != b"/graphql" or exchange.method != b"POST":
            exchange.respond(404, b"", b"")
            return
        try:
            request = msgspec.json.decode(exchange.body)
            text, variables = request["query"], request.get("variables") or {}
            extension = (request.get("extensions") or {}).get("badgerbend") or {}
            parts = extension.get("parts") or []
        except (msgspec.DecodeError, KeyError, TypeError, AttributeError):
            exchange.respond(400, b'{"errors":[{"message":"no GraphQL request"}]}', JSON)
            return
        broker = int(exchange.headers.get(b"badgerbend-broker", b"-1"))
        faults, now, key = self.faults, self.now(), exchange.connection_key
        idle = now - self.last_used.get(key, now)
        first = key not in self.last_used
        self.last_used[key] = now
        call = {"server": self.name, "broker": broker, "parts": parts, "write": text.startswith("mutation")}
        if faults.reap_ms and idle > faults.reap_ms:  # lost in the network: the server never sees it
            self.record({"k": "swallowed", **call})
            if faults.reap_how == "reset":
                exchange.drop()
            else:
                self.unanswered.add(exchange)
            return
        if broker in faults.bad_for and faults.bad_how != "slow":
            self.record({"k": "swallowed", **call})
            if faults.bad_how == "refuse":
                exchange.drop()
            else:
                self.unanswered.add(exchange)
            return
        self.record({"k": "arrive", **call})
        delay = faults.handshake_ms if first else 0.0
        if broker in faults.bad_for:
            delay += faults.bad_ms
        if delay:
            self.loop.call_later(delay / 1000.0, self._admit, exchange, call, text, variables)
        else:
            self._admit(exchange, call, text, variables)

    def _admit(self, exchange: Exchange, call: dict[str, Any], text: str, variables: dict[str, Any]) -> None:
        faults, now = self.faults, self.now()
        if exchange.disconnected or not self.up:
            return
        if faults.silent:
            self.unanswered.add(exchange)
            return
        if faults.errors and self.rng.random() < faults.errors:
            self.record({"k": "error", **call})
            exchange.respond(500, b'{"errors":[{"message":"broken"}]}', JSON)
            return
        count = sum(p.get("count") or 1 for p in call["parts"]) or 1
        heavy = any(isinstance(v, float) and v >= HEAVY_AMOUNT for v in variables.values())
        job = self.machine.job(count, self.machine.model.heavy if heavy else 1.0)
        if self.machine.overloads(job, now):
            self.overloaded = True
            self.record({"k": "fell", "server": self.name, "warmth": self.machine.warm_up_fraction(now)})
            self.crash()
            return
        if faults.full and self.rng.random() < faults.full:
            self._reject(exchange, call)
            return
        poisoned = self.poison is not None and self.poison in variables.values()
        started = self.machine.admit(job, now)
        if started is None:
            self._reject(exchange, call)
            return
        server_call = _ServerCall(self, exchange, call, job, text, variables, now, poisoned)
        exchange.on_disconnect = server_call.cancel
        if started:
            server_call.begin()

    def _reject(self, exchange: Exchange, call: dict[str, Any]) -> None:
        self.record({"k": "turned away", **call})
        exchange.respond(503, b"", JSON, ((b"badgerbend-not-run", b"1"),))


class _ServerCall:
    """A call that waits or runs in the server."""

    def __init__(
        self,
        server: RateServer,
        exchange: Exchange,
        call: dict[str, Any],
        job: Job,
        text: str,
        variables: dict[str, Any],
        arrived: float,
        poisoned: bool,
    ) -> None:
        self.server, self.exchange, self.call, self.job = server, exchange, call, job
        self.text, self.variables, self.arrived, self.poisoned = text, variables, arrived, poisoned
        self.timer: asyncio.TimerHandle | None = None
        server.jobs[job] = self

    def begin(self) -> None:
        server = self.server
        if self.poisoned:
            server.crash()
            return
        now = server.now()
        pause = max(server.faults.pause_until - now, 0.0)
        self.server.record({"k": "ran", **self.call})
        self.timer = server.loop.call_later((server.machine.duration_ms(self.job, now) + pause) / 1000.0, self.end)

    def end(self) -> None:
        self.timer = None
        server = self.server
        self._finish()
        if not server.up or self.exchange.disconnected:
            return
        took = server.now() - self.arrived
        server.machine.mean_latency_ms += (took - server.machine.mean_latency_ms) * 0.1
        if server.faults.silent:
            server.unanswered.add(self.exchange)
            return
        result = server.subgraph.execute(self.text, self.variables)
        answer: dict[str, Any] = {"data": result.data, "extensions": {"load": server.machine.report()}}
        if result.errors:
            answer["errors"] = [e.formatted for e in result.errors]
        body = msgspec.json.encode(answer)
        if server.faults.answer != "good":
            body = corrupt_answer(body, server.faults.answer)
        at = server.now()  # taken before writing: the broker may act on the answer before the next statement here
        if self.exchange.respond(200, body, JSON):
            server.record({"k": "answered", "t": at, **self.call})

    def cancel(self) -> None:
        """Stops the work because the broker closed the connection."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if not self.job.over and self.server.up:
            self.server.record({"k": "called off", **self.call})
        self._finish()

    def _finish(self) -> None:
        jobs = self.server.jobs
        jobs.pop(self.job, None)
        following = self.server.machine.finish(self.job)
        if following is not None and following in jobs and self.server.up:
            jobs[following].begin()


def corrupt_answer(body: bytes, how: str) -> bytes:
    """Turns an answer into one that is invalid in the given way."""
    if how == "half":
        return body[: len(body) // 2]
    if how == "text":
        return b"<html>busy</html>"
    if how == "huge":
        return b'{"data":"' + b"x" * 100_000_000 + b'"}'
    answer = msgspec.json.decode(body)
    for alias, value in (answer.get("data") or {}).items():
        if how == "short" and isinstance(value, list):
            answer["data"][alias] = value[:-1]
        elif how == "types" and isinstance(value, list):
            answer["data"][alias] = [{"_bb_rows": [{"id": 1, "monthly": "many", "_bb_rank": "x"}]} for _ in value]
        elif how == "null":
            answer["data"][alias] = None
        elif how == "errors":
            answer["errors"] = [{"message": "no", "path": [alias, 0]}]
    return msgspec.json.encode(answer)
