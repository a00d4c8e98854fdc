"""Each defect that the tests plant stands on something that the product has."""

import importlib
from pathlib import Path
from types import SimpleNamespace

import pytest

from badgerbend.consensus.raft import Raft
from tests.planted_defects import DefectReader

ROOT = Path(__file__).resolve().parents[1]
FILES = sorted(path for path in (ROOT / "tests").rglob("*.py") if path.name != "__init__.py")

# What test classes with a base of the product add to it: names that override nothing.
ADDED = {
    "tests/feed_process.py": {
        "MeasuredRelay": {
            "_leaked_at",
            "_measure",
            "clock",
            "in_flight_most",
            "largest_frame",
            "largest_piece",
            "loading_most",
            "over_pace",
            "over_pace_most",
            "snapshot_bytes",
        },
        "ReportingClient": {"publications"},
        "ReportingControl": {"told"},
    },
    "tests/known_red.py": {"report": {"longrepr"}},  # of pytest
    "tests/modelvoters.py": {"new": {"__dict__"}},
    "tests/mutants.py": {"CountsTwice": {"heard"}},
    "tests/test_feed_faults.py": {"LyingRelay": {"lie"}},
    "tests/test_siting.py": {"Keyed": {"folder"}},
}


def name_of(path):
    return path.relative_to(ROOT).as_posix()


def stale_by_owner(reader):
    found = {}
    for stale in reader.stale():
        found.setdefault(stale.owner, set()).add(stale.name)
    return found


@pytest.mark.parametrize("path", FILES, ids=name_of)
def test_what_a_test_overrides_or_assigns_is_there(path):
    module = importlib.import_module(".".join(path.relative_to(ROOT).with_suffix("").parts))
    assert stale_by_owner(DefectReader(path, module, ROOT)) == ADDED.get(name_of(path), {})


def test_every_file_with_added_names_exists():
    assert ADDED.keys() <= {name_of(path) for path in FILES}


SOUND = """
class Mutant(Raft):
    def _advance(self, now):
        self.commit = 1
        self.log.base = 0

Other = type("Other", (Raft,), {"_advance": None})
"""


@pytest.mark.parametrize(
    "old, new, stale",
    [
        ("def _advance", "def _advance_gone", {"Mutant": {"_advance_gone"}}),
        ("self.commit", "self.commit_gone", {"Mutant": {"commit_gone"}}),
        ("self.log.base", "self.log.base_gone", {"self.log": {"base_gone"}}),
        ('{"_advance"', '{"_advance_gone"', {"'Other'": {"_advance_gone"}}),
        ("class Mutant(Raft)", "class Base(Raft): ...\nclass Mutant(Base)", {}),
        ("def _advance", "_advance = 1\n    def _receive", {"Mutant": {"_receive"}}),
        ("_advance", "_advance", {}),
    ],
)
def test_a_name_that_the_product_does_not_have_is_found(tmp_path, old, new, stale):
    assert old in SOUND
    path = tmp_path / "test_some.py"
    path.write_text(SOUND.replace(old, new))
    assert stale_by_owner(DefectReader(path, SimpleNamespace(Raft=Raft), ROOT)) == stale
