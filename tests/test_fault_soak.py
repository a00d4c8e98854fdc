"""Random runs of a broker process under faults. For more seeds: `python benchmarks/fault_soak.py --count 50`."""

from benchmarks.fault_soak import play_all
from tests.fault_soak import Soak

SEEDS, CONCURRENT_RUNS = range(8), 4


def test_the_rules_hold_under_faults_signals_and_clients_that_stay_connected():
    outcomes = play_all(SEEDS, CONCURRENT_RUNS)
    assert [line for outcome in outcomes for line in outcome.violations] == []
    assert all(outcome.attempts > 100 for outcome in outcomes)
    assert all(outcome.answered > 20 for outcome in outcomes)


def test_every_kind_of_fault_is_drawn():
    plans = [Soak(seed).plan() for seed in SEEDS]
    kinds = {"accept", "create", "connect", "write_short", "write_blocked", "read_short", "clock_steps"}
    assert kinds <= {kind for plan in plans for kind, value in plan.items() if value}
