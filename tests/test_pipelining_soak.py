"""Random runs with clients that send many requests at once. By hand: `python benchmarks/fault_soak.py --pipelining`."""

from benchmarks.fault_soak import play_all
from tests.pipelining_soak import PipeliningSoak

SEEDS, CONCURRENT_RUNS = range(8), 4


def test_each_response_is_in_its_place_in_time_and_of_its_own_request():
    # Answers of other requests (review/1), answers seconds late (review/2), attempts for clients that have gone.
    outcomes = play_all(SEEDS, CONCURRENT_RUNS, PipeliningSoak)
    assert [line for outcome in outcomes for line in outcome.violations] == []
    assert all(outcome.attempts > 500 for outcome in outcomes)
    assert all(outcome.answered > 200 for outcome in outcomes)
