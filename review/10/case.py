"""Bad clients send half of a large request each and stop; a usual client's requests behind 64 are read and dropped."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import TROUBLE, Broker, Client, Part, Record, Stage, play, request

COUNT, TIME_LEFT_MS = 100, 5000
BAD_CLIENTS, BAD_BODY_BYTES = 250, 60_000
BAD_OWED_S = 3.0 + 0.05  # an error or a close, from connecting on
WORK_S = 0.02


async def bad_client(record: Record, broker: Broker, number: int) -> bool:
    """Sends half a request and stops; returns whether it got its error or close in time."""
    connected_at = time.monotonic()
    client = await Client(record, f"bad {number}").connect(broker)
    head = b"POST /quote/7f3a HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: %d\r\n\r\n" % BAD_BODY_BYTES
    client.send(head + b"a" * (BAD_BODY_BYTES - 10_000), "half a request")
    await client.answer()
    client.close()
    return time.monotonic() - connected_at <= BAD_OWED_S


async def case(record: Record) -> list[str]:
    """Plays the case; returns what was broken."""
    async with Stage(record, memory_mb=64) as stage:

        def behave(part: Part) -> None:
            asyncio.get_running_loop().call_later(WORK_S, part.answer)

        for node in stage.nodes:
            node.behave = behave
        usual = await Client(record, "usual").connect(stage.broker)
        data = b"".join(
            request(f"b{number:03d}", [number % 6], TIME_LEFT_MS, statement="c" * 1000) for number in range(COUNT)
        )
        sent_at = usual.send(data, f"{COUNT} requests")
        await asyncio.sleep(0.1)
        bad = [
            asyncio.create_task(bad_client(record, stage.broker, number))
            for number in range(BAD_CLIENTS if TROUBLE else 0)
        ]
        answered = 0
        while answered < COUNT and await usual.answer():
            answered += 1
        ended_s = time.monotonic() - sent_at
        in_time = sum(await asyncio.gather(*bad))
        record.line(f"{answered} of {COUNT} requests were answered; {in_time} of {len(bad)} bad clients in time")
        if answered == COUNT:
            return []
        return [
            f"requests {answered} to {COUNT - 1} of one connection got no answer: the broker, which had received them "
            f"at 0 s, ended the connection at {ended_s:.2f} s"
        ]


play(case, Path(__file__).resolve().parent)
