"""The test suite does not shrink: assertions are counted here, collected tests by the plugin `suite_size`."""

import json
from pathlib import Path

import pytest

from tests.suite_size import FLOORS, count_assertions, count_assertions_of_tree, count_tests, load

ROOT = Path(__file__).resolve().parents[1]
TWO_TESTS = "def test_one():\n    assert True\n\ndef test_two():\n    assert True\n"


def test_the_number_of_assertions_has_not_fallen():
    floors = load(ROOT / FLOORS)
    counted = count_assertions_of_tree(ROOT)
    assert counted >= floors.assertions, f"{counted} assertions, {floors.assertions} on {floors.commit}"


@pytest.mark.parametrize(
    ("combined", "split"),
    [
        ("assert a and b and c", "assert a\nassert b\nassert c"),
        ("assert (a and b) and not (c or d)", "assert a\nassert b\nassert not c\nassert not d"),
        ("assert a == b == c", "assert a == b\nassert b == c"),
        ("assert not not (a and b), 'text'", "assert a\nassert b"),
    ],
)
def test_splitting_an_assertion_does_not_change_the_count(combined, split):
    assert count_assertions(combined) == count_assertions(split)


@pytest.mark.parametrize(
    ("source", "count"),
    [
        ("assert a", 1),
        ("assert a or b", 1),
        ("assert not (a and b)", 1),
        ("assert not a == b == c", 1),
        ("with pytest.raises(E): f()", 1),
        ("with raises(E): f()", 1),
        ("result.assert_outcomes(passed=1)", 1),
        ("result.stdout.fnmatch_lines(['x'])", 1),
        ("pytest.fail('x')", 1),
        ("a and b\nraised()\npytest.approx(1)", 0),
    ],
)
def test_what_counts_as_an_assertion(source, count):
    assert count_assertions(source) == count


def test_tests_of_the_suite_itself_are_not_counted():
    assert (
        count_tests(["tests/test_suite_size.py::test_a", "tests/test_feed.py::test_a", "tests/test_feed.py::a[b::c]"])
        == 2
    )


@pytest.fixture
def run(pytester):
    """Runs pytest with a floor in a tree of three tests."""
    pytester.makeini("[pytest]\ntestpaths = tests\n")
    folder = pytester.mkdir("tests")
    folder.joinpath("test_some.py").write_text(TWO_TESTS)
    folder.joinpath("test_other.py").write_text("def test_other():\n    pass\n")
    folder.joinpath("data").mkdir()

    def run_with(floor, *arguments):
        floors = {"commit": "c0ffee0", "tests": floor, "assertions": 0}
        pytester.path.joinpath(FLOORS).write_text(json.dumps(floors))
        return pytester.runpytest_inprocess("-p", "tests.suite_size", "-p", "no:cacheprovider", "-q", *arguments)

    return run_with


@pytest.mark.parametrize("arguments", [(), ("tests",), (".",), ("-k", "one")], ids=["none", "tests", "root", "-k"])
def test_a_run_of_the_whole_tree_with_fewer_tests_than_the_floor_fails(run, arguments):
    result = run(4, *arguments)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*3 tests collected, 4 on c0ffee0*"])


@pytest.mark.parametrize("floor", [2, 3])
def test_a_run_of_the_whole_tree_with_at_least_the_floor_passes(run, floor):
    run(floor).assert_outcomes(passed=3)


def test_deselecting_tests_of_a_tree_that_is_large_enough_passes(run):
    run(3, "-k", "one").assert_outcomes(passed=1, deselected=2)


@pytest.mark.parametrize(
    ("arguments", "passed"),
    [(("tests/test_other.py",), 1), (("tests/test_some.py::test_one",), 1), (("--ignore", "tests/test_other.py"), 2)],
    ids=["a file", "a test", "--ignore"],
)
def test_a_run_that_names_or_ignores_files_is_not_compared(run, arguments, passed):
    run(4, *arguments).assert_outcomes(passed=passed)
