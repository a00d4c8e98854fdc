"""Sends one HTTP request to a running broker and returns its JSON response. For the command line and `standin`."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from badgerbend.net.calls import CallResult, Reply
from badgerbend.net.client import Pool
from badgerbend.net.pool_limits import PoolLimits

LIMITS = PoolLimits(connect_timeout_s=2.0, idle_s=60.0, max_answer_bytes=64 << 20)


async def fetch(port: int, path: str, host: str = "127.0.0.1", method: str = "GET", token: str | None = None) -> Any:
    """Fetches the JSON at a path of a broker. token: sent as a bearer token.

    Raises ConnectionError if there is no valid response, or with the text of the response if its status is not 200.
    """
    replied: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
    pool = Pool(host, port, LIMITS)
    authorization = f"authorization: Bearer {token}\r\n" if token is not None else ""
    request_head = f"{method} {path} HTTP/1.1\r\nhost: {host}\r\n{authorization}content-length: 0\r\n\r\n"
    pool.request(request_head.encode(), replied.set_result)
    reply = await replied
    pool.close()
    if reply.result is not CallResult.ANSWER or reply.status != 200:
        error_text = reply.body.decode("utf-8", "replace").strip() if reply.result is CallResult.ANSWER else ""
        raise ConnectionError(f"{reply.result.name.lower()} {reply.status} {error_text}".strip())
    return msgspec.json.decode(reply.body)
