"""A pytest plugin and a counter of assertions: the size of the test suite may not fall below committed floors.

The floors stand in `tests/data/suite.json`. The number of collected tests is compared only in a run that collects the
whole tree; a run that names files, or takes files out, collects part of it. `-k` and `-m` take tests out later, and do
not matter. Assertions are counted in the source, so that a test file that lost some of its checks is seen although its
tests are still collected.
"""

from __future__ import annotations

import ast
import json
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.known_red import collects_all

FLOORS = Path("tests") / "data" / "suite.json"
# The tests of the suite itself, added with the floors: they make up for no test of the product.
NOT_COUNTED = frozenset({"tests/test_suite_size.py", "tests/test_planted_defects.py"})
# Calls that fail a test by themselves, by their last name.
ASSERTING_CALLS = frozenset({"raises", "warns", "deprecated_call", "fail", "fnmatch_lines", "no_fnmatch_line"})
ASSERTING_PREFIX = "assert_"  # of methods, as `result.assert_outcomes`
TAKES_FILES_OUT = ("ignore", "ignore_glob", "lf")  # options of pytest


@dataclass(frozen=True, slots=True)
class Floors:
    """The least numbers allowed, and the commit that they were counted on."""

    commit: str
    tests: int
    assertions: int


def load(path: Path) -> Floors:
    """Read the floors of a file. Raises OSError, or TypeError where a field is missing or unknown."""
    return Floors(**json.loads(path.read_text(encoding="utf-8")))


def conditions(expression: ast.expr, *, negated: bool = False) -> int:
    """Count the separate conditions of an assertion, so that splitting it changes no count.

    `a and b` is two, `not (a or b)` is two, `a == b == c` is two, and a disjunction is one.
    """
    match expression:
        case ast.UnaryOp(op=ast.Not(), operand=operand):
            return conditions(operand, negated=not negated)
        case ast.BoolOp(op=operator, values=values) if isinstance(operator, ast.Or if negated else ast.And):
            return sum(conditions(value, negated=negated) for value in values)
        case ast.Compare(ops=operators) if not negated:
            return len(operators)
        case _:
            return 1


def count_assertions(source: str) -> int:
    """Count the conditions of assert statements, and the calls that fail a test by themselves, in a source text."""
    total = 0
    for node in ast.walk(ast.parse(source)):
        match node:
            case ast.Assert(test=test):
                total += conditions(test)
            case ast.Call(func=ast.Attribute(attr=name) | ast.Name(id=name)):
                total += name in ASSERTING_CALLS or name.startswith(ASSERTING_PREFIX)
            case _:
                pass
    return total


def count_assertions_of_tree(root: Path) -> int:
    """Count the assertions of every test file and helper below `tests`."""
    paths = (path for path in (root / "tests").rglob("*.py") if path.relative_to(root).as_posix() not in NOT_COUNTED)
    return sum(count_assertions(path.read_text(encoding="utf-8")) for path in paths)


def count_tests(node_ids: Iterable[str]) -> int:
    """Count the tests that the floor is compared with."""
    return sum(node_id.partition("::")[0] not in NOT_COUNTED for node_id in node_ids)


def collects_every_file(config: pytest.Config) -> bool:
    """Whether the run collects the whole tree, and no option takes files out of it."""
    return collects_all(config) and not any(config.getoption(option, None) for option in TAKES_FILES_OUT)


@pytest.hookimpl(tryfirst=True)  # before -k and the like take tests out
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = config.rootpath / FLOORS
    if not collects_every_file(config):
        return
    floors = load(path)
    collected = count_tests(item.nodeid for item in items)
    if collected < floors.tests:
        raise pytest.UsageError(f"{collected} tests collected, {floors.tests} on {floors.commit}: see {FLOORS}")
