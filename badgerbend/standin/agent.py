"""A stand-in for the discovery agent: serves the full list of members, and watches that wait for a newer revision."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from badgerbend.net.exchange import Exchange
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits


class Agent:
    """An agent on a loopback port whose members and faults a test sets.

    silent: requests are accepted and never answered, as while discovery is down. answer: a body sent in place of the
    list. delay_s: each request is handled this much later, as by a busy agent.
    """

    def __init__(self) -> None:
        self.http = HttpServer(self._handle, ServerLimits(idle_timeout_s=300.0))
        self.rev = 0
        self.members: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: list[tuple[Exchange, int]] = []
        self.requests: list[str] = []
        self.silent = False
        self.answer: bytes | None = None
        self.delay_s = 0.0

    async def start(self) -> int:
        return await self.http.start("127.0.0.1", 0)

    async def close(self) -> None:
        await self.http.close(0.0)

    def put(self, uid: str, port: int, cell: int, state: str = "up", boot_ms: int = 0) -> dict[str, Any]:
        """Adds, changes or removes a member, and answers the watches that wait for a change."""
        row = {
            "uid": uid,
            "endpoint": f"127.0.0.1:{port}",
            "az": "here",
            "model": "m",
            "pod_group": cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }
        self.rev += 1
        if state == "removed":
            self.members.pop(uid, None)
        else:
            self.members[uid] = row
        self.changes.append((self.rev, row))
        for exchange, since in self.watches:
            self._send_changes(exchange, since)
        self.watches = []
        return row

    def full_list(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": list(self.members.values())}

    def _handle(self, exchange: Exchange) -> None:
        target = exchange.target.decode()
        self.requests.append(target)
        if self.silent:
            return
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self._respond, exchange, target)
        else:
            self._respond(exchange, target)

    def _respond(self, exchange: Exchange, target: str) -> None:
        if self.answer is not None:
            exchange.respond(200, self.answer, b"application/json")
            return
        query = parse_qs(urlsplit(target).query)
        since = query.get("since")
        if since is None:
            exchange.respond(200, msgspec.json.encode(self.full_list()), b"application/json")
        elif int(since[0]) < self.rev:
            self._send_changes(exchange, int(since[0]))
        else:
            self.watches.append((exchange, int(since[0])))
            wait_s = int(query["timeout_ms"][0]) / 1000.0
            asyncio.get_running_loop().call_later(wait_s, self._expire_watch, exchange)

    def _expire_watch(self, exchange: Exchange) -> None:
        for pair in self.watches:
            if pair[0] is exchange:
                self.watches.remove(pair)
                self._send_changes(*pair)
                return

    def _send_changes(self, exchange: Exchange, since: int) -> None:
        latest = {row["uid"]: row for rev, row in self.changes if rev > since}
        answer = {"rev": self.rev, "all": False, "targets": list(latest.values())}
        exchange.respond(200, msgspec.json.encode(answer), b"application/json")
