"""The endpoint list, polls of discovery, and invalid events."""

import math

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, ANY, Harness, actions_of, endpoint


def test_a_drain_applies_to_all_decisions_of_its_step():
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
    assert all(send.node != other for send in actions_of(api.Send, harness.step(failed, drain)))


def test_failed_polls_of_the_list_back_off():
    # When seventy brokers repeated every failed poll at once, 150 times each, few of them ever got an answer.
    harness = Harness(polls_endpoint_list=True)
    harness.advance(40.0)
    assert actions_of(api.FollowEndpointList, harness.actions) == [api.FollowEndpointList(True)]
    intervals = []
    for _ in range(8):
        harness.actions.clear()
        assert not actions_of(api.FollowEndpointList, harness.step(api.EndpointUpdate(api.UpdateKind.FAILED, ())))
        began = harness.now
        while not actions_of(api.FollowEndpointList, harness.actions):
            harness.advance(100.0)
        intervals.append(harness.now - began)
    assert intervals[0] < 1500.0
    assert 4900.0 <= intervals[-1] <= 11_000.0
    assert sum(intervals) > 20_000.0
    harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, ()))
    harness.actions.clear()
    harness.advance(30_000.0)
    assert not actions_of(api.FollowEndpointList, harness.actions)  # the list is watched
    harness.step(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
    harness.advance(1500.0)
    assert actions_of(api.FollowEndpointList, harness.actions)  # the watch broke


def test_a_poll_of_the_list_that_is_never_answered_is_repeated():
    harness = Harness(polls_endpoint_list=True)
    harness.advance(9000.0)
    assert len(actions_of(api.FollowEndpointList, harness.actions)) == 2


def test_polls_go_on_however_often_they_failed():
    # 2.0 to the power of the number of failed polls overflowed after 1,024 of them, which takes half an hour or more
    # without discovery.
    harness = Harness(polls_endpoint_list=True)
    for _ in range(1100):
        harness.step(api.EndpointUpdate(api.UpdateKind.FAILED, ()))
    harness.actions.clear()
    harness.advance(10_000.0)  # the longest backoff
    assert actions_of(api.FollowEndpointList, harness.actions)


def test_removed_servers_are_forgotten():
    # Deployments bring servers with new numbers: the state of removed servers was kept forever.
    harness = Harness()
    for i in range(50):
        old, new = endpoint(100 + i, 0, api.EndpointState.REMOVED), endpoint(101 + i, 0)
        harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (new, old)))
    assert len(harness.aggregator.endpoints.servers) <= 6


def test_invalid_events_are_ignored():
    harness = Harness()
    nan, inf = math.nan, math.inf
    query_id, sends = harness.query(ANY, cost_ms=nan)
    harness.step(
        api.AttemptCompleted(5, 0, 10, Outcome.OK, 1.0, (nan, -1.0)),
        api.AttemptCompleted(query_id + 1, 9, 10, Outcome.OK, -5.0, ()),
        api.HealthCheckCompleted(12345, Outcome.OK, 1.0, (inf,)),
        api.ClientDisconnected(987654),
        api.FollowUpParts(4321, (api.Part(50, 0, 1.0, None),)),
        api.PeerMessage(3, b"?"),
        api.AttemptStarted(5, 0, 10, 1.0),
        api.EndpointUpdate(api.UpdateKind.DELTA, ()),
        api.EndpointUpdate(api.UpdateKind.FAILED, ()),
    )
    second_id, actions = harness.query(ALL, parts=0)
    assert actions_of(api.Reject, actions) == [api.Reject(second_id, 0.0)]
    third_id, actions = harness.query(ALL, time_left_ms=nan)
    assert actions_of(api.Reject, actions) == [api.Reject(third_id, 0.0)]
    harness.query(ALL, shard=10_000)
    for _ in range(5):
        harness.step(api.TimerFired(77))  # without advancing the clock
