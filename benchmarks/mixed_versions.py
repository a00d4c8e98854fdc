"""Tests that a fleet of three voters on two versions of the program hands a lease over between versions, on loopback.

    python -m benchmarks.mixed_versions --against CHECKOUT

The voter `broker-0` runs the other checkout, `broker-1` and `broker-2` run this one. The lease is handed over in both
directions and each version leads once; then the versions are swapped, so that each store is read by the version that
did not write it. Finally, a broker of this version starts from a snapshot of observations that a broker of the other
version wrote. The messages between the processes are checked as in `badgerbend.standin.scene`. The exit status is 1 if
a rule was violated or an expected event did not happen.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import re
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from badgerbend.config import decode
from badgerbend.config.reading import load
from badgerbend.config.settings import Snapshot
from badgerbend.standin.client import Client
from badgerbend.standin.duty_audit import audit_duties
from badgerbend.standin.fault_proxy import free_port
from badgerbend.standin.processes import BrokerProcess
from badgerbend.standin.scene import RATES, REPORTER, Scene, Stage
from badgerbend.standin.work import Model
from badgerbend.standin.world import World

HERE = Path(__file__).resolve().parents[1]
MAX_HANDOVERS = 30  # tries until both directions were seen; the next holder is random
WAIT_S = 20.0
POLL_S = 0.02


class VersionedProcess(BrokerProcess):
    """A broker that runs the program of a checkout."""

    checkout = HERE

    async def launch(self) -> None:
        """Starts the broker in its checkout, whose package takes precedence over the installed one."""
        self.conf.write_text(f"(broker\n{decode.show(self.settings, 1)}\n)\n", encoding="utf-8")
        with open(self.conf.with_suffix(".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self.before,
                str(self.conf),
                *self.after,
                stderr=log,
                stdout=log,
                cwd=self.checkout,
                env=os.environ | {"PYTHONPATH": str(self.checkout)},
            )


class MixedStage(Stage):
    """A scene whose processes each run one of two checkouts."""

    def __init__(self, folder: Path, checkouts: dict[str, Path]) -> None:
        super().__init__(Scene(seconds=1.0, brokers=3, voters=3), folder, {"probe_every_ms": 40.0})
        self.checkouts = checkouts

    async def start(self) -> None:
        """Starts all processes, each in its checkout, and waits for the first act of a lease holder."""
        starting = BrokerProcess.start
        stage = self

        async def start_versioned(process: BrokerProcess) -> None:
            name = process.conf.stem
            versioned = VersionedProcess(process.settings, process.conf, process.before, process.after)
            versioned.checkout = stage.checkouts[name]
            stage.processes[name] = versioned
            await starting(versioned)

        BrokerProcess.start = start_versioned  # type: ignore[method-assign]
        try:
            await super().start()
        finally:
            BrokerProcess.start = starting  # type: ignore[method-assign]

    def acted_since(self, name: str, since: int) -> bool:
        """Whether an act of this broker arrived after the line `since` of the record."""
        return any(row["from"] == name and row["k"] == "passed" and row["to"] == REPORTER for row in self.lines[since:])

    async def another_acts(self, old: str) -> str:
        """Waits for an act of another broker and returns that broker's name."""
        since = len(self.lines)
        await wait_until(lambda: any(self.acted_since(name, since) for name in self.names if name != old))
        return self.holder()


async def wait_until(happened: Callable[[], bool]) -> None:
    """Waits until something has happened. Raises TimeoutError."""
    async with asyncio.timeout(WAIT_S):
        while not happened():
            await asyncio.sleep(POLL_S)


async def hand_over_both_ways(stage: MixedStage) -> dict[str, int]:
    """Restarts the lease holder until the lease was handed over in both directions and each version has led."""
    seen = {"old to new": 0, "new to old": 0, "old led": 0, "new led": 0}
    for _ in range(MAX_HANDOVERS):
        holder = stage.holder()
        leader = stage.leader()
        seen["old led" if leader == "broker-0" else "new led"] += 1
        ending = asyncio.ensure_future(stage.processes[holder].terminate())
        after = await stage.another_acts(holder)
        if await ending != 0:
            raise RuntimeError(f"{holder} ended with a failure")
        await stage.processes[holder].start()
        if holder == "broker-0":
            seen["old to new"] += 1
        elif after == "broker-0":
            seen["new to old"] += 1
        if all(seen.values()):
            break
    return seen


async def swap_versions(stage: MixedStage, old: Path) -> None:
    """Ends all processes, starts each voter's store under the other version and waits for an act."""
    for name in stage.names:
        await stage.processes[name].terminate()
    for name in stage.names:
        process = stage.processes[name]
        assert isinstance(process, VersionedProcess)
        process.checkout = HERE if process.checkout == old else old
    since = len(stage.lines)
    await asyncio.gather(*(stage.processes[name].start() for name in stage.names))
    await wait_until(lambda: any(stage.acted_since(name, since) for name in stage.names))


async def start_from_snapshot(old: Path, folder: Path) -> int:
    """Starts a broker from a snapshot of the other version. Returns for how many servers it took estimates from it."""
    base = load(RATES)
    world = World(base.layout.shards, base.layout.cells, base.layout.reach, 1, lambda line: None)
    await world.start(3, 1, Model(part_ms=1.0, call_ms=0.2))
    settings = msgspec.structs.replace(
        base,
        schema=str((RATES.parent / base.schema).resolve()),
        listen=msgspec.structs.replace(base.listen, port=free_port()),
        discovery=msgspec.structs.replace(base.discovery, port=world.registry.http.address[1]),
        snapshot=Snapshot(str(folder / "snapshot")),
    )
    process = VersionedProcess(settings, folder / "snapshot.conf", ["badgerbend", "run"])
    process.checkout = old
    try:
        await process.start()
        client = Client(settings.listen.port)
        for block in range(base.layout.shards):
            await client.query(f"{{ fullQuote(blocks: [{block}], amount: 5) {{ id }} }}")
        client.close()
        if await process.terminate() != 0:
            raise RuntimeError("the broker that wrote the snapshot ended with a failure")
        process.checkout = HERE
        await process.start()
        return await servers_learned(settings.listen.port)
    finally:
        await process.terminate()
        await world.close()


async def servers_learned(port: int) -> int:
    """Returns the metric of servers learned, once a broker took estimates from others. Raises TimeoutError."""
    async with asyncio.timeout(WAIT_S):
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            text = (await reader.read()).decode()
            writer.close()
            found = re.search(r"^badgerbend_knowledge_servers_learned (\S+)$", text, re.MULTILINE)
            if found is not None and float(found[1]) > 0:
                return int(float(found[1]))
            await asyncio.sleep(POLL_S)


async def run(old: Path, folder: Path) -> int:
    """Runs the whole scene, prints the results and returns the exit status."""
    stage = MixedStage(folder, {"broker-0": old, "broker-1": HERE, "broker-2": HERE})
    began = time.monotonic()
    try:
        await stage.start()
        seen = await hand_over_both_ways(stage)
        await swap_versions(stage, old)
    finally:
        ends = await stage.stop()
    learned = await start_from_snapshot(old, folder)
    judged = audit_duties(stage.lines)
    violations = [(finding.name, len(finding.cases)) for finding in judged.findings if finding.cases]
    print(f"hand-overs and leads: {seen}")
    print(f"each store read by the version that did not write it; holdings: {len(judged.holdings)}; ends: {ends}")
    print(f"a snapshot of the other version was loaded: estimates of {learned} servers")
    print(f"rules violated: {violations or 'none'}; {time.monotonic() - began:.1f} s")
    return 0 if not violations and all(seen.values()) and not any(ends) else 1


def main() -> int:
    """Parses the command line and runs the scene."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--against", type=Path, required=True, help="a checkout of the other version")
    parser.add_argument("--keep", type=Path, help="a folder for stores, settings and logs")
    arguments = parser.parse_args()
    with contextlib.ExitStack() as stack:
        folder = arguments.keep or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(arguments.against.resolve(), folder))


if __name__ == "__main__":
    sys.exit(main())
