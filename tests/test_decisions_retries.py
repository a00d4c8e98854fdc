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
from tests.conftest import ALL, SETTINGS, Harness, actions_of, endpoint


def test_lost_parts_do_not_move_the_late_age_beyond_three_typical_latencies():
    harness = Harness()
    for _ in range(40):
        harness.aggregator.latency.add(harness.now, 50.0, censored=False)
    for _ in range(12):
        harness.aggregator.latency.add(harness.now, 5000.0, censored=True)
    harness.aggregator.latency.refresh(harness.now, [])
    assert harness.aggregator.latency.late_ms == 150.0


def test_hedged_requests_stop_when_they_are_not_first_to_answer():
    # In an overload all parts are late: copies that lose only feed it, above all where a cancel stops no work.
    def copies(win):
        harness = Harness(retry_budget_min=1000.0)
        harness.learn_latency(latency_ms=40.0)
        harness.aggregator.hedges.credit = 1.0
        made = 0
        for _ in range(30):
            _, sends = harness.query(ALL, parts=1)
            part = actions_of(api.Send, sends)[0].part
            made += len(actions_of(api.Send, harness.advance(300.0)))
            harness.complete(part, Outcome.OK, harness.attempts[part] - 1 if win else 0)
        return made

    assert copies(win=True) >= 30
    assert copies(win=False) <= 3


def test_a_part_rejected_twice_waits_a_tick_and_does_not_spend_its_attempts_on_full_queues():
    # Near capacity both holders of a shard were full at one moment: all four attempts went in a few milliseconds, and
    # the query was rejected, where a queue has room again a few milliseconds later.
    harness = Harness(
        endpoints=[endpoint(10, 0), endpoint(11, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0
    )
    harness.learn_latency(queries=10)
    _, sends = harness.query(ALL, parts=1)
    part = actions_of(api.Send, sends)[0].part
    assert actions_of(api.Send, harness.complete(part, Outcome.REJECTED, 0))  # the other holder at once
    harness.advance(2.0)
    assert not actions_of(api.Send, harness.complete(part, Outcome.REJECTED, 1))
    assert not actions_of(api.Reject, harness.actions)
    assert [a.part for a in actions_of(api.Send, harness.advance(40.0))] == [part]
    harness.complete(part, Outcome.OK, 2)
    assert actions_of(api.Answer, harness.actions)


def test_an_attempt_that_times_out_with_its_query_is_not_retried():
    # It was sent to every other holder for one millisecond each, work that no one could use.
    harness = Harness()
    q, sends = harness.query(ALL, time_left_ms=500.0)
    harness.now += 495.0
    for a in actions_of(api.Send, sends):
        assert not actions_of(api.Send, harness.complete(a.part, Outcome.TIMEOUT))


def test_counted_events_do_not_pile_up():
    # Times noted for a count that a quiet broker never asks for were kept for ever.
    harness = Harness()
    for _ in range(60):
        _, sends = harness.query(ALL)
        for a in actions_of(api.Send, sends):
            harness.complete(a.part)
        harness.advance(1000.0)
    rates = harness.aggregator.rates
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
