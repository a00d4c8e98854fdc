"""The clients of a day: they send at a given rate without waiting for answers, and record what they receive."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any, Literal

import msgspec

from badgerbend.config.value_types import Count, FractionOrZero, Name, Positive
from badgerbend.net.calls import Call, CallResult, Reply
from badgerbend.standin.client import Client
from badgerbend.standin.server import Record

ROW_FIELDS = {"fullQuote": "id monthly", "rateCompare": "id monthly", "quoteReport": "id monthly terms { fee }"}


class Flow(msgspec.Struct, frozen=True):
    """A stream of requests.

    fields: requested in one operation; deadline_ms: how long a client waits; leave: the share of clients that
    disconnect before their answer.
    """

    name: Name
    fields: tuple[Name, ...]
    per_s: Positive
    blocks: Count = 6
    deadline_ms: Positive = 3000.0
    leave: FractionOrZero = 0.0
    retries: Literal[0, 1] = 1
    tenant: Name | None = None


class LoadGenerator:
    """Sends the requests of a day's flows to random brokers. Faults of traffic are set as attributes."""

    def __init__(self, ports: list[int], shards: int, seed: int, record: Record) -> None:
        self.clients = [Client(port) for port in ports]
        self.shards, self.rng, self.record = shards, random.Random(seed), record
        self.loop = asyncio.get_running_loop()
        self.rate_factor = 1.0  # multiplies the rate of every flow
        self.hot: list[int] | None = None  # the blocks that skewed requests begin with
        self.hot_share = 0.0
        self.poison: float | None = None  # an amount that crashes servers
        self.poison_share = 0.0
        self.heavy_share = 0.0  # share of rate-compares that cost many times the usual work
        self.in_flight = 0
        self.stopped = False

    def start(self, flow: Flow) -> None:
        self._schedule(flow)

    def stop(self) -> None:
        self.stopped = True

    def close(self) -> None:
        for broker, client in enumerate(self.clients):
            if client.pool.unsolicited:
                self._write({"k": "unasked", "broker": broker, "count": client.pool.unsolicited})
            client.close()

    def _schedule(self, flow: Flow) -> None:
        if not self.stopped:
            self.loop.call_later(self.rng.expovariate(flow.per_s * self.rate_factor), self._tick, flow)

    def _tick(self, flow: Flow) -> None:
        if not self.stopped:
            self.send(flow)
            self._schedule(flow)

    def send(self, flow: Flow, retry_of: dict[str, Any] | None = None) -> Call:
        """Sends one request. A retry asks for the same fields and blocks, and is marked as a client's retry."""
        rng, broker = self.rng, self.rng.randrange(len(self.clients))
        fields = retry_of["fields"] if retry_of else [self._field(name, i, flow) for i, name in enumerate(flow.fields)]
        trace = f"{rng.getrandbits(128):032x}"
        write = flow.fields[0] in ("holdRate", "signLease")
        text = ("mutation " if write else "") + "{ " + " ".join(map(_text, fields)) + " }"
        headers = {
            "badgerbend-time-left-ms": f"{flow.deadline_ms:.0f}",
            "traceparent": f"00-{trace}-{trace[:16]}-01",
        }
        if flow.tenant is not None:
            headers["badgerbend-tenant"] = flow.tenant
        if write:
            headers["idempotency-key"] = trace
        if retry_of:
            headers["badgerbend-retry"] = "1"
        line = {
            "k": "ask",
            "trace": trace,
            "broker": broker,
            "left_ms": flow.deadline_ms,
            "flow": flow.name,
            "fields": fields,
            "retry": retry_of is not None,
            "tenant": flow.tenant or "",
        }
        self._write(line)
        self.in_flight += 1
        call = self.clients[broker].ask(text, None, headers, lambda reply: self._replied(flow, line, reply))
        if flow.leave and rng.random() < flow.leave:
            self.loop.call_later(rng.uniform(0.0, 0.1), self._disconnect, call, line)
        else:
            # a client waits a little beyond its deadline, so that late answers are recorded
            self.loop.call_later(flow.deadline_ms / 1000.0 + 1.0, self._give_up, call, line)
        return call

    def _field(self, name: str, position: int, flow: Flow) -> dict[str, Any]:
        if self.hot is not None and self.rng.random() < self.hot_share:
            first = self.rng.choice(self.hot)
        else:
            first = self.rng.randrange(self.shards)
        count = 1 if name in ("holdRate", "signLease") else min(flow.blocks, self.shards)
        amount = float(self.rng.randrange(1000, 50_000))
        if self.poison is not None and name == "rateCompare" and self.rng.random() < self.poison_share:
            amount = self.poison
        if self.heavy_share and name == "rateCompare" and self.rng.random() < self.heavy_share:
            amount = 2e6
        blocks = [(first + i) % self.shards for i in range(count)]
        return {"key": f"f{position}", "field": name, "blocks": blocks, "amount": amount}

    def _disconnect(self, call: Call, line: dict[str, Any]) -> None:
        if not call.done:
            call.abort()
            self._ended(line, "left", {})

    def _give_up(self, call: Call, line: dict[str, Any]) -> None:
        if not call.done:
            call.abort()
            self._ended(line, "nothing", {})

    def _replied(self, flow: Flow, line: dict[str, Any], reply: Reply) -> None:
        if reply.result is CallResult.CONNECT_FAILED:
            self._ended(line, "unreachable", {})
            return
        if reply.result is not CallResult.ANSWER:
            self._ended(line, "closed", {})
            return
        fields = _states(reply, line["fields"])
        self._ended(line, "answer", fields)
        refused = [f for f in line["fields"] if fields.get(f["key"], {}).get("state") == "refused"]
        if refused and flow.retries and not line["retry"] and not self.stopped:
            advice = max(fields[f["key"]].get("advice", 0.0) for f in refused)
            retry_of = {"fields": refused}
            self.loop.call_later(advice / 1000.0, lambda: None if self.stopped else self.send(flow, retry_of))

    def _ended(self, line: dict[str, Any], how: str, fields: dict[str, Any]) -> None:
        self.in_flight -= 1
        self._write({"k": "end", "trace": line["trace"], "how": how, "fields": fields})

    def _write(self, line: dict[str, Any]) -> None:
        line["t"] = time.monotonic() * 1000.0
        self.record(line)


def _text(field: dict[str, Any]) -> str:
    key, name, blocks = field["key"], field["field"], field["blocks"]
    if name in ("holdRate", "signLease"):
        return f'{key}: {name}(block: {blocks[0]}, rate: "{blocks[0]}:0") {{ rate }}'
    return f"{key}: {name}(blocks: {blocks}, amount: {field['amount']}) {{ {ROW_FIELDS[name]} }}"


def _states(reply: Reply, fields: list[dict[str, Any]]) -> dict[str, Any]:
    """The state, parts and rows of each field, as a client reads them from an answer."""
    try:
        answer = msgspec.json.decode(reply.body)
    except msgspec.DecodeError:
        return {}
    data, states = answer.get("data") or {}, {}
    marks = answer.get("extensions", {}).get("badgerbend", {}).get("fields", {})
    errors = {e["path"][0]: e for e in answer.get("errors", ()) if e.get("path")}
    for field in fields:
        key = field["key"]
        if key in errors:
            extensions = errors[key].get("extensions", {})
            state = {"REFUSED": "refused", "FAILED": "failed"}.get(extensions.get("code"), "error")
            states[key] = {"state": state, "advice": extensions.get("retryAfterMs", 0.0)}
        elif data.get(key) is not None and key in marks:
            mark = marks[key]
            rows = [[r["id"], r["monthly"]] for r in data[key]] if isinstance(data[key], list) else None
            states[key] = {"state": "whole" if mark["whole"] else "part", "parts": mark["parts"], "rows": rows}
    return states
