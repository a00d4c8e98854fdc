"""Idle connections that are dropped unseen, and handshakes that fail."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, ANY, UNSAFE, Harness, actions_of, endpoint
from tests.harness_traffic import answer_all


def send_after_idle_times(harness, struck, outcome, idle=2000.0, rounds=12):
    """Sends after idle times; these servers lose what comes on an old connection that was not shut first."""
    closed = lost = sent = 0
    connected = set(harness.aggregator.endpoints.servers)
    for _ in range(rounds):
        harness.advance(idle)
        _, actions = harness.query(ALL)
        shut = {a.node for a in actions_of(api.CloseIdleConnections, actions)}
        closed += len(shut)
        harness.advance(20.0)
        harness.now += 5.0
        for a in actions_of(api.Send, actions):
            sent += 1
            if a.node in struck & connected - shut:
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
    # Three quarters of the connections were dropped after a second or two without use: 37% of attempts reset.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency(queries_at_once=2)
    closed, lost, sent = send_after_idle_times(harness, set(range(10, 16)), Outcome.RESET)
    assert lost <= 12
    assert closed >= 0.4 * sent
    harness.advance(60_000.0)
    assert send_after_idle_times(harness, set(), Outcome.RESET)[0] == 0  # forgotten, for a new connection has its price


def test_a_server_that_is_down_among_many_closes_no_connections():
    harness = Harness(endpoints=[endpoint(10 + i, i % 4) for i in range(16)], retry_budget_min=1000.0)
    harness.learn_latency()
    assert send_after_idle_times(harness, {10, 20}, Outcome.RESET)[0] <= 3


def test_silence_on_idle_connections_is_learned_once_parts_are_late():
    # Where dropped connections give no answer, ten seconds of time-outs passed before any of them had ended.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency(queries_at_once=2)
    harness.advance(2000.0)
    harness.query(ALL, parts=8)
    harness.advance(400.0)
    assert harness.aggregator.connections.distrusted_until_ms > harness.now
    assert 1400.0 < harness.aggregator.connections.idle_threshold_ms < 3500.0
    answer_all(harness)  # they were slow after all
    harness.advance(31_000.0)
    _, actions = harness.query(ALL)
    assert not actions_of(api.CloseIdleConnections, actions)


def test_handshakes_that_time_out_mean_no_server_is_down_and_open_connections_are_kept():
    # Handshakes slower than the time-out: all servers were taken to be down and warming up, open ones closed.
    harness = Harness(retry_budget_min=1000.0)
    harness.learn_latency()
    harness.advance(16_000.0)  # the connections have closed
    for n in range(8):
        _, sends = harness.query(ANY)  # what needs all is hardly admitted once others were lost
        harness.advance(250.0)
        for a in actions_of(api.Send, sends):
            harness.complete(a.part, Outcome.OK if a.node == 13 and n else Outcome.CONNECT_FAILED)
        answer_all(harness, silent={10, 11, 12})  # one server's connections come up
        harness.advance(4000.0)
    assert all(n.down_since_ms == math.inf for n in harness.aggregator.endpoints.servers.values())
    _, actions = harness.query(ANY, parts=2)
    assert not actions_of(api.CloseIdleConnections, actions)
    assert {a.node for a in actions_of(api.Send, actions)} == {13}


def test_a_late_attempt_on_a_distrusted_connection_is_cancelled_and_retried():
    # Both replicas had the part on dropped connections: no third was left, and it waited until its end.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency(queries_at_once=2)
    harness.advance(2000.0)
    q, _ = harness.query(ALL, parts=8)
    harness.aggregator.hedges.credit = 0.0
    actions = harness.advance(400.0)
    assert len(actions_of(api.Cancel, actions)) >= 4
    assert len(actions_of(api.Send, actions)) >= 4


def test_an_answer_after_all_ends_the_distrust():
    harness = Harness(endpoints=EIGHT_SERVERS, max_attempts=1)  # none is cancelled meanwhile
    harness.learn_latency(queries_at_once=2)
    harness.advance(2000.0)
    _, actions = harness.query(ALL, parts=8)
    harness.advance(160.0)
    assert harness.aggregator.connections.distrusted_until_ms > harness.now
    for a in actions_of(api.Send, actions):
        harness.complete(a.part)
    assert harness.aggregator.connections.distrusted_until_ms < harness.now


def test_a_zone_out_of_reach_does_not_keep_dropped_connections_open_elsewhere():
    # New connections to a cut zone failed, which looked like slow handshakes: no idle connection was closed any more.
    def failure_share(cut):
        endpoints = [api.Endpoint(10 + i, i % 4, api.EndpointState.READY, 0.0, i // 4, 0, 1.0) for i in range(8)]
        harness = Harness(endpoints=endpoints, retry_budget_min=1000.0)
        harness.learn_latency()
        harness.aggregator.outliers.zone_loss = {0: 0.9, 1: 0.1} if cut else {}
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

    assert failure_share(cut=True) < 0.1 < 0.2 < failure_share(cut=False)


def test_an_unsafe_part_is_not_cancelled_on_a_distrusted_connection():
    # It may have run, so it cannot be sent anew: cancelled, it was lost for certain.
    harness = Harness(endpoints=EIGHT_SERVERS, retry_budget_min=1000.0)
    harness.learn_latency()
    harness.query(UNSAFE, parts=8, time_left_ms=2000.0)
    harness.aggregator.connections.idle_threshold_ms = 100.0  # learned just after, from others
    harness.aggregator.connections.distrusted_until_ms = harness.now + 5000.0
    assert not actions_of(api.Cancel, harness.advance(900.0))


def test_an_unsafe_part_goes_on_no_idle_connection():
    # A tenth of the unsafe queries failed in the first seconds of dropped connections: they can only be prevented.
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
    assert not actions_of(api.CloseIdleConnections, harness.query(UNSAFE)[1])  # just used
    harness.advance(2000.0)
    assert not actions_of(api.CloseIdleConnections, harness.query(ALL)[1])  # safe parts may be lost
