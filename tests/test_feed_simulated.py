"""The feed in simulated time: its invariants under random faults, and planted defects that must be found."""

import pytest

from tests.feed_mutants import MUTANTS
from tests.simfeed import World, run_until_settled
from tests.simfeed_settings import RAFT_CONFIG, SLACK_S, Chaos
from tests.simvoters import InvariantViolation

ONLY_PARTITIONS = Chaos(
    faults=("partitioned region", "partitioned control", "partitioned control"),
    fault_interval_s=2.5,
    partition_s=(3.0, 8.0),
    loss=0.0,
    late=0.0,
    late_s=0.0,
    max_suspension_s=0.0,
    crash_before_fan_out=0.0,
)


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults_and_all_hosts_settle(seed):
    world = World(seed)
    assert run_until_settled(world) == ""
    assert world.checker.installs > 200
    assert world.checker.agreed.newest > 10


@pytest.mark.parametrize("seed", range(2))
def test_a_partitioned_leader_understates_ages_no_longer_than_check_quorum_allows(seed):
    world = World(seed, ONLY_PARTITIONS)
    assert world.voter_age_bound_s() == 2 * RAFT_CONFIG.election_timeout_s + SLACK_S
    assert run_until_settled(world) == ""
    assert world.checker.oldest_seen > 2.0
    assert world.checker.lowest_margin < 1.0


@pytest.mark.parametrize("name", MUTANTS)
def test_each_planted_defect_is_found(name):
    mutant = MUTANTS[name]
    try:
        found = run_until_settled(World(mutant.seed, mutant.chaos, mutant.kinds))
    except InvariantViolation as violation:
        found = str(violation)
    assert found


@pytest.mark.parametrize(("seed", "chaos"), sorted({(m.seed, m.chaos) for m in MUTANTS.values()}, key=str))
def test_the_production_classes_pass_the_runs_that_find_the_defects(seed, chaos):
    assert run_until_settled(World(seed, chaos)) == ""
