"""Runs broker processes under random faults over loopback: failing system calls, discovery outages and signals.

    python benchmarks/fault_soak.py --count 50 [--first 0] [--side-by-side 5] [--pipelining]

Clients stay connected until the process ends; with --pipelining, they send many requests at once on a connection, and
the process is paused several times. Prints each seed that violated a rule and a last line with totals. The
exit status is 1 if any seed did.
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
from tests.pipelining_soak import PipeliningSoak

RUN_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one seed. max_lateness_s: the largest delay of the event loop that measured the times."""

    seed: int
    violations: list[str]
    requests: int
    answered: int
    attempts: int
    max_lateness_s: float


async def play_with_timeout(soak: Soak) -> None:
    """Runs one seed under a timeout, so that a run that hangs is reported."""
    async with asyncio.timeout(RUN_TIMEOUT_S):
        await soak.play()


def play(soak: Soak) -> Outcome:
    """Runs one seed. It has a process of its own, so that no other run delays its time measurements."""
    try:
        asyncio.run(play_with_timeout(soak))
    except Exception as err:
        soak.violations.append(f"the run itself failed: {type(err).__name__}: {err}")
    answered = sum(sent.answer is not None and sent.answer.status == HTTPStatus.OK for sent in soak.sent)
    return Outcome(soak.seed, soak.violations, len(soak.sent), answered, soak.arrivals, soak.max_lateness_s)


def play_all(seeds: Sequence[int], concurrent_runs: int, kind: type[Soak] = Soak) -> list[Outcome]:
    """Runs all seeds, at most `concurrent_runs` at a time."""
    with ProcessPoolExecutor(concurrent_runs) as pool:
        return list(pool.map(play, [kind(seed) for seed in seeds]))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--side-by-side", type=int, default=5)
    parser.add_argument("--pipelining", action="store_true")
    options = parser.parse_args()
    began = time.monotonic()
    seeds = range(options.first, options.first + options.count)
    outcomes = play_all(seeds, options.side_by_side, PipeliningSoak if options.pipelining else Soak)
    for outcome in outcomes:
        for line in outcome.violations[:5]:
            print(f"seed {outcome.seed}: {line}")
    bad = sum(bool(outcome.violations) for outcome in outcomes)
    requests = sum(outcome.requests for outcome in outcomes)
    late_s = max(outcome.max_lateness_s for outcome in outcomes)
    print(f"{len(outcomes)} runs, {bad} with a violation, {requests} requests, ", end="")
    print(f"event loops at most {late_s:.3f} s late, {time.monotonic() - began:.0f} s")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
