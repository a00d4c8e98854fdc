"""Servers that are down, warm up or restart, and poison requests."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, Harness, actions_of, endpoint
from tests.harness_traffic import answer_all


def test_a_server_that_refused_a_connection_warms_up_until_it_answers():
    harness = Harness(
        endpoints=[endpoint(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50
    )
    harness.learn_latency(queries=10)
    _, sends = harness.query(ALL, parts=1)
    part = actions_of(api.Send, sends)[0].part
    harness.complete(part, Outcome.CONNECT_FAILED)
    harness.advance(40.0)
    assert harness.attempts[part] == 1  # by token, not at once
    node = harness.aggregator.endpoints.servers[10]
    assert harness.aggregator.slow_start.capacity_fraction(node, harness.now) == 0.2
    harness.advance(1500.0)
    assert 2 <= harness.attempts[part] < 6
    harness.complete(part, Outcome.OK, harness.attempts[part] - 1)
    assert node.down_since_ms == math.inf
    assert 0.2 < harness.aggregator.slow_start.capacity_fraction(node, harness.now) < 1.0


def break_all_connections(harness, query, sends):
    """Breaks the connections of all parts in flight, as a poison request does; the servers that it was sent to."""
    todo, down = actions_of(api.Send, sends), set()
    while todo:
        a = todo.pop(0)
        down.add(a.node)
        harness.advance(10.0)
        more = harness.complete(a.part, Outcome.RESET, harness.attempts[a.part] - 1)
        todo += [x for x in actions_of(api.Send, more) if x.part > query]
    return down


def test_a_poison_request_is_not_sent_round_the_other_replicas():
    # Each part was sent on to every holder in turn: one query and its repeats brought down half the fleet.
    endpoints = [endpoint(10 + i, i % 4) for i in range(16)]
    harness = Harness(endpoints=endpoints, retry_budget_min=1000.0)
    harness.learn_latency()
    q, sends = harness.query(ALL)
    assert len(break_all_connections(harness, q, sends)) == 4
    harness.advance(300.0)  # for so long it may have been the connections alone
    assert actions_of(api.Reject, harness.actions) == [api.Reject(q, 0.0)]
    harness.actions.clear()
    harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, started_ms=harness.now),)))
    q, sends = harness.query(
        ALL
    )  # the list shows a restart: one part goes ahead, and no other when its server goes down
    assert len(actions_of(api.Send, sends)) == 1
    assert len(break_all_connections(harness, q, sends)) == 1
    harness.advance(300.0)
    assert actions_of(api.Reject, harness.actions) == [api.Reject(q, 0.0)]


def test_a_connection_that_breaks_at_once_was_refused_and_its_server_is_not_down():
    # Servers broke a third of all connections within a round trip and served the rest: nothing can have been
    # begun by then, so neither the query nor the process is to blame, and no canary need go ahead.
    harness = Harness(retry_budget_min=1000.0)
    harness.learn_latency()
    _, sends = harness.query(ALL)
    for a in actions_of(api.Send, sends):
        assert actions_of(api.Send, harness.complete(a.part, Outcome.RESET))
    answer_all(harness)
    _, sends = harness.query(ALL)
    assert len(actions_of(api.Send, sends)) == 4
    assert all(n.down_since_ms == math.inf for n in harness.aggregator.endpoints.servers.values())


def break_first_part(harness, canary=False):
    """A part whose connection broke midway; the part, its server, and what is sent at once in its place."""
    ps = (api.Part(9001, 0, 1.0, None),)
    (first,) = actions_of(api.Send, harness.step(api.Query(9000, 999, ALL, 0, 0, 3000.0, canary, None, ps)))
    harness.advance(20.0)
    harness.complete(9001, Outcome.RESET)
    return first.node


def test_a_server_that_answers_right_after_its_connection_broke_is_not_down():
    # Where the network cut connections midway, each cut made a warm server count as warming up for the full time:
    # its shards' queries waited for tokens until they were rejected, with the servers idle.
    harness = Harness(endpoints=[endpoint(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0)
    harness.learn_latency(queries=10)
    number = break_first_part(harness)
    node = harness.aggregator.endpoints.servers[number]
    assert node.down_since_ms < math.inf
    harness.advance(100.0)  # the next look sends it again, for which one token is there
    assert harness.attempts[9001] == 2
    assert harness.sent[9001, 1][1] <= node.down_since_ms + 100.0
    harness.complete(9001, Outcome.OK, 1)
    assert node.down_since_ms == math.inf
    assert harness.aggregator.slow_start.capacity_fraction(node, harness.now) == 1.0
    assert harness.aggregator.outliers.poison_seen_ms == -math.inf
    _, sends = harness.query(ALL)
    assert len(actions_of(api.Send, sends)) == 4


def test_a_server_that_refuses_after_a_break_is_down_and_its_query_is_a_suspect():
    harness = Harness(
        endpoints=[endpoint(10, 0), endpoint(11, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0
    )
    harness.learn_latency(queries=10)
    number = break_first_part(harness, canary=True)
    assert harness.aggregator.outliers.poison_seen_ms == -math.inf
    assert 9000 in harness.aggregator.queries.by_id
    ps = tuple(api.Part(9101 + i, 0, 0.25, None) for i in range(4))
    sends = actions_of(api.Send, harness.step(api.Query(9100, 1000, ALL, 0, 0, 3000.0, False, None, ps)))
    there = [a.part for a in sends if a.node == number]
    assert there
    harness.complete(there[0], Outcome.CONNECT_FAILED)
    assert harness.aggregator.outliers.poison_seen_ms == harness.now
    assert harness.aggregator.endpoints.servers[number].refused_connection
    harness.advance(100.0)
    assert actions_of(api.Reject, harness.actions) == [api.Reject(9000, 0.0)]


def test_a_server_that_answers_long_after_a_break_has_restarted_and_is_warming_up():
    harness = Harness(
        endpoints=[endpoint(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50
    )
    harness.learn_latency(queries=10)
    number = break_first_part(harness)
    harness.complete(9001, Outcome.REJECTED, 1)
    harness.advance(400.0)
    node = harness.aggregator.endpoints.servers[number]
    last = harness.attempts[9001] - 1
    assert last >= 1
    assert harness.sent[9001, last][1] > node.down_since_ms + 100.0
    harness.complete(9001, Outcome.OK, last)
    assert node.down_since_ms == math.inf
    assert harness.aggregator.slow_start.capacity_fraction(node, harness.now) < 0.3


def test_a_retry_sends_a_canary_and_the_rest_when_it_is_answered():
    harness = Harness()
    harness.learn_latency()
    ps = tuple(api.Part(9001 + i, i, 0.25, None) for i in range(4))
    sends = actions_of(api.Send, harness.step(api.Query(9000, 999, ALL, 0, 0, 3000.0, True, None, ps)))
    assert len(sends) == 1
    assert len(actions_of(api.Send, harness.complete(sends[0].part))) == 3


def test_a_query_with_an_answer_is_no_suspect_and_is_retried():
    # A crash takes several servers at once: a query that lost parts there waits for word of its others.
    endpoints = [endpoint(10 + i, i % 4) for i in range(16)]
    harness = Harness(endpoints=endpoints)
    harness.learn_latency()
    _, sends = harness.query(ALL)
    parts = [a.part for a in actions_of(api.Send, sends)]
    harness.advance(20.0)
    assert not actions_of(api.Send, harness.complete(parts[0], Outcome.RESET))
    assert not actions_of(api.Send, harness.complete(parts[1], Outcome.RESET))
    harness.complete(parts[2])
    harness.complete(parts[3])
    again = {a.part for a in actions_of(api.Send, harness.advance(200.0))}
    assert again == set(parts[:2])


def test_a_suspicion_of_poison_requests_ends():
    harness = Harness()
    harness.learn_latency()
    harness.aggregator.outliers.poison_seen_ms = harness.now
    _, sends = harness.query(ALL)
    assert len(actions_of(api.Send, sends)) == 1
    harness.advance(35_000.0)
    _, sends = harness.query(ALL)
    assert len(actions_of(api.Send, sends)) == 4


def test_a_crash_of_several_servers_at_once_sends_no_canaries():
    # Canaries went ahead of every query for half a minute after any death: a quarter of the queries came late.
    harness = Harness(endpoints=[endpoint(10 + i, i % 4) for i in range(16)], retry_budget_min=1000.0)
    harness.learn_latency()
    _, sends = harness.query(ALL)
    harness.advance(30.0)
    for a in actions_of(api.Send, sends)[:3]:
        harness.complete(a.part, Outcome.RESET)
    harness.complete(actions_of(api.Send, sends)[3].part)
    harness.advance(200.0)
    answer_all(harness)
    _, sends = harness.query(ALL)
    assert len(actions_of(api.Send, sends)) == 4


def test_a_restart_that_was_not_missed_sends_canaries():
    # Processes that a poison request brings down are back before the list misses them; a broker sees few itself.
    harness = Harness()
    harness.learn_latency()
    harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, started_ms=harness.now - 500.0),)))
    _, sends = harness.query(ALL)
    assert len(actions_of(api.Send, sends)) == 1


def test_a_connection_refused_at_once_means_the_server_is_down():
    harness = Harness()
    harness.learn_latency()
    _, sends = harness.query(ALL)
    harness.complete(actions_of(api.Send, sends)[0].part, Outcome.CONNECT_FAILED)
    assert harness.aggregator.endpoints.servers[actions_of(api.Send, sends)[0].node].down_since_ms < math.inf
