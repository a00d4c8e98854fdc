"""The endpoint list, its polls, and events that should not be but are."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, ANY, Bench, line, of


def test_a_drain_counts_for_all_that_is_decided_in_its_step():
    b = Bench(lines=[line(10, 0), line(11, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0)
    b.learn(queries=10)
    _, sends = b.query(ALL, parts=1)
    (first,) = of(api.Send, sends)
    b.wait(20.0)
    other = 21 - first.node
    failed = api.AttemptCompleted(first.part, 0, first.node, Outcome.ERROR, 20.0, ())
    drain = api.EndpointUpdate(api.UpdateKind.DELTA, (line(other, 0, api.EndpointState.DRAINING),))
    assert all(a.node != other for a in of(api.Send, b.do(failed, drain)))


def test_failed_polls_of_the_list_back_off():
    # Each of seventy brokers polled again at every failure, 150 times each, and so few ever got an answer.
    b = Bench(polls_endpoint_list=True)
    b.wait(40.0)
    assert of(api.FollowEndpointList, b.log) == [api.FollowEndpointList(True)]
    calls = []
    for _ in range(8):
        b.log.clear()
        assert not of(api.FollowEndpointList, b.do(api.EndpointUpdate(api.UpdateKind.FAILED, ())))
        began = b.now
        while not of(api.FollowEndpointList, b.log):
            b.wait(100.0)
        calls.append(b.now - began)
    assert calls[0] < 1500.0
    assert 4900.0 <= calls[-1] <= 11_000.0
    assert sum(calls) > 20_000.0
    b.do(api.EndpointUpdate(api.UpdateKind.DELTA, ()))
    b.log.clear()
    b.wait(30_000.0)
    assert not of(api.FollowEndpointList, b.log)  # subscribed
    b.do(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
    b.wait(1500.0)
    assert of(api.FollowEndpointList, b.log)  # the subscription broke


def test_a_poll_of_the_list_that_is_never_answered_is_repeated():
    b = Bench(polls_endpoint_list=True)
    b.wait(9000.0)
    assert len(of(api.FollowEndpointList, b.log)) == 2


def test_polls_go_on_however_often_they_failed():
    # 2.0 to the number of failed polls overflowed after 1,024 of them, half an hour or more without discovery.
    b = Bench(polls_endpoint_list=True)
    for _ in range(1100):
        b.do(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
    b.log.clear()
    b.wait(10_000.0)  # the longest backoff
    assert of(api.FollowEndpointList, b.log)


def test_servers_that_left_are_forgotten():
    # Releases bring new ids: what was known of old ones was kept for ever.
    b = Bench()
    for i in range(50):
        old, new = line(100 + i, 0, api.EndpointState.REMOVED), line(101 + i, 0)
        b.do(api.EndpointUpdate(api.UpdateKind.DELTA, (new, old)))
    assert len(b.agg.endpoints.servers) <= 6


def test_invalid_events_are_ignored():
    b = Bench()
    nan, inf = math.nan, math.inf
    q, sends = b.query(ANY, cost=nan)
    b.do(
        api.AttemptCompleted(5, 0, 10, Outcome.OK, 1.0, (nan, -1.0)),
        api.AttemptCompleted(q + 1, 9, 10, Outcome.OK, -5.0, ()),
        api.HealthCheckCompleted(12345, Outcome.OK, 1.0, (inf,)),
        api.ClientDisconnected(987654),
        api.FollowUpParts(4321, (api.Part(50, 0, 1.0, None),)),
        api.PeerMessage(3, b"?"),
        api.AttemptStarted(5, 0, 10, 1.0),
        api.EndpointUpdate(api.UpdateKind.DELTA, ()),
        api.EndpointUpdate(api.UpdateKind.FAILED, ()),
    )
    q2, acts = b.query(ALL, parts=0)
    assert of(api.Reject, acts) == [api.Reject(q2, 0.0)]
    q3, acts = b.query(ALL, left=nan)
    assert of(api.Reject, acts) == [api.Reject(q3, 0.0)]
    b.query(ALL, shard=10_000)
    for _ in range(5):
        b.do(api.TimerFired(77))  # the clock stands still
