"""What a scale test reports: figures by size, and the straight line through them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from enum import StrEnum


class Kind(StrEnum):
    """How a figure came about."""

    MEASURED = "measured"  # processor time, memory or bytes of the product's own code on this machine
    SIMULATED = "simulated"  # counted in simulated time
    LOOPBACK = "loopback"  # measured over real sockets on this machine
    EXTRAPOLATED = "extrapolated"  # read off the straight line through at least three sizes


@dataclass(frozen=True, slots=True)
class Figure:
    """One quantity at one size. quantity: what was measured, with its unit in `unit`; scenario: quiet, churn, …"""

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
    """The line through figures of at least three sizes. Raises ValueError for fewer."""
    if len({figure.size for figure in figures}) < 3:
        raise ValueError("a line is fitted through three sizes or more")
    count = len(figures)
    mean_size = sum(f.size for f in figures) / count
    mean_value = sum(f.value for f in figures) / count
    spread = sum((f.size - mean_size) ** 2 for f in figures)
    slope = sum((f.size - mean_size) * (f.value - mean_value) for f in figures) / spread
    intercept = mean_value - slope * mean_size
    total = sum((f.value - mean_value) ** 2 for f in figures)
    left = sum((f.value - intercept - slope * f.size) ** 2 for f in figures)
    return Line(slope, intercept, 1.0 - left / total if total else 1.0, len({f.size for f in figures}))


@dataclass(frozen=True, slots=True)
class Part:
    """One scale test: its name, what its size counts, the sizes of a full run and of the small run in CI."""

    name: str
    size_counts: str  # nodes, members, brokers, parts, followers
    full: tuple[int, ...]
    small: tuple[int, ...]
    target: int  # the size to come
    measure: Callable[[Sequence[int], int], list[Figure]]  # sizes and a seed
