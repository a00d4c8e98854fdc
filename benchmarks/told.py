"""Thousands of days of news, silences, moves and late loops in simulated time: what is told is obeyed.

    python benchmarks/told.py --count 2000 [--first 0]

Prints each seed that broke the rule, with the first break, and a last line of sums. Exit status 1 if one did.
"""

from __future__ import annotations

import argparse
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from tests.simplatform import SimulatedPlatform


def play(seed: int) -> tuple[int, list[tuple[float, str, float]], int, int]:
    """A seed's breaks, sends and queries without an end."""
    platform = SimulatedPlatform(seed)
    broken = platform.run()
    return seed, broken, platform.parts_sent, platform.queries_sent - platform.queries_ended


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000)
    parser.add_argument("--first", type=int, default=0)
    asked = parser.parse_args()
    began, bad, sends, open_ = time.monotonic(), 0, 0, 0
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for seed, broken, sent, left in pool.map(play, range(asked.first, asked.first + asked.count), chunksize=8):
            bad, sends, open_ = bad + bool(broken), sends + sent, open_ + left
            if broken:
                at, server, after = broken[0]
                print(f"seed {seed}: {len(broken)} sends, first at {at} s to {server}, {after} s after it was told")
    print(f"{asked.count} days, {bad} with a break, {sends} sends, {open_} queries without an end, ", end="")
    print(f"{time.monotonic() - began:.0f} s")
    return 1 if bad or open_ else 0


if __name__ == "__main__":
    sys.exit(main())
