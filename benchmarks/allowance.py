"""The slow-start budget in simulated time: checks its limit over many seeds and measures the gain of sharing it.

python benchmarks/allowance.py seeds --count 10000
python benchmarks/allowance.py gain --count 12
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests")]

from tests.simbudget import BudgetExceededError, World  # noqa: E402
from tests.simslowstart import release_and_shift, return_of_a_site  # noqa: E402

LOSSES = (0.0, 0.2, 0.6)
SCENES = {"all cold, clients moved": release_and_shift, "a site back": return_of_a_site}
VARIANTS = {"each its own share": (False, False), "nobody deals": (True, False), "dealt": (True, True)}


def run_seed(seed: int) -> tuple[int, str, int, int]:
    """Returns the seed, the violation (or ""), the number of checked totals and that of the allocator's replies."""
    world = World(seed, brokers=3 + seed % 8, loss=LOSSES[seed % len(LOSSES)])
    try:
        world.run(30_000)
    except BudgetExceededError as err:
        return seed, str(err), world.checks, world.replies
    return seed, "", world.checks, world.replies


def seeds(count: int, first: int) -> int:
    """Runs the simulation over the seeds. Returns the exit status, 1 if a seed failed."""
    began, failed, checks, replies = time.monotonic(), 0, 0, 0
    with ProcessPoolExecutor() as pool:
        for seed, violation, seed_checks, seed_replies in pool.map(run_seed, range(first, first + count), chunksize=20):
            checks, replies = checks + seed_checks, replies + seed_replies
            if violation:
                failed += 1
                print(f"seed {seed}: {violation}")
    print(
        f"{count} seeds from {first}, {time.monotonic() - began:.0f} s on {os.cpu_count()} cores: {failed} failed; "
        f"{checks} totals checked, {replies} replies of allocators"
    )
    return 1 if failed else 0


def run_scene(job: tuple[str, str, int]) -> dict[str, float]:
    """Runs one scene with one variant of the budget and one seed."""
    scene, variant, seed = job
    shared, has_allocator = VARIANTS[variant]
    return SCENES[scene](seed, shared, has_allocator=has_allocator)  # type: ignore[no-any-return]


def gain(count: int) -> int:
    """Prints means over the same seeds, with the 95% t-interval of the paired difference to the first variant."""
    import numpy as np
    from scipy import stats

    print("| scene | way | answered | ms | peak at a cold server, of its bound |")
    print("|---|---|---|---|---|")
    for scene in SCENES:
        rows = {}
        with ProcessPoolExecutor() as pool:
            for variant in VARIANTS:
                rows[variant] = list(pool.map(run_scene, [(scene, variant, s) for s in range(count)]))
        base = rows[next(iter(VARIANTS))]
        for variant, found in rows.items():
            cells = []
            for what in ("answered", "ms"):
                values = np.array([r[what] for r in found])
                text = f"{values.mean():.3f}" if what == "answered" else f"{values.mean():.0f}"
                if found is not base:
                    diff = values - np.array([r[what] for r in base])
                    low, high = stats.t.interval(0.95, len(diff) - 1, diff.mean(), stats.sem(diff))
                    text += f" ({low:+.3f} to {high:+.3f})" if what == "answered" else f" ({low:+.0f} to {high:+.0f})"
                cells.append(text)
            print(f"| {scene} | {variant} | {' | '.join(cells)} | {max(r['peak'] for r in found):.2f} |", flush=True)
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=("seeds", "gain"))
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    args = parser.parse_args()
    return seeds(args.count, args.first) if args.what == "seeds" else gain(args.count)


if __name__ == "__main__":
    sys.exit(main())
