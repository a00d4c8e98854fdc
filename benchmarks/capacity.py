"""Runs the scale tests behind docs/CAPACITY.md and prints their figures by size with fitted lines, optionally as JSON.

python benchmarks/capacity.py [--parts lists,membership,...] [--small] [--seed 1] [--json FILE]
"""

from __future__ import annotations

import argparse
import importlib
import json
import time
from collections.abc import Sequence
from pathlib import Path

from scale.figures import Figure, Part, fitted

PARTS = ("lists", "membership", "brokers", "queries", "feed", "control")


def load_part(name: str) -> Part:
    """Returns the part that `benchmarks/scale/NAME.py` defines."""
    part: Part = importlib.import_module(f"scale.{name}").PART
    return part


def grouped(figures: Sequence[Figure]) -> dict[tuple[str, str, str], list[Figure]]:
    """Groups figures by scenario, quantity and unit, in the order in which they were measured."""
    groups: dict[tuple[str, str, str], list[Figure]] = {}
    for figure in figures:
        groups.setdefault((figure.scenario, figure.quantity, figure.unit), []).append(figure)
    return groups


def table(part: Part, figures: Sequence[Figure]) -> str:
    """Returns a Markdown table: a row per quantity, a column per size, the fitted line and its value at the target."""
    sizes = sorted({figure.size for figure in figures})
    head = ["scenario", "quantity", "unit", "how", *(f"{s:,}" for s in sizes), "slope", "R²", f"at {part.target:,}"]
    rows = [head, ["---"] * len(head)]
    for (scenario, quantity, unit), group in grouped(figures).items():
        by_size = {figure.size: f"{figure.value:.4g}" for figure in group}
        cells = [by_size.get(size, "") for size in sizes]
        if len(by_size) >= 3:
            line = fitted(group)
            ends = [f"{line.slope:.4g}", f"{line.determination:.3f}", f"{line.at(part.target):.4g}"]
        else:
            ends = ["", "", ""]
        rows.append([scenario, quantity, unit, group[0].kind.value, *cells, *ends])
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--parts", default=",".join(PARTS))
    parser.add_argument("--small", action="store_true", help="measure the sizes that CI runs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path, help="write all figures to this file")
    arguments = parser.parse_args()
    found: list[Figure] = []
    for name in arguments.parts.split(","):
        part = load_part(name)
        began = time.perf_counter()
        figures = part.measure(part.small if arguments.small else part.full, arguments.seed)
        found += figures
        took = time.perf_counter() - began
        print(f"\n## {name}, by {part.size_counts} ({took:.0f} s)\n\n{table(part, figures)}", flush=True)
    if arguments.json:
        arguments.json.write_text(json.dumps([figure.as_json() for figure in found], indent=1) + "\n")


if __name__ == "__main__":
    main()
