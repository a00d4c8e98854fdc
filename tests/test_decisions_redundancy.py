"""The arithmetic of the mechanism, and the replica choice."""

from conftest import ALL, ANY, Harness, actions_of, endpoint

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.decisions.latency import LatencyDistribution
from badgerbend.decisions.redundancy import fastest_redundancy


def ready(values, brokers=2, queries=0):
    harness = Harness(broker_count=brokers)
    weights = [(i + 1) / len(values) for i in range(len(values))]
    harness.aggregator.latency.distribution = LatencyDistribution(list(values), weights)
    harness.aggregator.rates.begin(harness.now - 10_000)
    for _ in range(queries):
        harness.aggregator.rates.queries.add(harness.now)
    return lambda m, k: harness.aggregator.redundancy.parts_to_send(m, k, harness.now)


def test_without_samples_all_parts_are_asked():
    harness = Harness()
    _, sends = harness.query(ANY)
    assert len(actions_of(api.Send, sends)) == 4


def test_equal_latencies_leave_the_least_cost_only_with_r_equal_to_m():
    # All X alike: T(r) grows with r through the load term alone, so the least T is at m.
    assert ready([100.0] * 30, queries=10)(2, 4) == 2


def test_a_long_tail_asks_for_spares_while_load_is_light():
    values = [50.0] * 24 + [2000.0] * 6
    assert ready(values, queries=2)(2, 4) > 2


def test_no_room_for_even_m_asks_for_m_only():
    values = [500.0] * 24 + [3000.0] * 6
    assert ready(values, queries=5000)(2, 4) == 2


def test_cost_stays_within_that_of_all_parts():
    # Two thirds slow: m of k waits for a slow part at small r, and each r must cost no more than k does.
    values = [10.0] * 10 + [1000.0] * 20
    assert ready(values, queries=1)(1, 4) == 4


def test_cancelled_parts_do_not_make_the_record_fast():
    harness = Harness()
    for ms in (50.0,) * 10 + (400.0,) * 10:
        harness.aggregator.latency.add(harness.now, ms, censored=False)
    plain = harness.aggregator.latency.estimate_distribution(harness.now, [])
    for _ in range(20):
        harness.aggregator.latency.add(harness.now, 60.0, censored=True)
    values, sums = harness.aggregator.latency.estimate_distribution(harness.now, [])
    fast = sum(1 for v in values if v < 100)
    assert sums[-1] > 0.999
    assert abs(sums[fast - 1] - 0.5) < 0.3
    assert sums[fast - 1] <= plain[1][9] + 1e-9  # called off at 60: they belong to the slow half


def test_answers_at_m_and_cancels_the_rest():
    harness = Harness()
    q, sends = harness.query(ANY)
    parts = [a.part for a in actions_of(api.Send, sends)]
    harness.complete(parts[0])
    actions = harness.complete(parts[1])
    assert actions_of(api.Answer, actions) == [api.Answer(q, True)]
    assert {a.part for a in actions_of(api.Cancel, actions)} == set(parts[2:])


def test_each_part_goes_to_the_holder_with_fewest_out():
    harness = Harness()
    _, sends = harness.query(ALL)
    assert sorted(a.node for a in actions_of(api.Send, sends)) == [10, 11, 12, 13]


def test_parts_that_can_share_a_call_ride_together():
    harness = Harness(parts_per_call=16)
    _, sends = harness.query(ALL)
    assert len({a.node for a in actions_of(api.Send, sends)}) == 1


def test_only_holders_are_asked():
    harness = Harness(cells_per_shard=1)
    _, sends = harness.query(ALL)
    q = min(a.part for a in actions_of(api.Send, sends)) - 1
    assert all(a.node == 10 + a.part - q - 1 for a in actions_of(api.Send, sends))


def test_reserved_part_replaces_a_failed_one_without_budget():
    harness = Harness(retry_budget_min=0.0, retry_budget_share=0.0)
    harness.learn_latency()
    harness.aggregator.redundancy._chosen[2, 4] = 2
    q, sends = harness.query(ANY)
    first = actions_of(api.Send, sends)
    assert len(first) == 2
    again = actions_of(api.Send, harness.complete(first[0].part, Outcome.ERROR))
    assert len(again) == 1
    assert again[0].part not in {a.part for a in first}


def test_same_events_same_actions():
    runs = []
    for _ in range(2):
        harness = Harness(seed=3)
        harness.learn_latency()
        harness.query(ANY)
        harness.advance(500.0)
        runs.append(harness.actions)
    assert runs[0] == runs[1]


def test_a_list_with_no_holder_of_a_shard_does_not_lose_the_query():
    harness = Harness(endpoints=[endpoint(10, 0)], cells_per_shard=1)
    q, sends = harness.query(ALL, parts=2, time_left_ms=500.0)
    assert len(actions_of(api.Send, sends)) == 1
    assert actions_of(api.Reject, harness.advance(500.0)) == [api.Reject(q, 0.0)]


def test_without_load_the_largest_r_of_equal_latency_and_cost_is_taken():
    assert fastest_redundancy(2, 4, [[100.0] * 4] * 10, rate=0.0, servers=10.0) == 4


def test_an_r_that_costs_more_than_all_parts_is_not_taken():
    # C(1) is 32.5 and C(3) is 30, although T(1) is 77 and T(3) 85; two parts would leave no spare capacity.
    resamples = [[25.0, 25.0, 0.0]] * 9 + [[100.0, 100.0, 100.0]]
    assert fastest_redundancy(1, 3, resamples, rate=0.02, servers=1.0) == 3


def test_without_spare_capacity_for_any_r_it_is_m():
    assert fastest_redundancy(2, 4, [[100.0] * 4] * 10, rate=1.0, servers=10.0) == 2
