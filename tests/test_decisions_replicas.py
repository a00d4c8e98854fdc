"""Choice of replicas: slow, full and hung servers, and unreachable zones."""

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, Harness, actions_of, endpoint
from tests.harness_traffic import answer_all, run_traffic


def test_a_hung_server_gets_few_parts_and_these_are_hedged():
    # With hung servers, hedged requests must answer queries within their latency objective. A server counts as busier
    # the older its oldest attempt in flight is, without any health check or ejection.
    harness = Harness()
    harness.learn_latency()
    before = len(harness.sent)
    run_traffic(harness, silent={10}, duration_ms=4000.0)
    sent = [node for node, _ in list(harness.sent.values())[before:]]
    assert sent.count(10) < 0.1 * len(sent)
    assert len(actions_of(api.Answer, harness.actions)) >= harness.number - 20 - 4
    assert harness.aggregator.latency.late_ms < 1000.0
    assert not actions_of(api.StartHealthCheck, harness.actions)


def parts_by_server(harness, sends):
    """The number of sends to each server."""
    return {n: sum(1 for send in sends if send.node == n) for n in (10, 11, 12, 13)}


def test_a_full_server_does_not_draw_the_traffic():
    # A server that rejects parts has none in flight, so that by calls in flight alone it would be chosen again at once.
    harness = Harness(retry_budget_min=1000.0)
    harness.learn_latency()
    _, sends = harness.query(ALL)
    full = [send for send in actions_of(api.Send, sends) if send.node == 10]
    harness.complete(full[0].part, Outcome.REJECTED)
    answer_all(harness)
    _, sends = harness.query(ALL, parts=3)
    assert parts_by_server(harness, actions_of(api.Send, sends))[10] == 0


def test_a_slow_server_counts_as_busier_and_is_tried_again_later():
    # With dozens of brokers, each sends few parts to a server: its recent answers must count while they are fresh.
    harness = Harness(hedging=False)
    harness.learn_latency()
    _, sends = harness.query(ALL)
    slow = next(send for send in actions_of(api.Send, sends) if send.node == 10)
    harness.advance(40.0)
    for send in actions_of(api.Send, sends):
        if send is not slow:
            harness.complete(send.part)
    harness.advance(300.0)
    harness.complete(slow.part)
    answer_all(harness)
    for _ in range(5):
        _, sends = harness.query(ALL, parts=3)
        assert parts_by_server(harness, actions_of(api.Send, sends))[10] == 0
        harness.advance(40.0)
        answer_all(harness)
    harness.learn_latency()
    harness.advance(40_000.0)
    _, sends = harness.query(ALL)
    assert parts_by_server(harness, actions_of(api.Send, sends))[10] == 1


def test_work_per_part_does_not_grow_with_the_fleet():
    # Iterating over all servers for each part used too much CPU time with 90 servers.
    visited = 0

    class Counting(dict):
        def values(self):
            nonlocal visited
            visited += len(self)
            return super().values()

    def visits(servers):
        nonlocal visited
        harness = Harness(endpoints=[endpoint(10 + i, i) for i in range(servers)], cell_count=servers)
        harness.learn_latency()
        harness.aggregator.endpoints.servers = Counting(harness.aggregator.endpoints.servers)
        visited = 0
        for _ in range(50):
            harness.query(ALL)
            answer_all(harness)
        return visited

    assert visits(200) == visits(8) == 0


def test_an_unreachable_zone_is_avoided_before_each_of_its_servers_was_tried():
    # When a whole zone with half of the servers fell silent, a broker with few parts lost one part at each of them.
    endpoints = [api.Endpoint(10 + i, i % 4, api.EndpointState.READY, 0.0, i // 200, 0, 1.0) for i in range(400)]
    harness = Harness(endpoints=endpoints, retry_budget_min=1000.0)
    harness.learn_latency()
    silent = set(range(10, 210))
    run_traffic(harness, silent, duration_ms=2500.0)
    before = len(harness.sent)
    run_traffic(harness, silent, duration_ms=1000.0)
    sent = [node for node, _ in list(harness.sent.values())[before:]]
    assert sum(node in silent for node in sent) < 0.1 * len(sent)
