"""Output shared by the benchmarks: a table cell with a median and its spread, a table, and box plots."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from pathlib import Path

Runs = dict[str, list[dict[str, float]]]  # by variant: one dictionary of figures for each run


def cell(values: Sequence[float], quartiles: bool = False) -> str:
    """Formats the median with the minimum and maximum, or with the quartiles."""
    ordered = sorted(values)
    low, high = ordered[0], ordered[-1]
    if quartiles:
        low, high = ordered[len(ordered) // 4], ordered[(3 * len(ordered)) // 4 if len(ordered) > 1 else 0]
    return f"{statistics.median(ordered):.3g} ({low:.3g} to {high:.3g})"


def table(heading: str, found: Runs, names: Sequence[str], quartiles: bool = False) -> None:
    """Prints a Markdown table with a row for each variant and a column for each name."""
    print(f"| {heading} | " + " | ".join(names) + " |\n| --- " + "| --- " * len(names) + "|")
    for variant, rows in found.items():
        print(f"| {variant} | " + " | ".join(cell([r[n] for r in rows], quartiles) for n in names) + " |")


def boxes(found: Runs, titles: dict[str, str], path: Path) -> None:
    """Draws a box plot for each name in `titles`, side by side."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axes = plt.subplots(1, len(titles), figsize=(9, 3))
    for axis, (name, title) in zip(axes, titles.items(), strict=True):
        axis.boxplot([[r[name] for r in rows] for rows in found.values()], tick_labels=list(found))
        axis.set_title(title)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
