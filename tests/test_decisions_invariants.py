"""One test or more for each of the six rules; each fails when its guard is taken out."""

import random
from dataclasses import replace

from conftest import ALL, ANY, KEYED, PARTIAL, SETTINGS, TWO_STEP, UNSAFE, Harness, actions_of, endpoint

from badgerbend import api
from badgerbend.api import Outcome


def test_no_answer_still_ends_the_query_before_its_time_is_up():
    harness = Harness()
    q, _ = harness.query(ALL, time_left_ms=700.0)
    actions = harness.advance(700.0)
    ends = [a for a in actions if isinstance(a, api.Reject | api.Fail | api.Answer)]
    assert ends == [api.Reject(q, 0.0)]
    assert not actions_of(api.Send, harness.advance(500.0))


def test_an_answered_query_ends_once_and_sends_nothing_more():
    harness = Harness()
    q, sends = harness.query(ALL)
    for a in actions_of(api.Send, sends):
        harness.complete(a.part)
    assert actions_of(api.Answer, harness.actions) == [api.Answer(q, True)]
    harness.actions.clear()
    harness.advance(4000.0)
    assert not [a for a in harness.actions if isinstance(a, api.Send | api.Answer | api.Reject | api.Fail)]


def test_unsafe_part_that_may_have_run_is_not_sent_again_nor_rejected():
    harness = Harness()
    q, sends = harness.query(UNSAFE, parts=1, time_left_ms=800.0)
    part = actions_of(api.Send, sends)[0].part
    actions = harness.complete(part, Outcome.RESET)  # nothing more can be done, so it fails at once
    assert not actions_of(api.Send, actions + harness.advance(800.0))
    assert actions_of(api.Fail, actions) == [api.Fail(q)]
    assert not actions_of(api.Reject, actions)


def test_unsafe_part_proven_not_to_have_run_is_sent_again():
    harness = Harness()
    _, sends = harness.query(UNSAFE, parts=1)
    part = actions_of(api.Send, sends)[0].part
    assert [a.part for a in actions_of(api.Send, harness.complete(part, Outcome.REJECTED))] == [part]


def test_unsafe_part_is_not_sent_again_whatever_window_its_settings_name():
    # The window is the keyed class's alone; an embedding broker may fill it in for every class.
    harness = Harness(classes=(replace(SETTINGS.classes[UNSAFE], idempotency_window_ms=5000.0),))
    q, sends = harness.query(ALL, parts=1, time_left_ms=800.0)
    actions = harness.complete(actions_of(api.Send, sends)[0].part, Outcome.ERROR)
    assert not actions_of(api.Send, actions + harness.advance(800.0))
    assert actions_of(api.Fail, harness.actions) == [api.Fail(q)]


def test_unsafe_part_is_sent_again_and_rejected_while_each_attempt_is_proven_not_to_have_run():
    # The proof was kept for a first attempt alone: a second one never made ended the part as a failure.
    harness = Harness(retry_budget_min=1000.0)
    q, sends = harness.query(UNSAFE, parts=1, time_left_ms=800.0)
    part = actions_of(api.Send, sends)[0].part
    assert actions_of(api.Send, harness.complete(part, Outcome.REJECTED))
    assert actions_of(api.Send, harness.complete(part, Outcome.REJECTED, 1) + harness.advance(20.0))
    assert actions_of(api.Send, harness.complete(part, Outcome.NOT_SENT, 2))
    harness.complete(part, Outcome.REJECTED, 3)
    harness.advance(800.0)
    assert actions_of(api.Reject, harness.actions) == [api.Reject(q, 0.0)]


def test_idempotent_part_is_repeated_only_within_its_window():
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


def test_an_idempotent_query_is_over_with_its_window_though_its_client_would_wait():
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
        sends = [a for _ in range(10) for a in actions_of(api.Send, harness.query(ALL)[1])]
        assert sends
        assert all(a.node != 10 for a in sends)


def test_many_unequal_brokers_together_keep_a_server_that_warms_up_under_its_multiple():
    # Sixty brokers, a few with ten times the traffic of most: what they send one server that warms up adds up.
    rng = random.Random(11)
    settings = {"cell_count": 8, "broker_count": 60, "retry_budget_min": 1000.0}
    endpoints = [endpoint(10 + c, c) for c in range(8)]
    brokers = [Harness(endpoints=endpoints, seed=i, **settings) for i in range(60)]
    each = [0.02 if i % 10 else 0.2 for i in range(60)]  # queries in a step of 50 ms, one part each
    out, cold, warm, started = [], [], [], 11_000.0
    for step in range(600):
        now = 1000.0 + 50.0 * step
        if now == started:
            for harness in brokers:
                harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, started_ms=started),)))
        for harness, rate in zip(brokers, each, strict=True):
            harness.now = now
            actions = harness.step(api.TimerFired(0))
            for due, part in [x for x in out if x[0] is harness]:
                harness.complete(part, Outcome.OK, harness.attempts[part] - 1)
                out.remove((due, part))
            if rng.random() < rate:
                actions = actions + harness.query(ALL, parts=1, shard=rng.randrange(8))[1]
            for a in actions_of(api.Send, actions):
                out.append((harness, a.part))
                if now >= started:
                    cold.append(now) if a.node == 10 else warm.append(now)
    rate = len(warm) / 7 / (now - started)  # what a warm server was sent, taken for half of what it can do
    for at in range(int(started), int(now) - 1000, 100):
        age = at - started
        can = 2 * rate * 1000.0 * min(1.0, 0.2 + 0.8 * age / 10_000.0)
        sent = sum(1 for t in cold if at <= t < at + 1000)
        assert sent <= SETTINGS.overload_factor * can + 2 * can**0.5 + 1
    assert sum(1 for t in cold if t < started + 5000) > 0.2 * 5000 * rate


def test_answer_rests_on_weight_not_on_count():
    harness = Harness()
    q, sends = harness.query(ANY, weights=[0.4, 0.3, 0.2, 0.1])
    ids = {a.part - q - 1: a.part for a in actions_of(api.Send, sends)}
    assert not actions_of(api.Answer, harness.complete(ids[3]))
    assert not actions_of(api.Answer, harness.complete(ids[2]))
    assert actions_of(api.Answer, harness.complete(ids[1])) == [api.Answer(q, True)]


def test_a_repeated_outcome_counts_once():
    harness = Harness()
    q, sends = harness.query(ANY)
    part = actions_of(api.Send, sends)[0].part
    harness.complete(part)
    assert not actions_of(api.Answer, harness.complete(part))


def test_below_the_minimum_weight_no_answer_above_it_a_partial_one():
    harness = Harness()
    q, sends = harness.query(PARTIAL, time_left_ms=900.0)
    parts = [a.part for a in actions_of(api.Send, sends)]
    harness.complete(parts[0])
    harness.complete(parts[1])
    assert actions_of(api.Answer, harness.advance(900.0)) == [api.Answer(q, False)]
    q, sends = harness.query(PARTIAL, time_left_ms=900.0)
    harness.complete(actions_of(api.Send, sends)[0].part)
    actions = harness.advance(900.0)
    assert not actions_of(api.Answer, actions)
    assert actions_of(api.Reject, actions)


def test_second_step_is_complete_only_when_all_of_it_landed():
    harness = Harness()
    q, sends = harness.query(TWO_STEP)
    for a in actions_of(api.Send, sends):
        harness.complete(a.part)
    assert actions_of(api.Answer, harness.actions) == [api.Answer(q, True)]
    harness.actions.clear()
    more = (api.Part(901, 0, 0.5, None), api.Part(902, 1, 0.5, None))
    sends = actions_of(api.Send, harness.step(api.FollowUpParts(harness.number, more)))
    assert {a.part for a in sends} == {901, 902}
    assert not actions_of(api.Answer, harness.complete(901))
    assert actions_of(api.Answer, harness.complete(902)) == [api.Answer(q, True)]


def test_further_attempts_stay_within_the_budget():
    harness = Harness()
    taken, extra = 0, 0
    for _ in range(20):
        _, sends = harness.query(ALL)
        taken += 5
        todo = actions_of(api.Send, sends)
        while todo:
            a = todo.pop()
            again = actions_of(api.Send, harness.complete(a.part, Outcome.REJECTED, harness.attempts[a.part] - 1))
            extra += len(again)
            todo += again
    assert 5 <= extra <= SETTINGS.retry_budget_min + SETTINGS.retry_budget_share * taken


def test_attempts_for_one_part_stay_within_their_limit():
    harness = Harness(retry_budget_min=1000.0)
    _, sends = harness.query(ALL, parts=1)
    part = actions_of(api.Send, sends)[0].part
    for n in range(SETTINGS.max_attempts):
        harness.complete(part, Outcome.REJECTED, n)
        harness.advance(20.0)
    harness.advance(1000.0)
    assert harness.attempts[part] == SETTINGS.max_attempts
