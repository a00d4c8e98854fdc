"""How queries end: partial answers, hopeless queries, the final answer in time."""

from dataclasses import replace

from badgerbend import api
from badgerbend.api import Outcome
from tests.conftest import ALL, ANY, KEYED, PARTIAL, SETTINGS, Harness, actions_of, endpoint


def test_the_final_answer_comes_by_a_timer_at_the_very_end_of_a_query():
    # A look every 20 ms came too late for the end, so 30 ms of a client's time were kept back: a tenth of what
    # impatient clients wait in all.
    harness = Harness()
    began = harness.now
    q, actions = harness.query(ALL, time_left_ms=503.0)
    while not actions_of(api.Reject, actions):
        assert harness.now < began + 493.0
        harness.now += min(a.after_ms for a in actions_of(api.SetTimer, actions))
        actions = harness.step(api.TimerFired(0))
    assert harness.now == began + 493.0
    assert actions_of(api.Reject, actions) == [api.Reject(q, 0.0)]


def test_a_rejection_has_a_retry_after_where_clients_obey_it():
    harness = Harness(retry_after=True)
    q, actions = harness.query(ALL, parts=0)
    assert actions_of(api.Reject, actions) == [api.Reject(q, 1000.0)]


def test_an_idempotent_query_whose_parts_may_have_run_fails_and_is_not_rejected():
    harness = Harness()
    q, _ = harness.query(KEYED, time_left_ms=500.0)
    assert actions_of(api.Fail, harness.advance(500.0)) == [api.Fail(q)]


def test_a_client_that_disconnects_ends_its_query():
    harness = Harness()
    q, _ = harness.query(ALL)
    actions = harness.step(api.ClientDisconnected(q))
    assert len(actions_of(api.Cancel, actions)) == 4
    assert not actions_of(api.Reject, actions)
    assert not actions_of(api.Send, harness.advance(3000.0))


def test_a_partial_answer_is_given_at_the_latency_objective():
    # It waited for the last of many parts until its time was up, worth nothing where nine tenths were in.
    harness = Harness()
    q, sends = harness.query(PARTIAL)
    for a in actions_of(api.Send, sends)[:3]:
        harness.complete(a.part)
    assert not actions_of(api.Answer, harness.advance(900.0))
    assert actions_of(api.Answer, harness.advance(100.0)) == [api.Answer(q, False)]


def test_a_partial_first_answer_is_early_enough_for_its_second_step_and_never_made_complete():
    harness = Harness(classes=(replace(SETTINGS.classes[PARTIAL], follow_up_parts=2),))
    harness.learn_latency()
    harness.actions.clear()
    number = harness.number + 1
    q, sends = harness.query(ALL)
    for a in actions_of(api.Send, sends)[:3]:
        harness.complete(a.part)
    harness.advance(1000.0 - harness.aggregator.latency.late_ms)
    assert actions_of(api.Answer, harness.actions) == [api.Answer(q, False)]
    more = (api.Part(901, 0, 0.5, None), api.Part(902, 1, 0.5, None))
    harness.step(api.FollowUpParts(number, more))
    harness.complete(901)
    harness.complete(902)
    assert actions_of(api.Answer, harness.actions) == [api.Answer(q, False)] * 2


def test_a_late_complete_answer_that_is_worth_more_is_waited_for():
    harness = Harness(classes=(replace(SETTINGS.classes[PARTIAL], partial_value=0.5, late_value_share=0.6),))
    q, sends = harness.query(ALL)
    for a in actions_of(api.Send, sends)[:3]:
        harness.complete(a.part)
    assert not actions_of(api.Answer, harness.advance(1500.0))
    assert actions_of(api.Answer, harness.complete(actions_of(api.Send, sends)[3].part)) == [api.Answer(q, True)]


def test_a_query_whose_attempts_are_exhausted_is_ended_at_once():
    # It was kept until its time was nearly up, though no attempt was left: the client could have asked again.
    harness = Harness(endpoints=[endpoint(10, 0)], cell_count=1, cells_per_shard=1, retry_budget_min=1000.0)
    q, sends = harness.query(ALL, parts=2)
    part, actions = actions_of(api.Send, sends)[0].part, []
    for n in range(SETTINGS.max_attempts):
        actions = harness.complete(part, Outcome.ERROR, n)
    assert actions_of(api.Reject, actions) == [api.Reject(q, 0.0)]
    q, sends = harness.query(ANY, parts=4)  # the other parts still make a complete answer
    for n in range(SETTINGS.max_attempts):
        actions = harness.complete(actions_of(api.Send, sends)[0].part, Outcome.ERROR, n)
    assert not actions_of(api.Reject, actions)
    assert q in harness.aggregator.queries.by_id
