"""Decisions of a broker with little traffic per server: proven servers and the success share of cells."""

from collections import Counter

from conftest import ALL, ANY, Harness, actions_of, endpoint

from badgerbend import api
from badgerbend.api import Outcome

TWO_SERVERS_PER_CELL = [endpoint(10 + i, i % 4) for i in range(8)]


def run_query(harness, class_index=ALL, outcome=Outcome.OK, latency_ms=40.0, shard=0, parts=4, time_left_ms=3000.0):
    """Runs a query whose attempts all end with the same outcome; returns the servers that they were sent to."""
    sent, (_, actions) = [], harness.query(class_index, parts=parts, shard=shard, time_left_ms=time_left_ms)
    while sends := actions_of(api.Send, actions):
        sent += [send.node for send in sends]
        actions = harness.advance(latency_ms)
        for send in sends:
            actions += harness.complete(send.part, outcome, harness.attempts[send.part] - 1)
    return sent


def test_among_equal_servers_proven_ones_are_preferred_and_others_are_tried_now_and_then():
    # After the loss of a zone, each broker tried each of its servers in turn: 30% of the parts were lost, with a
    # handshake each.
    harness = Harness(endpoints=TWO_SERVERS_PER_CELL, cells_per_shard=1, retry_budget_min=1000.0)
    sent = Counter()
    for _ in range(200):
        sent.update(run_query(harness, shard=0, parts=1))
    (_, most), (_, fewest) = sent.most_common()
    assert sum(sent.values()) == 200
    assert most > fewest > 0
    harness = Harness(endpoints=TWO_SERVERS_PER_CELL, cells_per_shard=1, retry_budget_min=1000.0)
    changes, last = 0, None
    for _ in range(100):
        harness.advance(1500.0)  # a broker with one query per cell every few seconds
        (node,) = run_query(harness, shard=0, parts=1)
        changes, last = changes + (node != last), node
    assert changes < 40  # without the preference about every second query goes to another server
    harness.advance(6000.0)  # answers of so long ago prove nothing
    assert not any(
        harness.aggregator.replicas.is_proven(n, harness.now) for n in harness.aggregator.endpoints.servers.values()
    )


def test_a_proven_server_that_is_busy_or_slow_is_passed_over():
    harness = Harness(endpoints=TWO_SERVERS_PER_CELL, cells_per_shard=1, retry_budget_min=1000.0)
    harness.learn_latency(latency_ms=40.0)
    first = run_query(harness, parts=1)[0]
    harness.query(ALL, parts=1)
    _, actions = harness.query(ALL, parts=1)  # one query is in flight at each of the two servers
    busy = [server.id for server in harness.aggregator.endpoints.servers.values() if server.in_flight]
    assert sorted(busy) == [10, 14]
    assert first in busy
    for part in [send.part for send in actions_of(api.Send, actions)]:
        harness.complete(part)


def test_a_server_in_slow_start_gets_its_traffic_although_others_are_proven():
    harness = Harness(
        endpoints=[endpoint(10, 0), endpoint(11, 0)],
        cell_count=1,
        cells_per_shard=1,
        slow_start_ms=3000.0,
        retry_budget_min=1000.0,
    )
    for _ in range(60):
        run_query(harness, parts=1)
    harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(12, 0, started_ms=harness.now),)))
    sent = Counter()
    for _ in range(60):
        sent.update(run_query(harness, parts=1))
    assert sent[12] > 60 * 0.2 / 3


def test_queries_that_need_all_parts_are_admitted_by_the_success_of_their_cells():
    # After the loss of a zone, two thirds of the work went into queries that lost one of ten parts.
    harness = Harness(endpoints=TWO_SERVERS_PER_CELL, cells_per_shard=1, retry_budget_min=1000.0, max_attempts=1)
    for _ in range(5):
        run_query(harness, parts=1, shard=2, outcome=Outcome.ERROR)
    rejected = sum(bool(actions_of(api.Reject, harness.query(ALL, parts=2, shard=2)[1])) for _ in range(40))
    assert 20 < rejected < 40  # some are admitted, so that a recovery is noticed
    assert {a.reason for a in actions_of(api.Reject, harness.actions)} >= {"more likely lost than answered"}
    assert not any(actions_of(api.Reject, harness.query(ALL, parts=2, shard=0)[1]) for _ in range(10))  # other cells
    # Queries that do not need all parts are admitted.
    assert not any(actions_of(api.Reject, harness.query(ANY, parts=4, shard=0)[1]) for _ in range(10))
    harness.advance(3500.0)  # all of these queries end without an answer
    harness.advance(40_000.0)
    assert harness.aggregator.cells.share(2, harness.now) > 0.95
    assert harness.aggregator.cells.share(0, harness.now) > 0.95


def test_an_answer_raises_the_success_of_a_cell_and_an_impatient_client_does_not_lower_it():
    harness = Harness(endpoints=TWO_SERVERS_PER_CELL, cells_per_shard=1, retry_budget_min=1000.0)
    harness.query(ALL, parts=1, shard=1, time_left_ms=200.0)
    harness.advance(400.0)
    assert actions_of(api.Reject, harness.actions)
    assert harness.aggregator.cells.share(1, harness.now) == 1.0
    harness.query(ALL, parts=1, shard=1)
    harness.advance(3200.0)
    low = harness.aggregator.cells.share(1, harness.now)
    assert low < 0.7
    run_query(harness, parts=1, shard=1)
    assert harness.aggregator.cells.share(1, harness.now) > low + 0.1
