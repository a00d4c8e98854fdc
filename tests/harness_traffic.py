"""Traffic for tests of the decisions: answers to attempts in flight and observed response times."""

from badgerbend.api import Outcome
from tests.conftest import ALL


def run_traffic(harness, silent=(), duration_ms=3000.0, latency_ms=50.0):
    """Submits queries for a while; all servers except the silent ones answer after `latency_ms`."""
    answered, end = set(harness.sent), harness.now + duration_ms
    while harness.now < end:
        harness.query(ALL)
        harness.advance(latency_ms)
        for key, (node, _) in list(harness.sent.items()):
            if node not in silent and key not in answered:
                answered.add(key)
                harness.complete(key[0], Outcome.OK, key[1])


def answer_all(harness, silent=()):
    """Answers all attempts in flight except at silent servers; returns their parts and attempt numbers."""
    answered = [
        key
        for key, (node, _) in harness.sent.items()
        if key in harness.aggregator.queries.attempts and node not in silent
    ]
    for part, attempt in answered:
        if (part, attempt) in harness.aggregator.queries.attempts:
            harness.complete(part, Outcome.OK, attempt)
    return answered


def observe_response_time(server, response_time_ms, now_ms):
    """Sets the last observed response time of a server."""
    server.response_time_ms = response_time_ms
    server.response_time_at_ms = now_ms
