"""Idle connections that are dropped unseen, and handshakes that fail."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.bench_traffic import answer_all
from tests.conftest import ALL, ANY, ONCE, Bench, line, of


def send_after_idle_times(b, struck, outcome, idle=2000.0, rounds=12):
    """Sends after idle times; these servers lose what comes on an old connection that was not shut first."""
    closed = lost = sent = 0
    connected = set(b.agg.endpoints.servers)
    for _ in range(rounds):
        b.wait(idle)
        _, acts = b.query(ALL)
        shut = {a.node for a in of(api.CloseIdleConnections, acts)}
        closed += len(shut)
        b.wait(20.0)
        b.now += 5.0
        for a in of(api.Send, acts):
            sent += 1
            if a.node in struck & connected - shut:
                lost += 1
                connected.discard(a.node)
                b.finish(a.part, outcome)
            else:
                connected.add(a.node)
                b.finish(a.part)
        b.wait(60.0)
        answer_all(b)
    return closed, lost, sent


EIGHT_SERVERS = [line(10 + i, i % 4) for i in range(8)]


def test_connections_dropped_while_idle_are_closed_before_a_send():
    # Three quarters of the connections were dropped after a second or two without use: 37% of attempts reset.
    b = Bench(lines=EIGHT_SERVERS, retry_budget_min=1000.0)
    b.learn(at_once=2)
    closed, lost, sent = send_after_idle_times(b, set(range(10, 16)), Outcome.RESET)
    assert lost <= 12
    assert closed >= 0.4 * sent
    b.wait(60_000.0)
    assert send_after_idle_times(b, set(), Outcome.RESET)[0] == 0  # forgotten, for a new connection has its price


def test_a_server_that_is_down_among_many_closes_no_connections():
    b = Bench(lines=[line(10 + i, i % 4) for i in range(16)], retry_budget_min=1000.0)
    b.learn()
    assert send_after_idle_times(b, {10, 20}, Outcome.RESET)[0] <= 3


def test_silence_on_idle_connections_is_learned_once_parts_are_late():
    # Where dropped connections give no answer, ten seconds of time-outs passed before any of them had ended.
    b = Bench(lines=EIGHT_SERVERS, retry_budget_min=1000.0)
    b.learn(at_once=2)
    b.wait(2000.0)
    b.query(ALL, parts=8)
    b.wait(400.0)
    assert b.agg.connections.distrusted_until_ms > b.now
    assert 1400.0 < b.agg.connections.idle_threshold_ms < 3500.0
    answer_all(b)  # they were slow after all
    b.wait(31_000.0)
    _, acts = b.query(ALL)
    assert not of(api.CloseIdleConnections, acts)


def test_handshakes_that_time_out_mean_no_server_is_down_and_open_connections_are_kept():
    # Handshakes slower than the time-out: all servers were taken to be down and warming up, open ones closed.
    b = Bench(retry_budget_min=1000.0)
    b.learn()
    b.wait(16_000.0)  # the connections have closed
    for n in range(8):
        _, sends = b.query(ANY)  # what needs all is hardly admitted once others were lost
        b.wait(250.0)
        for a in of(api.Send, sends):
            b.finish(a.part, Outcome.OK if a.node == 13 and n else Outcome.CONNECT_FAILED)
        answer_all(b, silent={10, 11, 12})  # one server's connections come up
        b.wait(4000.0)
    assert all(n.down_since_ms == math.inf for n in b.agg.endpoints.servers.values())
    _, acts = b.query(ANY, parts=2)
    assert not of(api.CloseIdleConnections, acts)
    assert {a.node for a in of(api.Send, acts)} == {13}


def test_a_late_attempt_on_a_distrusted_connection_is_cancelled_and_retried():
    # Both replicas had the part on dropped connections: no third was left, and it waited until its end.
    b = Bench(lines=EIGHT_SERVERS, retry_budget_min=1000.0)
    b.learn(at_once=2)
    b.wait(2000.0)
    q, _ = b.query(ALL, parts=8)
    b.agg.hedges.credit = 0.0
    acts = b.wait(400.0)
    assert len(of(api.Cancel, acts)) >= 4
    assert len(of(api.Send, acts)) >= 4


def test_an_answer_after_all_ends_the_distrust():
    b = Bench(lines=EIGHT_SERVERS, max_attempts=1)  # none is cancelled meanwhile
    b.learn(at_once=2)
    b.wait(2000.0)
    _, acts = b.query(ALL, parts=8)
    b.wait(160.0)
    assert b.agg.connections.distrusted_until_ms > b.now
    for a in of(api.Send, acts):
        b.finish(a.part)
    assert b.agg.connections.distrusted_until_ms < b.now


def test_a_zone_out_of_reach_does_not_keep_dropped_connections_open_elsewhere():
    # New connections to a cut zone failed, which looked like slow handshakes: no idle connection was closed any more.
    def failure_share(cut):
        lines = [api.Endpoint(10 + i, i % 4, api.EndpointState.READY, 0.0, i // 4, 0, 1.0) for i in range(8)]
        b = Bench(lines=lines, retry_budget_min=1000.0)
        b.learn()
        b.agg.outliers.zone_loss = {0: 0.9, 1: 0.1} if cut else {}
        b.wait(16_000.0)
        for _ in range(90):
            node, part = b.agg.endpoints.servers[10 + b.agg.random.randrange(4)], b.next_id
            b.agg.endpoints._replicas_by_cell = {c: [node] for c in range(4)}
            b.query(ALL, parts=1)
            b.wait(250.0)
            b.finish(part + 1, Outcome.CONNECT_FAILED)
            b.do(api.ClientDisconnected(part))
        return b.agg.connections.handshake_failure_share

    assert failure_share(cut=True) < 0.1 < 0.2 < failure_share(cut=False)


def test_an_unsafe_part_is_not_cancelled_on_a_distrusted_connection():
    # It may have run, so it cannot be sent anew: cancelled, it was lost for certain.
    b = Bench(lines=EIGHT_SERVERS, retry_budget_min=1000.0)
    b.learn()
    b.query(ONCE, parts=8, left=2000.0)
    b.agg.connections.idle_threshold_ms = 100.0  # learned just after, from others
    b.agg.connections.distrusted_until_ms = b.now + 5000.0
    assert not of(api.Cancel, b.wait(900.0))


def test_an_unsafe_part_goes_on_no_idle_connection():
    # A tenth of the unsafe queries failed in the first seconds of dropped connections: they can only be prevented.
    b = Bench()
    b.learn()
    b.wait(2000.0)
    _, acts = b.query(ONCE)
    assert {a.node for a in of(api.CloseIdleConnections, acts)} == {a.node for a in of(api.Send, acts)}
    for a in of(api.Send, acts):
        b.finish(a.part)
    b.wait(200.0)
    assert not of(api.CloseIdleConnections, b.query(ONCE)[1])  # just used
    b.wait(2000.0)
    assert not of(api.CloseIdleConnections, b.query(ALL)[1])  # safe parts may be lost
