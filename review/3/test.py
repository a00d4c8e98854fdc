"""Clients that send much at once and go: does an attempt begin for them more than 0.1 s after they have closed?"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage  # noqa: E402

CLIENTS = 8
AT_ONCE = 300 if stage.TROUBLE else 1  # requests that a client sends at once
TEXT = "c41e77d0" * 256  # the statement of each request: 2 KiB
STAYS_S = 0.05  # from the first byte that a client sends to its close
WORK_S = 0.3  # of a node for a part
BOUND_S = 0.1 + 0.05  # the rule's time, and the slack of each time limit on sockets


def behave(part: stage.Part) -> None:
    """A sound node: it serves each part after some work."""
    asyncio.get_running_loop().call_later(WORK_S, part.serve)


async def send_and_go(scene: stage.Stage) -> tuple[list[str], float]:
    """Sends requests at once and closes the connection; returns their ids and the time of the close."""
    loop = asyncio.get_running_loop()
    names = [stage.new_id() for _ in range(AT_ONCE)]
    data = b"".join(
        stage.request(name, random.sample(range(stage.SHARDS), 4), 2000, text=TEXT, X_Repeat="1") for name in names
    )
    connection = socket.socket()
    connection.setblocking(False)
    await loop.sock_connect(connection, (stage.HOST, scene.port))
    started = time.monotonic()
    scene.record.add("client sends", len(names), "requests,", len(data), "bytes; the first is", names[0])
    while data and time.monotonic() - started < STAYS_S:
        try:
            data = data[connection.send(data) :]
        except BlockingIOError:
            await asyncio.sleep(0.002)
    await asyncio.sleep(max(STAYS_S - (time.monotonic() - started), 0.0))
    connection.close()
    closed_at = time.monotonic()
    scene.record.add("client closes;", len(data), "bytes are not sent; its first request is", names[0])
    return names, closed_at


async def play() -> bool:
    """Plays the case; returns whether the rule held."""
    broken = 0
    async with stage.Stage(FOLDER, behave) as scene:
        for _ in range(CLIENTS):
            names, closed_at = await send_and_go(scene)
            await asyncio.sleep(2.5)
            parts = [part for part in scene.parts() if part.request in set(names)]
            late = [part for part in parts if part.at - closed_at > BOUND_S]
            for part in late:
                scene.record.add("BROKEN", part.id, f"began {part.at - closed_at:.3f} s after its client had closed")
            broken += bool(late)
            scene.record.add(len(parts), "attempts,", len(late), "too late")
    print(f"{broken} of {CLIENTS} clients had attempts that began too late")
    return not broken


stage.main(play)
