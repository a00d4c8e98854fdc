"""One question over HTTP, answered in JSON: what commands ask a running broker."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from badgerbend.net.client import CallResult, Pool, PoolLimits, Reply

LIMITS = PoolLimits(connect_timeout_s=2.0, idle_s=60.0, max_answer_bytes=64 << 20)


async def fetch(port: int, path: str, host: str = "127.0.0.1", method: str = "GET", token: str | None = None) -> Any:
    """The JSON at a path of a broker; token: sent as a bearer. Raises ConnectionError, with what the broker said."""
    done: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
    pool = Pool(host, port, LIMITS)
    bearer = f"authorization: Bearer {token}\r\n" if token is not None else ""
    head = f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n{bearer}content-length: 0\r\n\r\n"
    pool.request(head.encode(), done.set_result)
    reply = await done
    pool.close()
    if reply.result is not CallResult.ANSWER or reply.status != 200:
        said = reply.body.decode("utf-8", "replace").strip() if reply.result is CallResult.ANSWER else ""
        raise ConnectionError(f"{reply.result.name.lower()} {reply.status} {said}".strip())
    return msgspec.json.decode(reply.body)
