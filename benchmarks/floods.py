"""Floods a broker process with requests at full speed and measures what its usual clients get beside that.

    python benchmarks/floods.py [--only WORD] [--side-by-side 2] [--seconds 4] [--busy 3]

Prints a line for each form of the flood. The exit status is 1 if a request of a usual client was left without its final
answer in time.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.flood_clients import FORMS
from tests.floods import Play, Usual

PLAYS = {
    **{f"{form}, 1": (form, "pipelined", 1) for form in FORMS},
    **{f"{form}, 1, reads nothing": (form, "silent", 1) for form in ("unknown path", "valid")},
    **{f"{form}, 1, single bytes": (form, "bytes", 1) for form in ("unknown path", "valid")},
    **{f"{form}, {count}": (form, "pipelined", count) for count in (20, 250) for form in FORMS},
    **{f"{form}, {count}, one at a time": (form, "sequential", count) for count in (20, 250) for form in FORMS},
    **{f"{form}, 4": (form, "pipelined", 4) for form in FORMS},
    **{f"{form}, 250, single bytes": (form, "bytes", 250) for form in ("unknown path", "valid")},
}


def describe(usual: Usual) -> str:
    return (
        f"{1000 * usual.quantile(0.5):5.0f} {1000 * usual.quantile(0.99):5.0f} {1000 * usual.quantile(1.0):5.0f} ms "
        f"{dict(sorted(usual.statuses.items()))} lost {len(usual.lost)}"
    )


async def play_limited(name: str, seconds: float, busy: int, side_by_side: asyncio.Semaphore) -> int:
    async with side_by_side:
        result = await Play(*PLAYS[name], seconds=seconds, busy=busy).run()
        print(
            f"{name:36} alone {describe(result.before)}; beside {describe(result.beside)}; "
            f"{result.peak_kb / 1024:.0f} MB, CPU {result.cpu_share:.2f}",
            *result.beside.lost[:1],
            flush=True,
        )
        return bool(result.beside.lost)


async def play_all(names: list[str], seconds: float, busy: int, side_by_side: int) -> int:
    semaphore = asyncio.Semaphore(side_by_side)
    return sum(await asyncio.gather(*(play_limited(name, seconds, busy, semaphore) for name in names)))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", default="")
    parser.add_argument("--side-by-side", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--busy", type=int, default=0, help="busy processes on the broker's core")
    options = parser.parse_args()
    names = [name for name in PLAYS if options.only in name]
    broken = asyncio.run(play_all(names, options.seconds, options.busy, options.side_by_side))
    print(f"{len(names)} plays, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
