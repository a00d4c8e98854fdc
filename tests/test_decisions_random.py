"""Random streams of events: the six rules hold over settings that no single test combines."""

import random
from collections import defaultdict
from dataclasses import replace

import pytest
from conftest import SETTINGS, endpoint

from badgerbend import Aggregator, api
from badgerbend.api import Outcome

ENDS = (api.Answer, api.Reject, api.Fail)
BAD = (Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.NOT_SENT)
PROOF = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
CLASSES = (
    api.QueryClass(800.0, 2000.0, "safe", 0.0, 0.3, 1.0, 0.6, 0.6, 0.9, 0),
    api.QueryClass(800.0, 2000.0, "safe", 0.0, 0.1, 2.0, 1.0, 0.7, 0.9, 2),
    api.QueryClass(600.0, 2000.0, "unsafe", 0.0, 0.0, 1.0, 1.0, 1.0, 0.9, 0),
    api.QueryClass(600.0, 2000.0, "keyed", 500.0, 0.1, 1.0, 1.0, 1.0, 0.9, 0),
)


class Referee:
    """Plays a small, unkind world to one aggregator and checks each action as it comes."""

    def __init__(self, seed, settings):
        self.rng, self.set, self.now = random.Random(seed), settings, 1000.0
        self.agg = Aggregator(settings, seed)
        self.next_id, self.number, self.due = 1, 0, []
        self.queries, self.parts, self.leaving = {}, {}, set()
        self.attempts, self.unproven = defaultdict(int), defaultdict(dict)
        self.taken, self.extra = [], []
        self.step([api.EndpointUpdate(api.UpdateKind.CACHED, tuple(endpoint(10 + i, i % 4) for i in range(8)))])

    def step(self, events):
        for e in events:
            if isinstance(e, api.AttemptCompleted) and e.outcome in PROOF:
                self.unproven[e.part].pop(e.attempt, None)
            if isinstance(e, api.AttemptCompleted) and e.outcome == Outcome.OK and e.part in self.parts:
                self.parts[e.part]["ok"] = True
        for a in self.agg.step(self.now, events):
            self.check(a)

    def check(self, a):
        if isinstance(a, api.Send):
            part = self.parts[a.part]
            q = self.queries[part["query"]]
            assert q["open"]
            assert self.now < q["end"]
            assert a.node not in self.leaving
            n, sent = self.attempts[a.part], self.unproven[a.part]
            assert n < self.set.max_attempts
            if q["cls"].effect == "unsafe":
                assert not sent
            elif q["cls"].effect == "keyed" and sent:
                assert self.now <= min(sent.values()) + q["cls"].idempotency_window_ms
            if n and self.set.retry_budget_window_ms:
                since = self.now - self.set.retry_budget_window_ms
                self.extra = [t for t in self.extra if t > since] + [self.now]
                taken = sum(1 for t in self.taken if t > since)
                assert len(self.extra) <= self.set.retry_budget_min + self.set.retry_budget_share * taken
            sent[n] = self.now
            self.attempts[a.part] = n + 1
            slow = self.rng.random() < 0.15
            ended = Outcome.OK if self.rng.random() < 0.75 else self.rng.choice(BAD)
            took = self.rng.uniform(1.0, 90.0) if not slow else self.rng.uniform(300.0, 3000.0)
            took = min(took, a.timeout_ms)
            ended = ended if took < a.timeout_ms else Outcome.TIMEOUT
            self.due.append((self.now + took, a.part, n, a.node, ended, took))
        elif isinstance(a, api.Cancel):
            for d in [d for d in self.due if d[1:3] == (a.part, a.attempt)]:
                self.due.remove(d)
                self.due.append((self.now, *d[1:4], Outcome.CANCELLED, 50.0))
        elif isinstance(a, ENDS):
            q = self.queries[a.query]
            assert q["open"]
            assert self.now <= q["end"] + 20.0
            mine = [p for p in self.parts.values() if p["query"] == a.query and p["step"] == q["step"]]
            share = sum(p["weight"] for p in mine if p.get("ok"))
            if isinstance(a, api.Reject) and q["cls"].effect == "unsafe":
                assert not any(self.unproven[p["id"]] for p in mine)
            if isinstance(a, api.Answer):
                last = q["step"] == 2
                need = 1.0 if last else q["cls"].complete_weight
                least = q["cls"].minimum_weight if q["cls"].minimum_weight < q["cls"].complete_weight else need
                assert share >= least - 1e-4
                assert not a.complete or (share >= need - 1e-4 and q["complete"])
                q["complete"] = q["complete"] and a.complete
                if q["cls"].follow_up_parts and not last:
                    q["step"], q["more"] = 2, True
                    return
            q["open"] = False
        else:
            assert not isinstance(a, api.StartHealthCheck) or self.set.probing

    def submit(self):
        cls = self.rng.randrange(len(CLASSES))
        qid, left = self.next_id, self.rng.choice([15.0, 300.0, 1200.0, 2000.0])
        self.number += 1
        self.queries[qid] = {
            "cls": CLASSES[cls],
            "open": True,
            "end": self.now + left,
            "step": 1,
            "number": self.number,
            "complete": True,
            "more": False,
        }
        self.next_id += 1
        parts = self.more(qid, self.rng.randint(1, 8), 1)
        self.taken += [self.now] * (1 + len(parts))
        return api.Query(qid, self.number, cls, 0, 0, left, False, None, parts)

    def more(self, qid, count, step):
        parts = []
        for _ in range(count):
            pid, self.next_id = self.next_id, self.next_id + 1
            self.parts[pid] = {"id": pid, "query": qid, "weight": 1 / count, "step": step}
            parts.append(api.Part(pid, self.rng.randrange(4), 1 / count, None))
        return tuple(parts)

    def endpoint_update(self):
        node, state = 10 + self.rng.randrange(8), self.rng.choice(list(api.EndpointState))
        if self.rng.random() < 0.3:
            return api.EndpointUpdate(api.UpdateKind.FAILED, ())
        if state == api.EndpointState.READY:
            self.leaving.discard(node)
        else:
            self.leaving.add(node)
        return api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(node, (node - 10) % 4, state, self.now),))

    def play(self, steps):
        for _ in range(steps):
            self.now += 5.0
            now_due = [d for d in self.due if d[0] <= self.now]
            self.due = [d for d in self.due if d[0] > self.now]
            events = [api.AttemptCompleted(p, n, node, out, took, ()) for _, p, n, node, out, took in now_due]
            for qid, q in self.queries.items():
                if q["more"] and q["open"]:
                    q["more"] = False
                    extra = self.more(qid, 2, 2)
                    self.taken += [self.now] * len(extra)
                    events.append(api.FollowUpParts(q["number"], extra))
            if self.rng.random() < 0.15:
                events.append(self.submit())
            if self.rng.random() < 0.02:
                events.append(self.endpoint_update())
            self.step([*events, api.TimerFired(0)])
            late = [q for q in self.queries.values() if q["open"] and self.now > q["end"] + 20.0]
            assert not late


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
def test_the_rules_hold_on_random_days(seed, changes):
    referee = Referee(seed, replace(SETTINGS, classes=CLASSES, cell_count=4, cells_per_shard=2, **changes))
    referee.play(2000)
    assert sum(not q["open"] for q in referee.queries.values()) > 200
