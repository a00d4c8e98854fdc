"""Cold servers before a fleet that shares nothing, over many simulated seeds: `python benchmarks/coldfleet.py`.

Judged from outside (`tests/simfleet.py`): in no window may all processes together send a cold server more than its
budget N and 2 x root of N + 2.
"""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from tests.simfleet import Fleet  # noqa: E402

FACTORS, WINDOWS_MS = (3.0, 4.0, 5.0), (1000.0, 1500.0, 2000.0)


def play(day):
    seed, processes = day
    fleet = Fleet(seed, processes, FACTORS[seed % 3], WINDOWS_MS[seed // 3 % 3])
    return seed, processes, fleet.play()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--processes", type=int, nargs="+", default=[20, 30, 200])
    parser.add_argument("--workers", type=int, default=4)
    said = parser.parse_args()
    days = [(seed, processes) for processes in said.processes for seed in range(said.count)]
    broken = 0
    with ProcessPoolExecutor(said.workers) as pool:
        for seed, processes, windows in pool.map(play, days):
            broken += bool(windows)
            if windows:
                print(f"seed {seed}, {processes} processes: {len(windows)} windows, first {windows[0]}")
    print(f"{len(days)} days, {broken} with a window over its budget and chance")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
