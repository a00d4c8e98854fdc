"""Measures how long a new broker takes to settle beside six running ones while two servers are slow. Real sockets.

One process runs the servers and all brokers. Each variant measures a new broker under the same traffic:

  cold      no peers, no snapshot
  peers     learns from three of the six
  snapshot  its own snapshot, written by a broker that stopped a second before
  stale     learns from peers whose records are five minutes old, when other servers were slow
  liar      one of the three peers reports healthy servers as slow and the slow ones as fast

A broker has settled at the first time from which, over three seconds of its answers, the 95th percentile and the share
of complete answers are within 10% of those of the running brokers over the whole run. Each broker's traffic is an open
loop of its own. The variants run at the same time, each in its own process, one seed after the other.

    python benchmarks/settle.py [--seeds 10] [--seconds 12] [--report FILE] [--chart FILE.png]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import uvloop
from results import boxes, table

from badgerbend import log
from badgerbend import standin as rates
from badgerbend.broker import Broker, read_subgraph
from badgerbend.config import settings as cfg
from badgerbend.config.fleet import Peers
from badgerbend.config.reading import load
from badgerbend.knowledge.record import KnowledgeRecord, ServerObservation, aged
from badgerbend.membership.messages import MemberState
from badgerbend.net.calls import Reply
from badgerbend.standin.client import Client
from badgerbend.standin.work import Model
from badgerbend.standin.world import World

CONF = Path(rates.__file__).parent / "rates" / "broker.conf"
VARIANTS = ("cold", "peers", "snapshot", "stale", "liar")
RUNNING, SLOW, SERVERS = 6, ("rates-3", "rates-10"), 24
WINDOW_S = 3.0
PER_S, NEW_PER_S = 5.0, 15.0  # queries a second at each running broker, and at the new one
TEXT = "{ rateCompare(blocks: %s, amount: 5) { id } }"
QUOTE = "{ fullQuote(blocks: %s, amount: 5) { id } }"


class OpenLoop:
    """Sends queries to one broker in an open loop. A row: send time, latency in ms, whether the answer was complete."""

    def __init__(self, port: int, seed: int, per_s: float = PER_S) -> None:
        self.client, self.rng, self.rows = Client(port), random.Random(seed), list[tuple[float, float, bool]]()
        self.loop, self.running, self.per_s = asyncio.get_running_loop(), True, per_s
        self.loop.call_soon(self._tick)

    def _tick(self) -> None:
        if self.running:
            self._send()
            self.loop.call_later(self.rng.expovariate(self.per_s), self._tick)

    def _send(self) -> None:
        first, text = self.rng.randrange(24), TEXT if self.rng.random() < 0.5 else QUOTE
        sent_at, size = time.monotonic(), 6
        blocks = [(first + i) % 24 for i in range(size)]

        def replied(reply: Reply) -> None:
            complete = b'"whole":true' in reply.body
            self.rows.append((sent_at, (time.monotonic() - sent_at) * 1000.0, complete))

        self.client.ask(text % blocks, None, {}, replied)

    def stop(self) -> None:
        self.running = False


def p95(values: list[float]) -> float:
    return sorted(values)[min(int(len(values) * 0.95), len(values) - 1)] if values else float("inf")


def settled(
    rows: list[tuple[float, float, bool]], began: float, seconds: float, usual: float, complete: float
) -> float:
    """Returns the seconds until the first window whose figures are within 10% of the usual ones."""
    at = 0.0
    while at + WINDOW_S <= seconds:
        some = [(ms, w) for t, ms, w in rows if at <= t - began < at + WINDOW_S]
        share = sum(w for _, w in some) / max(len(some), 1)
        if some and p95([ms for ms, _ in some]) <= 1.1 * usual and share >= 0.9 * complete:
            return at
        at += 0.1
    return seconds


async def play(variant: str, seed: int, seconds: float, folder: Path) -> dict[str, float]:
    """Runs one variant with one seed and returns its figures."""
    world = World(24, 12, 3, seed, lambda line: None)
    await world.start(SERVERS, 2, Model(part_ms=12.0, call_ms=1.0))
    for name in SLOW:
        world.servers[name].machine.slowdown = 15.0
    key = folder / "key"
    key.write_bytes(b"a key of this measurement\n")
    base = load(CONF)
    graph = read_subgraph(base, CONF)
    replace = msgspec.structs.replace
    brokers: list[Broker] = []
    seed_at = ""

    async def add(index: int, with_peers: bool, snapshot: Path | None = None) -> Broker:
        nonlocal seed_at
        peers = None
        if with_peers:
            seeds = (seed_at,) if seed_at else ()
            peers = Peers((str(key),), seeds, port=0, knowledge_port=0, period_ms=200.0, every_ms=2000.0)
        own = replace(
            base,
            listen=replace(base.listen, port=0),
            peers=peers,
            seed=seed,
            discovery=replace(base.discovery, port=world.registry.http.address[1]),
            identity=replace(base.identity, index=index, count=RUNNING + 1),
            snapshot=cfg.Snapshot(str(snapshot), 500.0) if snapshot else None,
        )
        one = Broker(own, graph)
        await one.start()
        brokers.append(one)
        if with_peers and not seed_at and one.knowledge_exchange:
            seed_at = f"127.0.0.1:{one.knowledge_exchange.membership_port}"
        return one

    peer_count = {"peers": RUNNING, "stale": RUNNING, "liar": 3}.get(variant, 0)
    running = [await add(i, i < peer_count) for i in range(RUNNING)]
    flows = [OpenLoop(b.port, seed * 100 + i) for i, b in enumerate(running)]
    file = folder / f"seen-{variant}-{seed}"
    if variant == "snapshot":
        before = await add(RUNNING, False, file)
        flow = OpenLoop(before.port, seed * 100 + 50, NEW_PER_S)
        await asyncio.sleep(6.0)
        flow.stop()
        await asyncio.sleep(0.5)
        await before.stop()
        brokers.remove(before)
        await asyncio.sleep(0.5)
    else:
        await asyncio.sleep(7.0)
    for broker in running:  # `stale` changes the records that the running brokers send
        if broker.knowledge_exchange and broker.knowledge_exchange.server and variant == "stale":
            sender = broker.knowledge_exchange.server
            sender.record = lambda real=sender.record: aged(_swapped(real()), 300_000.0)  # type: ignore[misc]
    if variant == "liar" and running[1].knowledge_exchange and running[1].knowledge_exchange.server:
        sender = running[1].knowledge_exchange.server
        sender.record = lambda real=sender.record: _lie(real())  # type: ignore[misc]
    began = time.monotonic()
    new = await add(RUNNING, variant in ("peers", "stale", "liar"), file if variant == "snapshot" else None)
    await asyncio.sleep(0.5)  # clients discover the new broker shortly after it listens
    began = time.monotonic()
    flow = OpenLoop(new.port, seed * 100 + 51, NEW_PER_S)
    await asyncio.sleep(seconds)
    for f in (*flows, flow):
        f.stop()
    await asyncio.sleep(3.5)
    old = [r for f in flows for r in f.rows if r[0] >= began]
    usual, complete = p95([ms for _, ms, _ in old]), sum(w for _, _, w in old) / len(old)
    first = [ms for t, ms, _ in flow.rows if t - began < 2.0]
    slow = [ms > 1.5 * usual for t, ms, _ in flow.rows if t - began < 3.0]
    learned = new.knowledge_exchange.servers_learned if new.knowledge_exchange else 0
    alive = 0
    if new.knowledge_exchange and new.knowledge_exchange.socket and new.knowledge_exchange.socket.swim:
        alive = sum(1 for m in new.knowledge_exchange.socket.swim.live_members() if m.state == MemberState.ALIVE)
    for f in (*flows, flow):
        f.client.close()
    for b in brokers:
        await b.stop()
    await world.close()
    return {
        "settled_s": settled(flow.rows, began, seconds, usual, complete),
        "first_2s_p95": p95(first),
        "usual_p95": usual,
        "slow_first_3s": sum(slow) / max(len(slow), 1),
        "whole": sum(w for _, _, w in flow.rows) / max(len(flow.rows), 1),
        "learned": float(learned),
        "peers": float(alive),
    }


def _swapped(record: KnowledgeRecord) -> KnowledgeRecord:
    """Returns the record as of a time when two other servers were slow and the now slow ones were healthy."""
    other = {"rates-5": 180.0, "rates-8": 180.0}
    servers = tuple(ServerObservation(s.name, other.get(s.name, 14.0), s.age_ms, False) for s in record.servers)
    return msgspec.structs.replace(record, servers=servers)


def _lie(record: KnowledgeRecord) -> KnowledgeRecord:
    """Returns a record that reports the slow servers as fast and all others as slow."""
    servers = tuple(ServerObservation(s.name, 1.0 if s.name in SLOW else 900.0, 0.0, False) for s in record.servers)
    return msgspec.structs.replace(record, servers=servers)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--ways", default=",".join(VARIANTS))
    parser.add_argument("--report", type=Path)
    parser.add_argument("--chart", type=Path)
    parser.add_argument("--one", help=argparse.SUPPRESS)
    a = parser.parse_args()
    log.configure(cfg.Log(level="error"))
    if a.one:
        with tempfile.TemporaryDirectory() as name:
            for seed in range(a.seeds):
                print(json.dumps(uvloop.run(play(a.one, seed + 1, a.seconds, Path(name)))), flush=True)
        return
    command = [sys.executable, __file__, "--seeds", str(a.seeds), "--seconds", str(a.seconds), "--one"]
    processes = {w: subprocess.Popen([*command, w], stdout=subprocess.PIPE, text=True) for w in a.ways.split(",")}
    found = {w: [json.loads(line) for line in p.communicate()[0].splitlines()] for w, p in processes.items()}
    if a.report:
        a.report.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
    print(f"\n{RUNNING} running brokers, {SERVERS} servers, 2 of them 15 times slower, {a.seeds} seeds;")
    print(f"loopback stand-ins in one process, {os.cpu_count()} shared cores; median (quartiles)\n")
    names = ("settled_s", "first_2s_p95", "slow_first_3s", "usual_p95", "whole", "learned")
    table("way", found, names, quartiles=True)
    if a.chart:
        boxes(found, {"settled_s": "seconds until settled", "first_2s_p95": "first two seconds, ms at 95%"}, a.chart)


if __name__ == "__main__":
    main()
