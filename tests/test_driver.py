"""The driver against a scripted network, in time of the test's own: one final answer a query, one end an attempt."""

import math
import random
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
    def __init__(self, rig, parts=1, more=0):
        self.rig, self.parts, self.extra, self.finals, self.whole, self.results = rig, parts, more, [], None, []
        self.asked = rig.now
        self.client_left = False

    def client_has_left(self):
        return self.client_left

    def follow_up_parts(self, results):
        assert not self.finals
        return [PartPlan(p.shard, 1 / self.extra, None, None) for p, _ in results[: self.extra]]

    def answered(self, results, whole):
        self.results, self.whole = results, whole
        self._final("answered")

    def rejected(self, retry_after_ms):
        self._final("refused")

    def failed(self):
        self._final("failed")

    def _final(self, how):
        self.finals.append((self.rig.now, how))


class Rig(Clock):
    """A clock, a network and an observer. `fate` says how an attempt ends and when, or None for never."""

    def __init__(self, fate, seed=1, module=Aggregator, **changes):
        super().__init__()
        self.fate = fate
        self.sent, self.ends, self.troubles, self.live, self.calls = [], Counter(), [], {}, []
        self.unbegun = set()  # attempts of which no byte has left
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
        for a in attempts:
            key = (a.part_id, a.number)
            assert key not in self.live
            assert self.ends[key] == 0
            self.sent.append((self.now, a))
            self.live[key] = a
            fate = self.fate(a)
            if fate is not None:
                outcome, after = fate
                self.at(self.now + after, lambda a=a, o=outcome: self._end(a, o))

    def _end(self, a, outcome):
        if self.live.pop((a.part_id, a.number), None) is not None:
            self.driver.attempt_completed(a, outcome, ("rows", a.plan))

    def cancel(self, a):
        self.live.pop((a.part_id, a.number), None)

    def begun(self, a):
        return (a.part_id, a.number) not in self.unbegun

    def close_idle(self, node): ...

    # -- ServerList
    def follow(self, on): ...

    def read_list(self): ...

    # -- Observer
    def attempt_ended(self, a, outcome, took_ms):
        if outcome == api.Outcome.NOT_SENT:  # called off in the step that sent it: it never left
            assert (a.part_id, a.number) not in self.live
        else:
            self.ends[a.part_id, a.number] += 1

    def query_ended(self, *_): ...

    def stepped(self, *_): ...

    def report_fault(self, what, detail):
        self.troubles.append((what, detail))

    def ask(self, cls=ALL, shards=(0, 1), left=2000.0, more=2):
        sink = Sink(self, len(shards), more)
        plans = [PartPlan(s, 1 / len(shards), None, None) for s in shards]
        sink.id = self.driver.submit(QueryPlan(cls, 0, 0, left, False, None, plans), sink)
        sink.left = left
        return sink


def ok(after=10.0):
    return lambda a: (api.Outcome.OK, after)


def test_a_query_is_answered_with_its_results():
    rig = Rig(ok())
    sink = rig.ask()
    rig.run(100.0)
    assert [how for _, how in sink.finals] == ["answered"]
    assert sink.whole
    assert {p.shard for p, _ in sink.results} == {0, 1}
    assert all(r == ("rows", p) for p, r in sink.results)
    assert not rig.driver.queries
    assert rig.driver.open_parts == 0


def test_parts_of_one_turn_to_one_server_share_a_call():
    rig = Rig(ok(), parts_per_call=2)
    rig.ask(shards=(0, 1, 2, 3))
    rig.run(100.0)
    assert sum(n for _, n in rig.calls) == 4
    assert max(n for _, n in rig.calls) == 2


def test_a_second_step_is_fetched_and_answered_once():
    rig = Rig(ok())
    sink = rig.ask(TWO_STEP, shards=(0, 1, 2))
    rig.run(200.0)
    assert len(rig.sent) == 5
    assert [how for _, how in sink.finals] == ["answered"]
    none = rig.ask(TWO_STEP, shards=(0, 1, 2), more=0)
    rig.run(200.0)
    assert [how for _, how in none.finals] == ["answered"]
    assert none.whole
    assert len(none.results) == 3
    assert not rig.driver.queries
    assert not rig.driver.module.queries.by_id


def test_a_client_that_left_hears_nothing_and_its_attempts_are_called_off():
    rig = Rig(lambda a: None)
    sink = rig.ask()
    rig.run(5.0)
    assert rig.live
    rig.driver.client_disconnected(sink.id)
    rig.run(5000.0)
    assert not sink.finals
    assert not rig.live
    assert not rig.driver.queries
    assert all(n == 1 for n in rig.ends.values())


def test_a_part_that_ends_in_the_turn_in_which_its_client_leaves_is_not_tried_again():
    # The module heard of the end first, decided on another try, and counted that for ever: it was never made.
    rig = Rig(lambda a: None)
    sink = rig.ask(shards=(0,))
    rig.run(5.0)
    ((key, attempt),) = rig.live.items()
    rig._end(attempt, api.Outcome.RESET)
    rig.driver.client_disconnected(sink.id)
    rig.run(5.0)
    assert list(rig.ends) == [key]
    assert len(rig.sent) == 1
    assert not rig.troubles
    assert not rig.driver.module.queries.attempts
    assert not rig.driver.module.queries.by_id


def test_a_client_that_leaves_in_the_turn_of_its_query_costs_no_server():
    rig = Rig(lambda a: None)
    sink, other = rig.ask(), rig.ask(shards=(2,))
    rig.driver.client_disconnected(sink.id)
    rig.run(5.0)
    assert [a.query_id for _, a in rig.sent] == [other.id]
    assert not rig.troubles
    assert list(rig.driver.module.queries.by_id) == [other.id]


@pytest.mark.parametrize("cancel", [True, False])
def test_what_has_not_begun_when_its_query_ends_never_does(cancel):
    rig = Rig(lambda a: None if a.plan.shard else (api.Outcome.OK, 10.0), cancel=cancel)
    sink = rig.ask(ANY, shards=(0, 1))
    rig.run(5.0)
    rig.unbegun |= {key for key, a in rig.live.items() if a.plan.shard}
    assert rig.unbegun
    rig.run(100.0)
    assert [how for _, how in sink.finals] == ["answered"]
    assert not rig.live
    assert not rig.driver._out
    assert not rig.driver.module.queries.attempts


def test_a_repeat_that_has_not_begun_within_its_window_comes_back_and_its_query_is_over():
    rig = Rig(lambda a: (api.Outcome.RESET, 100.0) if not a.number else None)
    sink = rig.ask(KEYED, shards=(0,))
    rig.run(150.0)
    (_, first), (_, again) = rig.sent
    assert again.begin_by_ms == first.sent_ms + 400.0 - EARLY_FINISH_MS
    assert first.begin_by_ms == math.inf
    rig.unbegun |= set(rig.live)
    rig.run(300.0)
    assert [how for _, how in sink.finals] == ["failed"]
    assert not rig.live
    assert sink.finals[0][0] <= first.sent_ms + 400.0


def test_no_room_is_refused_at_once():
    rig = Rig(lambda a: None, max_open=5)
    first, second = rig.ask(shards=(0, 1)), rig.ask(shards=(0, 1))
    assert second.id is None
    assert second.finals == [(rig.now, "refused")]
    assert not first.finals
    rig.run(3000.0)
    assert rig.ask(shards=(0, 1)).id is not None


def test_a_module_that_breaks_loses_no_query():
    class Broken(Aggregator):
        def step(self, now_ms, events):
            if any(isinstance(e, api.AttemptCompleted) for e in events):
                raise RuntimeError("a defect")
            return super().step(now_ms, events)

        def _review(self, now_ms): ...

    rig = Rig(ok(), module=Broken)
    sink = rig.ask(left=500.0)
    rig.run(1000.0)
    assert [how for _, how in sink.finals] == ["failed"]
    assert sink.finals[0][0] <= sink.asked + 500.0
    assert ("step failed", "RuntimeError: a defect") in rig.troubles


@pytest.mark.parametrize("seed", range(25))
def test_random_networks_end_every_query_once_and_every_attempt_once(seed):
    rng = random.Random(seed)
    outcomes = [o for o in api.Outcome if o not in (api.Outcome.CANCELLED, api.Outcome.NOT_SENT, api.Outcome.TIMEOUT)]
    weights = [rng.choice([1, 5, 30]) if o == api.Outcome.OK else rng.choice([0, 1, 3]) for o in outcomes]
    weights[outcomes.index(api.Outcome.OK)] += 1

    def fate(a):
        if rng.random() < 0.05:
            return None
        return rng.choices(outcomes, weights)[0], rng.choice([0.0, 1.0, 20.0, 300.0, 5000.0]) * rng.random()

    rig = Rig(fate, seed, max_open=60, parts_per_call=rng.choice([1, 4]))
    sinks, gone = [], set()
    for _ in range(150):
        cls = rng.choice([ALL, ANY, KEYED, UNSAFE, TWO_STEP])
        shards = rng.sample(range(4), 1 if cls in (KEYED, UNSAFE) else rng.randint(1, 4))
        sink = rig.ask(cls, shards, rng.choice([0.0, 50.0, 500.0, 2500.0]), rng.choice([0, 2]))
        sinks.append(sink)
        rig.run(rng.choice([0.0, 1.0, 30.0]))
        if rng.random() < 0.1 and sink.id in rig.driver.queries:
            rig.driver.client_disconnected(sink.id)
            gone.add(sink)
        if rng.random() < 0.05:
            state = rng.choice(list(api.EndpointState))
            rig.driver.update_endpoints(
                api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10 + rng.randrange(8), rng.randrange(4), state),))
            )
    rig.run(20_000.0)
    for sink in sinks:
        assert len(sink.finals) == (0 if sink in gone else 1)
        if sink.finals:
            assert sink.finals[0][0] <= sink.asked + sink.left + 20.0
    assert all(n == 1 for n in rig.ends.values())
    assert len(rig.ends) == len(rig.sent)
    assert not rig.driver.queries
    assert rig.driver.open_parts == 0
    assert not rig.live
    assert not rig.driver._out
    assert not rig.driver._tries
    assert not rig.driver._owners
    assert not rig.driver.module.queries.attempts
    assert not [t for t in rig.troubles if t[0] == "send after the end"]
    ran = Counter(a.part_id for _, a in rig.sent)
    assert max(ran.values()) <= SETTINGS.max_attempts


def test_a_sink_that_breaks_stops_no_other_query():
    class Broken(Sink):
        def answered(self, results, whole):
            raise RuntimeError("a defect")

    rig = Rig(ok())
    broken = Broken(rig)
    rig.driver.submit(QueryPlan(ALL, 0, 0, 500.0, False, None, [PartPlan(0, 1.0, None, None)]), broken)
    sound = rig.ask(left=500.0)
    rig.run(600.0)
    assert [how for _, how in sound.finals] == ["answered"]
    assert not rig.driver.queries
    assert ("a sink broke", "RuntimeError: a defect") in rig.troubles


def test_nothing_is_sent_for_a_client_that_has_left_though_nobody_was_told():
    rig = Rig(ok())
    sink = rig.ask()
    sink.client_left = True  # its socket says so; the loop has not read that yet
    rig.run(100.0)
    assert rig.sent == []
    assert sink.finals == []
    assert rig.driver.idle


def test_no_further_attempt_is_sent_for_a_client_that_has_left():
    rig = Rig(lambda a: (api.Outcome.REJECTED, 10.0))
    sink = rig.ask()
    rig.run(5.0)
    first = len(rig.sent)
    assert first > 0
    sink.client_left = True
    rig.run(3000.0)
    assert len(rig.sent) == first
    assert sink.finals == []


def test_a_query_whose_time_is_over_before_it_is_decided_on_is_refused_and_not_sent():
    rig = Rig(ok())
    sink = rig.ask(left=0.5)
    rig.now += 5.0  # the process was held up
    rig.run(100.0)
    assert [how for _, how in sink.finals] == ["refused"]
    assert rig.sent == []
    assert rig.troubles == []
    assert rig.driver.idle


def test_a_query_that_is_decided_on_late_ends_by_its_client_s_time():
    rig = Rig(lambda a: None)
    sink = rig.ask(left=200.0)
    rig.now += 100.0  # the process was held up
    rig.run(400.0)
    assert [how for _, how in sink.finals] == ["refused"]
    assert all(attempt.timeout_ms <= 100.0 for _, attempt in rig.sent)
    assert sink.finals[0][0] <= sink.asked + 200.0
    assert rig.troubles == []
