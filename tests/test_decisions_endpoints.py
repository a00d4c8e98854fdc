"""The endpoint list, its polls, and events that should not be but are."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, ANY, Harness, actions_of, endpoint


def test_a_drain_counts_for_all_that_is_decided_in_its_step():
    harness = Harness(
        endpoints=[endpoint(10, 0), endpoint(11, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0
    )
    harness.learn_latency(queries=10)
    _, sends = harness.query(ALL, parts=1)
    (first,) = actions_of(api.Send, sends)
    harness.advance(20.0)
    other = 21 - first.node
    failed = api.AttemptCompleted(first.part, 0, first.node, Outcome.ERROR, 20.0, ())
    drain = api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(other, 0, api.EndpointState.DRAINING),))
    assert all(a.node != other for a in actions_of(api.Send, harness.step(failed, drain)))


def test_failed_polls_of_the_list_back_off():
    # Each of seventy brokers polled again at every failure, 150 times each, and so few ever got an answer.
    harness = Harness(polls_endpoint_list=True)
    harness.advance(40.0)
    assert actions_of(api.FollowEndpointList, harness.actions) == [api.FollowEndpointList(True)]
    calls = []
    for _ in range(8):
        harness.actions.clear()
        assert not actions_of(api.FollowEndpointList, harness.step(api.EndpointUpdate(api.UpdateKind.FAILED, ())))
        began = harness.now
        while not actions_of(api.FollowEndpointList, harness.actions):
            harness.advance(100.0)
        calls.append(harness.now - began)
    assert calls[0] < 1500.0
    assert 4900.0 <= calls[-1] <= 11_000.0
    assert sum(calls) > 20_000.0
    harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, ()))
    harness.actions.clear()
    harness.advance(30_000.0)
    assert not actions_of(api.FollowEndpointList, harness.actions)  # subscribed
    harness.step(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
    harness.advance(1500.0)
    assert actions_of(api.FollowEndpointList, harness.actions)  # the subscription broke


def test_a_poll_of_the_list_that_is_never_answered_is_repeated():
    harness = Harness(polls_endpoint_list=True)
    harness.advance(9000.0)
    assert len(actions_of(api.FollowEndpointList, harness.actions)) == 2


def test_polls_go_on_however_often_they_failed():
    # 2.0 to the number of failed polls overflowed after 1,024 of them, half an hour or more without discovery.
    harness = Harness(polls_endpoint_list=True)
    for _ in range(1100):
        harness.step(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
    harness.actions.clear()
    harness.advance(10_000.0)  # the longest backoff
    assert actions_of(api.FollowEndpointList, harness.actions)


def test_servers_that_left_are_forgotten():
    # Releases bring new ids: what was known of old ones was kept for ever.
    harness = Harness()
    for i in range(50):
        old, new = endpoint(100 + i, 0, api.EndpointState.REMOVED), endpoint(101 + i, 0)
        harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (new, old)))
    assert len(harness.aggregator.endpoints.servers) <= 6


def test_invalid_events_are_ignored():
    harness = Harness()
    nan, inf = math.nan, math.inf
    q, sends = harness.query(ANY, cost_ms=nan)
    harness.step(
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
    q2, actions = harness.query(ALL, parts=0)
    assert actions_of(api.Reject, actions) == [api.Reject(q2, 0.0)]
    q3, actions = harness.query(ALL, time_left_ms=nan)
    assert actions_of(api.Reject, actions) == [api.Reject(q3, 0.0)]
    harness.query(ALL, shard=10_000)
    for _ in range(5):
        harness.step(api.TimerFired(77))  # the clock stands still
