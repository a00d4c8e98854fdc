"""Plays broker processes under drawn faults over loopback: system calls, discovery, signals, clients until the end.

    python benchmarks/fault_soak.py --count 50 [--first 0] [--side-by-side 5]

Prints each seed that broke a rule, and a last line of sums. Exit status 1 if one did.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.fault_soak import Soak

LIMIT_S = 60.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a seed. judge_late_s: how late the judge itself was at most."""

    seed: int
    broken: list[str]
    requests: int
    answered: int
    attempts: int
    judge_late_s: float


async def play_in_time(soak: Soak) -> None:
    """Plays a run within a limit, so that one which hangs is seen."""
    async with asyncio.timeout(LIMIT_S):
        await soak.play()


def play(seed: int) -> Outcome:
    """One seed's run, in a process of its own: its judge takes times, and is late for no other run."""
    soak = Soak(seed)
    try:
        asyncio.run(play_in_time(soak))
    except Exception as err:
        soak.broken.append(f"the run itself: {type(err).__name__}: {err}")
    answered = sum(sent.answer is not None and sent.answer.status == HTTPStatus.OK for sent in soak.sent)
    return Outcome(seed, soak.broken, len(soak.sent), answered, soak.arrivals, soak.judge_late_s)


def play_all(seeds: Sequence[int], side_by_side: int) -> list[Outcome]:
    """All seeds, some at a time."""
    with ProcessPoolExecutor(side_by_side) as pool:
        return list(pool.map(play, seeds))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--side-by-side", type=int, default=5)
    options = parser.parse_args()
    began = time.monotonic()
    seeds = range(options.first, options.first + options.count)
    outcomes = play_all(seeds, options.side_by_side)
    for outcome in outcomes:
        for line in outcome.broken[:5]:
            print(f"seed {outcome.seed}: {line}")
    bad = sum(bool(outcome.broken) for outcome in outcomes)
    requests = sum(outcome.requests for outcome in outcomes)
    late_s = max(outcome.judge_late_s for outcome in outcomes)
    print(f"{len(outcomes)} runs, {bad} with a break, {requests} requests, ", end="")
    print(f"judges at most {late_s:.3f} s late, {time.monotonic() - began:.0f} s")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
