"""Replica choice: slow, full and hung servers, zones out of reach."""

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, Harness, actions_of, endpoint
from tests.harness_traffic import answer_all, run_traffic


def test_a_hung_server_gets_few_parts_and_these_are_hedged():
    # A fifth of the servers hung: hedged requests must answer queries within their latency objective, and a server that
    # owes an answer counts as busy by the time it has owed it, without any health check or ejection.
    harness = Harness()
    harness.learn_latency()
    before = len(harness.sent)
    run_traffic(harness, silent={10}, ms=4000.0)
    sent = [node for node, _ in list(harness.sent.values())[before:]]
    assert sent.count(10) < 0.1 * len(sent)
    assert len(actions_of(api.Answer, harness.actions)) >= harness.number - 20 - 4
    assert harness.aggregator.latency.late_ms < 1000.0
    assert not actions_of(api.StartHealthCheck, harness.actions)


def parts_by_server(harness, sends):
    """How many of the sends went to each server."""
    return {n: sum(1 for a in sends if a.node == n) for n in (10, 11, 12, 13)}


def test_a_full_server_does_not_draw_the_traffic():
    # It has none of our parts out, so fewest-out would pick it again at once.
    harness = Harness(retry_budget_min=1000.0)
    harness.learn_latency()
    _, sends = harness.query(ALL)
    full = [a for a in actions_of(api.Send, sends) if a.node == 10]
    harness.complete(full[0].part, Outcome.REJECTED)
    answer_all(harness)
    _, sends = harness.query(ALL, parts=3)
    assert parts_by_server(harness, actions_of(api.Send, sends))[10] == 0


def test_a_slow_server_counts_as_busier_and_is_tried_again_later():
    # With dozens of brokers a server sees few of our parts: its last answers must count while they are fresh.
    harness = Harness(hedging=False)
    harness.learn_latency()
    _, sends = harness.query(ALL)
    slow = next(a for a in actions_of(api.Send, sends) if a.node == 10)
    harness.advance(40.0)
    for a in actions_of(api.Send, sends):
        if a is not slow:
            harness.complete(a.part)
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


def test_work_a_part_does_not_grow_with_the_fleet():
    # At 90 servers walks over all of them for each part got a day cut off for CPU.
    looked = 0

    class Counting(dict):
        def values(self):
            nonlocal looked
            looked += len(self)
            return super().values()

    def walks(servers):
        nonlocal looked
        harness = Harness(endpoints=[endpoint(10 + i, i) for i in range(servers)], cell_count=servers)
        harness.learn_latency()
        harness.aggregator.endpoints.servers = Counting(harness.aggregator.endpoints.servers)
        looked = 0
        for _ in range(50):
            harness.query(ALL)
            answer_all(harness)
        return looked

    assert walks(200) == walks(8) == 0


def test_a_zone_out_of_reach_is_avoided_before_each_of_its_servers_was_tried():
    # Half the servers, a whole room, were silent at once: a broker with few parts lost one at each of them.
    endpoints = [api.Endpoint(10 + i, i % 4, api.EndpointState.READY, 0.0, i // 200, 0, 1.0) for i in range(400)]
    harness = Harness(endpoints=endpoints, retry_budget_min=1000.0)
    harness.learn_latency()
    silent = set(range(10, 210))
    run_traffic(harness, silent, ms=2500.0)
    before = len(harness.sent)
    run_traffic(harness, silent, ms=1000.0)
    sent = [node for node, _ in list(harness.sent.values())[before:]]
    assert sum(node in silent for node in sent) < 0.1 * len(sent)
