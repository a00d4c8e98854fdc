"""Slow start of servers by a fleet of independent processes, in many simulations: `python benchmarks/coldfleet.py`.

Checked from outside the processes (`tests/simfleet.py`): in no window may all processes together send a cold server
more than its budget N plus 2 * sqrt(N) + 2.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from days import day_parser, play_all  # noqa: E402

from tests.simfleet import Fleet  # noqa: E402

FACTORS, WINDOWS_MS = (3.0, 4.0, 5.0), (1000.0, 1500.0, 2000.0)


def play(run):
    seed, processes = run
    windows = Fleet(seed, processes, FACTORS[seed % 3], WINDOWS_MS[seed // 3 % 3]).run()
    return f"seed {seed}, {processes} processes: {len(windows)} windows, first {windows[0]}" if windows else ""


def main():
    parser = day_parser(__doc__)
    parser.add_argument("--processes", type=int, nargs="+", default=[20, 30, 200])
    options = parser.parse_args()
    runs = [(seed, processes) for processes in options.processes for seed in range(options.count)]
    return play_all(play, runs, options.workers, "a window over its budget and the random excess")


if __name__ == "__main__":
    sys.exit(main())
