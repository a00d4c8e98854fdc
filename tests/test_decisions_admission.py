"""Admission control: queries that are expected to be late or unlikely to be answered in time."""

from badgerbend import api
from tests.conftest import ALL, ANY, Harness, actions_of
from tests.harness_traffic import observe_response_time


def test_queries_of_hot_shards_are_rejected_and_others_served():
    # While one shard's only server is overloaded and the others are idle, an estimate over all latencies together would
    # reject all queries.
    harness = Harness(cells_per_shard=1)
    harness.learn_latency(latency_ms=40.0, queries=30)
    observe_response_time(harness.aggregator.endpoints.servers[10], 3000.0, harness.now)
    harness.query(ALL, parts=1, shard=2)  # one attempt is in flight, so the broker is not idle
    hot, actions = harness.query(ALL, parts=1, shard=0)
    assert actions_of(api.Reject, actions) == [api.Reject(hot, 0.0)]
    _, actions = harness.query(ALL, parts=2, shard=1)
    assert len(actions_of(api.Send, actions)) == 2


def test_expected_latency_follows_the_order_statistic_of_the_query():
    # If all servers take more than half of the latency objective, a query that needs all parts is expected to be late,
    # and one that needs half of them is not.
    harness = Harness()
    harness.learn_latency(latency_ms=40.0, queries=40)
    harness.query(ALL, parts=1)
    harness.aggregator.latency.use_answers([30.0, 60.0, 90.0, 120.0] * 10)
    harness.aggregator.admission.reset()
    for server in harness.aggregator.endpoints.servers.values():
        observe_response_time(server, 550.0, harness.now)
    _, actions = harness.query(ANY)
    assert actions_of(api.Send, actions)
    _, actions = harness.query(ALL)
    assert actions_of(api.Reject, actions)


def test_a_broker_with_nothing_in_flight_admits_a_query_to_learn_whether_the_overload_is_over():
    # After an overload in which a broker rejected all queries, it received no answers that could show its end.
    harness = Harness()
    harness.learn_latency()
    for server in harness.aggregator.endpoints.servers.values():
        observe_response_time(server, 5000.0, harness.now)
    _, actions = harness.query(ALL)
    assert len(actions_of(api.Send, actions)) == 4
    _, actions = harness.query(ALL)
    assert actions_of(api.Reject, actions)


def test_a_query_with_hardly_any_time_left_is_ended_at_once():
    # For a client whose deadline is a few milliseconds away, the next review would be too late for the final answer.
    harness = Harness()
    query_id, actions = harness.query(ALL, time_left_ms=9.0)
    assert actions_of(api.Reject, actions) == [api.Reject(query_id, 0.0)]
    assert not actions_of(api.Send, actions)


def test_a_query_whose_client_leaves_before_its_answer_can_come_is_rejected():
    # Clients that give up early and retry at once must not cause work that cannot be finished before their deadline.
    harness = Harness()
    harness.learn_latency(latency_ms=60.0, queries=30)
    harness.query(ALL)
    query_id, actions = harness.query(ALL, time_left_ms=65.0)
    assert actions_of(api.Reject, actions) == [api.Reject(query_id, 0.0)]
    _, actions = harness.query(ALL, time_left_ms=800.0)
    assert len(actions_of(api.Send, actions)) == 4


def test_a_client_that_cannot_wait_long_enough_is_rejected_at_once_without_work_for_servers():
    # A broker without parts in flight cannot expect a latency. With clients that had 20 to 80 ms left while a part took
    # 60 ms, it sent nine parts for each query, and half of the fleet's work was for clients that had left.
    harness = Harness()
    harness.learn_latency(latency_ms=50.0)
    for time_left_ms in (40.0, 55.0):  # 10 ms of it are reserved for the final answer
        _, actions = harness.query(ALL, time_left_ms=time_left_ms)
        assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Reject]
    _, actions = harness.query(ALL, time_left_ms=70.0)
    assert len(actions_of(api.Send, actions)) == 4
    # A query that needs fewer parts is admitted sooner: two of four parts in this time are more likely than all four.
    assert [type(a) for a in harness.query(ALL, time_left_ms=60.5)[1]].count(api.Send) == 0
    sent = [len(actions_of(api.Send, harness.query(ANY, time_left_ms=61.5)[1])) for _ in range(20)]
    assert any(sent)
    # A retry first sends one part as a canary, so that the whole query takes twice as long.
    parts = tuple(api.Part(9001 + i, i, 0.25, None) for i in range(4))
    actions = harness.step(api.Query(9000, 999, ALL, 0, 0, 90.0, True, None, parts))
    assert not actions_of(api.Send, actions)
    assert actions_of(api.Reject, actions)


def test_without_recent_answers_a_short_deadline_is_no_reason_to_reject():
    harness = Harness()
    assert len(actions_of(api.Send, harness.query(ALL, time_left_ms=60.0)[1])) == 4
