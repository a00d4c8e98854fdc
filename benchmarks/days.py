"""Random days played in worker processes; what breaks a rule is printed with the seed that shows it."""

from __future__ import annotations

import argparse
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import TypeVar

Day = TypeVar("Day")


def day_parser(description: str | None) -> argparse.ArgumentParser:
    """The options of every command that plays days: how many, and in how many processes."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--count", type=int, default=100)
    parser.add_argument("--workers", type=int, default=4)
    return parser


def play_all(play: Callable[[Day], str], days: Sequence[Day], workers: int, broken_by: str) -> int:
    """Plays the days and prints how many broke a rule, which `broken_by` names; an exit status, 1 if any did.

    play: what a day broke, for a person; empty for a sound day. It must be a function of a module.
    """
    broken = 0
    with ProcessPoolExecutor(workers) as pool:
        for fault in pool.map(play, days):
            if fault:
                broken += 1
                print(fault)
    print(f"{len(days)} days, {broken} with {broken_by}")
    return 1 if broken else 0
