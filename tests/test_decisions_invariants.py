"""Invariants of the decisions: each test fails if the code that enforces its invariant is removed.

They cover: one end per query and in time, no unsafe repetition, no sends to draining or removed servers, slow start,
the weight of answers, and the limits on attempts.
"""

import random
from dataclasses import replace

from conftest import ALL, ANY, KEYED, PARTIAL, SETTINGS, TWO_STEP, UNSAFE, Harness, actions_of, endpoint

from badgerbend import api
from badgerbend.api import Outcome


def test_a_query_without_answers_ends_before_its_deadline():
    harness = Harness()
    query_id, _ = harness.query(ALL, time_left_ms=700.0)
    actions = harness.advance(700.0)
    ends = [a for a in actions if isinstance(a, api.Reject | api.Fail | api.Answer)]
    assert ends == [api.Reject(query_id, 0.0)]
    assert not actions_of(api.Send, harness.advance(500.0))


def test_an_answered_query_ends_once_and_sends_nothing_more():
    harness = Harness()
    query_id, sends = harness.query(ALL)
    for a in actions_of(api.Send, sends):
        harness.complete(a.part)
    assert actions_of(api.Answer, harness.actions) == [api.Answer(query_id, True)]
    harness.actions.clear()
    harness.advance(4000.0)
    assert not [a for a in harness.actions if isinstance(a, api.Send | api.Answer | api.Reject | api.Fail)]


def test_unsafe_part_that_may_have_run_is_not_sent_again_nor_rejected():
    harness = Harness()
    query_id, sends = harness.query(UNSAFE, parts=1, time_left_ms=800.0)
    part = actions_of(api.Send, sends)[0].part
    actions = harness.complete(part, Outcome.RESET)  # no attempt is possible any more, so it fails at once
    assert not actions_of(api.Send, actions + harness.advance(800.0))
    assert actions_of(api.Fail, actions) == [api.Fail(query_id)]
    assert not actions_of(api.Reject, actions)


def test_unsafe_part_proven_not_to_have_run_is_sent_again():
    harness = Harness()
    _, sends = harness.query(UNSAFE, parts=1)
    part = actions_of(api.Send, sends)[0].part
    assert [send.part for send in actions_of(api.Send, harness.complete(part, Outcome.REJECTED))] == [part]


def test_unsafe_part_is_not_sent_again_whatever_its_idempotency_window():
    # The window applies only to keyed classes; an embedding broker may set it for every class.
    harness = Harness(classes=(replace(SETTINGS.classes[UNSAFE], idempotency_window_ms=5000.0),))
    query_id, sends = harness.query(ALL, parts=1, time_left_ms=800.0)
    actions = harness.complete(actions_of(api.Send, sends)[0].part, Outcome.ERROR)
    assert not actions_of(api.Send, actions + harness.advance(800.0))
    assert actions_of(api.Fail, harness.actions) == [api.Fail(query_id)]


def test_unsafe_part_is_sent_again_and_rejected_while_each_attempt_is_proven_not_to_have_run():
    # Only a first attempt was checked for proof that it had not run: a second attempt that never ran failed the query.
    harness = Harness(retry_budget_min=1000.0)
    query_id, sends = harness.query(UNSAFE, parts=1, time_left_ms=800.0)
    part = actions_of(api.Send, sends)[0].part
    assert actions_of(api.Send, harness.complete(part, Outcome.REJECTED))
    assert actions_of(api.Send, harness.complete(part, Outcome.REJECTED, 1) + harness.advance(20.0))
    assert actions_of(api.Send, harness.complete(part, Outcome.NOT_SENT, 2))
    harness.complete(part, Outcome.REJECTED, 3)
    harness.advance(800.0)
    assert actions_of(api.Reject, harness.actions) == [api.Reject(query_id, 0.0)]


def test_keyed_part_is_retried_only_within_its_window():
    harness = Harness()
    _, sends = harness.query(KEYED, parts=1)
    part = actions_of(api.Send, sends)[0].part
    harness.advance(390.0)
    assert not actions_of(api.Send, harness.complete(part, Outcome.ERROR))
    assert not actions_of(api.Send, harness.advance(1000.0))
    _, sends = harness.query(KEYED, parts=1)
    part = actions_of(api.Send, sends)[0].part
    harness.advance(100.0)
    (again,) = actions_of(api.Send, harness.complete(part, Outcome.ERROR))
    assert again.start_within_ms == 400.0 - 30.0 - 100.0
    assert actions_of(api.Send, sends)[0].start_within_ms == float("inf")


def test_a_keyed_query_fails_after_its_window_although_its_deadline_is_later():
    harness = Harness()
    _, sends = harness.query(KEYED, parts=1)
    part = actions_of(api.Send, sends)[0].part
    harness.advance(390.0)
    assert actions_of(api.Fail, harness.complete(part, Outcome.ERROR))


def test_nothing_goes_to_a_draining_removed_or_missing_server():
    for update in (
        api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, api.EndpointState.DRAINING),)),
        api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, api.EndpointState.REMOVED),)),
        api.EndpointUpdate(api.UpdateKind.FULL, tuple(endpoint(10 + c, c) for c in range(1, 4))),
    ):
        harness = Harness()
        harness.step(update)
        sends = [send for _ in range(10) for send in actions_of(api.Send, harness.query(ALL)[1])]
        assert sends
        assert all(send.node != 10 for send in sends)


def test_brokers_with_unequal_traffic_do_not_overload_a_server_that_is_warming_up():
    # Sixty brokers, some with ten times the traffic of the others, must stay within the limit of a server together.
    rng = random.Random(11)
    settings = {"cell_count": 8, "broker_count": 60, "retry_budget_min": 1000.0}
    endpoints = [endpoint(10 + c, c) for c in range(8)]
    brokers = [Harness(endpoints=endpoints, seed=i, **settings) for i in range(60)]
    query_rates = [0.02 if i % 10 else 0.2 for i in range(60)]  # queries per step of 50 ms, with one part each
    in_flight, warming_sends, warm_sends, started = [], [], [], 11_000.0
    for step in range(600):
        now = 1000.0 + 50.0 * step
        if now == started:
            for harness in brokers:
                harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, started_ms=started),)))
        for harness, rate in zip(brokers, query_rates, strict=True):
            harness.now = now
            actions = harness.step(api.TimerFired(0))
            for owner, part in [row for row in in_flight if row[0] is harness]:
                harness.complete(part, Outcome.OK, harness.attempts[part] - 1)
                in_flight.remove((owner, part))
            if rng.random() < rate:
                actions = actions + harness.query(ALL, parts=1, shard=rng.randrange(8))[1]
            for send in actions_of(api.Send, actions):
                in_flight.append((harness, send.part))
                if now >= started:
                    warming_sends.append(now) if send.node == 10 else warm_sends.append(now)
    rate = len(warm_sends) / 7 / (now - started)  # sends to a warm server, assumed to be half of its capacity
    for at in range(int(started), int(now) - 1000, 100):
        age = at - started
        capacity = 2 * rate * 1000.0 * min(1.0, 0.2 + 0.8 * age / 10_000.0)
        sent = sum(1 for t in warming_sends if at <= t < at + 1000)
        assert sent <= SETTINGS.overload_factor * capacity + 2 * capacity**0.5 + 1
    assert sum(1 for t in warming_sends if t < started + 5000) > 0.2 * 5000 * rate


def test_an_answer_depends_on_weight_and_not_on_the_number_of_parts():
    harness = Harness()
    query_id, sends = harness.query(ANY, weights=[0.4, 0.3, 0.2, 0.1])
    ids = {send.part - query_id - 1: send.part for send in actions_of(api.Send, sends)}
    assert not actions_of(api.Answer, harness.complete(ids[3]))
    assert not actions_of(api.Answer, harness.complete(ids[2]))
    assert actions_of(api.Answer, harness.complete(ids[1])) == [api.Answer(query_id, True)]


def test_a_duplicate_completion_counts_once():
    harness = Harness()
    query_id, sends = harness.query(ANY)
    part = actions_of(api.Send, sends)[0].part
    harness.complete(part)
    assert not actions_of(api.Answer, harness.complete(part))


def test_below_the_minimum_weight_no_answer_above_it_a_partial_one():
    harness = Harness()
    query_id, sends = harness.query(PARTIAL, time_left_ms=900.0)
    parts = [send.part for send in actions_of(api.Send, sends)]
    harness.complete(parts[0])
    harness.complete(parts[1])
    assert actions_of(api.Answer, harness.advance(900.0)) == [api.Answer(query_id, False)]
    query_id, sends = harness.query(PARTIAL, time_left_ms=900.0)
    harness.complete(actions_of(api.Send, sends)[0].part)
    actions = harness.advance(900.0)
    assert not actions_of(api.Answer, actions)
    assert actions_of(api.Reject, actions)


def test_second_step_is_complete_only_when_all_its_parts_are_answered():
    harness = Harness()
    query_id, sends = harness.query(TWO_STEP)
    for send in actions_of(api.Send, sends):
        harness.complete(send.part)
    assert actions_of(api.Answer, harness.actions) == [api.Answer(query_id, True)]
    harness.actions.clear()
    more = (api.Part(901, 0, 0.5, None), api.Part(902, 1, 0.5, None))
    sends = actions_of(api.Send, harness.step(api.FollowUpParts(harness.number, more)))
    assert {send.part for send in sends} == {901, 902}
    assert not actions_of(api.Answer, harness.complete(901))
    assert actions_of(api.Answer, harness.complete(902)) == [api.Answer(query_id, True)]


def test_retries_stay_within_the_budget():
    harness = Harness()
    accepted, retries = 0, 0
    for _ in range(20):
        _, sends = harness.query(ALL)
        accepted += 5
        pending = actions_of(api.Send, sends)
        while pending:
            a = pending.pop()
            again = actions_of(api.Send, harness.complete(a.part, Outcome.REJECTED, harness.attempts[a.part] - 1))
            retries += len(again)
            pending += again
    assert 5 <= retries <= SETTINGS.retry_budget_min + SETTINGS.retry_budget_share * accepted


def test_attempts_for_one_part_stay_within_their_limit():
    harness = Harness(retry_budget_min=1000.0)
    _, sends = harness.query(ALL, parts=1)
    part = actions_of(api.Send, sends)[0].part
    for n in range(SETTINGS.max_attempts):
        harness.complete(part, Outcome.REJECTED, n)
        harness.advance(20.0)
    harness.advance(1000.0)
    assert harness.attempts[part] == SETTINGS.max_attempts
