"""Random pairs of events over the real service on loopback: `python benchmarks/crossings.py --count 1000`."""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from tests.crossing_days import Day  # noqa: E402


def play(seed):
    return seed, Day(seed).play()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--workers", type=int, default=4)
    said = parser.parse_args()
    broken = 0
    with ProcessPoolExecutor(said.workers) as pool:
        for seed, found in pool.map(play, range(said.first, said.first + said.count)):
            broken += bool(found)
            if found:
                print(f"seed {seed}: {found}")
    print(f"{said.count} days, {broken} with a rule broken")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
