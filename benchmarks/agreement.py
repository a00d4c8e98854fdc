"""Checks the consensus in simulated time over many seeds, with planted defects, and over all interleavings to a depth.

python benchmarks/agreement.py seeds --count 10000
python benchmarks/agreement.py mutants --count 2000
python benchmarks/agreement.py model --depth 10
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent)]

from tests.modelvoters import search  # noqa: E402
from tests.mutants import MUTANTS  # noqa: E402
from tests.simvoters import Chaos, InvariantViolation, World  # noqa: E402

CHAOS = (
    Chaos(),
    Chaos(voters=5, loss=0.15, fault_interval_s=0.4),
    Chaos(sync=(0.01, 0.3), slow_sync=0.1, fault_interval_s=0.3),
    Chaos(clock_drift=0.1, late=0.1, fault_interval_s=0.4, compact_after_entries=8),
)


def run_seed(seed: int) -> tuple[int, str, int, int, int, int]:
    """Returns the seed, the violation (or ""), the acts that took effect, those rejected, the terms with a leader and
    the committed entries.
    """
    world = World(seed, CHAOS[seed % len(CHAOS)])
    try:
        world.run(12)
        world.heal()
        violation = "" if world.settles(10) else "not settled within 10 s of the last fault"
    except InvariantViolation as err:
        violation = str(err)
    return seed, violation, world.acts, world.rejected, world.elections, len(world.committed)


def seeds(count: int, first: int) -> int:
    """Runs the simulation without planted defects. Returns the exit status, 1 if a seed failed."""
    began, failed, totals = time.monotonic(), 0, [0, 0, 0, 0]
    with ProcessPoolExecutor() as pool:
        for seed, violation, *counts in pool.map(run_seed, range(first, first + count), chunksize=20):
            totals = [a + b for a, b in zip(totals, counts, strict=True)]
            if violation:
                failed += 1
                print(f"seed {seed}: {violation}")
    acts, rejected, elections, entries = totals
    print(
        f"{count} seeds from {first}, {len(CHAOS)} kinds of chaos in turn, {time.monotonic() - began:.0f} s on "
        f"{os.cpu_count()} cores: {failed} failed; {acts} acts took effect, {rejected} were rejected for their epoch, "
        f"{elections} terms had a leader, {entries} entries were committed"
    )
    return 1 if failed else 0


def run_mutant(job: tuple[str, int]) -> tuple[str, int, str, int]:
    """Runs a planted defect over seeds 0 to count - 1.

    Returns its name, how many seeds detected it, the first violation and the seed of that violation.
    """
    name, count = job
    kinds, chaos, _ = MUTANTS[name]
    found, first, violation = 0, -1, ""
    for seed in range(count):
        try:
            World(seed, chaos, **kinds).run(10)
        except InvariantViolation as err:
            found += 1
            if first < 0:
                first, violation = seed, str(err)
    return name, found, violation, first


def mutants(count: int) -> int:
    """Runs each planted defect. Returns the exit status, 1 if one was not detected."""
    missed = 0
    with ProcessPoolExecutor() as pool:
        for name, found, violation, first in pool.map(run_mutant, [(name, count) for name in MUTANTS]):
            missed += not found
            print(f"{name}: detected by {found} of {count} seeds, first {first}: {violation}")
    return 1 if missed else 0


def model(depth: int) -> int:
    """Searches all interleavings to a depth, within bounds on candidacies, proposals and crashes."""
    for campaigns, proposals, crashes in ((2, 0, 1), (2, 1, 0), (3, 0, 0)):
        began = time.monotonic()
        states = search(depth, campaigns=campaigns, proposals=proposals, crashes=crashes)
        took = time.monotonic() - began
        bounds = f"{campaigns} candidacies, {proposals} proposals, {crashes} crashes"
        print(f"depth {depth}, {bounds}: {states} states, {took:.0f} s")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=("seeds", "mutants", "model"))
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--depth", type=int, default=9)
    args = parser.parse_args()
    if args.what == "seeds":
        return seeds(args.count, args.first)
    return mutants(args.count) if args.what == "mutants" else model(args.depth)


if __name__ == "__main__":
    sys.exit(main())
