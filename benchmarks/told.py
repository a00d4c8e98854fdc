"""Checks over many simulated days that no part is sent against the published state of a server.

    python benchmarks/told.py --count 2000 [--first 0]

Each day has random updates, outages and moves of servers and delays of event loops. Prints each seed that violated the
rule, with its first violation, and a last line with totals. The exit status is 1 if any seed did.
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
    """Returns the seed, its violations, the number of parts sent and the number of queries that did not end."""
    platform = SimulatedPlatform(seed)
    violations = platform.run()
    return seed, violations, platform.parts_sent, platform.queries_sent - platform.queries_ended


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000)
    parser.add_argument("--first", type=int, default=0)
    arguments = parser.parse_args()
    began, failed, sends, open_ = time.monotonic(), 0, 0, 0
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for seed, violations, sent, left in pool.map(
            play, range(arguments.first, arguments.first + arguments.count), chunksize=8
        ):
            failed, sends, open_ = failed + bool(violations), sends + sent, open_ + left
            if violations:
                at, server, after = violations[0]
                print(f"seed {seed}: {len(violations)} sends, first at {at} s to {server}, {after} s after the update")
    print(
        f"{arguments.count} days, {failed} with a violation, {sends} sends, {open_} queries that did not end, ", end=""
    )
    print(f"{time.monotonic() - began:.0f} s")
    return 1 if failed or open_ else 0


if __name__ == "__main__":
    sys.exit(main())
