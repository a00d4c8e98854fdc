"""Measures what duties cost a fleet of N broker processes: the leader's CPU time and bytes, and probes at servers.

One of three servers is twenty times slower than the others, so that every broker that was queried suspects it. Then no
queries are sent, and for some seconds messages, probes and CPU time are counted. Over loopback; 200 processes need
12 GB of memory.

    python benchmarks/fleet.py [--brokers 8,64,200] [--seconds 15]
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

sys.path[:0] = [str(Path(__file__).parent.parent)]

from badgerbend.leases.messages import LeaseRequest, SuspicionReport  # noqa: E402
from badgerbend.standin.client import Client  # noqa: E402
from badgerbend.standin.duty_audit import audit_duties, decode_datagram  # noqa: E402
from badgerbend.standin.scene import REPORTER, Scene, Stage  # noqa: E402

QUERY = "{ fullQuote(blocks: [0], amount: 5) { id } }"
WARM_UP_QUERIES = 40  # for each broker: enough for its estimate of the usual latency
SLOWER = 20.0
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in user and kernel mode."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(pid: int) -> float:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


async def send_queries(port: int) -> None:
    client = Client(port)
    for _ in range(WARM_UP_QUERIES):
        await client.query(QUERY)
    client.close()


async def measure(brokers: int, seconds: float, folder: Path) -> dict[str, Any]:
    """Runs one fleet and returns its figures, by the column names of the table."""
    stage = Stage(Scene(seconds=1.0, brokers=brokers), folder, {})
    probes: list[float] = []

    def count(line: dict[str, Any]) -> None:
        if line["k"] == "arrive" and not line["parts"]:
            probes.append(line["t"])

    stage.world.write = count
    try:
        began = time.monotonic()
        await stage.start()
        started = time.monotonic() - began
        stage.task.cancel()  # stops the scene's artificial suspicions: the brokers suspect the slow server themselves
        stage.world.servers["rates-0"].machine.slowdown = SLOWER
        ports = [p.settings.listen.port for p in stage.processes.values()]
        for i in range(0, len(ports), 20):
            await asyncio.gather(*(send_queries(port) for port in ports[i : i + 20]))
        await asyncio.sleep(2.0)
        leader, holder = stage.processes[stage.leader()], stage.holder()
        others = [p for n, p in stage.processes.items() if n not in (stage.leader(), holder)]
        first, t0 = len(stage.lines), time.monotonic()
        before = {p.pid: cpu_s(p.pid) for p in stage.processes.values()}
        await asyncio.sleep(seconds)
        took = time.monotonic() - t0
        used = {pid: (cpu_s(pid) - cpu) / took for pid, cpu in before.items()}
        lines, name = stage.lines[first:], stage.leader()
        messages = [(r, decode_datagram(r["data"])) for r in lines if r["from"] != REPORTER]
        return {
            "brokers": brokers,
            "started_s": started,
            "rss_mb": sum(rss_mb(p.pid) for p in stage.processes.values()) / brokers,
            "leader_cpu": used[leader.pid] * 100.0,
            "other_cpu": sum(used[p.pid] for p in others) / max(len(others), 1) * 100.0,
            "leader_kb_s": sum(len(r["data"]) for r in lines if name in (r["from"], r["to"])) / took / 1000.0,
            "asks_s": sum(isinstance(m, LeaseRequest) for _, m in messages) / took,
            "doubts_s": sum(isinstance(m, SuspicionReport) for _, m in messages) / took,
            "doubting": len({r["from"] for r, m in messages if isinstance(m, SuspicionReport)}),
            "probes_s": sum(t >= t0 * 1000.0 for t in probes) / took,
            "wrong": sum(len(f.cases) for f in audit_duties(stage.lines).findings),
        }
    finally:
        await stage.stop()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--brokers", default="8,64,200")
    parser.add_argument("--seconds", type=float, default=15.0)
    args = parser.parse_args()
    names = (
        "brokers",
        "started_s",
        "rss_mb",
        "leader_cpu",
        "other_cpu",
        "leader_kb_s",
        "asks_s",
        "doubts_s",
        "doubting",
        "probes_s",
        "wrong",
    )
    print("| " + " | ".join(names) + " |\n" + "|---" * len(names) + "|")
    violations = 0
    for count in args.brokers.split(","):
        with tempfile.TemporaryDirectory() as folder:
            row = uvloop.run(measure(int(count), args.seconds, Path(folder)))
        violations += row["wrong"]
        print("| " + " | ".join(f"{row[n]:.2f}" if isinstance(row[n], float) else str(row[n]) for n in names) + " |")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
