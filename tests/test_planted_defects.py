"""Each defect that the tests plant overrides or replaces something that exists in the product."""

import importlib
from pathlib import Path
from types import SimpleNamespace

import pytest

from badgerbend.consensus.raft import Raft
from tests.planted_defects import DefectReader
from tests.replacing import NothingToReplaceError, replace_attribute, replaced

ROOT = Path(__file__).resolve().parents[1]
FILES = sorted(path for path in (ROOT / "tests").rglob("*.py") if path.name != "__init__.py")

# Names that test classes derived from the product add to it on purpose; they override nothing.
ADDED = {
    "tests/feed_process.py": {
        "MeasuredRelay": {
            "_measured_at",
            "_measure",
            "clock",
            "max_in_flight",
            "largest_frame",
            "largest_piece",
            "max_loading",
            "over_rate",
            "max_over_rate",
            "snapshot_bytes",
        },
        "ReportingClient": {"publications"},
        "ReportingControl": {"reported_revision"},
    },
    "tests/known_red.py": {"report": {"longrepr"}},  # defined by pytest
    "tests/modelvoters.py": {"new": {"__dict__"}},
    "tests/mutants.py": {"CountsVotesTwice": {"counted"}},
    "tests/rough_agent.py": {
        "RoughAgent": {
            "_begin",
            "_busy_until",
            "_stale",
            "answered_at",
            "answers_stale",
            "closes_after_answer",
            "computes_early",
            "connect_delay_s",
            "cut_answers",
            "excess",
            "is_chunked",
            "is_indented",
            "max_connections",
            "omits_draining",
            "piece_interval_s",
            "pieces",
            "receive",
            "rejected_answers",
            "service_s",
            "speak",
        },
    },
    "tests/test_feed_faults.py": {"TamperingRelay": {"tamper"}},
    "tests/test_site_service.py": {"BrokerInFolder": {"folder"}},
}

UNCHECKED = {"tests/replacing.py": ["text.replace(old, new)"]}  # checked before the call


def name_of(path):
    return path.relative_to(ROOT).as_posix()


def stale_by_owner(reader):
    found = {}
    for stale in reader.stale():
        found.setdefault(stale.owner, set()).add(stale.name)
    return found


@pytest.mark.parametrize("path", FILES, ids=name_of)
def test_overridden_and_assigned_names_exist(path):
    module = importlib.import_module(".".join(path.relative_to(ROOT).with_suffix("").parts))
    assert stale_by_owner(DefectReader(path, module, ROOT)) == ADDED.get(name_of(path), {})


def test_every_file_with_added_names_exists():
    assert ADDED.keys() <= {name_of(path) for path in FILES}


@pytest.mark.parametrize("path", FILES, ids=name_of)
def test_every_replacement_fails_if_its_target_does_not_exist(path):
    # `monkeypatch.setattr`, `replace_attribute` and `replaced` fail in that case; see tests/replacing.py.
    module = importlib.import_module(".".join(path.relative_to(ROOT).with_suffix("").parts))
    assert DefectReader(path, module, ROOT).unchecked() == UNCHECKED.get(name_of(path), [])


SOUND = """
class Mutant(Raft):
    def step(self, now):
        self.commit_index = 1
        self.log.snapshot_index = 0

Other = type("Other", (Raft,), {"step": None})
"""


@pytest.mark.parametrize(
    ("old", "new", "stale"),
    [
        ("def step", "def step_gone", {"Mutant": {"step_gone"}}),
        ("self.commit_index", "self.commit_index_gone", {"Mutant": {"commit_index_gone"}}),
        ("self.log.snapshot_index", "self.log.snapshot_index_gone", {"self.log": {"snapshot_index_gone"}}),
        ('{"step"', '{"step_gone"', {"'Other'": {"step_gone"}}),
        ("class Mutant(Raft)", "class Base(Raft): ...\nclass Mutant(Base)", {}),
        ("def step", "step = 1\n    def _receive", {"Mutant": {"_receive"}}),
        ("step", "step", {}),
    ],
)
def test_a_name_that_the_product_does_not_have_is_reported(tmp_path, old, new, stale):
    assert old in SOUND
    path = tmp_path / "test_some.py"
    path.write_text(replaced(SOUND, old, new, SOUND.count(old)))
    assert stale_by_owner(DefectReader(path, SimpleNamespace(Raft=Raft), ROOT)) == stale


@pytest.mark.parametrize(
    ("source", "unchecked"),
    [
        ("x.agg._handle = lambda node: True", ["x.agg._handle"]),
        ("def some(): ...\nx.agg._handle = some", ["x.agg._handle"]),
        ("handle = x.agg._handle\nx.agg._handle = handle", []),
        ("x.nothing_of_the_product = lambda: 1", []),
        ("text.replace('ab', 'c')", ["text.replace('ab', 'c')"]),
        ("text.replace(old, new, 1)", ["text.replace(old, new, 1)"]),
        ("text.replace('_', '-')", []),
        ("replace(SETTINGS, seed=1)", []),
        ("m.setattr(x, 'name', 1, raising=False)", ["m.setattr(x, 'name', 1, raising=False)"]),
    ],
)
def test_what_counts_as_unchecked(tmp_path, source, unchecked):
    path = tmp_path / "test_some.py"
    path.write_text(source)
    assert DefectReader(path, SimpleNamespace(), ROOT).unchecked() == unchecked


def test_replacing_an_attribute_that_does_not_exist_fails():
    owner = SimpleNamespace(one=1)
    replace_attribute(owner, "one", 2)
    assert owner.one == 2
    with pytest.raises(NothingToReplaceError, match="SimpleNamespace has no two"):
        replace_attribute(owner, "two", 2)


@pytest.mark.parametrize(("old", "times"), [("none", 1), ("twice", 1), ("once", 2)])
def test_replacing_text_that_does_not_occur_as_often_fails(old, times):
    text = "once twice twice"
    assert replaced(text, "once", "1") == "1 twice twice"
    assert replaced(text, "twice", "2", times=2) == "once 2 2"
    with pytest.raises(NothingToReplaceError):
        replaced(text, old, "", times)
