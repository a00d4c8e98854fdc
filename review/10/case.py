"""A node turns parts away and sends each such answer twice; the broker takes the second copy for its next attempt's."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import TROUBLE, Client, Part, Record, Stage, play, request

COUNT = 40
ONE_WAY_S = 0.0003  # between broker and node
WORK_S = 0.1


class BusyNode:
    """How the node behaves: it turns the first attempt of each query away, as its queue is full, and runs the others.

    With trouble, a second copy of that answer follows right behind, if nothing else is waiting on the connection.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.turned_away: set[str] = set()
        self.runs: list[str] = []
        self.waiting: Counter[asyncio.StreamWriter] = Counter()

    def sent(self, part: Part) -> None:
        """Takes a part off the network after the one-way delay."""
        self.loop.call_later(ONE_WAY_S, self.received, part)

    def received(self, part: Part) -> None:
        """Handles a part that has come to the node."""
        if part.id not in self.turned_away:
            self.turned_away.add(part.id)
            self.loop.call_later(ONE_WAY_S, part.answer, "skipped")
            if TROUBLE and not self.waiting[part.writer]:
                self.loop.call_later(ONE_WAY_S, part.answer, "skipped")
            return
        self.runs.append(part.id)
        part.node.record.line(f"node {part.node.name} runs {part.id}")
        self.waiting[part.writer] += 1
        self.loop.call_later(WORK_S, self.ran, part)

    def ran(self, part: Part) -> None:
        """Answers a part that has run."""
        self.waiting[part.writer] -= 1
        self.loop.call_later(ONE_WAY_S, part.answer)


async def case(record: Record) -> list[str]:
    """Plays the case; returns what was broken."""
    async with Stage(record) as stage:
        stage.agent.put(stage.nodes[2], "draining")  # one node is left for the shards of the first set
        await asyncio.sleep(1.0)
        node = BusyNode()
        stage.nodes[0].behave = node.sent
        client = await Client(record, "usual").connect(stage.broker)
        for number in range(COUNT):
            client.send(request(f"b{number:03d}", [0], 5000, "approve"), "a request of a class that may not run twice")
            assert await client.answer()
        await asyncio.sleep(0.5)
        runs = Counter(node.runs)
        return [f"part {part} ran {count} times at the node" for part, count in runs.items() if count > 1]


play(case, Path(__file__).resolve().parent)
