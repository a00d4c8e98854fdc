"""A pytest plugin and an assertion counter that keep the test suite from shrinking below committed floors.

The floors are stored in `tests/data/suite.json`. The number of collected tests is compared only in a run that collects
the whole tree: a run that names or ignores files collects part of it. `-k` and `-m` deselect tests later and make no
difference. Assertions are counted in the source, which detects a test file that lost some of its checks although its
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
# Tests of the suite itself are not counted, because they must not make up for lost tests of the product.
NOT_COUNTED = frozenset({"tests/test_suite_size.py", "tests/test_planted_defects.py"})
# Calls that can fail a test by themselves, by function or method name.
ASSERTING_CALLS = frozenset({"raises", "warns", "deprecated_call", "fail", "fnmatch_lines", "no_fnmatch_line"})
ASSERTING_PREFIX = "assert_"  # of method names, such as `result.assert_outcomes`
PARTIAL_RUN_OPTIONS = ("ignore", "ignore_glob", "lf")  # pytest options that exclude files


@dataclass(frozen=True, slots=True)
class Floors:
    """The smallest numbers allowed, and the commit on which they were counted."""

    commit: str
    tests: int
    assertions: int


def load(path: Path) -> Floors:
    """Read the floors from a file. Raises OSError, or TypeError if a field is missing or unknown."""
    return Floors(**json.loads(path.read_text(encoding="utf-8")))


def conditions(expression: ast.expr, *, negated: bool = False) -> int:
    """Count the separate conditions of an assertion, so that splitting it does not change the count.

    `a and b`, `not (a or b)` and `a == b == c` count as two; a disjunction counts as one.
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
    """Count the conditions of assert statements and the calls that can fail a test by themselves in a source text."""
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
    """Whether the run collects the whole tree without excluding any file."""
    return collects_all(config) and not any(config.getoption(option, None) for option in PARTIAL_RUN_OPTIONS)


@pytest.hookimpl(tryfirst=True)  # before -k and -m deselect tests
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    path = config.rootpath / FLOORS
    if not collects_every_file(config):
        return
    floors = load(path)
    collected = count_tests(item.nodeid for item in items)
    if collected < floors.tests:
        raise pytest.UsageError(f"{collected} tests collected, {floors.tests} on {floors.commit}: see {FLOORS}")
