"""Every command in benchmarks/ prints its usage with `--help`, also without the libraries of the extra `[bench]`."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
COMMANDS = sorted(
    path.name for path in (ROOT / "benchmarks").glob("*.py") if 'if __name__ == "__main__"' in path.read_text()
)
BENCH_LIBRARIES = ("aiohttp", "matplotlib", "numpy", "scipy")
HELP_TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def without_bench_libraries(tmp_path_factory):
    """A folder of modules that shadow the libraries of `[bench]`: importing one fails even if it is installed."""
    folder = tmp_path_factory.mktemp("without_bench_libraries")
    for library in BENCH_LIBRARIES:
        (folder / f"{library}.py").write_text(f"raise ImportError('{library} was imported for --help')\n")
    return folder


def test_there_are_commands():
    assert len(COMMANDS) > 10


@pytest.mark.parametrize("command", COMMANDS)
def test_a_command_prints_its_help(command, without_bench_libraries):
    environment = os.environ | {"PYTHONPATH": os.pathsep.join((str(without_bench_libraries), str(ROOT)))}
    done = subprocess.run(
        [sys.executable, str(ROOT / "benchmarks" / command), "--help"],
        capture_output=True,
        text=True,
        timeout=HELP_TIMEOUT_S,
        env=environment,
    )
    assert done.returncode == 0, done.stderr
    assert done.stdout.startswith("usage: "), done.stdout
