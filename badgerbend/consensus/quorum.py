"""Majorities of voters."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def is_majority(names: Iterable[str], voters: Sequence[str]) -> bool:
    """Whether the voters among `names` are more than half of all voters."""
    return 2 * len(set(names) & set(voters)) > len(voters)


def majority_index(indices: Iterable[int]) -> int:
    """Return the highest index that a majority of voters has reached.

    indices: one for each voter, and at least one.
    """
    ascending = sorted(indices)
    return ascending[(len(ascending) - 1) // 2]
