"""Measures how long a list on which every server changed blocks the event loop, read at once and in slices.

A turn is the work that the event loop does without a break: reading rows of the list, or a step of the module with an
update of endpoints and a query of eight parts.

    python benchmarks/listing.py [--sizes 100,1000,5000] [--runs 5]
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import msgspec
from results import cell

from badgerbend import Aggregator, api
from badgerbend.broker import tune_garbage_collector
from badgerbend.config import settings as cfg
from badgerbend.config.module import module_settings
from badgerbend.config.reading import load
from badgerbend.discovery.consul_rows import consul_directory
from badgerbend.discovery.directory import Directory, ListReader, decode_rows
from badgerbend.sites.from_settings import site_policy
from badgerbend.sites.preference import LocalityPreference
from badgerbend.standin.registry import Entry

SETTINGS = load(Path(__file__).parent.parent / "examples" / "sites" / "broker.conf")
CELLS = 100


def list_body(size: int, started: float) -> bytes:
    rows = [Entry(f"rates-{i}", 1000 + i % 60_000, i % CELLS, i % 2, started).as_json() for i in range(size)]
    return msgspec.json.encode(rows)


def make_aggregator() -> Aggregator:
    wide = cfg.Layout(CELLS, CELLS, 3)
    settings = module_settings(SETTINGS)
    policy = replace(site_policy(SETTINGS, SETTINGS.sites), cell_count=CELLS, cells_per_shard=wide.reach)  # type: ignore[arg-type]
    return Aggregator(replace(settings, cell_count=CELLS, cells_per_shard=wide.reach), 1, LocalityPreference(policy, 1))


def step(module: Aggregator, now: float, view: api.EndpointUpdate, number: int) -> None:
    parts = tuple(api.Part(number * 100 + 1 + i, (number * 8 + i) % CELLS, 1 / 8, None) for i in range(8))
    module.step(now, [view, api.Query(number * 100, number, 0, 0, 0, 3000.0, False, None, parts)])


def timed(turn: Callable[[], object]) -> float:
    began = time.perf_counter()
    turn()
    return (time.perf_counter() - began) * 1000.0


def at_once(module: Aggregator, directory: Directory, data: bytes, now: float) -> Iterator[float]:
    """Reads the list in one turn. Yields the duration of that turn, in ms."""

    def turn() -> None:
        view, _ = directory.read(decode_rows(data), now, now)
        step(module, now, view, 1)

    yield timed(turn)


def in_slices(module: Aggregator, directory: Directory, data: bytes, now: float) -> Iterator[float]:
    """Reads the list in slices, as a broker does. Yields the duration of each turn, in ms."""
    readers: list[ListReader] = []
    yield timed(lambda: readers.append(ListReader(directory, decode_rows(data), now, now)))
    slices = readers[0].read_slices()
    done = False
    while not done:

        def read_slice() -> None:
            nonlocal done
            done = next(slices, True) is True

        yield timed(read_slice)
    yield timed(readers[0].apply)
    updates = readers[0].updates()
    for number in range(2, 10_000):
        found: list[api.EndpointUpdate] = []

        def apply_update(number: int = number, found: list[api.EndpointUpdate] = found) -> None:
            view = next(updates, None)
            if view is not None:
                found.append(view)
                step(module, now, view, number)

        yield timed(apply_update)
        if not found:
            return


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="100,1000,5000")
    parser.add_argument("--runs", type=int, default=5)
    a = parser.parse_args()
    print(f"{a.runs} runs each, {CELLS} cells; ms, median (least to most)\n")
    print("| servers | way | turns | longest turn | all turns |\n| --- | --- | --- | --- | --- |")
    for size in map(int, a.sizes.split(",")):
        first, second = list_body(size, 0.0), list_body(size, 50.0)
        for variant in (at_once, in_slices):
            rows = []
            for _ in range(a.runs):
                module, directory = make_aggregator(), consul_directory(CELLS)
                view, _ = directory.read(decode_rows(first), 1000.0, 1.0)
                module.step(1000.0, [view])
                tune_garbage_collector()  # as a broker does after its start
                rows.append(list(variant(module, directory, second, 2000.0)))
            longest, total = cell([max(r) for r in rows]), cell([sum(r) for r in rows])
            print(
                f"| {size} | {variant.__name__.replace('_', ' ')} | {len(rows[0])} | {longest} | {total} |", flush=True
            )


if __name__ == "__main__":
    main()
