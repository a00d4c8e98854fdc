"""Runs the feed in simulated time over many seeds, with planted defects that must be detected, or without.

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

MAX_PROCESSES = 4
SEEDS_PER_TASK = 5  # seeds that a worker process receives at once


@dataclass(frozen=True)
class Outcome:
    """The result of one seed. violation: empty if no invariant was violated."""

    seed: int
    violation: str
    publications: int
    installs: int
    simulated_s: float
    margin_s: float
    understated_s: float
    counts: Counter[str]


def run_seed(seed: int) -> Outcome:
    world = World(seed)
    try:
        violation = run_until_settled(world)
    except Exception as err:  # a violated invariant, or a defect that ends a simulated process
        violation = f"{type(err).__name__}: {err}"
    checker = world.checker
    return Outcome(
        seed,
        violation,
        checker.agreed.newest,
        checker.installs,
        world.now,
        checker.lowest_margin,
        checker.most_understated,
        Counter(world.counts),
    )


def seeds(count: int, first: int, processes: int) -> int:
    """Runs the product over the seeds. Returns the exit status, 1 if a seed failed."""
    began, outcomes, counts = time.monotonic(), list[Outcome](), Counter[str]()
    with ProcessPoolExecutor(processes) as pool:
        for outcome in pool.map(run_seed, range(first, first + count), chunksize=SEEDS_PER_TASK):
            outcomes.append(outcome)
            counts += outcome.counts
            if outcome.violation:
                print(f"seed {outcome.seed}: {outcome.violation}", flush=True)
    passed = sum(not outcome.violation for outcome in outcomes)
    print(f"{passed} of {count} seeds from {first} passed, {time.monotonic() - began:.0f} s in {processes} processes")
    simulated_s = sum(outcome.simulated_s for outcome in outcomes)
    publications = sum(outcome.publications for outcome in outcomes)
    installs = sum(outcome.installs for outcome in outcomes)
    understated_s = max(outcome.understated_s for outcome in outcomes)
    settled_s = max(outcome.simulated_s - FAULTS_S for outcome in outcomes)
    margin_s = min(outcome.margin_s for outcome in outcomes)
    print(f"{simulated_s:.0f} simulated s, {publications} publications, {installs} installs")
    print(f"in runs that settled, everything was settled within {settled_s:.1f} s of the last fault")
    print(f"an age was too low by {understated_s:.2f} s at most; the smallest margin to its bound was {margin_s:.2f} s")
    print(", ".join(f"{what} {number}" for what, number in sorted(counts.items())))
    return 0 if passed == count else 1


def run_mutant(job: tuple[str, int, int]) -> tuple[str, int, int, str]:
    """Runs a planted defect over the seeds.

    Returns its name, how many seeds detected it, the first such seed and its violation.
    """
    name, count, first = job
    mutant, found, first_found, first_violation = MUTANTS[name], 0, -1, ""
    for seed in range(first, first + count):
        try:
            violation = run_until_settled(World(seed, mutant.chaos, mutant.kinds))
        except InvariantViolation as err:
            violation = str(err)
        if violation:
            found += 1
            if first_found < 0:
                first_found, first_violation = seed, violation
    return name, found, first_found, first_violation


def mutants(count: int, first: int, processes: int) -> int:
    """Runs each planted defect over the seeds. Returns the exit status, 1 if one was not detected."""
    missed = 0
    with ProcessPoolExecutor(processes) as pool:
        for name, found, seed, violation in pool.map(run_mutant, [(name, count, first) for name in MUTANTS]):
            missed += not found
            print(f"{name}: detected by {found} of {count} seeds, first {seed}: {violation}", flush=True)
    return 1 if missed else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--count", type=int, default=1000, help="seeds to run")
    parser.add_argument("--first", type=int, default=0, help="the first seed")
    parser.add_argument("--processes", type=int, default=MAX_PROCESSES, choices=range(1, MAX_PROCESSES + 1))
    parser.add_argument("--mutants", action="store_true", help="run each defect over the seeds in place of the product")
    options = parser.parse_args()
    run = mutants if options.mutants else seeds
    return run(options.count, options.first, options.processes)


if __name__ == "__main__":
    sys.exit(main())
