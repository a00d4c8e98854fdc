"""Plays each misbehaviour of a discovery agent to a broker process over loopback: when is a drain read, and obeyed?

    python benchmarks/agent_faults.py [--only WORD] [--side-by-side 8] [--rounds 1] [--busy 0]

--busy: processes that keep a core busy each meanwhile. Prints a line for each case and a last one with totals. The exit
status is 1 if parts were sent to a draining node after the grace period.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.agent_faults import CASES, Result, play


def spin() -> None:
    """Keeps a core busy until the process is ended."""
    while True:
        pass


def seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.3f}"


async def play_limited(name: str, side_by_side: asyncio.Semaphore) -> tuple[str, Result]:
    async with side_by_side:
        return name, await play(CASES[name])


async def play_all(names: list[str], side_by_side: int) -> int:
    """Returns how many plays broke the rule."""
    semaphore = asyncio.Semaphore(side_by_side)
    broken = 0
    for name, result in await asyncio.gather(*(play_limited(name, semaphore) for name in names)):
        is_late = result.late_s > 0
        broken += is_late
        print(
            f"{name:56} answered {seconds(result.answered_s):>6} read {seconds(result.read_s):>6} "
            f"last sent {result.last_sent_s:.3f} {'BROKEN' if is_late else 'kept  '} "
            f"polls/s {result.polls_per_s:4.1f} connections {result.connections}"
        )
    return broken


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", default="")
    parser.add_argument("--side-by-side", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--busy", type=int, default=0)
    options = parser.parse_args()
    names = [name for name in CASES if options.only in name] * options.rounds
    busy = [multiprocessing.Process(target=spin, daemon=True) for _ in range(options.busy)]
    for process in busy:
        process.start()
    broken = asyncio.run(play_all(names, options.side_by_side))
    for process in busy:
        process.terminate()
    print(f"{len(names)} plays, {broken} broken, {options.busy} busy processes")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
