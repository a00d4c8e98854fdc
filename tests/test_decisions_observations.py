"""Observations of peers affect only the choice of servers, and only until the first answer to this broker."""

import pytest
from conftest import ALL, ANY, Harness, endpoint

from badgerbend import api


def learn(harness, *observed, answers=()):
    """Delivers observations of peers. observed: node, response time and age of each server."""
    harness.step(api.Observations(tuple(api.EndpointObservation(*row, False) for row in observed), tuple(answers)))


def test_a_peers_observation_is_used_only_until_the_first_own_answer():
    harness = Harness()
    learn(harness, (10, 300.0, 100.0), answers=[(200.0, 20.0, False)] * 30)
    server = harness.aggregator.endpoints.servers[10]
    assert harness.aggregator.latency.late_ms == 60.0
    assert server.peer_observed
    assert server.response_time_ms == 300.0
    # Observations of peers are never exported.
    assert harness.aggregator.observations() == api.Observations((), ())
    server.response_time_ms = 25.0
    server.response_time_at_ms = harness.now - 5000.0
    server.peer_observed = False
    learn(harness, (10, 300.0, 0.0))
    assert server.response_time_ms == 25.0  # the own answer is five seconds old, the observation is new


def test_an_old_observation_decays_and_old_answers_are_not_imported():
    harness = Harness()
    learn(harness, (10, 300.0, 300_000.0), answers=[(300_000.0, 20.0, False)] * 30)
    assert harness.aggregator.latency.late_ms == 0.0
    assert not harness.aggregator.latency.distribution.latencies_ms
    harness.aggregator.latency.typical_ms = 20.0
    server = harness.aggregator.endpoints.servers[10]
    assert harness.aggregator.latency.response_time_ms(server, harness.now) == pytest.approx(20.0, abs=0.1)


def test_an_observation_from_before_a_servers_start_is_not_used():
    harness = Harness(endpoints=[endpoint(10, 0, started_ms=900.0)])
    learn(harness, (10, 300.0, 500.0))  # observed at 500; the server started at 900, and it is 1000 now
    assert not harness.aggregator.endpoints.servers[10].peer_observed


def test_an_observation_affects_the_choice_of_servers_and_nothing_else():
    def sends(informed):
        harness = Harness()
        if informed:
            learn(harness, (10, 400.0, 0.0), answers=[(100.0, 20.0, False)] * 30)
        before = len(harness.actions)
        for _ in range(12):
            harness.query(ALL)
        sent = [a for a in harness.actions[before:] if isinstance(a, api.Send)]
        return sum(1 for a in sent if a.node == 10), len(sent)

    (without, all_without) = sends(False)
    (informed, all_informed) = sends(True)
    assert informed < without
    assert all_informed == all_without
    assert ANY != ALL


def test_own_observations_are_exported_with_their_age():
    harness = Harness()
    _, actions = harness.query(ALL)
    harness.advance(30.0)
    for send in [a for a in actions if isinstance(a, api.Send)]:
        harness.complete(send.part)
    harness.advance(1000.0)
    exported = harness.aggregator.observations()
    assert exported.nodes
    assert all(s.age_ms >= 999.0 and not s.is_down for s in exported.nodes)
    assert all(latency_ms >= 29.0 and age_ms >= 999.0 for age_ms, latency_ms, _ in exported.answers)


# -- invariants that no observation may break


def test_a_draining_or_removed_server_remains_so_whatever_a_peer_has_observed():
    harness = Harness()
    harness.step(
        api.EndpointUpdate(
            api.UpdateKind.DELTA,
            (endpoint(10, 0, api.EndpointState.DRAINING), endpoint(11, 1, api.EndpointState.REMOVED)),
        )
    )
    before = len(harness.actions)
    learn(harness, (10, 1.0, 0.0), (11, 1.0, 0.0), (99, 1.0, 0.0))
    for _ in range(10):
        harness.query(ALL, parts=2, shard=2)
    assert {a.node for a in harness.actions[before:] if isinstance(a, api.Send)} <= {12, 13}
    assert 99 not in harness.aggregator.endpoints.servers  # a server that only a peer has reported


@pytest.mark.parametrize("observed_ms", [0.0, 1.0, 1e6])
def test_many_new_brokers_that_learn_the_same_do_not_overload_a_server_in_slow_start(observed_ms):
    """Six brokers must together stay within the limit of the one among four servers that is warming up."""
    sent = 0
    for seed in range(6):
        endpoints = [endpoint(10 + c, c) for c in range(3)] + [endpoint(13, 3, started_ms=1000.0)]
        harness = Harness(
            endpoints, seed=seed, broker_count=6, overload_factor=2.0, slow_start_from=0.2, slow_start_ms=10_000.0
        )
        if observed_ms:
            harness.now += 1.0
            healthy = [(node, 20.0, 0.5) for node in (10, 11, 12)]
            learn(harness, *healthy, (13, observed_ms, 0.5), answers=[(0.5, 20.0, False)] * 30)
        before = len(harness.actions)
        for _ in range(20):  # 20 queries of 4 parts in a second: 20 parts per server if all were warm
            _, actions = harness.query(ALL)
            harness.advance(20.0)
            for send in [a for a in actions if isinstance(a, api.Send)]:
                harness.complete(send.part)
            harness.advance(30.0)
        sent += sum(1 for a in harness.actions[before:] if isinstance(a, api.Send) and a.node == 13)
    warm = 6 * 20  # parts that all brokers send to a warm server in that second
    assert sent <= 2.0 * 0.3 * warm  # the limit at the capacity that the server reaches by then
