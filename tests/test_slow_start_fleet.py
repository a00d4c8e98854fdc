"""What all processes send to a cold server, judged from outside in simulated time: within its budget and chance.

More seeds: `python benchmarks/coldfleet.py --count 300`.
"""

import pytest

from badgerbend.decisions.slow_start import SlowStart
from tests.simfleet import Fleet


@pytest.mark.parametrize(("processes", "seed"), [(20, 0), (20, 1), (30, 2), (30, 3), (200, 4)])
def test_no_cold_server_gets_more_than_its_budget_and_chance(processes, seed):
    fleet = Fleet(seed, processes)
    assert fleet.run() == []
    assert all(fleet.arrivals[server.number] for server in fleet.cold)


def test_the_judge_finds_a_module_that_takes_the_cold_for_warm(monkeypatch):
    # A pace of many times the warm one is not enough for that: a slow server has more out, and is chosen less.
    monkeypatch.setattr(SlowStart, "admits", lambda self, server, part, now_ms: True)
    assert all(Fleet(seed, 20, factor=1.2, overload_window_ms=1000.0).run() for seed in (0, 3, 5))
