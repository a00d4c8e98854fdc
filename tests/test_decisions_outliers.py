"""Servers that are down, warm up or restart, and poison requests."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.bench_traffic import answer_all
from tests.conftest import ALL, Bench, line, of


def test_a_server_that_refused_a_connection_warms_up_until_it_answers():
    b = Bench(lines=[line(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50)
    b.learn(queries=10)
    _, sends = b.query(ALL, parts=1)
    part = of(api.Send, sends)[0].part
    b.finish(part, Outcome.CONNECT_FAILED)
    b.wait(40.0)
    assert b.attempts[part] == 1  # by token, not at once
    node = b.agg.endpoints.servers[10]
    assert b.agg.slow_start.warmth(node, b.now) == 0.2
    b.wait(1500.0)
    assert 2 <= b.attempts[part] < 6
    b.finish(part, Outcome.OK, b.attempts[part] - 1)
    assert node.down_since_ms == math.inf
    assert 0.2 < b.agg.slow_start.warmth(node, b.now) < 1.0


def break_all_connections(b, query, sends):
    """Breaks the connections of all parts in flight, as a poison request does; the servers that it was sent to."""
    todo, down = of(api.Send, sends), set()
    while todo:
        a = todo.pop(0)
        down.add(a.node)
        b.wait(10.0)
        more = b.finish(a.part, Outcome.RESET, b.attempts[a.part] - 1)
        todo += [x for x in of(api.Send, more) if x.part > query]
    return down


def test_a_poison_request_is_not_sent_round_the_other_replicas():
    # Each part was sent on to every holder in turn: one query and its repeats brought down half the fleet.
    lines = [line(10 + i, i % 4) for i in range(16)]
    b = Bench(lines=lines, retry_budget_min=1000.0)
    b.learn()
    q, sends = b.query(ALL)
    assert len(break_all_connections(b, q, sends)) == 4
    b.wait(300.0)  # for so long it may have been the connections alone
    assert of(api.Reject, b.log) == [api.Reject(q, 0.0)]
    b.log.clear()
    b.do(api.EndpointUpdate(api.UpdateKind.DELTA, (line(10, 0, started=b.now),)))
    q, sends = b.query(ALL)  # the list shows a restart: one part goes ahead, and no other when its server goes down
    assert len(of(api.Send, sends)) == 1
    assert len(break_all_connections(b, q, sends)) == 1
    b.wait(300.0)
    assert of(api.Reject, b.log) == [api.Reject(q, 0.0)]


def test_a_connection_that_breaks_at_once_was_refused_and_its_server_is_not_down():
    # Servers broke a third of all connections within a round trip and served the rest: nothing can have been
    # begun by then, so neither the query nor the process is to blame, and no canary need go ahead.
    b = Bench(retry_budget_min=1000.0)
    b.learn()
    _, sends = b.query(ALL)
    for a in of(api.Send, sends):
        assert of(api.Send, b.finish(a.part, Outcome.RESET))
    answer_all(b)
    _, sends = b.query(ALL)
    assert len(of(api.Send, sends)) == 4
    assert all(n.down_since_ms == math.inf for n in b.agg.endpoints.servers.values())


def break_first_part(b, canary=False):
    """A part whose connection broke midway; the part, its server, and what is sent at once in its place."""
    ps = (api.Part(9001, 0, 1.0, None),)
    (first,) = of(api.Send, b.do(api.Query(9000, 999, ALL, 0, 0, 3000.0, canary, None, ps)))
    b.wait(20.0)
    b.finish(9001, Outcome.RESET)
    return first.node


def test_a_server_that_answers_right_after_its_connection_broke_is_not_down():
    # Where the network cut connections midway, each cut made a warm server count as warming up for the full time:
    # its shards' queries waited for tokens until they were rejected, with the servers idle.
    b = Bench(lines=[line(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0)
    b.learn(queries=10)
    number = break_first_part(b)
    node = b.agg.endpoints.servers[number]
    assert node.down_since_ms < math.inf
    b.wait(100.0)  # the next look sends it again, for which one token is there
    assert b.attempts[9001] == 2
    assert b.sent[9001, 1][1] <= node.down_since_ms + 100.0
    b.finish(9001, Outcome.OK, 1)
    assert node.down_since_ms == math.inf
    assert b.agg.slow_start.warmth(node, b.now) == 1.0
    assert b.agg.outliers.poison_seen_ms == -math.inf
    _, sends = b.query(ALL)
    assert len(of(api.Send, sends)) == 4


def test_a_server_that_refuses_after_a_break_is_down_and_its_query_is_a_suspect():
    b = Bench(lines=[line(10, 0), line(11, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0)
    b.learn(queries=10)
    number = break_first_part(b, canary=True)
    assert b.agg.outliers.poison_seen_ms == -math.inf
    assert 9000 in b.agg.queries.by_id
    ps = tuple(api.Part(9101 + i, 0, 0.25, None) for i in range(4))
    sends = of(api.Send, b.do(api.Query(9100, 1000, ALL, 0, 0, 3000.0, False, None, ps)))
    there = [a.part for a in sends if a.node == number]
    assert there
    b.finish(there[0], Outcome.CONNECT_FAILED)
    assert b.agg.outliers.poison_seen_ms == b.now
    assert b.agg.endpoints.servers[number].refused_connection
    b.wait(100.0)
    assert of(api.Reject, b.log) == [api.Reject(9000, 0.0)]


def test_a_server_that_answers_long_after_a_break_has_restarted_and_is_warming_up():
    b = Bench(lines=[line(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50)
    b.learn(queries=10)
    number = break_first_part(b)
    b.finish(9001, Outcome.REJECTED, 1)
    b.wait(400.0)
    node = b.agg.endpoints.servers[number]
    last = b.attempts[9001] - 1
    assert last >= 1
    assert b.sent[9001, last][1] > node.down_since_ms + 100.0
    b.finish(9001, Outcome.OK, last)
    assert node.down_since_ms == math.inf
    assert b.agg.slow_start.warmth(node, b.now) < 0.3


def test_a_retry_sends_a_canary_and_the_rest_when_it_is_answered():
    b = Bench()
    b.learn()
    ps = tuple(api.Part(9001 + i, i, 0.25, None) for i in range(4))
    sends = of(api.Send, b.do(api.Query(9000, 999, ALL, 0, 0, 3000.0, True, None, ps)))
    assert len(sends) == 1
    assert len(of(api.Send, b.finish(sends[0].part))) == 3


def test_a_query_with_an_answer_is_no_suspect_and_is_retried():
    # A crash takes several servers at once: a query that lost parts there waits for word of its others.
    lines = [line(10 + i, i % 4) for i in range(16)]
    b = Bench(lines=lines)
    b.learn()
    _, sends = b.query(ALL)
    parts = [a.part for a in of(api.Send, sends)]
    b.wait(20.0)
    assert not of(api.Send, b.finish(parts[0], Outcome.RESET))
    assert not of(api.Send, b.finish(parts[1], Outcome.RESET))
    b.finish(parts[2])
    b.finish(parts[3])
    again = {a.part for a in of(api.Send, b.wait(200.0))}
    assert again == set(parts[:2])


def test_a_suspicion_of_poison_requests_ends():
    b = Bench()
    b.learn()
    b.agg.outliers.poison_seen_ms = b.now
    _, sends = b.query(ALL)
    assert len(of(api.Send, sends)) == 1
    b.wait(35_000.0)
    _, sends = b.query(ALL)
    assert len(of(api.Send, sends)) == 4


def test_a_crash_of_several_servers_at_once_sends_no_canaries():
    # Canaries went ahead of every query for half a minute after any death: a quarter of the queries came late.
    b = Bench(lines=[line(10 + i, i % 4) for i in range(16)], retry_budget_min=1000.0)
    b.learn()
    _, sends = b.query(ALL)
    b.wait(30.0)
    for a in of(api.Send, sends)[:3]:
        b.finish(a.part, Outcome.RESET)
    b.finish(of(api.Send, sends)[3].part)
    b.wait(200.0)
    answer_all(b)
    _, sends = b.query(ALL)
    assert len(of(api.Send, sends)) == 4


def test_a_restart_that_was_not_missed_sends_canaries():
    # Processes that a poison request brings down are back before the list misses them; a broker sees few itself.
    b = Bench()
    b.learn()
    b.do(api.EndpointUpdate(api.UpdateKind.DELTA, (line(10, 0, started=b.now - 500.0),)))
    _, sends = b.query(ALL)
    assert len(of(api.Send, sends)) == 1


def test_a_connection_refused_at_once_means_the_server_is_down():
    b = Bench()
    b.learn()
    _, sends = b.query(ALL)
    b.finish(of(api.Send, sends)[0].part, Outcome.CONNECT_FAILED)
    assert b.agg.endpoints.servers[of(api.Send, sends)[0].node].down_since_ms < math.inf
