"""Measures the cost of a query in one process: the broker, asyncio.gather over aiohttp, and a minimal uvloop fan-out.

All three answer the same two GraphQL queries from the same servers, one after the other in one run, several rounds
each. The servers run in two processes and answer immediately with cached bytes, so that their cost does not dominate.
The load is a closed loop: a fixed number of requests in flight, for a fixed total number of requests.

    python benchmarks/path.py [--requests 3000] [--inflight 16] [--rounds 3] [--profile]
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import os
import pstats
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import uvloop

from badgerbend import log, standin
from badgerbend.broker import Broker, read_subgraph, tune_garbage_collector
from badgerbend.config import settings as cfg
from badgerbend.config.reading import load as load_settings
from badgerbend.net.client import Pool
from badgerbend.net.pool_limits import PoolLimits
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits
from badgerbend.standin.day import cpu_s
from badgerbend.standin.registry import Entry, Registry
from badgerbend.standin.subgraph import Subgraph, rates
from badgerbend.standin.world import blocks_of

CONF = Path(standin.__file__).parent / "rates" / "broker.conf"
CELLS, SHARDS, REACH = 12, 24, 3
QUERIES = {
    "full-quote of 5": "{ fullQuote(blocks: [0, 1, 2, 3, 4], amount: 5000) { id lender monthly } }",
    "compare of 20": f"{{ rateCompare(blocks: {list(range(20))}, amount: 5000, first: 20) {{ id lender monthly }} }}",
}


# -- servers in their own process; each answer is computed once and then sent from a cache
async def serve_subgraphs(names: list[int]) -> None:
    """Serves these subgraphs and prints their ports as JSON."""
    ports = {}
    for i in names:
        graph, cache = Subgraph(f"rates-{i}", blocks_of(i % CELLS, SHARDS, CELLS, REACH)), {}

        def handle(exchange, graph=graph, cache=cache):  # type: ignore[no-untyped-def]
            request = msgspec.json.decode(exchange.body)
            key = (request["query"], repr(request["variables"]))
            body = cache.get(key)
            if body is None:
                result = graph.execute(request["query"], request["variables"])
                load = {"load": {"util": 0.1, "latency_ms": 1.0}}
                body = cache[key] = msgspec.json.encode({"data": result.data, "extensions": load})
            exchange.respond(200, body, b"application/json")

        http = HttpServer(handle, ServerLimits(idle_timeout_s=1000.0))
        ports[i] = await http.start("127.0.0.1", 0)
    print(msgspec.json.encode(ports).decode(), flush=True)
    await asyncio.Event().wait()


# -- the three implementations; each listens on a port that it prints
async def run_broker(ports: dict[int, int], profile: bool) -> None:
    log.configure(cfg.Log(level="error"))
    registry = Registry(lambda line: None)
    await registry.start()
    for i, port in ports.items():
        registry.entries[f"rates-{i}"] = Entry(f"rates-{i}", port, i % CELLS, 0, 0.0)
    registry.changed()
    base = load_settings(CONF)
    replace = msgspec.structs.replace
    own = replace(
        base, listen=replace(base.listen, port=0), discovery=replace(base.discovery, port=registry.http.address[1])
    )
    one = Broker(own, read_subgraph(own, CONF))
    port = await one.start()
    while one.watch.refreshed_at is None:
        await asyncio.sleep(0.01)
    tune_garbage_collector()
    profiler = cProfile.Profile() if profile else None
    if profiler:
        profiler.enable()
    print(port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    if profiler:
        profiler.disable()
        pstats.Stats(profiler, stream=sys.stderr).sort_stats("tottime").print_stats(22)
    step = one.metrics.step_seconds._value.get()
    print(msgspec.json.encode({"step_s": step, "cpu_s": time.process_time()}).decode(), flush=True)
    os._exit(0)


def _merge(blocks: list[int], parts: list[dict], ranked: bool) -> list[dict]:  # type: ignore[type-arg]
    rows = [row for part in parts for row in part["data"]["_entities"][0]["rates"]]
    if ranked:
        rows.sort(key=lambda r: r["monthly"])
    return rows[:20] if ranked else rows


PART = (
    "query($r: [_Any!]!) { _entities(representations: $r) { ... on RateBlock "
    "{ rates(amount: 5000) { id lender monthly } } } }"
)


def _parse_query(text: str) -> tuple[str, list[int]]:
    """Returns the field and the blocks of a query, parsed by graphql-core as a simple implementation would do."""
    from graphql import parse

    field = parse(text).definitions[0].selection_set.selections[0]
    blocks = [int(v.value) for v in field.arguments[0].value.values]
    return field.name.value, blocks


async def run_gather(ports: dict[int, int]) -> None:
    """The simple implementation: aiohttp on both sides, one task for each part, all parts awaited, no decisions."""
    import aiohttp
    from aiohttp import web

    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def part(block: int) -> dict:  # type: ignore[type-arg]
        url = f"http://127.0.0.1:{ports[block % CELLS]}/graphql"
        body = {"query": PART, "variables": {"r": [{"__typename": "RateBlock", "id": str(block)}]}}
        async with session.post(url, json=body) as reply:
            return await reply.json()  # type: ignore[no-any-return]

    async def handle(request: web.Request) -> web.Response:
        name, blocks = _parse_query((await request.json())["query"])
        parts = await asyncio.gather(*(part(b) for b in blocks))
        return web.json_response({"data": {name: _merge(blocks, parts, name == "rateCompare")}})

    app = web.Application()
    app.router.add_post("/graphql", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    print(site._server.sockets[0].getsockname()[1], flush=True)  # type: ignore[union-attr]
    await _wait_for_end()


async def run_bare(ports: dict[int, int]) -> None:
    """The minimal implementation: uvloop and httptools, without parsing the query; rows are merged by msgspec."""
    pools = {i: Pool("127.0.0.1", p, PoolLimits(connect_timeout_s=2.0, idle_s=1000.0)) for i, p in ports.items()}
    head = b"POST /graphql HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
    bodies = {}
    for block in range(SHARDS):
        body = msgspec.json.encode({"query": PART, "variables": {"r": [{"__typename": "RateBlock", "id": str(block)}]}})
        bodies[block] = head % len(body) + body

    def handle(exchange):  # type: ignore[no-untyped-def]
        ranked = b"rateCompare" in exchange.body
        blocks = list(range(20 if ranked else 5))
        parts = []

        def done(reply):  # type: ignore[no-untyped-def]
            parts.append(msgspec.json.decode(reply.body))
            if len(parts) == len(blocks):
                name = "rateCompare" if ranked else "fullQuote"
                answer = {"data": {name: _merge(blocks, parts, ranked)}}
                exchange.respond(200, msgspec.json.encode(answer), b"application/json")

        for b in blocks:
            pools[b % CELLS].request(bodies[b], done)

    http = HttpServer(handle, ServerLimits(idle_timeout_s=1000.0))
    print(await http.start("127.0.0.1", 0), flush=True)
    await _wait_for_end()


async def _wait_for_end() -> None:
    """Waits for a line on standard input, then prints the CPU time and ends the process."""
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    print(msgspec.json.encode({"step_s": 0.0, "cpu_s": time.process_time()}).decode(), flush=True)
    os._exit(0)


# -- the load
async def load(port: int, text: str, requests: int, inflight: int) -> list[float]:
    """Checks one answer, then sends all requests. Returns their latencies in seconds."""
    from badgerbend.standin.client import Client

    client, times, left = Client(port), [], requests
    first = await client.query(text)
    field = next(iter(first[1]["data"].values()))
    expected = {r["id"]: r["monthly"] for b in range(20) for r in rates(b, 5000.0, None)}
    assert field, "the answer is wrong"
    assert all(expected[r["id"]] == r["monthly"] for r in field), "the answer is wrong"

    async def one() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            began = time.perf_counter()
            status, answer, _ = await client.query(text)
            times.append(time.perf_counter() - began)
            assert status == 200, answer
            assert "errors" not in answer, answer

    await asyncio.gather(*(one() for _ in range(inflight)))
    client.close()
    return times


def measure(variant: str, ports: str, text: str, requests: int, inflight: int, profile: bool) -> dict[str, float]:
    command = [sys.executable, __file__, "--role", variant, "--ports", ports] + (["--profile"] if profile else [])
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
    assert process.stdin
    assert process.stdout
    port = int(process.stdout.readline())
    uvloop.run(load(port, text, requests // 5, inflight))  # warm-up
    before = cpu_s(process.pid)
    began = time.perf_counter()
    times = uvloop.run(load(port, text, requests, inflight))
    took = time.perf_counter() - began
    cpu = cpu_s(process.pid) - before
    process.stdin.write("\n")
    process.stdin.flush()
    end = msgspec.json.decode(process.stdout.readline())
    process.wait()
    times.sort()
    return {
        "qps": requests / took,
        "cpu_us": cpu / requests * 1e6,
        "p50_ms": times[len(times) // 2] * 1000,
        "p99_ms": times[int(len(times) * 0.99)] * 1000,
        "step": end["step_s"] / end["cpu_s"],
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--inflight", type=int, default=16)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--role", default="")
    parser.add_argument("--ports", default="{}")
    a = parser.parse_args()
    ports = {int(k): v for k, v in msgspec.json.decode(a.ports).items()} if a.role not in ("", "servers") else {}
    if a.role == "servers":
        uvloop.run(serve_subgraphs(msgspec.json.decode(a.ports)))
    elif a.role == "broker":
        uvloop.run(run_broker(ports, a.profile))
    elif a.role == "gather":
        uvloop.run(run_gather(ports))
    elif a.role == "bare":
        uvloop.run(run_bare(ports))
    else:
        report(a)


def report(a: argparse.Namespace) -> None:
    """Starts the servers, measures each variant and prints the table."""
    halves, processes, ports = [list(range(6)), list(range(6, 12))], [], {}
    for half in halves:
        process = subprocess.Popen(
            [sys.executable, __file__, "--role", "servers", "--ports", str(half)], stdout=subprocess.PIPE, text=True
        )
        assert process.stdout
        processes.append(process)
        ports |= msgspec.json.decode(process.stdout.readline())
    ports_json = msgspec.json.encode(ports).decode()
    print(f"{os.cpu_count()} cores shared with servers and load; {a.requests} requests, {a.inflight} in flight,")
    print(f"median of {a.rounds} rounds; loopback, servers that answer immediately\n")
    print("| query | way | queries/s | CPU us a query | ms at 50% | ms at 99% | time in step |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    try:
        for name, text in QUERIES.items():
            variants = ("broker",) if a.profile else ("broker", "gather", "bare")
            rows: dict[str, list[dict[str, float]]] = {variant: [] for variant in variants}
            for _ in range(a.rounds):
                for variant in variants:
                    rows[variant].append(measure(variant, ports_json, text, a.requests, a.inflight, a.profile))
            for variant in variants:
                mid = {k: statistics.median(r[k] for r in rows[variant]) for k in rows[variant][0]}
                step = f"{mid['step']:.0%}" if variant == "broker" else ""
                print(
                    f"| {name} | {variant} | {mid['qps']:.0f} | {mid['cpu_us']:.0f} | {mid['p50_ms']:.1f} "
                    f"| {mid['p99_ms']:.1f} | {step} |",
                    flush=True,
                )
    finally:
        for process in processes:
            process.kill()
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    print(f"\nall processes: {used.ru_utime + used.ru_stime:.0f} CPU s")


if __name__ == "__main__":
    main()
