"""The audit of a day detects each rule that a broker breaks, and passes a correct broker under the same faults.

For each rule there is a broker with a planted defect and a fault under which the defect shows.
"""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from badgerbend import api
from badgerbend.broker import Broker
from badgerbend.config.reading import load
from badgerbend.decisions import Aggregator
from badgerbend.standin.audit import AuditLimits, audit
from badgerbend.standin.traffic import Flow, LoadGenerator
from badgerbend.standin.work import Model
from tests.replacing import replace_attribute
from tests.sockets import EXAMPLE, BrokerFixture, run, until

RULES = ("lost", "duplicated", "drains", "cold", "honest", "budget")


class DiscardingSink:
    """Accepts the results of a query and forwards none of them to its client."""

    def client_has_left(self):
        return False

    def follow_up_parts(self, results):
        return ()

    def answered(self, results, whole): ...

    def rejected(self, retry_after_ms): ...

    def failed(self): ...


class LosesQueries(Broker):
    """Never answers every third query."""

    def __init__(self, settings, graph):
        super().__init__(settings, graph)
        close = self.driver._close

        def close_without_answer(query, how):
            sink = close(query, how)
            return DiscardingSink() if query.id % 3 == 0 else sink

        replace_attribute(self.driver, "_close", close_without_answer)


class RetriesUnsafe(Broker):
    """Sends parts again regardless of whether they may have taken effect."""

    class decisions(Aggregator):  # noqa: N801
        def __init__(self, settings, *more):
            super().__init__(settings, *more)
            limit = settings.max_attempts
            replace_attribute(self.retries, "is_exhausted", lambda part, now_ms: part.attempts_made >= limit)


class IgnoresDrains(Broker):
    """Treats every listed server as ready."""

    class decisions(Aggregator):  # noqa: N801
        def _update_endpoints(self, update, now_ms):
            endpoints = tuple(replace(endpoint, state=api.EndpointState.READY) for endpoint in update.endpoints)
            super()._update_endpoints(api.EndpointUpdate(update.kind, endpoints), now_ms)


class IgnoresSlowStart(Broker):
    """Sends as much to cold servers as to warm ones."""

    class decisions(Aggregator):  # noqa: N801
        def __init__(self, *settings):
            super().__init__(*settings)
            replace_attribute(self.slow_start, "admits", lambda server, part, now_ms: True)


class AnswersTooEarly(Broker):
    """Reports answers as whole that contain too small a share of the parts."""

    def __init__(self, settings, graph, **more):
        lenient = tuple(msgspec.structs.replace(c, need=0.25, floor=0.25) if c.need < 1 else c for c in settings.class_)
        super().__init__(msgspec.structs.replace(settings, class_=lenient), graph, **more)


class NoAttemptBudget(Broker):
    """Sends further attempts without a budget."""

    def __init__(self, settings, graph, **more):
        unlimited = msgspec.structs.replace(settings.attempts, free=None, share=None, window_ms=None)
        super().__init__(msgspec.structs.replace(settings, attempts=unlimited), graph, **more)


async def refuse_half(stage):
    for name in list(stage.world.servers)[::2]:
        stage.world.servers[name].faults.bad_for = frozenset({0})
        stage.world.servers[name].faults.bad_how = "refuse"


async def drain_half(stage):
    await asyncio.sleep(0.2)
    for name in list(stage.world.servers)[::2]:
        stage.world.drain(name)


async def restart_many(stage):
    """Restarts servers, after the broker has learned that they are gone.

    What it sent before it could know is not its fault.
    """
    await asyncio.sleep(0.5)
    names = list(stage.world.servers)[:6]
    for name in names:
        stage.world.crash(name)
    numbers = {name: node for node, name in stage.broker.directory.names.items()}
    nodes = stage.broker.driver.module.endpoints.servers
    await until(lambda: not any(numbers[n] in nodes and nodes[numbers[n]].ready for n in names))
    for name in names:
        await stage.world.restart(name)


async def error_some(stage):
    for name in list(stage.world.servers)[:6]:
        stage.world.servers[name].faults.errors = 1.0


async def no_fault(stage):
    return


QUOTES = Flow("q", ("fullQuote",), 30, 4, deadline_ms=1500, retries=0)
COMPARES = Flow("c", ("rateCompare",), 20, 8, deadline_ms=1500, retries=0)
SIGNS = Flow("s", ("signLease",), 40, deadline_ms=1500, retries=0)
TIGHT = Model(part_ms=30.0, call_ms=0.0, cores=1, room=500, cold_from=0.05, cold_ms=20_000.0, overload_factor=1.5)

SLOW_START = {"cold_from": 0.05, "cold_ms": 20_000.0, "overload_factor": 1.5}
SCENES = {
    "lost": (LosesQueries, QUOTES, no_fault, {}),
    "duplicated": (RetriesUnsafe, SIGNS, refuse_half, {}),
    "drains": (IgnoresDrains, QUOTES, drain_half, {}),
    "cold": (IgnoresSlowStart, QUOTES, restart_many, {"model": TIGHT, "servers": SLOW_START}),
    "honest": (AnswersTooEarly, COMPARES, no_fault, {}),
    "budget": (NoAttemptBudget, QUOTES, error_some, {}),
}


async def findings(broker, flow, cause_fault, changes):
    async with BrokerFixture(broker=broker, listen={"answer_allowance_ms": 500.0}, **changes) as stage:
        limits = AuditLimits(stage.settings, answer_slack_ms=500.0, wire_slack_ms=500.0)  # CI machines may stall
        load = LoadGenerator([stage.port], 24, 5, stage.records.append)
        load.start(flow)
        fault = asyncio.ensure_future(cause_fault(stage))
        await asyncio.sleep(2.5)
        load.stop()
        while load.in_flight:
            await asyncio.sleep(0.02)
        await fault
        load.close()
        return audit(stage.records, limits)


@pytest.mark.parametrize("rule", RULES)
def test_a_broker_that_breaks_a_rule_is_caught(rule):
    """Up to three runs: whether a defect shows depends on chance, for a cold server on the load it happens to get."""
    defective, flow, cause_fault, changes = SCENES[rule]
    runs = (run(lambda: findings(defective, flow, cause_fault, dict(changes))) for _ in range(3))
    assert any(found[RULES.index(rule)].cases for found in runs)


@pytest.mark.parametrize("rule", RULES)
def test_a_correct_broker_under_the_same_faults_is_not(rule):
    _, flow, cause_fault, changes = SCENES[rule]
    found = run(lambda: findings(Broker, flow, cause_fault, dict(changes)))
    assert {f.name: f.cases for f in found if f.cases} == {}
    assert found[RULES.index(rule)].checked > 0 or rule == "budget"


def test_more_than_one_answer_and_a_late_one_are_cases():
    limits = AuditLimits(load(EXAMPLE))
    ask = {
        "k": "ask",
        "t": 0.0,
        "trace": "a",
        "broker": 0,
        "left_ms": 100.0,
        "fields": [{"key": "f0", "field": "fullQuote", "blocks": [1], "amount": 5.0}],
    }
    end = {"k": "end", "trace": "a", "how": "answer", "fields": {"f0": {"state": "refused"}}}
    good = audit([ask, {**end, "t": 90.0}], limits)
    assert not good[0].cases
    assert good[0].checked == 1
    assert "2 answers" in audit([ask, {**end, "t": 90.0}, {**end, "t": 95.0}], limits)[0].cases[0]
    assert "late" in audit([ask, {**end, "t": 190.0}], limits)[0].cases[0]
    assert "no end" in audit([ask], limits)[0].cases[0]


def test_a_request_to_a_broker_that_is_being_killed_does_not_count_as_lost_and_a_later_one_does():
    limits = AuditLimits(load(EXAMPLE))
    ask = {"k": "ask", "trace": "a", "broker": 0, "left_ms": 100.0, "fields": []}
    end = {"k": "end", "trace": "a", "how": "closed", "fields": {}}
    for at, lost in ((5.0, False), (11.0, False), (12.5, True)):
        lines = [
            {**ask, "t": at},
            {"k": "broker killed", "t": 10.0, "broker": 0},
            {"k": "broker dead", "t": 12.0, "broker": 0},
            {**end, "t": at + 8.0},
        ]
        assert bool(audit(lines, limits)[0].cases) is lost
