"""The invariants of the decisions hold for random streams of events and combinations of settings."""

import random
from collections import defaultdict
from dataclasses import replace

import pytest
from conftest import SETTINGS, endpoint

from badgerbend import Aggregator, api
from badgerbend.api import Outcome

FINAL_ACTIONS = (api.Answer, api.Reject, api.Fail)
FAILURES = (Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.NOT_SENT)
NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
CLASSES = (
    api.QueryClass(800.0, 2000.0, "safe", 0.0, 0.3, 1.0, 0.6, 0.6, 0.9, 0),
    api.QueryClass(800.0, 2000.0, "safe", 0.0, 0.1, 2.0, 1.0, 0.7, 0.9, 2),
    api.QueryClass(600.0, 2000.0, "unsafe", 0.0, 0.0, 1.0, 1.0, 1.0, 0.9, 0),
    api.QueryClass(600.0, 2000.0, "keyed", 500.0, 0.1, 1.0, 1.0, 1.0, 0.9, 0),
)


class InvariantChecker:
    """Simulates clients and unreliable servers for one aggregator and checks the invariants on each of its actions."""

    def __init__(self, seed, settings):
        self.rng, self.settings, self.now = random.Random(seed), settings, 1000.0
        self.aggregator = Aggregator(settings, seed)
        self.next_id, self.number, self.completions = 1, 0, []
        self.queries, self.parts, self.unavailable = {}, {}, set()
        self.attempts, self.may_have_run = defaultdict(int), defaultdict(dict)
        self.accepted, self.retries = [], []
        self.step([api.EndpointUpdate(api.UpdateKind.CACHED, tuple(endpoint(10 + i, i % 4) for i in range(8)))])

    def step(self, events):
        for event in events:
            if isinstance(event, api.AttemptCompleted) and event.outcome in NEVER_RAN:
                self.may_have_run[event.part].pop(event.attempt, None)
            if isinstance(event, api.AttemptCompleted) and event.outcome == Outcome.OK and event.part in self.parts:
                self.parts[event.part]["answered"] = True
        for action in self.aggregator.step(self.now, events):
            self.check(action)

    def check(self, action):
        if isinstance(action, api.Send):
            part = self.parts[action.part]
            query = self.queries[part["query"]]
            assert query["open"]
            assert self.now < query["end"]
            assert action.node not in self.unavailable
            number, sent = self.attempts[action.part], self.may_have_run[action.part]
            assert number < self.settings.max_attempts
            if query["class"].effect == "unsafe":
                assert not sent
            elif query["class"].effect == "keyed" and sent:
                assert self.now <= min(sent.values()) + query["class"].idempotency_window_ms
            if number and self.settings.retry_budget_window_ms:
                since = self.now - self.settings.retry_budget_window_ms
                self.retries = [t for t in self.retries if t > since] + [self.now]
                accepted = sum(1 for t in self.accepted if t > since)
                assert len(self.retries) <= self.settings.retry_budget_min + self.settings.retry_budget_share * accepted
            sent[number] = self.now
            self.attempts[action.part] = number + 1
            is_slow = self.rng.random() < 0.15
            outcome = Outcome.OK if self.rng.random() < 0.75 else self.rng.choice(FAILURES)
            latency_ms = self.rng.uniform(1.0, 90.0) if not is_slow else self.rng.uniform(300.0, 3000.0)
            latency_ms = min(latency_ms, action.timeout_ms)
            outcome = outcome if latency_ms < action.timeout_ms else Outcome.TIMEOUT
            self.completions.append((self.now + latency_ms, action.part, number, action.node, outcome, latency_ms))
        elif isinstance(action, api.Cancel):
            for entry in [entry for entry in self.completions if entry[1:3] == (action.part, action.attempt)]:
                self.completions.remove(entry)
                self.completions.append((self.now, *entry[1:4], Outcome.CANCELLED, 50.0))
        elif isinstance(action, FINAL_ACTIONS):
            query = self.queries[action.query]
            assert query["open"]
            assert self.now <= query["end"] + 20.0
            parts = [p for p in self.parts.values() if p["query"] == action.query and p["step"] == query["step"]]
            answered_weight = sum(p["weight"] for p in parts if p.get("answered"))
            if isinstance(action, api.Reject) and query["class"].effect == "unsafe":
                assert not any(self.may_have_run[p["id"]] for p in parts)
            if isinstance(action, api.Answer):
                is_last_step = query["step"] == 2
                complete_weight = 1.0 if is_last_step else query["class"].complete_weight
                least_weight = (
                    query["class"].minimum_weight
                    if query["class"].minimum_weight < query["class"].complete_weight
                    else complete_weight
                )
                assert answered_weight >= least_weight - 1e-4
                assert not action.complete or (answered_weight >= complete_weight - 1e-4 and query["complete"])
                query["complete"] = query["complete"] and action.complete
                if query["class"].follow_up_parts and not is_last_step:
                    query["step"], query["follow_up_due"] = 2, True
                    return
            query["open"] = False
        else:
            assert not isinstance(action, api.StartHealthCheck) or self.settings.probing

    def submit(self):
        class_index = self.rng.randrange(len(CLASSES))
        query_id, time_left_ms = self.next_id, self.rng.choice([15.0, 300.0, 1200.0, 2000.0])
        self.number += 1
        self.queries[query_id] = {
            "class": CLASSES[class_index],
            "open": True,
            "end": self.now + time_left_ms,
            "step": 1,
            "number": self.number,
            "complete": True,
            "follow_up_due": False,
        }
        self.next_id += 1
        parts = self.new_parts(query_id, self.rng.randint(1, 8), 1)
        self.accepted += [self.now] * (1 + len(parts))
        return api.Query(query_id, self.number, class_index, 0, 0, time_left_ms, False, None, parts)

    def new_parts(self, query_id, count, step):
        parts = []
        for _ in range(count):
            part_id, self.next_id = self.next_id, self.next_id + 1
            self.parts[part_id] = {"id": part_id, "query": query_id, "weight": 1 / count, "step": step}
            parts.append(api.Part(part_id, self.rng.randrange(4), 1 / count, None))
        return tuple(parts)

    def endpoint_update(self):
        node, state = 10 + self.rng.randrange(8), self.rng.choice(list(api.EndpointState))
        if self.rng.random() < 0.3:
            return api.EndpointUpdate(api.UpdateKind.FAILED, ())
        if state == api.EndpointState.READY:
            self.unavailable.discard(node)
        else:
            self.unavailable.add(node)
        return api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(node, (node - 10) % 4, state, self.now),))

    def run(self, steps):
        for _ in range(steps):
            self.now += 5.0
            completed = [entry for entry in self.completions if entry[0] <= self.now]
            self.completions = [entry for entry in self.completions if entry[0] > self.now]
            events = [
                api.AttemptCompleted(p, number, node, outcome, latency_ms, ())
                for _, p, number, node, outcome, latency_ms in completed
            ]
            for query_id, query in self.queries.items():
                if query["follow_up_due"] and query["open"]:
                    query["follow_up_due"] = False
                    parts = self.new_parts(query_id, 2, 2)
                    self.accepted += [self.now] * len(parts)
                    events.append(api.FollowUpParts(query["number"], parts))
            if self.rng.random() < 0.15:
                events.append(self.submit())
            if self.rng.random() < 0.02:
                events.append(self.endpoint_update())
            self.step([*events, api.TimerFired(0)])
            overdue = [query for query in self.queries.values() if query["open"] and self.now > query["end"] + 20.0]
            assert not overdue


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize(
    "changes",
    [
        {"retry_budget_min": 5.0, "retry_budget_share": 0.1, "retry_budget_window_ms": 2000.0, "parts_per_call": 4},
        {
            "retry_budget_min": None,
            "retry_budget_share": None,
            "retry_budget_window_ms": None,
            "health_checks": False,
            "tenants": (),
        },
        {"polls_endpoint_list": True, "retry_after": True, "hedging": False},
    ],
)
def test_invariants_hold_for_random_events(seed, changes):
    checker = InvariantChecker(seed, replace(SETTINGS, classes=CLASSES, cell_count=4, cells_per_shard=2, **changes))
    checker.run(2000)
    assert sum(not query["open"] for query in checker.queries.values()) > 200
