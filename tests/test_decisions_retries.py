"""Retries, hedged requests and when a part is late."""

from dataclasses import replace
from types import SimpleNamespace

import pytest

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.decisions.budget import RetryBudget
from badgerbend.decisions.rates import TrafficRates
from badgerbend.decisions.retries import RetryPolicy
from badgerbend.decisions.timing import EARLY_FINISH_MS
from tests.conftest import ALL, SETTINGS, Bench, line, of


def test_lost_parts_do_not_move_the_late_age_beyond_three_typical_latencies():
    b = Bench()
    for _ in range(40):
        b.agg.latency.add(b.now, 50.0, censored=False)
    for _ in range(12):
        b.agg.latency.add(b.now, 5000.0, censored=True)
    b.agg.latency.refresh(b.now, [])
    assert b.agg.latency.late_ms == 150.0


def test_hedged_requests_stop_when_they_are_not_first_to_answer():
    # In an overload all parts are late: copies that lose only feed it, above all where a cancel stops no work.
    def copies(win):
        b = Bench(retry_budget_min=1000.0)
        b.learn(ms=40.0)
        b.agg.hedges.credit = 1.0
        made = 0
        for _ in range(30):
            _, sends = b.query(ALL, parts=1)
            part = of(api.Send, sends)[0].part
            made += len(of(api.Send, b.wait(300.0)))
            b.finish(part, Outcome.OK, b.attempts[part] - 1 if win else 0)
        return made

    assert copies(win=True) >= 30
    assert copies(win=False) <= 3


def test_a_part_rejected_twice_waits_a_tick_and_does_not_spend_its_attempts_on_full_queues():
    # Near capacity both holders of a shard were full at one moment: all four attempts went in a few milliseconds, and
    # the query was rejected, where a queue has room again a few milliseconds later.
    b = Bench(lines=[line(10, 0), line(11, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0)
    b.learn(queries=10)
    _, sends = b.query(ALL, parts=1)
    part = of(api.Send, sends)[0].part
    assert of(api.Send, b.finish(part, Outcome.REJECTED, 0))  # the other holder at once
    b.wait(2.0)
    assert not of(api.Send, b.finish(part, Outcome.REJECTED, 1))
    assert not of(api.Reject, b.log)
    assert [a.part for a in of(api.Send, b.wait(40.0))] == [part]
    b.finish(part, Outcome.OK, 2)
    assert of(api.Answer, b.log)


def test_an_attempt_that_times_out_with_its_query_is_not_retried():
    # It was sent to every other holder for one millisecond each, work that no one could use.
    b = Bench()
    q, sends = b.query(ALL, left=500.0)
    b.now += 495.0
    for a in of(api.Send, sends):
        assert not of(api.Send, b.finish(a.part, Outcome.TIMEOUT))


def test_counted_events_do_not_pile_up():
    # Times noted for a count that a quiet broker never asks for were kept for ever.
    b = Bench()
    for _ in range(60):
        _, sends = b.query(ALL)
        for a in of(api.Send, sends):
            b.finish(a.part)
        b.wait(1000.0)
    rates = b.agg.rates
    windows = [rates.queries, rates.accepted, rates.attempts, rates.retries, *rates.tenants.values()]
    assert max(map(len, windows)) <= 5 * 12


@pytest.mark.parametrize("write_delay_ms", [0.0, 150.0])
def test_a_repeat_leaves_the_time_that_its_process_may_be_held_up_for(write_delay_ms):
    settings = replace(SETTINGS, max_write_delay_ms=write_delay_ms)
    query_class = next(c for c in settings.classes if c.effect == "keyed")
    policy = RetryPolicy(settings, RetryBudget(settings, TrafficRates(settings)))
    part = SimpleNamespace(query=SimpleNamespace(query_class=query_class), may_have_run={0: 1000.0})
    margin_ms = 1000.0 + query_class.idempotency_window_ms - policy.start_before_ms(part)
    assert margin_ms == max(EARLY_FINISH_MS, write_delay_ms)
