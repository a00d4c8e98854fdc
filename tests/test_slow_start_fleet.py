"""In simulated time, all brokers together must not overload a server that is warming up, up to random variation.

More seeds: `python benchmarks/coldfleet.py --count 300`.
"""

import pytest

from badgerbend.decisions.slow_start import SlowStart
from tests.simfleet import Fleet


@pytest.mark.parametrize(("broker_count", "seed"), [(20, 0), (20, 1), (30, 2), (30, 3), (200, 4)])
def test_no_server_that_warms_up_is_sent_more_than_its_limit(broker_count, seed):
    fleet = Fleet(seed, broker_count)
    assert fleet.run() == []
    assert all(fleet.arrivals[server.number] for server in fleet.restarting_servers)


def test_the_check_finds_decisions_without_slow_start(monkeypatch):
    # Merely multiplying the rate would not show: a slow server has more attempts in flight and is chosen less often.
    monkeypatch.setattr(SlowStart, "admits", lambda self, server, part, now_ms: True)
    assert all(Fleet(seed, 20, overload_factor=1.2, overload_window_ms=1000.0).run() for seed in (0, 3, 5))
