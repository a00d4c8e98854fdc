"""Processor time of a query at a complete broker over loopback, with nodes, agent and client in another process.

    PYTHONPATH=.:benchmarks python benchmarks/scale/query_sockets.py PARTS

The nodes answer immediately. The two processes share the machine, so only processor time is measured, not elapsed time.
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

from badgerbend.net.calls import Reply
from badgerbend.net.client import Pool
from badgerbend.net.pool_limits import PoolLimits
from badgerbend.platform.service import Service
from badgerbend.standin.agent import Agent
from badgerbend.standin.framenode import FrameNode
from scale.query_bytes import VALUE, request
from scale.target import configuration

BENCHMARKS = Path(__file__).parent.parent
NODES_PER_CELL = 4
# So long that no query is rejected or repeated as late, although two processes share a busy machine.
LATENCY_OBJECTIVE_MS = 5_000.0
# Queries before the measurement and in each count, and the number of counts.
WARM_UP_QUERIES, COUNTED_QUERIES, REPEATS = 100, 60, 5
CONCURRENCY = 2
TIMEOUT_S = 300.0


class Served(msgspec.Struct):
    """What client and nodes observed of the queries of one count."""

    queries: int
    whole: int
    parts: int


@dataclass(frozen=True, slots=True)
class SocketCost:
    """The cost of one count. cpu_s: processor time of the broker. opened: connections that it opened to nodes."""

    cpu_s: float
    opened: int
    served: Served


def measure_service(parts: int) -> list[SocketCost]:
    """Runs a broker in this process and its environment in another one; returns one cost for each count."""
    path = os.pathsep.join([str(BENCHMARKS.parent), str(BENCHMARKS)])
    environment = subprocess.Popen(
        [sys.executable, __file__, str(parts)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONPATH": path},
    )
    try:
        return asyncio.run(asyncio.wait_for(_broker(parts, environment), TIMEOUT_S))
    finally:
        environment.kill()
        environment.wait()


async def _broker(parts: int, environment: subprocess.Popen[str]) -> list[SocketCost]:
    assert environment.stdin
    assert environment.stdout
    loop, read_line = asyncio.get_running_loop(), environment.stdout.readline
    agent_port = int(await loop.run_in_executor(None, read_line))
    config = configuration(parts, reach=1, latency_objective_ms=LATENCY_OBJECTIVE_MS, agent_port=agent_port)
    service = Service(replace(config, listen=("127.0.0.1", 0)))
    service.observer.write_line = lambda what, **values: None  # type: ignore[method-assign]
    port = await service.start()
    environment.stdin.write(f"{port}\n")
    environment.stdin.flush()
    await loop.run_in_executor(None, read_line)  # the environment has finished the warm-up
    costs = []
    for _ in range(REPEATS):
        began, opened = time.process_time(), service.transport.opened
        line = await loop.run_in_executor(None, read_line)
        cpu_s, opened = time.process_time() - began, service.transport.opened - opened
        costs.append(SocketCost(cpu_s, opened, msgspec.json.decode(line, type=Served)))
    service.watch.close()
    service.transport.close()
    await service.server.close(0.0)
    return costs


class Client:
    """Sends queries over all shards, a fixed number of them concurrently."""

    def __init__(self, port: int, parts: int) -> None:
        self.pool = Pool("127.0.0.1", port, PoolLimits(connect_timeout_s=5.0, idle_s=100.0))
        self.shards, self.number = range(parts), 0

    async def send_queries(self, count: int) -> int:
        """Sends a number of queries and returns how many of them were answered completely."""
        whole, left = 0, count

        async def send_sequentially() -> None:
            nonlocal whole, left
            while left > 0:
                left -= 1
                reply = await self._reply()
                whole += reply.status == 200 and reply.body.startswith(b'{"full":true')

        await asyncio.gather(*(send_sequentially() for _ in range(CONCURRENCY)))
        return whole

    async def _reply(self) -> Reply:
        self.number += 1
        done: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.pool.request(request(self.number, self.shards), done.set_result)
        return await done


async def environment(parts: int) -> None:
    agent, nodes = Agent(), [FrameNode(_answer) for _ in range(NODES_PER_CELL * parts)]
    agent_port = await agent.start()
    for i, node in enumerate(nodes):
        agent.put(f"rates-{i}", await node.start(), i % parts)
    print(agent_port, flush=True)
    port = int(await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline))
    client = Client(port, parts)
    await client.send_queries(WARM_UP_QUERIES)
    print("warm", flush=True)
    for _ in range(REPEATS):
        before = _received_parts(nodes)
        whole = await client.send_queries(COUNTED_QUERIES)
        served = Served(COUNTED_QUERIES, whole, _received_parts(nodes) - before)
        print(msgspec.json.encode(served).decode(), flush=True)
    await asyncio.Event().wait()


def _answer(part: object) -> None:
    part.connection.send(part.answer(b"served", VALUE))  # type: ignore[attr-defined]


def _received_parts(nodes: list[FrameNode]) -> int:
    return sum(len(node.parts()) for node in nodes)


if __name__ == "__main__":
    asyncio.run(environment(int(sys.argv[1])))
