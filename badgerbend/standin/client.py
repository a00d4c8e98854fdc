"""A GraphQL client of a broker over HTTP, with one connection for each request in flight; requests can be aborted."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from badgerbend.net.calls import Call, CallResult, Reply
from badgerbend.net.client import Pool
from badgerbend.net.pool_limits import PoolLimits

LIMITS = PoolLimits(connect_timeout_s=2.0, idle_s=60.0, max_answer_bytes=64 << 20)


class Client:
    """Sends requests to one broker."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self.pool = Pool(host, port, LIMITS)
        self.host = f"{host}:{port}".encode()

    def ask(
        self,
        query: str,
        variables: dict[str, Any] | None,
        headers: dict[str, str],
        on_reply: Callable[[Reply], None],
    ) -> Call:
        """Sends a GraphQL request. `abort` on the returned call closes its connection before the answer."""
        body = msgspec.json.encode({"query": query, "variables": variables})
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items()).encode()
        head = b"POST /graphql HTTP/1.1\r\nhost: %s\r\ncontent-type: application/json\r\n%scontent-length: %d\r\n\r\n"
        return self.pool.request(head % (self.host, lines, len(body)) + body, on_reply)

    async def query(
        self, query: str, variables: dict[str, Any] | None = None, **headers: str
    ) -> tuple[int, dict[str, Any], dict[bytes, bytes]]:
        """Sends a request and returns status, answer and headers. Raises ConnectionError if no answer was received."""
        done: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        named = {k.replace("_", "-"): v for k, v in headers.items()}
        self.ask(query, variables, named, lambda r: None if done.done() else done.set_result(r))
        reply = await done
        if reply.result is not CallResult.ANSWER:
            raise ConnectionError(reply.result.name.lower())
        answer = msgspec.json.decode(reply.body) if reply.body else {}
        return reply.status, answer, reply.headers

    def close(self) -> None:
        self.pool.close()
