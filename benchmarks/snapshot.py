"""Tests snapshots with a writer that is killed at random points, and measures the cost of export and import.

    python benchmarks/snapshot.py [--kills 200] [--servers 400]

In each round a process writes numbered snapshots as fast as it can and prints each number once the snapshot is on the
disk; it is killed after a random time. The file must then contain a complete snapshot, the last printed or a later one.
"""

from __future__ import annotations

import argparse
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from badgerbend import api
from badgerbend.config.module import module_settings
from badgerbend.config.reading import load
from badgerbend.decisions import Aggregator
from badgerbend.disk import write_atomically
from badgerbend.knowledge.record import AnswerLatency, KnowledgeRecord, ServerObservation, decode, encode, make_record
from badgerbend.knowledge.trust import PeerTrust
from badgerbend.snapshot.store import encode_snapshot, read_snapshot
from badgerbend.standin.day import RATES


def record(servers: int, number: int) -> KnowledgeRecord:
    lines = tuple(ServerObservation(f"rates-{i}", 20.0 + i % 7, 100.0 * i) for i in range(servers))
    return KnowledgeRecord(1, 0, 0, number, lines, tuple(AnswerLatency(10.0 * i, 20.0, False) for i in range(400)))


def writer(path: Path, servers: int, first: int) -> None:
    """Writes numbered snapshots until the process is killed."""
    number = first
    while True:
        number += 1
        write_atomically(path, encode_snapshot(record(servers, number), time.time()))
        print(number, flush=True)


def check_killed_writers(rounds: int, servers: int) -> None:
    """Kills a writer at a random point in each round and checks the file that it leaves."""
    rng, printed, ahead = random.Random(1), 0, []
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "seen"
        for _ in range(rounds):
            command = [
                sys.executable,
                __file__,
                "--writer",
                str(path),
                "--first",
                str(printed),
                "--servers",
                str(servers),
            ]
            process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
            assert process.stdout
            process.stdout.readline()  # the writer has started
            time.sleep(rng.random() * 0.05)
            process.kill()
            lines = process.stdout.read().split()
            process.wait()
            printed = max([int(x) for x in lines], default=printed + 1)
            found = read_snapshot(path, time.time()).open_parts  # raises if the file is incomplete
            assert found >= printed, (found, printed)
            ahead.append(found - printed)
            printed = found
    print(f"{rounds} kills: the file was complete each time; {sum(1 for a in ahead if a)} times it was ahead of")
    print(f"the last printed number, never behind; last number {printed}")


def measure_costs(servers: int) -> None:
    """Prints the CPU time of exporting, storing and importing a record."""
    settings = module_settings(load(RATES))
    module = Aggregator(settings, 1)
    lines = tuple(api.Endpoint(i, i % 12, api.EndpointState.READY, 0.0, 0, 0, 1.0) for i in range(servers))
    module.step(1000.0, [api.EndpointUpdate(api.UpdateKind.FULL, lines)])
    names = {i: f"rates-{i}" for i in range(servers)}
    prior = api.Observations(
        tuple(api.EndpointObservation(i, 20.0, 100.0, False) for i in range(servers)),
        tuple((10.0, 20.0, False) for _ in range(400)),
    )
    module.step(1001.0, [prior])
    for node in module.endpoints.servers.values():
        node.peer_observed = False  # as if this broker had observed it itself
    module.observation_exchange._imported_ms = -1e9

    def cpu_ms(what: object, times: int = 50) -> float:
        began = time.process_time()
        for _ in range(times):
            what()  # type: ignore[operator]
        return (time.process_time() - began) / times * 1000.0

    own = make_record(module.observations(), names, 0, 0, 0, {})
    numbers = {n: i for i, n in names.items()}
    records = {f"p{i}": own for i in range(3)}
    out_ms = cpu_ms(lambda: encode(make_record(module.observations(), names, 0, 0, 0, {})))
    pack_ms = cpu_ms(lambda: encode_snapshot(make_record(module.observations(), names, 0, 0, 0, {}), 0.0))
    data = encode(own)
    in_ms = cpu_ms(lambda: [decode(data) for _ in range(3)]) + cpu_ms(
        lambda: PeerTrust().combine(records, numbers, 0.0)
    )
    learn_ms = cpu_ms(lambda: module.observation_exchange.learn(prior, 1001.0))
    print(f"\n{servers} servers, a record of {len(data)} bytes; CPU ms on one core")
    print("| export | export and pack a snapshot | take in three records | the module's part |")
    print("| --- | --- | --- | --- |")
    print(f"| {out_ms:.2f} | {pack_ms:.2f} | {in_ms:.2f} | {learn_ms:.2f} |")
    share = pack_ms / 2000.0 + (in_ms + learn_ms) / 5000.0 + 3 * out_ms / 5000.0
    print(f"share of a core with a snapshot every 2 s, a pull every 5 s and three exports every 5 s: {share:.3%}")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--servers", type=int, default=400)
    parser.add_argument("--writer", type=Path, help=argparse.SUPPRESS)
    parser.add_argument("--first", type=int, default=0, help=argparse.SUPPRESS)
    a = parser.parse_args()
    if a.writer:
        writer(a.writer, a.servers, a.first)
    check_killed_writers(a.kills, a.servers)
    measure_costs(a.servers)


if __name__ == "__main__":
    main()
