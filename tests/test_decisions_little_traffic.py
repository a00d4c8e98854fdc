"""What a broker that sees little of each server goes by: proven servers, and the success share of cells."""

from collections import Counter

from conftest import ALL, ANY, Bench, line, of

from badgerbend import api
from badgerbend.api import Outcome

TWO_EACH = [line(10 + i, i % 4) for i in range(8)]


def ask(b, cls=ALL, outcome=Outcome.OK, ms=40.0, shard=0, parts=4, left=3000.0):
    """One query to its end: each attempt ends so. Returns the servers it was sent to."""
    sent, (_, acts) = [], b.query(cls, parts=parts, shard=shard, left=left)
    while sends := of(api.Send, acts):
        sent += [a.node for a in sends]
        acts = b.wait(ms)
        for a in sends:
            acts += b.finish(a.part, outcome, b.attempts[a.part] - 1)
    return sent


def test_of_equal_servers_those_that_answered_come_first_and_now_and_then_another():
    # Each broker met each bad server of a cell in its turn: 30% of the parts at a zone's loss, and a handshake each.
    b = Bench(lines=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    sent = Counter()
    for _ in range(200):
        sent.update(ask(b, shard=0, parts=1))
    (_, most), (_, fewest) = sent.most_common()
    assert sum(sent.values()) == 200
    assert most > fewest > 0
    b = Bench(lines=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    turns, last = 0, None
    for _ in range(100):
        b.wait(1500.0)  # a broker with a query every few seconds for each cell
        (node,) = ask(b, shard=0, parts=1)
        turns, last = turns + (node != last), node
    assert turns < 40  # it was every second one
    b.wait(6000.0)  # what was seen so long ago proves nothing
    assert not any(b.agg.replicas.is_proven(n, b.now) for n in b.agg.endpoints.servers.values())


def test_a_proven_server_that_is_busy_or_slow_is_passed_over():
    b = Bench(lines=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    b.learn(ms=40.0)
    first = ask(b, parts=1)[0]
    b.query(ALL, parts=1)
    _, acts = b.query(ALL, parts=1)  # one of the two is out there
    out = [n.id for n in b.agg.endpoints.servers.values() if n.in_flight]
    assert sorted(out) == [10, 14]
    assert first in out
    for part in [a.part for a in of(api.Send, acts)]:
        b.finish(part)


def test_a_started_server_gets_what_it_may_be_sent_though_others_are_proven():
    b = Bench(
        lines=[line(10, 0), line(11, 0)], cell_count=1, cells_per_shard=1, slow_start_ms=3000.0, retry_budget_min=1000.0
    )
    for _ in range(60):
        ask(b, parts=1)
    b.do(api.EndpointUpdate(api.UpdateKind.DELTA, (line(12, 0, started=b.now),)))
    sent = Counter()
    for _ in range(60):
        sent.update(ask(b, parts=1))
    assert sent[12] > 60 * 0.2 / 3


def test_queries_that_need_all_parts_are_admitted_by_the_success_of_their_cells():
    # Two thirds of the work under a zone's loss went into queries that lost one part of ten.
    b = Bench(lines=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0, max_attempts=1)
    for _ in range(5):
        ask(b, parts=1, shard=2, outcome=Outcome.ERROR)
    rejected = sum(bool(of(api.Reject, b.query(ALL, parts=2, shard=2)[1])) for _ in range(40))
    assert 20 < rejected < 40  # now and then one is admitted, or nothing would be learned
    assert {a.reason for a in of(api.Reject, b.log)} >= {"more likely lost than answered"}
    assert not any(of(api.Reject, b.query(ALL, parts=2, shard=0)[1]) for _ in range(10))  # other cells
    assert not any(of(api.Reject, b.query(ANY, parts=4, shard=0)[1]) for _ in range(10))  # it can do without one
    b.wait(3500.0)  # all of these end, lost
    b.wait(40_000.0)
    assert b.agg.cells.share(2, b.now) > 0.95
    assert b.agg.cells.share(0, b.now) > 0.95


def test_an_answer_counts_for_a_cell_and_an_impatient_client_against_none():
    b = Bench(lines=TWO_EACH, cells_per_shard=1, retry_budget_min=1000.0)
    b.query(ALL, parts=1, shard=1, left=200.0)
    b.wait(400.0)
    assert of(api.Reject, b.log)
    assert b.agg.cells.share(1, b.now) == 1.0
    b.query(ALL, parts=1, shard=1)
    b.wait(3200.0)
    low = b.agg.cells.share(1, b.now)
    assert low < 0.7
    ask(b, parts=1, shard=1)
    assert b.agg.cells.share(1, b.now) > low + 0.1
