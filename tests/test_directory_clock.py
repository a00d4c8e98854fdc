"""The age of servers when the wall clock is stepped."""

import msgspec
import pytest

from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import row_parser
from badgerbend.discovery.wall_clock import SteadyUnixClock
from badgerbend.platform import names

UNIX = 1_790_000_000.0


class Clocks:
    """A monotonic clock, and a wall clock that differs from it by a settable step."""

    now, step = 100.0, 0.0

    def monotonic(self):
        return self.now

    def unix(self):
        return UNIX + self.now + self.step


@pytest.mark.parametrize("step", [-3600.0, -2.0, 0.0, 2.0, 3600.0])
def test_a_step_of_the_wall_clock_makes_no_server_look_older(step):
    clocks = Clocks()
    steady = SteadyUnixClock(clocks.unix, clocks.monotonic)
    directory = Directory(4, row_parser(names.MEMBERS, ("a",), ("m",)), shared_clock=True)

    def started_ms(boot_s):
        row = {"uid": "s", "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "pod_group": 0, "state": "up"}
        raw = msgspec.Raw(msgspec.json.encode(row | {"boot_ms": round(boot_s * 1000.0)}))
        directory.read([raw], clocks.now * 1000.0, steady())
        return directory.servers["s"].endpoint.started_ms

    assert started_ms(UNIX + 95.0) == pytest.approx(95_000.0, abs=1.0)
    clocks.now, clocks.step = 130.0, step
    started = started_ms(UNIX + 127.0)  # restarted three seconds ago, by a clock that was not stepped
    assert 127_000.0 - 1.0 <= started <= 130_000.0
    if step >= 0.0:
        assert started == pytest.approx(127_000.0, abs=1.0)
