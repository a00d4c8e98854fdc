"""Admission: what is foreseen to be late, or unlikely to be answered in time."""

from badgerbend import api
from tests.bench_traffic import observe_response_time
from tests.conftest import ALL, ANY, Bench, of


def test_queries_of_hot_shards_are_rejected_and_others_served():
    # One shard's only server is overloaded while the others idle: all latencies together would reject everyone.
    b = Bench(cells_per_shard=1)
    b.learn(ms=40.0, queries=30)
    observe_response_time(b.agg.endpoints.servers[10], 3000.0, b.now)
    b.query(ALL, parts=1, shard=2)  # something is out, so the broker is not idle
    hot, acts = b.query(ALL, parts=1, shard=0)
    assert of(api.Reject, acts) == [api.Reject(hot, 0.0)]
    _, acts = b.query(ALL, parts=2, shard=1)
    assert len(of(api.Send, acts)) == 2


def test_foreseen_time_follows_the_order_statistic_of_the_query():
    # All servers take over half the latency objective: a query that needs all parts waits too long, one that needs half
    # of them does not.
    b = Bench()
    b.learn(ms=40.0, queries=40)
    b.query(ALL, parts=1)
    b.agg.latency.use_answers([30.0, 60.0, 90.0, 120.0] * 10)
    b.agg.admission.reset()
    for server in b.agg.endpoints.servers.values():
        observe_response_time(server, 550.0, b.now)
    _, acts = b.query(ANY)
    assert of(api.Send, acts)
    _, acts = b.query(ALL)
    assert of(api.Reject, acts)


def test_a_broker_with_nothing_in_flight_admits_a_query_to_learn_whether_the_overload_is_over():
    # After an overload that made it reject all, no answer came any more that could have shown its end.
    b = Bench()
    b.learn()
    for server in b.agg.endpoints.servers.values():
        observe_response_time(server, 5000.0, b.now)
    _, acts = b.query(ALL)
    assert len(of(api.Send, acts)) == 4
    _, acts = b.query(ALL)
    assert of(api.Reject, acts)


def test_a_query_with_hardly_any_time_left_is_ended_at_once():
    # Impatient clients come with milliseconds left: the next look was too late for their final answer.
    b = Bench()
    q, acts = b.query(ALL, left=9.0)
    assert of(api.Reject, acts) == [api.Reject(q, 0.0)]
    assert not of(api.Send, acts)


def test_a_query_whose_client_leaves_before_its_answer_can_come_is_rejected():
    # Clients that give up early and repeat at once: what cannot be answered in their time is not begun.
    b = Bench()
    b.learn(ms=60.0, queries=30)
    b.query(ALL)
    q, acts = b.query(ALL, left=65.0)
    assert of(api.Reject, acts) == [api.Reject(q, 0.0)]
    _, acts = b.query(ALL, left=800.0)
    assert len(of(api.Send, acts)) == 4


def test_a_client_that_cannot_wait_long_enough_is_rejected_at_once_and_costs_no_server():
    # On a day of impatient clients a quiet broker, with no parts out by which to foresee anything, sent nine parts for
    # each query that had 20 to 80 ms left where a part took 60: half of the fleet's work was for nobody.
    b = Bench()
    b.learn(ms=50.0)
    for left in (40.0, 55.0):  # 10 ms of it are kept back
        _, acts = b.query(ALL, left=left)
        assert [type(a) for a in acts if not isinstance(a, api.SetTimer)] == [api.Reject]
    _, acts = b.query(ALL, left=70.0)
    assert len(of(api.Send, acts)) == 4
    # what needs less is admitted sooner: two of four parts by this time are likelier than all four
    assert [type(a) for a in b.query(ALL, left=60.5)[1]].count(api.Send) == 0
    sent = [len(of(api.Send, b.query(ANY, left=61.5)[1])) for _ in range(20)]
    assert any(sent)
    # a retry's first part goes ahead as a canary: all of it takes twice as long
    ps = tuple(api.Part(9001 + i, i, 0.25, None) for i in range(4))
    acts = b.do(api.Query(9000, 999, ALL, 0, 0, 90.0, True, None, ps))
    assert not of(api.Send, acts)
    assert of(api.Reject, acts)


def test_without_answers_to_go_by_a_short_time_rejects_nobody():
    b = Bench()
    assert len(of(api.Send, b.query(ALL, left=60.0)[1])) == 4
