"""A node sends some answers with a length that is too short; the broker serves the client a value that is cut off."""

from __future__ import annotations

import asyncio
import json
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import STATEMENT, TROUBLE, Client, Part, Record, Stage, play, request, value_of

COUNT = 60
SPOILT_EVERY = 5  # of the answers of the bad node
TOO_SHORT_BY = 5


class BadNode:
    """How the bad node behaves: one answer in five is spoilt; its connection stays open and is of no further use."""

    def __init__(self) -> None:
        self.answers = 0
        self.useless: set[asyncio.StreamWriter] = set()

    def behave(self, part: Part) -> None:
        """Answers a part, well or with a length that does not fit."""
        if part.writer in self.useless:
            return
        self.answers += 1
        if not TROUBLE or self.answers % SPOILT_EVERY:
            part.answer()
            return
        rest = f"{part.id} served 7 -\n{value_of(part.id, part.text)}".encode()
        part.writer.write(struct.pack("<I", len(rest) + 1 - TOO_SHORT_BY) + b"a" + rest)
        part.node.record.line(
            f"node {part.node.name} answered {part.id} with a length that is {TOO_SHORT_BY} too short"
        )
        self.useless.add(part.writer)


def wrong_values(request_id: str, shards: list[int], answer: tuple[int, bytes]) -> list[str]:
    """Compares the values of a served answer with those that the nodes made for the request."""
    status, body = answer
    if status != 200:
        return []
    made = {shard: value_of(f"{request_id}.{shard}", STATEMENT.encode()) for shard in shards}
    served = {piece["tablet"]: piece["cell"] for piece in json.loads(body)["pieces"]}
    return [
        f"{request_id} was served {value!r} for shard {shard}; the node made {made.get(shard)!r}"
        for shard, value in served.items()
        if value != made.get(shard)
    ]


async def case(record: Record) -> list[str]:
    """Plays the case; returns what was broken."""
    async with Stage(record) as stage:
        stage.nodes[0].behave = BadNode().behave
        client = await Client(record, "usual").connect(stage.broker)
        breaks = []
        for number in range(COUNT):
            name, shards = f"b{number:03d}", [0, 1]
            client.send(request(name, shards, 3000, "quote"), name)
            answer = await client.answer()
            assert answer is not None
            breaks += wrong_values(name, shards, answer)
            await asyncio.sleep(0.02)
        return breaks


play(case, Path(__file__).resolve().parent)
