"""What a broker that sees little of each server goes by: proven servers, and the success share of cells."""

from collections import Counter

from conftest import ALL, ANY, Harness, actions_of, endpoint

from badgerbend import api
from badgerbend.api import Outcome

TWO_EACH = [endpoint(10 + i, i % 4) for i in range(8)]


def ask(harness, cls=ALL, outcome=Outcome.OK, ms=40.0, shard=0, parts=4, left=3000.0):
    """One query to its end: each attempt ends so. Returns the servers it was sent to."""
    sent, (_, actions) = [], harness.query(cls, parts=parts, shard=shard, time_left_ms=left)
    while sends := actions_of(api.Send, actions):
        sent += [a.node for a in sends]
        actions = harness.advance(ms)
        for a in sends:
            actions += harness.complete(a.part, outcome, harness.attempts[a.part] - 1)
    return sent


def test_of_equal_servers_those_that_answered_come_first_and_now_and_then_another():
    # Each broker met each bad server of a cell in its turn: 30% of the parts at a zone's loss, and a handshake each.
    harness = Harness(endpoints=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    sent = Counter()
    for _ in range(200):
        sent.update(ask(harness, shard=0, parts=1))
    (_, most), (_, fewest) = sent.most_common()
    assert sum(sent.values()) == 200
    assert most > fewest > 0
    harness = Harness(endpoints=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    turns, last = 0, None
    for _ in range(100):
        harness.advance(1500.0)  # a broker with a query every few seconds for each cell
        (node,) = ask(harness, shard=0, parts=1)
        turns, last = turns + (node != last), node
    assert turns < 40  # it was every second one
    harness.advance(6000.0)  # what was seen so long ago proves nothing
    assert not any(
        harness.aggregator.replicas.is_proven(n, harness.now) for n in harness.aggregator.endpoints.servers.values()
    )


def test_a_proven_server_that_is_busy_or_slow_is_passed_over():
    harness = Harness(endpoints=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    harness.learn_latency(latency_ms=40.0)
    first = ask(harness, parts=1)[0]
    harness.query(ALL, parts=1)
    _, actions = harness.query(ALL, parts=1)  # one of the two is out there
    out = [n.id for n in harness.aggregator.endpoints.servers.values() if n.in_flight]
    assert sorted(out) == [10, 14]
    assert first in out
    for part in [a.part for a in actions_of(api.Send, actions)]:
        harness.complete(part)


def test_a_started_server_gets_what_it_may_be_sent_though_others_are_proven():
    harness = Harness(
        endpoints=[endpoint(10, 0), endpoint(11, 0)],
        cell_count=1,
        cells_per_shard=1,
        slow_start_ms=3000.0,
        retry_budget_min=1000.0,
    )
    for _ in range(60):
        ask(harness, parts=1)
    harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(12, 0, started_ms=harness.now),)))
    sent = Counter()
    for _ in range(60):
        sent.update(ask(harness, parts=1))
    assert sent[12] > 60 * 0.2 / 3


def test_queries_that_need_all_parts_are_admitted_by_the_success_of_their_cells():
    # Two thirds of the work under a zone's loss went into queries that lost one part of ten.
    harness = Harness(endpoints=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0, max_attempts=1)
    for _ in range(5):
        ask(harness, parts=1, shard=2, outcome=Outcome.ERROR)
    rejected = sum(bool(actions_of(api.Reject, harness.query(ALL, parts=2, shard=2)[1])) for _ in range(40))
    assert 20 < rejected < 40  # now and then one is admitted, or nothing would be learned
    assert {a.reason for a in actions_of(api.Reject, harness.actions)} >= {"more likely lost than answered"}
    assert not any(actions_of(api.Reject, harness.query(ALL, parts=2, shard=0)[1]) for _ in range(10))  # other cells
    assert not any(
        actions_of(api.Reject, harness.query(ANY, parts=4, shard=0)[1]) for _ in range(10)
    )  # it can do without one
    harness.advance(3500.0)  # all of these end, lost
    harness.advance(40_000.0)
    assert harness.aggregator.cells.share(2, harness.now) > 0.95
    assert harness.aggregator.cells.share(0, harness.now) > 0.95


def test_an_answer_counts_for_a_cell_and_an_impatient_client_against_none():
    harness = Harness(endpoints=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    harness.query(ALL, parts=1, shard=1, time_left_ms=200.0)
    harness.advance(400.0)
    assert actions_of(api.Reject, harness.actions)
    assert harness.aggregator.cells.share(1, harness.now) == 1.0
    harness.query(ALL, parts=1, shard=1)
    harness.advance(3200.0)
    low = harness.aggregator.cells.share(1, harness.now)
    assert low < 0.7
    ask(harness, parts=1, shard=1)
    assert harness.aggregator.cells.share(1, harness.now) > low + 0.1
