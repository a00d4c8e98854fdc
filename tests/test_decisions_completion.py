"""How queries end: partial answers, hopeless queries, the final answer in time."""

from dataclasses import replace

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, ANY, FLOOR, KEY, SETTINGS, Bench, line, of


def test_the_final_answer_comes_by_a_timer_at_the_very_end_of_a_query():
    # A look every 20 ms came too late for the end, so 30 ms of a client's time were kept back: a tenth of what
    # impatient clients wait in all.
    b = Bench()
    began = b.now
    q, acts = b.query(ALL, left=503.0)
    while not of(api.Reject, acts):
        assert b.now < began + 493.0
        b.now += min(a.after_ms for a in of(api.SetTimer, acts))
        acts = b.do(api.TimerFired(0))
    assert b.now == began + 493.0
    assert of(api.Reject, acts) == [api.Reject(q, 0.0)]


def test_a_rejection_has_a_retry_after_where_clients_obey_it():
    b = Bench(retry_after=True)
    q, acts = b.query(ALL, parts=0)
    assert of(api.Reject, acts) == [api.Reject(q, 1000.0)]


def test_an_idempotent_query_whose_parts_may_have_run_fails_and_is_not_rejected():
    b = Bench()
    q, _ = b.query(KEY, left=500.0)
    assert of(api.Fail, b.wait(500.0)) == [api.Fail(q)]


def test_a_client_that_disconnects_ends_its_query():
    b = Bench()
    q, _ = b.query(ALL)
    acts = b.do(api.ClientDisconnected(q))
    assert len(of(api.Cancel, acts)) == 4
    assert not of(api.Reject, acts)
    assert not of(api.Send, b.wait(3000.0))


def test_a_partial_answer_is_given_at_the_latency_objective():
    # It waited for the last of many parts until its time was up, worth nothing where nine tenths were in.
    b = Bench()
    q, sends = b.query(FLOOR)
    for a in of(api.Send, sends)[:3]:
        b.finish(a.part)
    assert not of(api.Answer, b.wait(900.0))
    assert of(api.Answer, b.wait(100.0)) == [api.Answer(q, False)]


def test_a_partial_first_answer_is_early_enough_for_its_second_step_and_never_made_complete():
    b = Bench(classes=(replace(SETTINGS.classes[FLOOR], follow_up_parts=2),))
    b.learn()
    b.log.clear()
    number = b.number + 1
    q, sends = b.query(ALL)
    for a in of(api.Send, sends)[:3]:
        b.finish(a.part)
    b.wait(1000.0 - b.agg.latency.late_ms)
    assert of(api.Answer, b.log) == [api.Answer(q, False)]
    more = (api.Part(901, 0, 0.5, None), api.Part(902, 1, 0.5, None))
    b.do(api.FollowUpParts(number, more))
    b.finish(901)
    b.finish(902)
    assert of(api.Answer, b.log) == [api.Answer(q, False)] * 2


def test_a_late_complete_answer_that_is_worth_more_is_waited_for():
    b = Bench(classes=(replace(SETTINGS.classes[FLOOR], partial_value=0.5, late_value_share=0.6),))
    q, sends = b.query(ALL)
    for a in of(api.Send, sends)[:3]:
        b.finish(a.part)
    assert not of(api.Answer, b.wait(1500.0))
    assert of(api.Answer, b.finish(of(api.Send, sends)[3].part)) == [api.Answer(q, True)]


def test_a_query_whose_attempts_are_exhausted_is_ended_at_once():
    # It was kept until its time was nearly up, though no attempt was left: the client could have asked again.
    b = Bench(lines=[line(10, 0)], cell_count=1, cells_per_shard=1, retry_budget_min=1000.0)
    q, sends = b.query(ALL, parts=2)
    part, acts = of(api.Send, sends)[0].part, []
    for n in range(SETTINGS.max_attempts):
        acts = b.finish(part, Outcome.ERROR, n)
    assert of(api.Reject, acts) == [api.Reject(q, 0.0)]
    q, sends = b.query(ANY, parts=4)  # the other parts still make a complete answer
    for n in range(SETTINGS.max_attempts):
        acts = b.finish(of(api.Send, sends)[0].part, Outcome.ERROR, n)
    assert not of(api.Reject, acts)
    assert q in b.agg.queries.by_id
