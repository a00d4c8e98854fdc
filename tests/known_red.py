"""A pytest plugin that expects the tests listed in KNOWN-RED.txt at the root to fail.

Each line of the file reads `TEST-ID | CAUSE | ISSUE`; lines that begin with `#` and empty lines are comments. The
listed tests run and are printed in the summary. The run fails if one of them passes or is skipped, if a line is
malformed, if more than `MAX_KNOWN_FAILURES` tests are listed, or if a listed test does not exist. A run that names
files collects only part of the tests, so a listed test may be missing from it.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
SEPARATOR = "|"
COMMENT = "#"


class KnownRedError(ValueError):
    """The list of known failures is not valid."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list. issue: the issue that tracks the fault."""

    test_id: str
    cause: str
    issue: str


def parse_line(number: int, line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 3 or not all(fields):
        raise KnownRedError(f"{FILE_NAME}:{number}: expected TEST-ID | CAUSE | ISSUE: {line.strip()}")
    return KnownFailure(*fields)


def parse(text: str) -> dict[str, KnownFailure]:
    """Parses a list of known failures. Returns them by test id."""
    failures: dict[str, KnownFailure] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith(COMMENT):
            continue
        failure = parse_line(number, line)
        if failure.test_id in failures:
            raise KnownRedError(f"{FILE_NAME}:{number}: {failure.test_id} is listed twice")
        failures[failure.test_id] = failure
    if len(failures) > MAX_KNOWN_FAILURES:
        raise KnownRedError(f"{FILE_NAME}: {len(failures)} tests are listed, at most {MAX_KNOWN_FAILURES} are allowed")
    return failures


def load(path: Path) -> dict[str, KnownFailure]:
    """Returns the known failures of a file, none if it does not exist."""
    try:
        return parse(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return {}
    except (KnownRedError, UnicodeDecodeError) as error:
        raise pytest.UsageError(str(error)) from error


def collects_all(config: pytest.Config) -> bool:
    """Whether the run collects the whole test tree: no argument restricts it to a part of the tree."""
    if config.args_source is not pytest.Config.ArgsSource.ARGS:
        return True
    named = [(config.invocation_params.dir / argument).resolve() for argument in config.args]
    wanted = [(config.rootpath / folder).resolve() for folder in config.getini("testpaths")] or [config.rootpath]
    return all(any(folder.is_relative_to(path) for path in named) for folder in wanted)


class KnownRed:
    """Expects the listed tests to fail, and prints them."""

    def __init__(self, failures: dict[str, KnownFailure]) -> None:
        self.failures = failures

    @pytest.hookimpl(tryfirst=True)  # before -k and -m deselect tests
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        for item in items:
            failure = self.failures.get(item.nodeid)
            if failure is not None:
                reason = f"{failure.cause} ({failure.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True), append=False)
        missing = self.failures.keys() - {item.nodeid for item in items}
        if missing and collects_all(config):
            raise pytest.UsageError(f"{FILE_NAME} names tests that do not exist: {', '.join(sorted(missing))}")

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        if item.nodeid in self.failures and report.skipped and not hasattr(report, "wasxfail"):
            report.outcome = "failed"
            report.longrepr = f"listed in {FILE_NAME}, but skipped: a known failure must run"
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        failed_as_known = {report.nodeid for report in terminalreporter.getreports("xfailed")}
        listed = [failure for failure in self.failures.values() if failure.test_id in failed_as_known]
        if not listed:
            return
        terminalreporter.section(f"known failures ({FILE_NAME})")
        for failure in listed:
            terminalreporter.line(f"KNOWN RED {failure.test_id} | {failure.cause} | {failure.issue}")


def pytest_configure(config: pytest.Config) -> None:
    failures = load(config.rootpath / FILE_NAME)
    if failures:
        config.pluginmanager.register(KnownRed(failures), "known-red-list")
