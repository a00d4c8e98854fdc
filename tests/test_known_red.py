"""Failures that KNOWN-RED.txt lists do not fail a run; any other failure does."""

import pytest

SOME_TESTS = """
import pytest

def test_passes():
    pass

def test_fails():
    assert 1 == 2

@pytest.fixture
def broken():
    raise OSError("no such thing")

def test_fails_to_start(broken):
    pass

@pytest.mark.skip
def test_is_skipped():
    assert 1 == 2

@pytest.mark.parametrize("number", [1, 2])
def test_of_a_number(number):
    assert number == 1
"""
SOUND_TESTS = "def test_sound():\n    pass\n"
FAILS = "test_some.py::test_fails | numbers differ | #12"


@pytest.fixture
def run(pytester):
    """Runs pytest with a list of known failures, on the tests named by the arguments or on all tests."""
    pytester.makepyfile(test_some=SOME_TESTS, test_sound=SOUND_TESTS)

    def run_with(known_red, *arguments):
        if known_red is not None:
            pytester.path.joinpath("KNOWN-RED.txt").write_text(known_red)
        return pytester.runpytest_inprocess("-p", "tests.known_red", "-p", "no:cacheprovider", "-q", *arguments)

    return run_with


def test_without_the_file_a_failure_fails_the_run(run):
    result = run(None, "test_some.py::test_fails")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1)


def test_a_listed_failure_is_expected_and_printed(run):
    result = run(f"# to be fixed first\n\n{FAILS}\n", "-k", "fails and not start")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(xfailed=1, deselected=6)
    result.stdout.fnmatch_lines(["*known failures*", "KNOWN RED test_some.py::test_fails | numbers differ | #12"])


def test_a_listed_test_that_fails_in_its_fixture_is_expected_to_fail(run):
    known_red = "test_some.py::test_fails_to_start | no such thing | #12\n"
    result = run(known_red, "test_some.py::test_fails_to_start")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(xfailed=1)


def test_a_failure_beside_a_listed_one_fails_the_run(run):
    result = run(FAILS, "test_some.py")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=2, skipped=1, xfailed=1, failed=1, errors=1)


def test_one_value_of_a_parameter_can_be_listed(run):
    known_red = "test_some.py::test_of_a_number[2] | numbers differ | #12\n"
    result = run(known_red, "test_some.py::test_of_a_number")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=1)


def test_a_listed_test_that_passes_fails_the_run(run):
    result = run("test_some.py::test_passes | none | #12\n", "test_some.py::test_passes")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(failed=1)


def test_a_listed_test_that_is_skipped_fails_the_run(run):
    result = run("test_some.py::test_is_skipped | numbers differ | #12\n", "test_some.py::test_is_skipped")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines(["*but skipped*"])


def test_an_xfail_marker_of_the_test_does_not_relax_its_line(run, pytester):
    pytester.makepyfile(test_lax="import pytest\n@pytest.mark.xfail\ndef test_lax():\n    pass\n")
    result = run("test_lax.py::test_lax | none | #12\n", "test_lax.py")
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@pytest.mark.parametrize(
    "known_red",
    [
        "test_some.py::test_fails\n",
        "test_some.py::test_fails | numbers differ\n",
        "test_some.py::test_fails | | #12\n",
        "test_some.py::test_fails | numbers differ | #12 | more\n",
        f"{FAILS}\n{FAILS}\n",
        "\n".join(f"test_some.py::test_{number} | numbers differ | #12" for number in range(4)),
    ],
    ids=["the test alone", "no issue", "an empty cause", "four fields", "one test twice", "a fourth line"],
)
def test_an_invalid_list_fails_the_run_even_if_all_tests_pass(run, known_red):
    result = run(known_red, "test_sound.py")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*KNOWN-RED.txt*"])


def test_three_lines_are_not_too_many(run):
    lines = [f"test_some.py::{name} | a cause | #12" for name in ("test_fails", "test_fails_to_start")]
    lines.append("test_some.py::test_of_a_number[2] | a cause | #12")
    result = run("\n".join(lines))
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=3, skipped=1, xfailed=3)


@pytest.mark.parametrize("arguments", [(), (".",)], ids=["no arguments", "the root"])
def test_a_listed_test_that_does_not_exist_fails_a_run_of_all_tests(run, arguments):
    result = run("test_some.py::test_gone | numbers differ | #12\n", *arguments)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(["*do not exist: test_some.py::test_gone*"])


def test_a_listed_test_may_be_missing_from_a_run_that_names_files(run):
    result = run("test_some.py::test_gone | numbers differ | #12\n", "test_sound.py")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1)
