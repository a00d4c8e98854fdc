"""Traffic for tests of the decisions: answers to what is in flight, and response times that were observed."""

from badgerbend.api import Outcome
from tests.conftest import ALL


def run_traffic(harness, silent=(), ms=3000.0, answer=50.0):
    """Traffic for a while; every server but the silent ones answers after `answer`."""
    answered, end = set(harness.sent), harness.now + ms
    while harness.now < end:
        harness.query(ALL)
        harness.advance(answer)
        for key, (node, _) in list(harness.sent.items()):
            if node not in silent and key not in answered:
                answered.add(key)
                harness.complete(key[0], Outcome.OK, key[1])


def answer_all(harness, silent=()):
    """Answers whatever is out, except at the silent servers; the keys answered."""
    done = [
        key
        for key, (node, _) in harness.sent.items()
        if key in harness.aggregator.queries.attempts and node not in silent
    ]
    for part, n in done:
        if (part, n) in harness.aggregator.queries.attempts:
            harness.complete(part, Outcome.OK, n)
    return done


def observe_response_time(server, time_ms, now_ms):
    """Lets a server's last answer have taken so long."""
    server.response_time_ms = time_ms
    server.response_time_at_ms = now_ms
