"""Bad clients in a process of their own: each sends many requests at once, at full speed, and reads what it gets."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stage

REQUESTS = 100  # of each client; without the disruption it sends one at a time, with pauses like a usual client
TEXT = "c41e77d0" * 7500  # the statement of each request: 60,000 bytes; a body holds at most 64 KiB


async def client(port: int) -> None:
    """One bad client."""
    placeholder = "0123456789abcdef"
    request = stage.request(placeholder, random.sample(range(stage.SHARDS), 2), 2000, text=TEXT)
    head, rest = request.split(placeholder.encode())
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(stage.HOST, port)

        async def send() -> None:
            writer.write(head + stage.new_id().encode() + rest)
            await writer.drain()
            await asyncio.sleep(0)

        async def send_all() -> None:
            with contextlib.suppress(ConnectionError):
                for _ in range(REQUESTS):
                    await send()

        sending = asyncio.create_task(send_all()) if stage.TROUBLE else None
        for _ in range(REQUESTS):
            if sending is None:
                await asyncio.sleep(random.uniform(0.0, 2.0))
                await send()
            await stage.read_answer(reader)
        writer.close()


async def play(port: int, clients: int) -> None:
    """Plays all clients at the same time."""
    await asyncio.gather(*(client(port) for _ in range(clients)))


asyncio.run(play(int(sys.argv[1]), int(sys.argv[2])))
