"""Admission: what is foreseen to be late, or unlikely to be answered in time."""

from badgerbend import api
from tests.conftest import ALL, ANY, Harness, actions_of
from tests.harness_traffic import observe_response_time


def test_queries_of_hot_shards_are_rejected_and_others_served():
    # One shard's only server is overloaded while the others idle: all latencies together would reject everyone.
    harness = Harness(cells_per_shard=1)
    harness.learn_latency(latency_ms=40.0, queries=30)
    observe_response_time(harness.aggregator.endpoints.servers[10], 3000.0, harness.now)
    harness.query(ALL, parts=1, shard=2)  # something is out, so the broker is not idle
    hot, actions = harness.query(ALL, parts=1, shard=0)
    assert actions_of(api.Reject, actions) == [api.Reject(hot, 0.0)]
    _, actions = harness.query(ALL, parts=2, shard=1)
    assert len(actions_of(api.Send, actions)) == 2


def test_foreseen_time_follows_the_order_statistic_of_the_query():
    # All servers take over half the latency objective: a query that needs all parts waits too long, one that needs half
    # of them does not.
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
    # After an overload that made it reject all, no answer came any more that could have shown its end.
    harness = Harness()
    harness.learn_latency()
    for server in harness.aggregator.endpoints.servers.values():
        observe_response_time(server, 5000.0, harness.now)
    _, actions = harness.query(ALL)
    assert len(actions_of(api.Send, actions)) == 4
    _, actions = harness.query(ALL)
    assert actions_of(api.Reject, actions)


def test_a_query_with_hardly_any_time_left_is_ended_at_once():
    # Impatient clients come with milliseconds left: the next look was too late for their final answer.
    harness = Harness()
    q, actions = harness.query(ALL, time_left_ms=9.0)
    assert actions_of(api.Reject, actions) == [api.Reject(q, 0.0)]
    assert not actions_of(api.Send, actions)


def test_a_query_whose_client_leaves_before_its_answer_can_come_is_rejected():
    # Clients that give up early and repeat at once: what cannot be answered in their time is not begun.
    harness = Harness()
    harness.learn_latency(latency_ms=60.0, queries=30)
    harness.query(ALL)
    q, actions = harness.query(ALL, time_left_ms=65.0)
    assert actions_of(api.Reject, actions) == [api.Reject(q, 0.0)]
    _, actions = harness.query(ALL, time_left_ms=800.0)
    assert len(actions_of(api.Send, actions)) == 4


def test_a_client_that_cannot_wait_long_enough_is_rejected_at_once_and_costs_no_server():
    # On a day of impatient clients a quiet broker, with no parts out by which to foresee anything, sent nine parts for
    # each query that had 20 to 80 ms left where a part took 60: half of the fleet's work was for nobody.
    harness = Harness()
    harness.learn_latency(latency_ms=50.0)
    for left in (40.0, 55.0):  # 10 ms of it are kept back
        _, actions = harness.query(ALL, time_left_ms=left)
        assert [type(a) for a in actions if not isinstance(a, api.SetTimer)] == [api.Reject]
    _, actions = harness.query(ALL, time_left_ms=70.0)
    assert len(actions_of(api.Send, actions)) == 4
    # what needs less is admitted sooner: two of four parts by this time are likelier than all four
    assert [type(a) for a in harness.query(ALL, time_left_ms=60.5)[1]].count(api.Send) == 0
    sent = [len(actions_of(api.Send, harness.query(ANY, time_left_ms=61.5)[1])) for _ in range(20)]
    assert any(sent)
    # a retry's first part goes ahead as a canary: all of it takes twice as long
    ps = tuple(api.Part(9001 + i, i, 0.25, None) for i in range(4))
    actions = harness.step(api.Query(9000, 999, ALL, 0, 0, 90.0, True, None, ps))
    assert not actions_of(api.Send, actions)
    assert actions_of(api.Reject, actions)


def test_without_answers_to_go_by_a_short_time_rejects_nobody():
    harness = Harness()
    assert len(actions_of(api.Send, harness.query(ALL, time_left_ms=60.0)[1])) == 4
