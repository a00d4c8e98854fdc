"""Runs random days in worker processes and prints each violated rule with its seed."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

Day = TypeVar("Day")


def day_parser(description: str | None) -> argparse.ArgumentParser:
    """Returns a parser with the options of every command that runs days: the number of days and of processes."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--workers", type=int, default=4)
    return parser


def play_all(play: Callable[[Day], str], days: Sequence[Day], workers: int, violation: str) -> int:
    """Runs the days and prints how many had a violation, named `violation`. Returns the exit status, 1 if any had.

    play: returns a message about the violation in a day, or "". Must be a module-level function, because it is pickled.
    """
    failed = 0
    with ProcessPoolExecutor(workers) as pool:
        for message in pool.map(play, days):
            if message:
                failed += 1
                print(message)
    print(f"{len(days)} days, {failed} with {violation}")
    return 1 if failed else 0
