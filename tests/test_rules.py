"""One test or more for each of the six rules; each fails when its guard is taken out."""

from conftest import ALL, ANY, FLOOR, KEY, ONCE, SETTINGS, TWO, Bench, line, of

from badgerbend import api
from badgerbend.api import Outcome


def test_no_answer_still_ends_the_query_before_its_time_is_up():
    b = Bench()
    q, _ = b.query(ALL, left=700.0)
    acts = b.wait(700.0)
    ends = [a for a in acts if isinstance(a, api.Refuse | api.Fail | api.Answer)]
    assert ends == [api.Refuse(q, 0.0)]
    assert not of(api.Send, b.wait(500.0))


def test_an_answered_query_ends_once_and_sends_nothing_more():
    b = Bench()
    q, sends = b.query(ALL)
    for a in of(api.Send, sends):
        b.finish(a.part)
    assert of(api.Answer, b.log) == [api.Answer(q, True)]
    b.log.clear()
    b.wait(4000.0)
    assert not [a for a in b.log if isinstance(a, api.Send | api.Answer | api.Refuse | api.Fail)]


def test_unsafe_part_that_may_have_run_is_not_sent_again_nor_refused():
    b = Bench()
    q, sends = b.query(ONCE, parts=1, left=800.0)
    part = of(api.Send, sends)[0].part
    b.finish(part, Outcome.RESET)
    acts = b.wait(800.0)
    assert not of(api.Send, acts)
    assert of(api.Fail, acts) == [api.Fail(q)] and not of(api.Refuse, acts)


def test_unsafe_part_proven_not_to_have_run_is_sent_again():
    b = Bench()
    _, sends = b.query(ONCE, parts=1)
    part = of(api.Send, sends)[0].part
    assert [a.part for a in of(api.Send, b.finish(part, Outcome.FULL))] == [part]


def test_keyed_part_is_repeated_only_within_its_window():
    b = Bench()
    _, sends = b.query(KEY, parts=1)
    part = of(api.Send, sends)[0].part
    b.wait(390.0)
    assert not of(api.Send, b.finish(part, Outcome.ERROR))
    assert not of(api.Send, b.wait(1000.0))
    _, sends = b.query(KEY, parts=1)
    part = of(api.Send, sends)[0].part
    b.wait(100.0)
    assert of(api.Send, b.finish(part, Outcome.ERROR))


def test_nothing_goes_to_a_draining_gone_or_missing_node():
    for news in (
        api.View(api.ViewKind.DELTA, (line(10, 0, api.NodeState.DRAINING),)),
        api.View(api.ViewKind.DELTA, (line(10, 0, api.NodeState.GONE),)),
        api.View(api.ViewKind.FULL, tuple(line(10 + c, c) for c in range(1, 4))),
    ):
        b = Bench()
        b.do(news)
        sends = [a for _ in range(10) for a in of(api.Send, b.query(ALL)[1])]
        assert sends and all(a.node != 10 for a in sends)


def test_a_cold_node_gets_no_more_than_a_part_of_what_a_warm_one_gets():
    b = Bench()
    b.learn()
    b.do(api.View(api.ViewKind.DELTA, (line(10, 0, started=b.now),)))
    counts = {10: 0, 11: 0, 12: 0, 13: 0}
    start = b.now
    while b.now < start + 2000:
        _, sends = b.query(ALL)
        for a in of(api.Send, sends):
            counts[a.node] += 1
        b.wait(60.0)
        for a in of(api.Send, sends):
            b.finish(a.part)
    warm = min(counts[n] for n in (11, 12, 13))
    assert 0 < counts[10] < 0.4 * warm


def test_answer_rests_on_weight_not_on_count():
    b = Bench()
    q, sends = b.query(ANY, weights=[0.4, 0.3, 0.2, 0.1])
    ids = {a.part - q - 1: a.part for a in of(api.Send, sends)}
    assert not of(api.Answer, b.finish(ids[3]))
    assert not of(api.Answer, b.finish(ids[2]))
    assert of(api.Answer, b.finish(ids[1])) == [api.Answer(q, True)]


def test_a_repeated_outcome_counts_once():
    b = Bench()
    q, sends = b.query(ANY)
    part = of(api.Send, sends)[0].part
    b.finish(part)
    assert not of(api.Answer, b.finish(part))


def test_below_the_floor_no_answer_above_it_one_not_marked_whole():
    b = Bench()
    q, sends = b.query(FLOOR, left=900.0)
    parts = [a.part for a in of(api.Send, sends)]
    b.finish(parts[0])
    b.finish(parts[1])
    assert of(api.Answer, b.wait(900.0)) == [api.Answer(q, False)]
    q, sends = b.query(FLOOR, left=900.0)
    b.finish(of(api.Send, sends)[0].part)
    acts = b.wait(900.0)
    assert not of(api.Answer, acts) and of(api.Refuse, acts)


def test_second_step_is_whole_only_when_all_of_it_landed():
    b = Bench()
    q, sends = b.query(TWO)
    for a in of(api.Send, sends):
        b.finish(a.part)
    assert of(api.Answer, b.log) == [api.Answer(q, True)]
    b.log.clear()
    more = (api.Part(901, 0, 0.5, None), api.Part(902, 1, 0.5, None))
    sends = of(api.Send, b.do(api.MoreParts(b.number, more)))
    assert {a.part for a in sends} == {901, 902}
    assert not of(api.Answer, b.finish(901))
    assert of(api.Answer, b.finish(902)) == [api.Answer(q, True)]


def test_further_attempts_stay_within_the_budget():
    b = Bench()
    taken, extra = 0, 0
    for _ in range(20):
        _, sends = b.query(ALL)
        taken += 5
        todo = of(api.Send, sends)
        while todo:
            a = todo.pop()
            again = of(api.Send, b.finish(a.part, Outcome.FULL, b.tries[a.part] - 1))
            extra += len(again)
            todo += again
    assert 5 <= extra <= SETTINGS.extra_free + SETTINGS.extra_share * taken


def test_attempts_for_one_part_stay_within_their_limit():
    b = Bench(extra_free=1000.0)
    _, sends = b.query(ALL, parts=1)
    part = of(api.Send, sends)[0].part
    for n in range(SETTINGS.max_attempts):
        b.finish(part, Outcome.FULL, n)
    b.wait(1000.0)
    assert b.tries[part] == SETTINGS.max_attempts
