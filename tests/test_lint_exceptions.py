"""Every exception from the linter's rules in pyproject.toml is still needed: the list shows the work that is left."""

import fnmatch
import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
EXCEPTIONS = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
TESTS = "tests/*"
NEVER_REQUIRED = {(TESTS, "D1")}  # tests need no docstrings; this is not work that is left

# Exceptions (path and rule) that became idle and were removed: the files follow these rules now.
REMOVED = [
    ("badgerbend/benchlink.py", "D1"),
    ("badgerbend/graphql/*", "N818"),
    ("badgerbend/net/*", "N818"),
    ("badgerbend/remote/*", "D1"),
    ("benchmarks/*", "N818"),
]
FILES = sorted(
    path.relative_to(ROOT).as_posix()
    for folder in ("badgerbend", "benchmarks")
    for path in (ROOT / folder).rglob("*.py")
)


@pytest.fixture(scope="module")
def violations():
    """The pairs of file and rule that the linter reports without any exception."""
    command = [Path(sys.executable).parent / "ruff", "check", "--output-format", "json", "--no-cache", "."]
    command += ["--config", "lint.per-file-ignores = {}"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    found = json.loads(done.stdout)
    return {(str(Path(row["filename"]).relative_to(ROOT)), row["code"]) for row in found}


NEEDED = [
    (pattern, rule) for pattern, rules in EXCEPTIONS.items() for rule in rules if (pattern, rule) not in NEVER_REQUIRED
]


@pytest.mark.parametrize(("pattern", "rule"), NEEDED)
def test_an_exception_is_needed(pattern, rule, violations):
    assert any(fnmatch.fnmatch(file, pattern) and code.startswith(rule) for file, code in violations)


@pytest.mark.parametrize(("path", "rule"), REMOVED)
def test_a_removed_exception_does_not_return(path, rule):
    # It must not return for a part of the files, by a wider pattern, or as a wider or a narrower rule either.
    files = fnmatch.filter(FILES, path)
    assert files
    again = [
        (pattern, excepted)
        for pattern, rules in EXCEPTIONS.items()
        for excepted in rules
        if (excepted == "ALL" or excepted.startswith(rule) or rule.startswith(excepted))
        and any(fnmatch.fnmatch(file, pattern) for file in files)
    ]
    assert again == []
