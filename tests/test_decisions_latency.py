"""The product-limit estimate of latencies, and the response time of a server."""

import pytest
from conftest import Harness

from badgerbend.decisions.latency import product_limit_estimate
from tests.harness_traffic import observe_response_time


def test_without_censored_samples_all_weigh_the_same():
    latencies, sums = product_limit_estimate([(30.0, False), (10.0, False), (20.0, False), (40.0, False)])
    assert latencies == [10.0, 20.0, 30.0, 40.0]
    assert sums == pytest.approx([0.25, 0.5, 0.75, 1.0])


def test_the_weight_of_a_censored_sample_goes_to_the_longer_ones():
    latencies, sums = product_limit_estimate([(10.0, False), (20.0, True), (30.0, False), (40.0, False)])
    assert latencies == [10.0, 30.0, 40.0]
    assert sums == pytest.approx([0.25, 0.625, 1.0])


def test_weight_that_no_answer_is_left_for_goes_to_the_longest_age():
    latencies, sums = product_limit_estimate([(10.0, False), (20.0, True), (30.0, False), (90.0, True)])
    assert latencies == [10.0, 30.0, 90.0]
    assert sums == pytest.approx([0.25, 0.625, 1.0])


def test_without_answers_there_is_no_distribution():
    assert product_limit_estimate([(10.0, True)]) == ([], [])
    assert product_limit_estimate([]) == ([], [])


def test_a_response_time_fades_to_the_typical_one_by_its_half_life():
    harness = Harness()
    harness.aggregator.latency.typical_ms = 20.0
    server = harness.aggregator.endpoints.servers[10]
    observe_response_time(server, 100.0, 1000.0)
    assert harness.aggregator.latency.response_time_ms(server, 1000.0) == 100.0
    assert harness.aggregator.latency.response_time_ms(server, 11_000.0) == pytest.approx(60.0)
    assert harness.aggregator.latency.response_time_ms(server, 21_000.0) == pytest.approx(40.0)


def test_a_server_that_owes_an_answer_is_as_slow_as_what_it_owes_is_old():
    harness = Harness()
    harness.aggregator.latency.typical_ms = 20.0
    server = harness.aggregator.endpoints.servers[10]
    server.in_flight = {(1, 0): 500.0, (2, 0): 900.0}
    assert harness.aggregator.latency.response_time_ms(server, 1000.0) == 500.0
