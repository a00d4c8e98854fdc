"""Random pairs of simultaneous events at a real service on loopback: `python benchmarks/crossings.py --count 1000`."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from days import day_parser, play_all  # noqa: E402

from tests.crossing_days import Day  # noqa: E402


def play(seed):
    violation = Day(seed).play()
    return f"seed {seed}: {violation}" if violation else ""


def main():
    parser = day_parser(__doc__)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.count)
    return play_all(play, seeds, options.workers, "a violated rule")


if __name__ == "__main__":
    sys.exit(main())
