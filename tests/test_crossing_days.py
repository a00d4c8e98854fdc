"""Random pairs of events over the real service on loopback; `python benchmarks/crossings.py` runs more seeds.

They guard against events that break a rule only when another event falls into the same turn of the loop. Two planted
defects show that the check finds such violations.
"""

import pytest

from badgerbend.frames.transport import FrameTransport
from badgerbend.runtime.driver import Driver
from tests.crossing_days import Day


@pytest.mark.parametrize("seed", [0, 4, 6, 10])
def test_no_pair_of_events_in_one_turn_breaks_a_rule(seed):
    day = Day(seed)
    assert day.play() == []
    assert day.sent
    assert any(one.status == 200 for one in day.requests.values())


def sends_after_the_repeat_window(monkeypatch):
    monkeypatch.setattr(FrameTransport, "now_ms", lambda self: 0.0)
    monkeypatch.setattr(Driver, "_take_back", lambda self, attempt: False)


def sends_for_departed_clients(monkeypatch):
    monkeypatch.setattr(Driver, "_take_back", lambda self, attempt: False)
    monkeypatch.setattr(Driver, "_cancel", lambda self, part, number: None)
    monkeypatch.setattr(
        Driver, "is_wanted", lambda self, attempt: True
    )  # otherwise waiting attempts are withheld when they are written


DEFECTS = {  # seeds; it is enough that one of them finds the defect
    sends_after_the_repeat_window: (0, 4, 6, 10),
    sends_for_departed_clients: (4, 6, 10, 11),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_each_defect_is_found(defect, monkeypatch):
    defect(monkeypatch)
    assert any(Day(seed).play() for seed in DEFECTS[defect])
