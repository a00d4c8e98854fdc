"""The whole broker over loopback sockets: processor time of one query, with nodes, agent and client in another process.

    PYTHONPATH=.:benchmarks python benchmarks/scale/query_sockets.py PARTS

The nodes answer at once. The two processes share the machine, so only processor time is read, no time on a clock.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec

from badgerbend.net.client import Pool, PoolLimits, Reply
from badgerbend.platform.service import Service
from badgerbend.standin.agent import Agent
from badgerbend.standin.framenode import FrameNode
from scale.query_bytes import VALUE, request
from scale.target import configuration

BENCHMARKS = Path(__file__).parent.parent
NODES_PER_CELL = 4
AIM_MS = 5_000.0  # two processes on a busy machine: none is refused or repeated for being late
WARM, COUNTED, REPEATS = 100, 60, 5  # queries, and how often so many are counted
AT_ONCE = 2
LIMIT_S = 300.0


class Served(msgspec.Struct):
    """What client and nodes saw of the queries of one count."""

    queries: int
    whole: int
    parts: int


@dataclass(frozen=True, slots=True)
class SocketCost:
    """One count. cpu_s: processor time of the broker; opened: connections that it opened to nodes meanwhile."""

    cpu_s: float
    opened: int
    served: Served


def measured(parts: int) -> list[SocketCost]:
    """One broker in this process, its surroundings in another; the counts one after another."""
    path = os.pathsep.join([str(BENCHMARKS.parent), str(BENCHMARKS)])
    surroundings = subprocess.Popen(
        [sys.executable, __file__, str(parts)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONPATH": path},
    )
    try:
        return asyncio.run(asyncio.wait_for(_broker(parts, surroundings), LIMIT_S))
    finally:
        surroundings.kill()
        surroundings.wait()


async def _broker(parts: int, surroundings: subprocess.Popen[str]) -> list[SocketCost]:
    assert surroundings.stdin
    assert surroundings.stdout
    loop, read_line = asyncio.get_running_loop(), surroundings.stdout.readline
    agent_port = int(await loop.run_in_executor(None, read_line))
    config = configuration(parts, reach=1, aim_ms=AIM_MS, agent_port=agent_port)
    service = Service(replace(config, listen=("127.0.0.1", 0)))
    service.observer.write_line = lambda what, **values: None  # type: ignore[method-assign]
    port = await service.start()
    surroundings.stdin.write(f"{port}\n")
    surroundings.stdin.flush()
    await loop.run_in_executor(None, read_line)  # warm
    costs = []
    for _ in range(REPEATS):
        began, opened = time.process_time(), service.transport.opened
        line = await loop.run_in_executor(None, read_line)
        took, opened = time.process_time() - began, service.transport.opened - opened
        costs.append(SocketCost(took, opened, msgspec.json.decode(line, type=Served)))
    service.watch.close()
    service.transport.close()
    await service.server.close(0.0)
    return costs


class Client:
    """Asks queries over all shards of the first kind, so many at once, so many in all."""

    def __init__(self, port: int, parts: int) -> None:
        self.pool = Pool("127.0.0.1", port, PoolLimits(connect_timeout_s=5.0, idle_s=100.0))
        self.shards, self.number = range(parts), 0

    async def ask(self, count: int) -> int:
        """Returns how many of them were answered whole."""
        whole, left = 0, count

        async def one_after_another() -> None:
            nonlocal whole, left
            while left > 0:
                left -= 1
                reply = await self._reply()
                whole += reply.status == 200 and reply.body.startswith(b'{"full":true')

        await asyncio.gather(*(one_after_another() for _ in range(AT_ONCE)))
        return whole

    async def _reply(self) -> Reply:
        self.number += 1
        done: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.pool.request(request(self.number, self.shards), done.set_result)
        return await done


async def surroundings(parts: int) -> None:
    agent, nodes = Agent(), [FrameNode(_served) for _ in range(NODES_PER_CELL * parts)]
    agent_port = await agent.start()
    for i, node in enumerate(nodes):
        agent.put(f"rates-{i}", await node.start(), i % parts)
    print(agent_port, flush=True)
    port = int(await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline))
    client = Client(port, parts)
    await client.ask(WARM)
    print("warm", flush=True)
    for _ in range(REPEATS):
        before = _parts(nodes)
        whole = await client.ask(COUNTED)
        served = Served(COUNTED, whole, _parts(nodes) - before)
        print(msgspec.json.encode(served).decode(), flush=True)
    await asyncio.Event().wait()


def _served(part: object) -> None:
    part.connection.send(part.answer(b"served", VALUE))  # type: ignore[attr-defined]


def _parts(nodes: list[FrameNode]) -> int:
    return sum(len(node.parts()) for node in nodes)


if __name__ == "__main__":
    asyncio.run(surroundings(int(sys.argv[1])))
