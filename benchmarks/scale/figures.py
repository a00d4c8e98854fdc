"""The results of a scale benchmark: figures by size, and the straight line fitted through them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from enum import StrEnum


class Kind(StrEnum):
    """How a figure was obtained."""

    MEASURED = "measured"  # processor time, memory or bytes of the product's own code on this machine
    SIMULATED = "simulated"  # counted in simulated time
    LOOPBACK = "loopback"  # measured over real sockets on this machine
    EXTRAPOLATED = "extrapolated"  # calculated from measured figures, or from the line through at least three sizes


@dataclass(frozen=True, slots=True)
class Figure:
    """One quantity at one size. scenario: quiet, churn, …; quantity: what was measured, in `unit`."""

    part: str  # the module of `benchmarks/scale` that measured it
    scenario: str
    quantity: str
    unit: str
    size: int
    value: float
    kind: Kind

    def as_json(self) -> dict[str, object]:
        return asdict(self)


@dataclass(frozen=True, slots=True)
class Line:
    """The least-squares line through the figures of one quantity. determination: R², 1 for a perfect fit."""

    slope: float
    intercept: float
    determination: float
    sizes: int

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def fitted(figures: Sequence[Figure]) -> Line:
    """Fits a line through figures of at least three sizes. Raises ValueError for fewer."""
    if len({figure.size for figure in figures}) < 3:
        raise ValueError("fitting a line needs figures of at least three sizes")
    count = len(figures)
    mean_size = sum(f.size for f in figures) / count
    mean_value = sum(f.value for f in figures) / count
    size_variation = sum((f.size - mean_size) ** 2 for f in figures)
    slope = sum((f.size - mean_size) * (f.value - mean_value) for f in figures) / size_variation
    intercept = mean_value - slope * mean_size
    value_variation = sum((f.value - mean_value) ** 2 for f in figures)
    residual = sum((f.value - intercept - slope * f.size) ** 2 for f in figures)
    return Line(
        slope, intercept, 1.0 - residual / value_variation if value_variation else 1.0, len({f.size for f in figures})
    )


@dataclass(frozen=True, slots=True)
class Part:
    """One scale benchmark: its name, what its size counts, the sizes of a full run and of the small run in CI."""

    name: str
    size_counts: str  # nodes, members, brokers, parts, followers
    full: tuple[int, ...]
    small: tuple[int, ...]
    target: int  # the size in the planned fleet
    measure: Callable[[Sequence[int], int], list[Figure]]  # sizes and a seed
