"""The feed in simulated time: what must hold under everything that chance brings, and the defects that must be seen."""

import pytest

from tests.feed_mutants import MUTANTS
from tests.simfeed import World, play
from tests.simfeed_settings import SLACK_S, TUNING, Chaos
from tests.simvoters import Broken

CUTS_ALONE = Chaos(
    troubles=("cut region", "cut control", "cut control"),
    every_s=2.5,
    cut_s=(3.0, 8.0),
    loss=0.0,
    late=0.0,
    late_s=0.0,
    stop_s=0.0,
    caught=0.0,
)


@pytest.mark.parametrize("seed", range(6))
def test_whatever_chance_brings_nothing_breaks_and_all_comes_back(seed):
    world = World(seed)
    assert play(world) == ""
    assert world.judge.installs > 200 and world.judge.agreed.newest > 10


@pytest.mark.parametrize("seed", range(2))
def test_a_leader_cut_off_makes_ages_look_fresh_no_longer_than_check_quorum_lets_it_lead(seed):
    world = World(seed, CUTS_ALONE)
    assert world.voter_bound_s() == 2 * TUNING.election_timeout_s + SLACK_S
    assert play(world) == ""
    assert world.judge.oldest_seen > 2.0 and world.judge.lowest_margin < 1.0


@pytest.mark.parametrize("name", MUTANTS)
def test_each_defect_is_found(name):
    mutant = MUTANTS[name]
    try:
        found = play(World(mutant.seed, mutant.chaos, mutant.kinds))
    except Broken as broken:
        found = str(broken)
    assert found


@pytest.mark.parametrize("seed, chaos", sorted({(m.seed, m.chaos) for m in MUTANTS.values()}, key=str))
def test_the_product_lives_through_what_shows_the_defects(seed, chaos):
    assert play(World(seed, chaos)) == ""
