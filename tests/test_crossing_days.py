"""Random pairs of events over the real service on loopback; more seeds: `python benchmarks/crossings.py`."""

import pytest

from badgerbend.frames.transport import FrameTransport
from badgerbend.runtime.driver import Driver
from tests.crossing_days import Day


@pytest.mark.parametrize("seed", [0, 4, 6, 10])
def test_whatever_two_events_cross_the_rules_are_kept(seed):
    day = Day(seed)
    assert day.play() == []
    assert day.sent
    assert any(one.status == 200 for one in day.asked.values())


def begins_at_any_time(monkeypatch):
    monkeypatch.setattr(FrameTransport, "now_ms", lambda self: 0.0)
    monkeypatch.setattr(Driver, "_take_back", lambda self, attempt: False)


def begins_for_nobody(monkeypatch):
    monkeypatch.setattr(Driver, "_take_back", lambda self, attempt: False)
    monkeypatch.setattr(Driver, "_cancel", lambda self, part, number: None)
    monkeypatch.setattr(
        Driver, "is_wanted", lambda self, attempt: True
    )  # else what waits is held back as it is written


DEFECTS = {begins_at_any_time: (0, 4, 6, 10), begins_for_nobody: (4, 6, 10, 11)}  # seeds; one that finds it is enough


@pytest.mark.parametrize("defect", DEFECTS)
def test_each_defect_is_found(defect, monkeypatch):
    defect(monkeypatch)
    assert any(Day(seed).play() for seed in DEFECTS[defect])
