"""The scale test of the control machines at one small size: counts are checked, times are not."""

import sys
from functools import cache
from pathlib import Path

sys.path.append(str(Path(__file__).parent.parent / "benchmarks"))

from scale import control
from scale.feed_times import NEVER

FOLLOWERS = control.PART.small[0]
SEED = 1


@cache
def figures():
    return {(f.scenario, f.quantity): f.value for f in control.measure((FOLLOWERS,), SEED)}


def test_all_followers_have_the_newest_revision_after_the_leader_was_killed():
    assert figures()["end", "followers at the newest revision"] == FOLLOWERS
    assert figures()["end", "followers with an equal digest"] == FOLLOWERS


def test_every_publication_comes_into_force_in_every_scenario():
    times = {key: value for key, value in figures().items() if key[1].startswith("in force")}
    assert {scenario for scenario, _ in times} == {"quiet", "ten times", "leader killed"}
    assert all(0.0 < value < NEVER for value in times.values())
