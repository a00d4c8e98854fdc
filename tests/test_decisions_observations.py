"""What the decisions make of a prior from peers: it moves a choice until the first own answer, and nothing else."""

import pytest
from conftest import ALL, ANY, Harness, endpoint

from badgerbend import api


def learn(harness, *seen, answers=()):
    harness.step(api.Observations(tuple(api.EndpointObservation(*s, False) for s in seen), tuple(answers)))


def test_a_prior_is_used_where_nothing_was_observed_until_the_first_own_answer():
    harness = Harness()
    learn(harness, (10, 300.0, 100.0), answers=[(200.0, 20.0, False)] * 30)
    node = harness.aggregator.endpoints.servers[10]
    assert harness.aggregator.latency.late_ms == 60.0
    assert node.peer_observed
    assert node.response_time_ms == 300.0
    assert harness.aggregator.observations() == api.Observations(
        (), ()
    )  # what was learned from peers is never passed on
    node.response_time_ms = 25.0
    node.response_time_at_ms = harness.now - 5000.0
    node.peer_observed = False
    learn(harness, (10, 300.0, 0.0))
    assert node.response_time_ms == 25.0  # a fresh prior against an own answer of five seconds ago


def test_an_old_prior_fades_as_own_old_answers_do_and_answers_end_with_their_window():
    harness = Harness()
    learn(harness, (10, 300.0, 300_000.0), answers=[(300_000.0, 20.0, False)] * 30)
    assert harness.aggregator.latency.late_ms == 0.0
    assert not harness.aggregator.latency.distribution.latencies_ms
    harness.aggregator.latency.typical_ms = 20.0
    server = harness.aggregator.endpoints.servers[10]
    assert harness.aggregator.latency.response_time_ms(server, harness.now) == pytest.approx(20.0, abs=0.1)


def test_a_prior_of_before_a_servers_start_is_not_used():
    harness = Harness(endpoints=[endpoint(10, 0, started_ms=900.0)])
    learn(harness, (10, 300.0, 500.0))  # seen at 500, the server started at 900; it is 1000 now
    assert not harness.aggregator.endpoints.servers[10].peer_observed


def test_a_prior_moves_the_choice_and_nothing_else():
    def sends(told):
        harness = Harness()
        if told:
            learn(harness, (10, 400.0, 0.0), answers=[(100.0, 20.0, False)] * 30)
        before = len(harness.actions)
        for _ in range(12):
            harness.query(ALL)
        sent = [a for a in harness.actions[before:] if isinstance(a, api.Send)]
        return sum(1 for a in sent if a.node == 10), len(sent)

    (cold, all_cold) = sends(False)
    (told, all_told) = sends(True)
    assert told < cold
    assert all_told == all_cold
    assert ANY != ALL


def test_own_observations_are_exported_with_their_age():
    harness = Harness()
    _, actions = harness.query(ALL)
    harness.advance(30.0)
    for send in [a for a in actions if isinstance(a, api.Send)]:
        harness.complete(send.part)
    harness.advance(1000.0)
    known = harness.aggregator.observations()
    assert known.nodes
    assert all(s.age_ms >= 999.0 and not s.is_down for s in known.nodes)
    assert all(ms >= 29.0 and age >= 999.0 for age, ms, _ in known.answers)


# -- the rules that no prior may break
def test_a_server_that_is_draining_or_removed_stays_so_whatever_a_peer_states():
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
    assert 99 not in harness.aggregator.endpoints.servers  # a server that only a peer names


@pytest.mark.parametrize("told", [0.0, 1.0, 1e6])
def test_many_new_brokers_that_learn_the_same_do_not_overload_a_server_in_slow_start(told):
    """Six brokers, one cold server among four: what they send it together stays under its share of the bound."""
    sent = 0
    for seed in range(6):
        endpoints = [endpoint(10 + c, c) for c in range(3)] + [endpoint(13, 3, started_ms=1000.0)]
        harness = Harness(
            endpoints, seed=seed, broker_count=6, overload_factor=2.0, slow_start_from=0.2, slow_start_ms=10_000.0
        )
        if told:
            harness.now += 1.0
            sound = [(node, 20.0, 0.5) for node in (10, 11, 12)]
            learn(harness, *sound, (13, told, 0.5), answers=[(0.5, 20.0, False)] * 30)
        before = len(harness.actions)
        for _ in range(20):  # 20 queries of 4 parts in a second: 20 parts a server if all were warm
            _, actions = harness.query(ALL)
            harness.advance(20.0)
            for send in [a for a in actions if isinstance(a, api.Send)]:
                harness.complete(send.part)
            harness.advance(30.0)
        sent += sum(1 for a in harness.actions[before:] if isinstance(a, api.Send) and a.node == 13)
    warm = 6 * 20  # what a warm server is sent by all in that second
    assert sent <= 2.0 * 0.3 * warm  # the bound at the warmth it reaches by then
