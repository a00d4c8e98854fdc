"""One test or more for each of the six rules; each fails when its guard is taken out."""

import random
from dataclasses import replace

from conftest import ALL, ANY, FLOOR, KEY, ONCE, SETTINGS, TWO, Bench, line, of

from badgerbend import api
from badgerbend.api import Outcome


def test_no_answer_still_ends_the_query_before_its_time_is_up():
    b = Bench()
    q, _ = b.query(ALL, left=700.0)
    acts = b.wait(700.0)
    ends = [a for a in acts if isinstance(a, api.Reject | api.Fail | api.Answer)]
    assert ends == [api.Reject(q, 0.0)]
    assert not of(api.Send, b.wait(500.0))


def test_an_answered_query_ends_once_and_sends_nothing_more():
    b = Bench()
    q, sends = b.query(ALL)
    for a in of(api.Send, sends):
        b.finish(a.part)
    assert of(api.Answer, b.log) == [api.Answer(q, True)]
    b.log.clear()
    b.wait(4000.0)
    assert not [a for a in b.log if isinstance(a, api.Send | api.Answer | api.Reject | api.Fail)]


def test_unsafe_part_that_may_have_run_is_not_sent_again_nor_rejected():
    b = Bench()
    q, sends = b.query(ONCE, parts=1, left=800.0)
    part = of(api.Send, sends)[0].part
    acts = b.finish(part, Outcome.RESET)  # nothing more can be done, so it fails at once
    assert not of(api.Send, acts + b.wait(800.0))
    assert of(api.Fail, acts) == [api.Fail(q)]
    assert not of(api.Reject, acts)


def test_unsafe_part_proven_not_to_have_run_is_sent_again():
    b = Bench()
    _, sends = b.query(ONCE, parts=1)
    part = of(api.Send, sends)[0].part
    assert [a.part for a in of(api.Send, b.finish(part, Outcome.REJECTED))] == [part]


def test_unsafe_part_is_not_sent_again_whatever_window_its_settings_name():
    # The window is the keyed class's alone; an embedding broker may fill it in for every class.
    b = Bench(classes=(replace(SETTINGS.classes[ONCE], idempotency_window_ms=5000.0),))
    q, sends = b.query(ALL, parts=1, left=800.0)
    acts = b.finish(of(api.Send, sends)[0].part, Outcome.ERROR)
    assert not of(api.Send, acts + b.wait(800.0))
    assert of(api.Fail, b.log) == [api.Fail(q)]


def test_unsafe_part_is_sent_again_and_rejected_while_each_attempt_is_proven_not_to_have_run():
    # The proof was kept for a first attempt alone: a second one never made ended the part as a failure.
    b = Bench(retry_budget_min=1000.0)
    q, sends = b.query(ONCE, parts=1, left=800.0)
    part = of(api.Send, sends)[0].part
    assert of(api.Send, b.finish(part, Outcome.REJECTED))
    assert of(api.Send, b.finish(part, Outcome.REJECTED, 1) + b.wait(20.0))
    assert of(api.Send, b.finish(part, Outcome.NOT_SENT, 2))
    b.finish(part, Outcome.REJECTED, 3)
    b.wait(800.0)
    assert of(api.Reject, b.log) == [api.Reject(q, 0.0)]


def test_idempotent_part_is_repeated_only_within_its_window():
    b = Bench()
    _, sends = b.query(KEY, parts=1)
    part = of(api.Send, sends)[0].part
    b.wait(390.0)
    assert not of(api.Send, b.finish(part, Outcome.ERROR))
    assert not of(api.Send, b.wait(1000.0))
    _, sends = b.query(KEY, parts=1)
    part = of(api.Send, sends)[0].part
    b.wait(100.0)
    (again,) = of(api.Send, b.finish(part, Outcome.ERROR))
    assert again.start_within_ms == 400.0 - 30.0 - 100.0
    assert of(api.Send, sends)[0].start_within_ms == float("inf")


def test_an_idempotent_query_is_over_with_its_window_though_its_client_would_wait():
    b = Bench()
    _, sends = b.query(KEY, parts=1)
    part = of(api.Send, sends)[0].part
    b.wait(390.0)
    assert of(api.Fail, b.finish(part, Outcome.ERROR))


def test_nothing_goes_to_a_draining_removed_or_missing_server():
    for update in (
        api.EndpointUpdate(api.UpdateKind.DELTA, (line(10, 0, api.EndpointState.DRAINING),)),
        api.EndpointUpdate(api.UpdateKind.DELTA, (line(10, 0, api.EndpointState.REMOVED),)),
        api.EndpointUpdate(api.UpdateKind.FULL, tuple(line(10 + c, c) for c in range(1, 4))),
    ):
        b = Bench()
        b.do(update)
        sends = [a for _ in range(10) for a in of(api.Send, b.query(ALL)[1])]
        assert sends
        assert all(a.node != 10 for a in sends)


def test_many_unequal_brokers_together_keep_a_server_that_warms_up_under_its_multiple():
    # Sixty brokers, a few with ten times the traffic of most: what they send one server that warms up adds up.
    rng = random.Random(11)
    settings = {"cell_count": 8, "broker_count": 60, "retry_budget_min": 1000.0}
    lines = [line(10 + c, c) for c in range(8)]
    brokers = [Bench(lines=lines, seed=i, **settings) for i in range(60)]
    each = [0.02 if i % 10 else 0.2 for i in range(60)]  # queries in a step of 50 ms, one part each
    out, cold, warm, started = [], [], [], 11_000.0
    for step in range(600):
        now = 1000.0 + 50.0 * step
        if now == started:
            for b in brokers:
                b.do(api.EndpointUpdate(api.UpdateKind.DELTA, (line(10, 0, started=started),)))
        for b, rate in zip(brokers, each, strict=True):
            b.now = now
            acts = b.do(api.TimerFired(0))
            for due, part in [x for x in out if x[0] is b]:
                b.finish(part, Outcome.OK, b.attempts[part] - 1)
                out.remove((due, part))
            if rng.random() < rate:
                acts = acts + b.query(ALL, parts=1, shard=rng.randrange(8))[1]
            for a in of(api.Send, acts):
                out.append((b, a.part))
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


def test_below_the_minimum_weight_no_answer_above_it_a_partial_one():
    b = Bench()
    q, sends = b.query(FLOOR, left=900.0)
    parts = [a.part for a in of(api.Send, sends)]
    b.finish(parts[0])
    b.finish(parts[1])
    assert of(api.Answer, b.wait(900.0)) == [api.Answer(q, False)]
    q, sends = b.query(FLOOR, left=900.0)
    b.finish(of(api.Send, sends)[0].part)
    acts = b.wait(900.0)
    assert not of(api.Answer, acts)
    assert of(api.Reject, acts)


def test_second_step_is_complete_only_when_all_of_it_landed():
    b = Bench()
    q, sends = b.query(TWO)
    for a in of(api.Send, sends):
        b.finish(a.part)
    assert of(api.Answer, b.log) == [api.Answer(q, True)]
    b.log.clear()
    more = (api.Part(901, 0, 0.5, None), api.Part(902, 1, 0.5, None))
    sends = of(api.Send, b.do(api.FollowUpParts(b.number, more)))
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
            again = of(api.Send, b.finish(a.part, Outcome.REJECTED, b.attempts[a.part] - 1))
            extra += len(again)
            todo += again
    assert 5 <= extra <= SETTINGS.retry_budget_min + SETTINGS.retry_budget_share * taken


def test_attempts_for_one_part_stay_within_their_limit():
    b = Bench(retry_budget_min=1000.0)
    _, sends = b.query(ALL, parts=1)
    part = of(api.Send, sends)[0].part
    for n in range(SETTINGS.max_attempts):
        b.finish(part, Outcome.REJECTED, n)
        b.wait(20.0)
    b.wait(1000.0)
    assert b.attempts[part] == SETTINGS.max_attempts
