"""Idle connections that are dropped silently, and handshakes that fail."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, ANY, UNSAFE, Harness, actions_of, endpoint
from tests.harness_traffic import answer_all


def send_after_idle_times(harness, dropping, outcome, idle_ms=2000.0, rounds=12):
    """Sends parts after idle times; returns the numbers of closed connections, lost attempts and attempts.

    The `dropping` servers lose attempts on an old connection unless it was closed before.
    """
    closed = lost = sent = 0
    connected = set(harness.aggregator.endpoints.servers)
    for _ in range(rounds):
        harness.advance(idle_ms)
        _, actions = harness.query(ALL)
        closed_nodes = {a.node for a in actions_of(api.CloseIdleConnections, actions)}
        closed += len(closed_nodes)
        harness.advance(20.0)
        harness.now += 5.0
        for a in actions_of(api.Send, actions):
            sent += 1
            if a.node in dropping & connected - closed_nodes:
                lost += 1
                connected.discard(a.node)
                harness.complete(a.part, outcome)
            else:
                connected.add(a.node)
                harness.complete(a.part)
        harness.advance(60.0)
        answer_all(harness)
    return closed, lost, sent


EIGHT_SERVERS = [endpoint(10 + i, i % 4) for i in range(8)]


def test_connections_dropped_while_idle_are_closed_before_a_send():
    # When three quarters of the connections were dropped after a second or two without use, 37% of attempts were reset.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency(queries_at_once=2)
    closed, lost, sent = send_after_idle_times(harness, set(range(10, 16)), Outcome.RESET)
    assert lost <= 12
    assert closed >= 0.4 * sent
    harness.advance(60_000.0)
    # The threshold expires, because every closed connection costs a handshake.
    assert send_after_idle_times(harness, set(), Outcome.RESET)[0] == 0


def test_a_server_that_is_down_among_many_closes_no_connections():
    harness = Harness(endpoints=[endpoint(10 + i, i % 4) for i in range(16)], retry_budget_min=1000.0)
    harness.learn_latency()
    assert send_after_idle_times(harness, {10, 20}, Outcome.RESET)[0] <= 3


def test_silence_on_idle_connections_is_learned_once_parts_are_late():
    # Where attempts on dropped connections get no response at all, it took ten seconds until the first timed out.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency(queries_at_once=2)
    harness.advance(2000.0)
    harness.query(ALL, parts=8)
    harness.advance(400.0)
    assert harness.aggregator.connections.distrusted_until_ms > harness.now
    assert 1400.0 < harness.aggregator.connections.idle_threshold_ms < 3500.0
    answer_all(harness)  # they were only slow
    harness.advance(31_000.0)
    _, actions = harness.query(ALL)
    assert not actions_of(api.CloseIdleConnections, actions)


def test_handshakes_that_time_out_mean_no_server_is_down_and_open_connections_are_kept():
    # When handshakes were slower than the timeout, all servers were treated as down and warming up, and their open
    # connections were closed.
    harness = Harness(retry_budget_min=1000.0)
    harness.learn_latency()
    harness.advance(16_000.0)  # the servers have closed their idle connections
    for n in range(8):
        _, sends = harness.query(ANY)  # queries that need all parts are hardly admitted after losses
        harness.advance(250.0)
        for send in actions_of(api.Send, sends):
            harness.complete(send.part, Outcome.OK if send.node == 13 and n else Outcome.CONNECT_FAILED)
        answer_all(harness, silent={10, 11, 12})  # only one server's handshakes succeed
        harness.advance(4000.0)
    assert all(n.down_since_ms == math.inf for n in harness.aggregator.endpoints.servers.values())
    _, actions = harness.query(ANY, parts=2)
    assert not actions_of(api.CloseIdleConnections, actions)
    assert {send.node for send in actions_of(api.Send, actions)} == {13}


def test_a_late_attempt_on_a_distrusted_connection_is_cancelled_and_retried():
    # When a part was in flight to both replicas on dropped connections, no other replica was left, and the part waited
    # until the deadline.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency(queries_at_once=2)
    harness.advance(2000.0)
    query_id, _ = harness.query(ALL, parts=8)
    harness.aggregator.hedges.credit = 0.0
    actions = harness.advance(400.0)
    assert len(actions_of(api.Cancel, actions)) >= 4
    assert len(actions_of(api.Send, actions)) >= 4


def test_a_late_answer_ends_the_distrust():
    harness = Harness(endpoints=EIGHT_SERVERS, max_attempts=1)  # so that no attempt is cancelled meanwhile
    harness.learn_latency(queries_at_once=2)
    harness.advance(2000.0)
    _, actions = harness.query(ALL, parts=8)
    harness.advance(160.0)
    assert harness.aggregator.connections.distrusted_until_ms > harness.now
    for send in actions_of(api.Send, actions):
        harness.complete(send.part)
    assert harness.aggregator.connections.distrusted_until_ms < harness.now


def test_an_unreachable_zone_does_not_keep_dropped_connections_open_elsewhere():
    # Failed connections to an unreachable zone were taken for slow handshakes, so that no idle connection was closed.
    def failure_share(unreachable):
        endpoints = [api.Endpoint(10 + i, i % 4, api.EndpointState.READY, 0.0, i // 4, 0, 1.0) for i in range(8)]
        harness = Harness(endpoints=endpoints, retry_budget_min=1000.0)
        harness.learn_latency()
        harness.aggregator.outliers.zone_loss = {0: 0.9, 1: 0.1} if unreachable else {}
        harness.advance(16_000.0)
        for _ in range(90):
            node, part = (
                harness.aggregator.endpoints.servers[10 + harness.aggregator.random.randrange(4)],
                harness.next_id,
            )
            harness.aggregator.endpoints._replicas_by_cell = {c: [node] for c in range(4)}
            harness.query(ALL, parts=1)
            harness.advance(250.0)
            harness.complete(part + 1, Outcome.CONNECT_FAILED)
            harness.step(api.ClientDisconnected(part))
        return harness.aggregator.connections.handshake_failure_share

    assert failure_share(unreachable=True) < 0.1 < 0.2 < failure_share(unreachable=False)


def test_an_unsafe_part_is_not_cancelled_on_a_distrusted_connection():
    # It may have run, so it cannot be retried: cancelling it would lose it for certain.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency()
    harness.query(UNSAFE, parts=8, time_left_ms=2000.0)
    harness.aggregator.connections.idle_threshold_ms = 100.0  # learned from other parts just after it was sent
    harness.aggregator.connections.distrusted_until_ms = harness.now + 5000.0
    assert not actions_of(api.Cancel, harness.advance(900.0))


def test_an_unsafe_part_is_not_sent_on_an_idle_connection():
    # In the first seconds after connections were dropped, a tenth of the unsafe queries failed. They cannot be retried,
    # so their loss can only be prevented.
    harness = Harness()
    harness.learn_latency()
    harness.advance(2000.0)
    _, actions = harness.query(UNSAFE)
    assert {a.node for a in actions_of(api.CloseIdleConnections, actions)} == {
        a.node for a in actions_of(api.Send, actions)
    }
    for a in actions_of(api.Send, actions):
        harness.complete(a.part)
    harness.advance(200.0)
    assert not actions_of(api.CloseIdleConnections, harness.query(UNSAFE)[1])  # the connections were just used
    harness.advance(2000.0)
    assert not actions_of(api.CloseIdleConnections, harness.query(ALL)[1])  # safe parts may be lost
