"""Plays bad clients and bad nodes to a broker process: how much memory does it hold, and are usual clients answered?

    python benchmarks/memory_faults.py [--only WORD] [--side-by-side 2] [--seconds 4]

Prints a line for each case. The exit status is 1 if a process went over its limit of memory, or if a request of a usual
client was left without its answer.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.memory_faults import CASES, Result, play


async def play_limited(name: str, seconds: float, side_by_side: asyncio.Semaphore) -> Result:
    async with side_by_side:
        result = await play(CASES[name], seconds)
        print(
            f"{name:48} {result.before_kb / 1024:5.1f} MB before, peak {result.peak_kb / 1024:6.1f}, after "
            f"{result.after_kb / 1024:6.1f} of {result.limit_kb / 1024:.0f}; lost {len(result.lost):3} "
            f"{dict(sorted(result.statuses.items()))} {'BROKEN' if result.is_broken else 'kept'}",
            *result.lost[:1],
            flush=True,
        )
        return result


async def play_all(names: list[str], seconds: float, side_by_side: int) -> int:
    """Returns how many plays broke a rule."""
    semaphore = asyncio.Semaphore(side_by_side)
    results = await asyncio.gather(*(play_limited(name, seconds, semaphore) for name in names))
    return sum(result.is_broken for result in results)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", default="")
    parser.add_argument("--side-by-side", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    names = [name for name in CASES if options.only in name]
    broken = asyncio.run(play_all(names, options.seconds, options.side_by_side))
    print(f"{len(names)} plays, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
