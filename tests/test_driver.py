"""The driver on a simulated network and clock: each query gets one final result, and each attempt ends once."""

import contextlib
import gc
import math
import random
import weakref
from collections import Counter
from dataclasses import replace

import pytest
from clock import Clock
from conftest import ALL, ANY, KEYED, SETTINGS, TWO_STEP, UNSAFE, endpoint

from badgerbend import api
from badgerbend.decisions import Aggregator
from badgerbend.decisions.timing import EARLY_FINISH_MS
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import PartPlan, QueryPlan


class Sink:
    def __init__(self, network, parts=1, more=0):
        self.network, self.parts, self.extra, self.results_reported, self.complete, self.results = (
            network,
            parts,
            more,
            [],
            None,
            [],
        )
        self.submitted_at = network.now
        self.client_left = False

    def client_has_left(self):
        return self.client_left

    def follow_up_parts(self, results):
        assert not self.results_reported
        return [PartPlan(p.shard, 1 / self.extra, None, None) for p, _ in results[: self.extra]]

    def answered(self, results, complete):
        self.results, self.complete = results, complete
        self._report("answered")

    def rejected(self, retry_after_ms):
        self._report("refused")

    def failed(self):
        self._report("failed")

    def _report(self, result):
        self.results_reported.append((self.network.now, result))


class SimulatedNetwork(Clock):
    """A simulated clock, transport, list and observer.

    outcome_of: returns the outcome of an attempt and the time after which it ends, or None if it never ends.
    """

    def __init__(self, outcome_of, seed=1, module=Aggregator, **changes):
        super().__init__()
        self.outcome_of = outcome_of
        self.sent, self.ends, self.faults, self.in_flight, self.calls = [], Counter(), [], {}, []
        self.unsent = set()  # keys of attempts of which no byte was sent
        settings = replace(SETTINGS, **changes)
        self.driver = Driver(settings, module(settings, seed), self, self, self, self)
        lines = tuple(endpoint(10 + i, i % 4) for i in range(8))
        self.driver.update_endpoints(api.EndpointUpdate(api.UpdateKind.CACHED, lines))
        self.run(1.0)

    # -- Schedule
    def now_ms(self):
        return self.now

    def wake(self, at_ms):
        self.at(self.now if at_ms is None else at_ms, self.driver.turn)

    # -- Transport
    def send(self, node, attempts):
        self.calls.append((node, len(attempts)))
        for attempt in attempts:
            key = (attempt.part_id, attempt.number)
            assert key not in self.in_flight
            assert self.ends[key] == 0
            self.sent.append((self.now, attempt))
            self.in_flight[key] = attempt
            planned = self.outcome_of(attempt)
            if planned is not None:
                outcome, after = planned
                self.at(self.now + after, lambda attempt=attempt, outcome=outcome: self._end(attempt, outcome))

    def _end(self, attempt, outcome):
        if self.in_flight.pop((attempt.part_id, attempt.number), None) is not None:
            self.driver.attempt_completed(attempt, outcome, ("rows", attempt.plan))

    def cancel(self, attempt):
        self.in_flight.pop((attempt.part_id, attempt.number), None)

    def begun(self, attempt):
        return (attempt.part_id, attempt.number) not in self.unsent

    def close_idle(self, node): ...

    # -- ServerList
    def follow(self, on): ...

    def read_list(self): ...

    # -- Observer
    def attempt_ended(self, attempt, outcome, took_ms):
        if outcome == api.Outcome.NOT_SENT:  # cancelled before a byte was sent
            assert (attempt.part_id, attempt.number) not in self.in_flight
        else:
            self.ends[attempt.part_id, attempt.number] += 1

    def query_ended(self, *_): ...

    def stepped(self, *_): ...

    def report_fault(self, kind, detail):
        self.faults.append((kind, detail))

    def ask(self, cls=ALL, shards=(0, 1), time_left_ms=2000.0, more=2):
        sink = Sink(self, len(shards), more)
        plans = [PartPlan(s, 1 / len(shards), None, None) for s in shards]
        sink.id = self.driver.submit(QueryPlan(cls, 0, 0, time_left_ms, False, None, plans), sink)
        sink.time_left_ms = time_left_ms
        return sink


def succeed(after=10.0):
    return lambda attempt: (api.Outcome.OK, after)


def test_a_query_is_answered_with_its_results():
    network = SimulatedNetwork(succeed())
    sink = network.ask()
    network.run(100.0)
    assert [result for _, result in sink.results_reported] == ["answered"]
    assert sink.complete
    assert {p.shard for p, _ in sink.results} == {0, 1}
    assert all(r == ("rows", p) for p, r in sink.results)
    assert not network.driver.queries
    assert network.driver.open_parts == 0


class Payload:
    """Stands in for the text of a query."""


def test_the_payload_of_an_ended_query_is_not_kept_until_its_deadline():
    # Timers kept each attempt, and so the text of its query, until its time-out: clients that sent large queries one
    # after the other, or left at once, filled the memory.
    network = SimulatedNetwork(succeed())
    payload = Payload()
    kept = weakref.ref(payload)
    sink = Sink(network)
    network.driver.submit(QueryPlan(ALL, 0, 0, 2000.0, False, None, [PartPlan(0, 1.0, None, payload)]), sink)
    del payload
    network.run(50.0)
    assert [result for _, result in sink.results_reported] == ["answered"]
    network.sent.clear()
    sink.results.clear()
    network.ask()  # the last turn's attempts are replaced
    network.run(50.0)
    gc.collect()
    assert kept() is None


def test_an_exception_of_the_transport_leaves_no_query_without_its_result():
    # The turn ended with the exception and set no next timer, so that queries waited for the next event.
    class FailingTransport(SimulatedNetwork):
        def send(self, node, attempts):
            raise RuntimeError("a defect")

    network = FailingTransport(lambda attempt: None)
    sink = network.ask(time_left_ms=500.0)
    for _ in range(10):
        with contextlib.suppress(RuntimeError):
            network.run(100.0)
    assert len(sink.results_reported) == 1
    assert sink.results_reported[0][0] <= sink.submitted_at + 500.0
    assert "send failed" in [kind for kind, _ in network.faults]
    assert not network.driver.queries


def test_parts_of_one_turn_to_one_server_share_a_call():
    network = SimulatedNetwork(succeed(), parts_per_call=2)
    network.ask(shards=(0, 1, 2, 3))
    network.run(100.0)
    assert sum(count for _, count in network.calls) == 4
    assert max(count for _, count in network.calls) == 2


def test_a_second_step_is_fetched_and_its_query_answered_once():
    network = SimulatedNetwork(succeed())
    sink = network.ask(TWO_STEP, shards=(0, 1, 2))
    network.run(200.0)
    assert len(network.sent) == 5
    assert [result for _, result in sink.results_reported] == ["answered"]
    none = network.ask(TWO_STEP, shards=(0, 1, 2), more=0)
    network.run(200.0)
    assert [result for _, result in none.results_reported] == ["answered"]
    assert none.complete
    assert len(none.results) == 3
    assert not network.driver.queries
    assert not network.driver.module.queries.by_id


def test_a_disconnected_client_gets_no_answer_and_its_attempts_are_cancelled():
    network = SimulatedNetwork(lambda attempt: None)
    sink = network.ask()
    network.run(5.0)
    assert network.in_flight
    network.driver.client_disconnected(sink.id)
    network.run(5000.0)
    assert not sink.results_reported
    assert not network.in_flight
    assert not network.driver.queries
    assert all(count == 1 for count in network.ends.values())


def test_a_part_that_ends_in_the_turn_in_which_its_client_disconnects_is_not_retried():
    # Guards against an order of events in which the aggregator received the end of the part first, decided on a retry
    # that was never made, and counted it forever.
    network = SimulatedNetwork(lambda attempt: None)
    sink = network.ask(shards=(0,))
    network.run(5.0)
    ((key, attempt),) = network.in_flight.items()
    network._end(attempt, api.Outcome.RESET)
    network.driver.client_disconnected(sink.id)
    network.run(5.0)
    assert list(network.ends) == [key]
    assert len(network.sent) == 1
    assert not network.faults
    assert not network.driver.module.queries.attempts
    assert not network.driver.module.queries.by_id


def test_nothing_is_sent_for_a_client_that_disconnects_in_the_turn_of_its_query():
    network = SimulatedNetwork(lambda attempt: None)
    sink, other = network.ask(), network.ask(shards=(2,))
    network.driver.client_disconnected(sink.id)
    network.run(5.0)
    assert [attempt.query_id for _, attempt in network.sent] == [other.id]
    assert not network.faults
    assert list(network.driver.module.queries.by_id) == [other.id]


@pytest.mark.parametrize("cancel", [True, False])
def test_attempts_not_begun_when_their_query_ends_are_never_sent(cancel):
    network = SimulatedNetwork(lambda attempt: None if attempt.plan.shard else (api.Outcome.OK, 10.0), cancel=cancel)
    sink = network.ask(ANY, shards=(0, 1))
    network.run(5.0)
    network.unsent |= {key for key, attempt in network.in_flight.items() if attempt.plan.shard}
    assert network.unsent
    network.run(100.0)
    assert [result for _, result in sink.results_reported] == ["answered"]
    assert not network.in_flight
    assert not network.driver._in_flight
    assert not network.driver.module.queries.attempts


def test_a_retry_not_begun_within_its_window_is_cancelled_and_its_query_fails():
    network = SimulatedNetwork(lambda attempt: (api.Outcome.RESET, 100.0) if not attempt.number else None)
    sink = network.ask(KEYED, shards=(0,))
    network.run(150.0)
    (_, first), (_, again) = network.sent
    assert again.begin_by_ms == first.sent_ms + 400.0 - EARLY_FINISH_MS
    assert first.begin_by_ms == math.inf
    network.unsent |= set(network.in_flight)
    network.run(300.0)
    assert [result for _, result in sink.results_reported] == ["failed"]
    assert not network.in_flight
    assert sink.results_reported[0][0] <= first.sent_ms + 400.0


def test_a_query_beyond_the_capacity_is_rejected_at_once():
    network = SimulatedNetwork(lambda attempt: None, max_open=5)
    first, second = network.ask(shards=(0, 1)), network.ask(shards=(0, 1))
    assert second.id is None
    assert second.results_reported == [(network.now, "refused")]
    assert not first.results_reported
    network.run(3000.0)
    assert network.ask(shards=(0, 1)).id is not None


def test_no_query_is_lost_if_the_aggregator_raises():
    class Failing(Aggregator):
        def step(self, now_ms, events):
            if any(isinstance(e, api.AttemptCompleted) for e in events):
                raise RuntimeError("a defect")
            return super().step(now_ms, events)

        def _review(self, now_ms): ...

    network = SimulatedNetwork(succeed(), module=Failing)
    sink = network.ask(time_left_ms=500.0)
    network.run(1000.0)
    assert [result for _, result in sink.results_reported] == ["failed"]
    assert sink.results_reported[0][0] <= sink.submitted_at + 500.0
    assert ("step failed", "RuntimeError: a defect") in network.faults


@pytest.mark.parametrize("seed", range(25))
def test_random_networks_end_every_query_once_and_every_attempt_once(seed):
    rng = random.Random(seed)
    outcomes = [
        outcome
        for outcome in api.Outcome
        if outcome not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT, api.Outcome.TIMEOUT)
    ]
    weights = [rng.choice([1, 5, 30]) if outcome == api.Outcome.OK else rng.choice([0, 1, 3]) for outcome in outcomes]
    weights[outcomes.index(api.Outcome.OK)] += 1

    def outcome_of(attempt):
        if rng.random() < 0.05:
            return None
        return rng.choices(outcomes, weights)[0], rng.choice([0.0, 1.0, 20.0, 300.0, 5000.0]) * rng.random()

    network = SimulatedNetwork(outcome_of, seed, max_open=60, parts_per_call=rng.choice([1, 4]))
    sinks, disconnected = [], set()
    for _ in range(150):
        cls = rng.choice([ALL, ANY, KEYED, UNSAFE, TWO_STEP])
        shards = rng.sample(range(4), 1 if cls in (KEYED, UNSAFE) else rng.randint(1, 4))
        sink = network.ask(cls, shards, rng.choice([0.0, 50.0, 500.0, 2500.0]), rng.choice([0, 2]))
        sinks.append(sink)
        network.run(rng.choice([0.0, 1.0, 30.0]))
        if rng.random() < 0.1 and sink.id in network.driver.queries:
            network.driver.client_disconnected(sink.id)
            disconnected.add(sink)
        if rng.random() < 0.05:
            state = rng.choice(list(api.EndpointState))
            network.driver.update_endpoints(
                api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10 + rng.randrange(8), rng.randrange(4), state),))
            )
    network.run(20_000.0)
    for sink in sinks:
        assert len(sink.results_reported) == (0 if sink in disconnected else 1)
        if sink.results_reported:
            assert sink.results_reported[0][0] <= sink.submitted_at + sink.time_left_ms + 20.0
    assert all(count == 1 for count in network.ends.values())
    assert len(network.ends) == len(network.sent)
    assert not network.driver.queries
    assert network.driver.open_parts == 0
    assert not network.in_flight
    assert not network.driver._in_flight
    assert not network.driver._attempt_counts
    assert not network.driver._query_of_part
    assert not network.driver.module.queries.attempts
    assert not [t for t in network.faults if t[0] == "send after the end"]
    attempts_per_part = Counter(attempt.part_id for _, attempt in network.sent)
    assert max(attempts_per_part.values()) <= SETTINGS.max_attempts


def test_a_sink_that_raises_affects_no_other_query():
    class Failing(Sink):
        def answered(self, results, complete):
            raise RuntimeError("a defect")

    network = SimulatedNetwork(succeed())
    failing = Failing(network)
    network.driver.submit(QueryPlan(ALL, 0, 0, 500.0, False, None, [PartPlan(0, 1.0, None, None)]), failing)
    working = network.ask(time_left_ms=500.0)
    network.run(600.0)
    assert [result for _, result in working.results_reported] == ["answered"]
    assert not network.driver.queries
    assert ("a sink broke", "RuntimeError: a defect") in network.faults


def test_nothing_is_sent_for_a_disconnected_client_before_the_disconnect_event():
    network = SimulatedNetwork(succeed())
    sink = network.ask()
    sink.client_left = True  # the socket is closed, but the event loop has not read that yet
    network.run(100.0)
    assert network.sent == []
    assert sink.results_reported == []
    assert network.driver.idle


def test_no_further_attempt_is_sent_for_a_disconnected_client():
    network = SimulatedNetwork(lambda attempt: (api.Outcome.REJECTED, 10.0))
    sink = network.ask()
    network.run(5.0)
    first = len(network.sent)
    assert first > 0
    sink.client_left = True
    network.run(3000.0)
    assert len(network.sent) == first
    assert sink.results_reported == []


def test_a_query_that_expires_before_its_turn_is_rejected_and_not_sent():
    network = SimulatedNetwork(succeed())
    sink = network.ask(time_left_ms=0.5)
    network.now += 5.0  # the process was delayed
    network.run(100.0)
    assert [result for _, result in sink.results_reported] == ["refused"]
    assert network.sent == []
    assert network.faults == []
    assert network.driver.idle


def test_a_query_whose_turn_is_late_ends_by_its_deadline():
    network = SimulatedNetwork(lambda attempt: None)
    sink = network.ask(time_left_ms=200.0)
    network.now += 100.0  # the process was delayed
    network.run(400.0)
    assert [result for _, result in sink.results_reported] == ["refused"]
    assert all(attempt.timeout_ms <= 100.0 for _, attempt in network.sent)
    assert sink.results_reported[0][0] <= sink.submitted_at + 200.0
    assert network.faults == []
