"""The feed in simulated time over many seeds, and its defects that must be found.

python benchmarks/feed_seeds.py --count 1000
python benchmarks/feed_seeds.py --mutants --count 50
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent)]

from tests.feed_mutants import MUTANTS  # noqa: E402
from tests.simfeed import FAULTS_S, World, run_until_settled  # noqa: E402
from tests.simvoters import InvariantViolation  # noqa: E402

MOST_PROCESSES = 4
CHUNK = 5  # seeds that a process takes at once


@dataclass(frozen=True)
class Outcome:
    """What a seed came to; wrong is empty where all held."""

    seed: int
    wrong: str
    publications: int
    installs: int
    simulated_s: float
    margin_s: float
    understated_s: float
    counts: Counter[str]


def one_seed(seed: int) -> Outcome:
    world = World(seed)
    try:
        wrong = run_until_settled(world)
    except Exception as err:  # what the checker says, or a defect that ends a process
        wrong = f"{type(err).__name__}: {err}"
    checker = world.checker
    return Outcome(
        seed,
        wrong,
        checker.agreed.newest,
        checker.installs,
        world.now,
        checker.lowest_margin,
        checker.most_understated,
        Counter(world.counts),
    )


def seeds(count: int, first: int, processes: int) -> int:
    began, outcomes, counts = time.monotonic(), list[Outcome](), Counter[str]()
    with ProcessPoolExecutor(processes) as pool:
        for outcome in pool.map(one_seed, range(first, first + count), chunksize=CHUNK):
            outcomes.append(outcome)
            counts += outcome.counts
            if outcome.wrong:
                print(f"seed {outcome.seed}: {outcome.wrong}", flush=True)
    passed = sum(not outcome.wrong for outcome in outcomes)
    print(f"{passed} of {count} seeds from {first} passed, {time.monotonic() - began:.0f} s in {processes} processes")
    simulated_s = sum(outcome.simulated_s for outcome in outcomes)
    publications = sum(outcome.publications for outcome in outcomes)
    installs = sum(outcome.installs for outcome in outcomes)
    understated_s = max(outcome.understated_s for outcome in outcomes)
    settled_s = max(outcome.simulated_s - FAULTS_S for outcome in outcomes)
    margin_s = min(outcome.margin_s for outcome in outcomes)
    print(f"{simulated_s:.0f} simulated s, {publications} publications, {installs} installs")
    print(f"all was settled within {settled_s:.1f} s of the last trouble, where it settled")
    print(f"an age was too low by {understated_s:.2f} s at most; the least distance to its bound was {margin_s:.2f} s")
    print(", ".join(f"{what} {number}" for what, number in sorted(counts.items())))
    return 0 if passed == count else 1


def hunt(job: tuple[str, int, int]) -> tuple[str, int, int, str]:
    """A defect: how many seeds found it, which was the first, and what that said."""
    name, count, first = job
    mutant, found, first_found, said = MUTANTS[name], 0, -1, ""
    for seed in range(first, first + count):
        try:
            wrong = run_until_settled(World(seed, mutant.chaos, mutant.kinds))
        except InvariantViolation as err:
            wrong = str(err)
        if wrong:
            found += 1
            if first_found < 0:
                first_found, said = seed, wrong
    return name, found, first_found, said


def mutants(count: int, first: int, processes: int) -> int:
    missed = 0
    with ProcessPoolExecutor(processes) as pool:
        for name, found, seed, said in pool.map(hunt, [(name, count, first) for name in MUTANTS]):
            missed += not found
            print(f"{name}: found by {found} of {count} seeds, first {seed}: {said}", flush=True)
    return 1 if missed else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--count", type=int, default=1000, help="seeds to run")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--processes", type=int, default=MOST_PROCESSES, choices=range(1, MOST_PROCESSES + 1))
    parser.add_argument("--mutants", action="store_true", help="run each defect over the seeds in place of the product")
    options = parser.parse_args()
    run = mutants if options.mutants else seeds
    return run(options.count, options.first, options.processes)


if __name__ == "__main__":
    sys.exit(main())
