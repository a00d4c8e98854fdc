"""A fleet of three voters on two versions of the program, over loopback: is a lease handed over between them?

    python -m benchmarks.mixed_versions --against CHECKOUT

The voter `broker-0` runs the other checkout, `broker-1` and `broker-2` run this one. The lease is handed over in both
directions and each version leads once; then the versions are swapped, so that each store is read by the version that
did not write it. What passed between the processes is judged as in `badgerbend.standin.scene`. Exit status 1 where a
rule was broken or a step did not come about.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from badgerbend.standin.acts import judge
from badgerbend.standin.processes import BrokerProcess
from badgerbend.standin.scene import DOUBTER, Scene, Stage

HERE = Path(__file__).resolve().parents[1]
MAX_TURNS = 30  # hand-overs tried until both directions were seen: the next holder is drawn at random
WAIT_S = 20.0
POLL_S = 0.02


class VersionedProcess(BrokerProcess):
    """A broker that runs the program of a checkout."""

    checkout = HERE

    async def launch(self) -> None:
        """Starts it in its checkout, whose package goes before the installed one."""
        before_folder = Path.cwd()
        before_path = os.environ.get("PYTHONPATH")
        os.chdir(self.checkout)
        os.environ["PYTHONPATH"] = str(self.checkout)
        try:
            await super().launch()
        finally:
            os.chdir(before_folder)
            if before_path is None:
                del os.environ["PYTHONPATH"]
            else:
                os.environ["PYTHONPATH"] = before_path


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
        """Whether an act of this broker arrived after that line of the record."""
        return any(row["from"] == name and row["k"] == "passed" and row["to"] == DOUBTER for row in self.lines[since:])

    async def another_acts(self, old: str) -> str:
        """Waits for an act of another broker; which one."""
        since = len(self.lines)
        await until(lambda: any(self.acted_since(name, since) for name in self.names if name != old))
        return self.holder()


async def until(happened: Callable[[], bool]) -> None:
    """Waits until something has happened. Raises TimeoutError."""
    async with asyncio.timeout(WAIT_S):
        while not happened():
            await asyncio.sleep(POLL_S)


async def hand_over_both_ways(stage: MixedStage) -> dict[str, int]:
    """Ends and restarts whoever holds the lease until it went from each version to the other, and each has led."""
    seen = {"old to new": 0, "new to old": 0, "old led": 0, "new led": 0}
    for _ in range(MAX_TURNS):
        holder = stage.holder()
        leader = stage.leader()
        seen["old led" if leader == "broker-0" else "new led"] += 1
        ending = asyncio.ensure_future(stage.processes[holder].ended())
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
        await stage.processes[name].ended()
    for name in stage.names:
        process = stage.processes[name]
        assert isinstance(process, VersionedProcess)
        process.checkout = HERE if process.checkout == old else old
    since = len(stage.lines)
    await asyncio.gather(*(stage.processes[name].start() for name in stage.names))
    await until(lambda: any(stage.acted_since(name, since) for name in stage.names))


async def run(old: Path, folder: Path) -> int:
    """Plays the whole scene and prints what was seen; the exit status."""
    stage = MixedStage(folder, {"broker-0": old, "broker-1": HERE, "broker-2": HERE})
    began = time.monotonic()
    try:
        await stage.start()
        seen = await hand_over_both_ways(stage)
        await swap_versions(stage, old)
    finally:
        ends = await stage.stop()
    judged = judge(stage.lines)
    broken = [(finding.name, len(finding.cases)) for finding in judged.findings if finding.cases]
    print(f"hand-overs and leads: {seen}")
    print(f"each store read by the version that did not write it; holdings: {len(judged.holdings)}; ends: {ends}")
    print(f"rules broken: {broken or 'none'}; {time.monotonic() - began:.1f} s")
    return 0 if not broken and all(seen.values()) and not any(ends) else 1


def main() -> int:
    """The command."""
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
