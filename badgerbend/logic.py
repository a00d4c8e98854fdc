"""Every decision of badgerbend. Its settings, events and actions are the types of `badgerbend/api.py`.

Order: constants, knowledge, mechanism (r), replica choice, admission, sending, ending queries.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import deque
from itertools import accumulate
from math import inf, isfinite

from badgerbend import api
from badgerbend.api import Outcome

# -- Constants. On call: times are milliseconds; nothing here knows a deployment.
TICK_MS = 20.0  # how often waiting work is looked at; small beside any aim, large beside a batch
END_EARLY_MS = 30.0  # a last answer leaves this long before the client's time is up: one tick and a batch
WINDOW_MS = 10_000.0  # the record's age limit, so that the mix before a shift is gone soon after it
WINDOW_COUNT = 400  # and its size limit: enough for a 95th percentile, cheap to sort each second
PERIOD_MS = 1_000.0  # the design's period for choosing r
DRAWS = 100  # resamples for the order statistics: error of a mean near a tenth of the spread
PARALLEL = 2  # guessed parts that a server serves at once: small servers have two cores
FEW = 20  # below so many answers the record says nothing: a 95th percentile needs twenty
LATE_QUANTILE = 0.95  # a part slower than this share is late: one in twenty is helped for nothing
SILENT_LATES = 4.0  # no word for this many times the late mark: silence, not a pause or bad luck
SLOW_FACTOR = 3.0  # times the fleet's usual answer: more than an older kind of machine explains
SLOW_SAMPLES = 5  # answers whose middle value says so: one costly query must not
TRIAL_MS = 1_000.0  # a suspect is probed this often
BLIND_MS = 5_000.0  # and gets a trial part this often though no probe came back, as in a jam
LONG_SILENCE_MS = 3_000.0  # silence that may have been a restart
MOST_EJECTED = 0.5  # more suspects than this share: the cause is load or ourselves, so none is ejected
HEDGE_SHARE = 0.7  # share of the budget open to hedges; the rest is kept for proven failures
OWN_FREE, OWN_SHARE, OWN_WINDOW_MS = 5.0, 0.1, 5_000.0  # our own attempt budget where none is stated
REPEAT_MARGIN_MS = 50.0  # keyed repeats stop this long before the server forgets the key
JAM_MS = 2_000.0  # how far back the answers count that foretell a query's time
SPREAD = 1.3  # a query waits for the slowest of a few parts, not for the mean one
REFUSE_AT = 0.7  # turn away what is foreseen to take more than this share of the time to its aim
REFUSE_OVER_QUOTA_AT = 0.35  # a tenant beyond its quota is let in only with twice that room


# -- Knowledge. On call: what this broker has seen; none of it outlives a restart.
class _Node:
    """One server, as this broker sees it."""

    def __init__(self, line: api.NodeLine) -> None:
        self.id, self.cell, self.ready, self.started = line.node, line.cell, False, line.started_ms
        self.cold_since = -inf
        self.out: dict[tuple[int, int], float] = {}  # our attempts out: when sent
        self.calls: dict[float, int] = {}  # parts out of each call, by the time of the call
        self.waiting_since = inf  # when we began to wait for the next word from it
        self.pace: deque[float] = deque(maxlen=SLOW_SAMPLES)  # latencies over the fleet's usual one
        self.suspect_since = inf
        self.refused = False  # suspected for refused or broken connections
        self.probe_at, self.blind_at, self.proved = 0.0, 0.0, False
        self.tokens, self.tokens_at = 0.0, 0.0


class _Part:
    def __init__(self, part: api.Part, query: _Query) -> None:
        self.id, self.shard, self.weight, self.cost = part.id, part.shard, part.weight, part.cost_ms
        self.query, self.tries, self.done = query, 0, False
        self.out: dict[int, tuple[int, float]] = {}  # attempt: (node, when sent)
        self.maybe_ran_since = inf  # send of the first attempt that may have run
        self.used: list[int] = []  # servers tried, in order


class _Query:
    def __init__(self, event: api.Query, now: float) -> None:
        self.id, self.number, self.cls, self.began = event.id, event.number, event.cls, now
        self.parts: list[_Part] = []
        self.held: list[_Part] = []  # not sent: spares of an any-m query
        self.step, self.got, self.landed, self.first_whole = 1, 0.0, 0, False
        self.aim_at = self.end_at = now


def _quantile(values: list[float], sums: list[float], q: float) -> float:
    return values[min(bisect_left(sums, q * sums[-1]), len(values) - 1)]


class Aggregator:
    """The decisions of one broker. `step` is pure but for the state it keeps; randomness is the seed's."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.rng = settings, random.Random(seed)
        self.now = self.began = 0.0
        self.started = False
        self.acts: list[api.Action] = []
        self.nodes: dict[int, _Node] = {}
        self.by_cell: dict[int, list[_Node]] = {}
        self.queries: dict[int, _Query] = {}
        self.by_number: dict[int, _Query] = {}
        self.parts: dict[int, _Part] = {}
        self.attempts: dict[tuple[int, int], tuple[int, float, float]] = {}  # node, when sent, cost
        self.record: deque[tuple[float, float, bool]] = deque(maxlen=WINDOW_COUNT)  # when, latency, censored
        self.latencies: list[float] = []  # the record's distribution: values and summed weights
        self.weights: list[float] = []
        self.usual = self.late = 0.0
        self.cost = 0.0  # usual cost hint
        self.refreshed = -inf
        self.chosen: dict[tuple[int, int], int] = {}
        self.taken: deque[tuple[float, int]] = deque()  # queries and parts taken
        self.extra: deque[float] = deque()  # further attempts made
        self.sends: deque[float] = deque()
        self.arrivals: deque[float] = deque()
        self.answered: deque[float] = deque()  # parts answered
        self.tenant_seen: list[deque[float]] = [deque() for _ in settings.tenants]

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        self.now, self.acts = now_ms, []
        if not self.started:
            self.started, self.began = True, now_ms
            self.acts.append(api.SetAlarm(TICK_MS, 0))
            if self.set.list_by_asking:
                self.acts.append(api.Follow(True))
        for e in events:
            match e:
                case api.Completed():
                    self._completed(e)
                case api.Query():
                    self._arrived(e)
                case api.MoreParts():
                    self._second_step(e)
                case api.View():
                    self._view(e)
                case api.Gone(rid):
                    if rid in self.queries:
                        self._forget(self.queries[rid])
                case api.Probed():
                    self._probed(e)
                case api.Alarm():
                    self._tick()
        return self.acts

    def _view(self, view: api.View) -> None:
        if view.kind == api.ViewKind.FAILED:
            self.acts.append(api.Follow(True))
            return
        if view.kind != api.ViewKind.DELTA:  # a server missing from a whole list has left
            for node in self.nodes.values():
                node.ready = False
        for line in view.lines:
            known = self.nodes.get(line.node)
            node = known or _Node(line)
            if known is None:
                self.nodes[line.node] = node
            if known is None or line.started_ms > node.started:
                # A new start: what was held against the old process is void, and the new one is cold.
                node.started, node.cold_since = line.started_ms, line.started_ms or -inf
                node.suspect_since, node.refused, node.waiting_since = inf, False, inf
                node.pace.clear()
                node.tokens, node.tokens_at = 0.0, self.now
            node.cell, node.ready = line.cell, line.state == api.NodeState.READY
        self.by_cell = {}
        for node in self.nodes.values():
            if node.ready:
                self.by_cell.setdefault(node.cell, []).append(node)

    def _suspect(self, node: _Node, why: str, refused: bool) -> None:
        """Ejects a server that refuses connections, is silent, or is slow; `_heard` takes it back.
        Harm: a broker that is itself cut off suspects all; MOST_EJECTED bounds that."""
        node.refused = node.refused or refused
        if node.suspect_since == inf:
            node.suspect_since, node.probe_at, node.proved = self.now, self.now + TRIAL_MS, False
            node.blind_at = self.now + BLIND_MS
            self.acts.append(api.Log(f"node {node.id} ejected: {why}"))

    def _heard(self, node: _Node, pace: float) -> None:
        """A prompt answer takes a suspect back, as cold if its silence may have been a restart."""
        node.waiting_since = self.now if node.out else inf
        node.pace.append(pace)
        if node.suspect_since < inf and pace < SLOW_FACTOR:
            if node.refused or self.now - node.suspect_since > LONG_SILENCE_MS:
                node.cold_since = max(node.cold_since, node.suspect_since)
                node.tokens, node.tokens_at = 0.0, self.now
            node.suspect_since, node.refused = inf, False
            node.pace.clear()
            self.acts.append(api.Log(f"node {node.id} back"))

    def _probed(self, e: api.Probed) -> None:
        if e.node in self.nodes and e.outcome == Outcome.OK:
            self.nodes[e.node].proved = True  # a process runs there; only an answered part shows that it works

    def _refresh(self) -> None:
        """Once a period: what the record says."""
        self.refreshed, self.chosen = self.now, {}
        self.latencies, self.weights = self._distribution(WINDOW_MS)
        few = len(self.latencies) < FEW
        self.usual = 0.0 if few else _quantile(self.latencies, self.weights, 0.5)
        self.late = 0.0 if few else _quantile(self.latencies, self.weights, LATE_QUANTILE)

    def _distribution(self, window: float) -> tuple[list[float], list[float]]:
        """Recent part latencies and their summed weights. Cancelled parts and those still out are censored:
        their weight goes to the longer samples (product-limit estimate), so the record does not skew fast."""
        while self.record and self.record[0][0] < self.now - WINDOW_MS:
            self.record.popleft()
        rows = [(ms, censored) for at, ms, censored in self.record if at >= self.now - window]
        rows += [(self.now - sent, True) for _, sent, _ in self.attempts.values()]
        rows.sort()
        left, values, weights = 1.0, [], []
        for i, (ms, censored) in enumerate(rows):
            if not censored:
                values.append(ms)
                weights.append(left / (len(rows) - i))
                left -= weights[-1]
        if values and left > 1e-9:  # nothing longer was answered: the longest age stands for the rest
            values.append(rows[-1][0])
            weights.append(left)
        return values, list(accumulate(weights))

    def _recent(self, times: deque[float], window: float) -> int:
        while times and times[0] < self.now - window:
            times.popleft()
        return len(times)

    # -- The mechanism. On call: how many parts of an any-m query are sent (Joshi et al., Definition 8).
    def _redundancy(self, m: int, k: int) -> int:
        """The r in m..k with the least T(r) among those with C(r) <= C(k); k without samples or room."""
        if m >= k or not self.latencies:
            return k
        if (m, k) not in self.chosen:
            draws = [self.rng.choices(self.latencies, cum_weights=self.weights, k=k) for _ in range(DRAWS)]
            window = max(min(WINDOW_MS, self.now - self.began), PERIOD_MS)
            rate = self._recent(self.arrivals, WINDOW_MS) / window
            # Our share of the servers: the other brokers are taken to send as much as we do.
            room = len(self._sound()) * PARALLEL / self.set.brokers
            best, least, most = k, inf, 0.0
            for r in range(k, m - 1, -1):
                xs = [sorted(d[:r])[m - 1] for d in draws]
                mean, square = sum(xs) / DRAWS, sum(x * x for x in xs) / DRAWS
                cost, spare = r * mean, room - rate * r * mean
                most = most or cost
                if spare > 0 and cost <= most and mean + rate * r * square / (2 * spare) < least:
                    best, least = r, mean + rate * r * square / (2 * spare)
            self.chosen[m, k] = best
        return self.chosen[m, k]

    # -- Replica choice. On call: fewest of our own parts out among the sound holders, ties at random.
    def _sound(self) -> list[_Node]:
        return [n for n in self.nodes.values() if n.ready and n.suspect_since == inf]

    def _calls(self, node: _Node, joining: bool) -> int:
        """Calls out to a server, after one more part if `joining`: it may ride on this turn's call."""
        per = self.set.parts_per_call
        calls = sum(-(-n // per) for n in node.calls.values())
        return calls + (joining and node.calls.get(self.now, 0) % per == 0)

    def _warmth(self, node: _Node) -> float:
        age = self.now - node.cold_since
        if age >= self.set.cold_ms:
            return 1.0
        return self.set.cold_from + (1 - self.set.cold_from) * max(age, 0.0) / self.set.cold_ms

    def _admits(self, node: _Node) -> bool:
        """Slow start: a cold server gets tokens at the pace at which we feed a warm one, times the warmth it
        has at least. All brokers doing so give it no more than its part of the load, under the multiple that
        fells it. Harm: the shards of a cold set wait while it warms."""
        warmth = self._warmth(node)
        if warmth >= 1.0:
            return True
        warm = max(1, sum(1 for n in self._sound() if self._warmth(n) >= 1.0))
        span = max(min(WINDOW_MS, self.now - self.began), PERIOD_MS)
        pace = self._recent(self.sends, WINDOW_MS) / span / warm * min(1.0, self.set.overload_factor / 2)
        node.tokens = min(1.0, node.tokens + pace * warmth * (self.now - node.tokens_at))
        node.tokens_at = self.now
        return node.tokens >= 1.0

    def _pick(self, part: _Part) -> _Node | None:
        cells = [(part.shard + j) % self.set.cells for j in range(min(self.set.reach, self.set.cells))]
        busy = [node for node, _ in part.out.values()]  # no second copy beside the first
        pool = [n for c in cells for n in self.by_cell.get(c, ()) if n.id not in busy and self._admits(n)]
        pool = [n for n in pool if n.id not in part.used] or pool
        if part.query.aim_at - self.now > SILENT_LATES * self.late:  # time enough to mend a trial that fails
            for n in pool:
                if n.suspect_since < inf and not n.out and (n.proved or self.now >= n.blind_at):
                    n.proved, n.blind_at = False, self.now + BLIND_MS
                    return n
        lenient = self._inferred_off()
        pool = [n for n in pool if n.suspect_since == inf or (lenient and not n.refused)] or pool
        if not pool:
            return None  # all that look bad are used before none at all; cold ones without tokens are not
        least = min(self._calls(n, True) for n in pool)
        ties = [n for n in pool if self._calls(n, True) == least]
        return self.rng.choice([n for n in ties if n.calls.get(self.now, 0)] or ties)

    def _inferred_off(self) -> bool:
        ready = [n for n in self.nodes.values() if n.ready]
        bad = sum(1 for n in ready if n.suspect_since < inf and not n.refused)
        return bad > MOST_EJECTED * len(ready)

    # -- Admission. On call: what is turned away, and only while our parts wait for servers.
    def _arrived(self, e: api.Query) -> None:
        cls = self.set.classes[e.cls]
        query = _Query(e, self.now)
        self.taken.append((self.now, 1 + len(e.parts)))
        self.arrivals.append(self.now)
        left = e.time_left_ms if isfinite(e.time_left_ms) else 0.0
        query.end_at = self.now + left - END_EARLY_MS
        query.aim_at = self.now + cls.aim_ms
        if cls.late_worth <= 0:  # worthless after its aim: ended there, in time to free its servers
            query.end_at = min(query.end_at, query.aim_at)
        self.queries[query.id] = self.by_number[query.number] = query
        self._take_parts(query, e.parts)
        over = False
        if e.tenant < len(self.tenant_seen):
            seen = self.tenant_seen[e.tenant]
            seen.append(self.now)
            quota = self.set.tenants[e.tenant].quota_per_s / self.set.brokers * WINDOW_MS / 1000
            over = self._recent(seen, WINDOW_MS) > quota
        most = (REFUSE_OVER_QUOTA_AT if over else REFUSE_AT) * cls.aim_ms
        if not query.parts or self._foreseen(query) > most:
            self._end(query, self._give_up(query))
            return
        self._ask(query)

    def _ask(self, query: _Query) -> None:
        need = self.set.classes[query.cls].need
        m, sure = 0, 0.0
        for part in sorted(query.parts, key=lambda p: p.weight):
            if need < 1 and sure >= need - 5e-5:
                break
            m, sure = m + 1, sure + part.weight
        r = self._redundancy(m, len(query.parts))
        order = self.rng.sample(query.parts, len(query.parts))
        query.held = order[r:]
        for part in order[:r]:
            self._try(part)

    def _foreseen(self, query: _Query) -> float:
        """How long a query taken now would take: parts out over the rate at which they are answered (Little's
        law), lost ones left out. Guards against jams of any cause. Harm: none while few parts are out."""
        sound = self._sound()
        gone = self.now - SILENT_LATES * self.late
        out = sum(1 for n in sound for sent in n.out.values() if sent > gone) + len(query.parts)
        if not self.late or out <= 2 * PARALLEL * len(sound) / self.set.brokers:
            return 0.0
        wait = out * JAM_MS / max(1, self._recent(self.answered, JAM_MS))
        values, weights = self._distribution(JAM_MS)
        if len(values) >= FEW:  # a few queries at once are no jam while the answers are quick
            wait = min(wait * SPREAD, 2 * _quantile(values, weights, 0.75))
        return wait * (1.5 if self.set.classes[query.cls].second_step else 1.0)

    def _second_step(self, e: api.MoreParts) -> None:
        self.taken.append((self.now, len(e.parts)))
        query = self.by_number.get(e.number)
        if query is None:
            return
        query.step, query.got, query.landed, query.held = 2, 0.0, 0, []
        query.parts = []
        self._take_parts(query, e.parts)
        for part in query.parts:
            self._try(part)

    def _take_parts(self, query: _Query, parts: tuple[api.Part, ...]) -> None:
        for p in parts:
            part = _Part(p, query)
            query.parts.append(part)
            self.parts[p.id] = part
            if p.cost_ms is not None and isfinite(p.cost_ms) and p.cost_ms > 0:
                self.cost += (p.cost_ms - self.cost) * (0.05 if self.cost else 1.0)

    # -- Sending and further attempts. On call: who gets a second try, and what it may cost.
    def _scale(self, cost: float | None) -> float:
        """How costly a part says it is, over the usual: a costly part is not late, nor its server slow."""
        return max(1.0, cost / self.cost) if cost is not None and self.cost > 0 and isfinite(cost) else 1.0

    def _may_retry(self, part: _Part) -> bool:
        effect = self.set.classes[part.query.cls]
        if part.tries >= self.set.max_attempts or (part.out and not self.set.second_copies):
            return False
        if part.maybe_ran_since == inf or effect.effect == "safe":
            return True
        until = part.maybe_ran_since + effect.repeat_window_ms - REPEAT_MARGIN_MS
        return effect.effect == "keyed" and self.now < until

    def _in_budget(self, share: float) -> bool:
        """The attempt budget, counted a tick too wide for attempts and too narrow for what was taken."""
        s = self.set
        stated = s.extra_window_ms is not None
        window = s.extra_window_ms if s.extra_window_ms is not None else OWN_WINDOW_MS
        while self.extra and self.extra[0] < self.now - window - TICK_MS:
            self.extra.popleft()
        while self.taken and self.taken[0][0] <= self.now - window + TICK_MS:
            self.taken.popleft()
        free, each = (s.extra_free or 0.0, s.extra_share or 0.0) if stated else (OWN_FREE, OWN_SHARE)
        return len(self.extra) + 1 <= share * (free + each * sum(n for _, n in self.taken))

    def _try(self, part: _Part, share: float = 1.0) -> bool:
        if part.tries and not (self._may_retry(part) and self._in_budget(share)):
            return False
        node = self._pick(part)
        if node is None:
            return False
        if part.tries:
            self.extra.append(self.now)
        if self._warmth(node) < 1.0:
            node.tokens -= 1.0
        key = (part.id, part.tries)
        self.attempts[key] = (node.id, self.now, self._scale(part.cost))
        node.out[key] = self.now
        node.calls[self.now] = node.calls.get(self.now, 0) + 1
        node.waiting_since = min(node.waiting_since, self.now)
        part.out[part.tries] = (node.id, self.now)
        part.maybe_ran_since = min(part.maybe_ran_since, self.now)
        part.used.append(node.id)
        part.tries += 1
        self.sends.append(self.now)
        # Where no second copy may run beside it, a late attempt is timed out so that another may follow.
        cap = part.query.end_at - self.now
        if not self.set.second_copies and self.late > 0:
            cap = min(cap, SILENT_LATES * self.late * self._scale(part.cost))
        self.acts.append(api.Send(part.id, node.id, max(cap, 1.0)))
        return True

    def _completed(self, e: api.Completed) -> None:
        attempt = self.attempts.pop((e.part, e.attempt), None)
        if attempt is None:
            return
        node, (_, sent, scale) = self.nodes[attempt[0]], attempt
        node.out.pop((e.part, e.attempt), None)
        node.calls[sent] = node.calls.get(sent, 1) - 1
        if node.calls[sent] <= 0:
            del node.calls[sent]
        took = self.now - sent
        if e.outcome != Outcome.MOOT:
            self.record.append((self.now, took, e.outcome != Outcome.OK))
        if e.outcome == Outcome.OK:
            self.answered.append(self.now)
            self._heard(node, took / scale / self.usual if self.usual > 0 else 1.0)
        elif e.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self._suspect(node, e.outcome.name.lower(), True)
        elif e.outcome in (Outcome.ERROR, Outcome.FULL):
            node.waiting_since = self.now if node.out else inf
        elif not node.out and self.now - node.waiting_since < self.late:
            node.waiting_since = inf
        part = self.parts.get(e.part)
        if part is None:
            return
        part.out.pop(e.attempt, None)
        if e.outcome.never_ran and part.tries == 1:
            part.maybe_ran_since = inf
        query = part.query
        if e.outcome == Outcome.OK:
            if not part.done:
                part.done = True
                query.got, query.landed = query.got + part.weight, query.landed + 1
                self._settle(query)
        elif not part.done and not part.out and not self._release(query):
            self._try(part)

    def _release(self, query: _Query) -> bool:
        """A failed or late part of an any-m query is made good by a held one: a first attempt, no extra."""
        while query.held:
            if self._try(query.held.pop()):
                return True
        return False

    def _tick(self) -> None:
        self.acts.append(api.SetAlarm(TICK_MS, 0))
        if self.now - self.refreshed >= PERIOD_MS:
            self._refresh()
            self._judge_pace()
        for node in self.nodes.values():
            if node.ready and self.late > 0 and self.now - node.waiting_since > SILENT_LATES * self.late:
                self._suspect(node, "silent", False)
            wanted = self.set.probing and node.ready and node.suspect_since < inf and not node.proved
            if wanted and self.now >= node.probe_at:
                node.probe_at = self.now + TRIAL_MS
                self.acts.append(api.Probe(node.id))
        for query in list(self.queries.values()):
            if self.now >= query.end_at:
                self._end(query, self._give_up(query))
                continue
            held = query.held[:]
            for part in query.parts:
                if part.done or part in held:
                    continue
                if not part.out:
                    self._try(part)
                    continue
                where, sent = list(part.out.values())[-1]
                lost = self.nodes[where].suspect_since < inf
                late = self.late > 0 and self.now - sent > self.late * self._scale(part.cost)
                if (late or lost) and not self._release(query):
                    self._try(part, 1.0 if lost else HEDGE_SHARE)

    def _judge_pace(self) -> None:
        """Slow servers: the middle of the last answers, each over what its cost makes usual."""
        for node in self.nodes.values():
            if len(node.pace) == SLOW_SAMPLES and sorted(node.pace)[SLOW_SAMPLES // 2] > SLOW_FACTOR:
                self._suspect(node, "slow", False)

    # -- Ending queries. On call: one final answer each, in time, and honest.
    def _settle(self, query: _Query) -> None:
        cls = self.set.classes[query.cls]
        need = cls.need if query.step == 1 else 1.0
        if query.landed < len(query.parts) and (need >= 1 or query.got < need - 5e-5):
            return
        self._answer(query, query.step == 1 or query.first_whole)

    def _answer(self, query: _Query, whole: bool) -> None:
        if query.step == 1 and self.set.classes[query.cls].second_step:
            query.first_whole = whole
            self._drop_parts(query)
            self.acts.append(api.Answer(query.id, whole))
            query.parts, query.held = [], []
            return
        self._end(query, api.Answer(query.id, whole))

    def _give_up(self, query: _Query) -> api.Action:
        """Answers from what is in where the floor allows, refuses if a repeat is harmless, else fails."""
        cls = self.set.classes[query.cls]
        one_step = not cls.second_step
        if query.parts and cls.floor < cls.need and query.got >= cls.floor and (one_step or query.step == 2):
            return api.Answer(query.id, False)
        if cls.effect == "safe" or all(p.maybe_ran_since == inf and not p.out for p in query.parts):
            return api.Refuse(query.id, self.set.max_retry_after_ms if self.set.retry_after else 0.0)
        return api.Fail(query.id)

    def _end(self, query: _Query, action: api.Action) -> None:
        self.acts.append(action)
        self._forget(query)

    def _forget(self, query: _Query) -> None:
        self._drop_parts(query)
        self.queries.pop(query.id, None)
        self.by_number.pop(query.number, None)

    def _drop_parts(self, query: _Query) -> None:
        for part in query.parts:
            self.parts.pop(part.id, None)
            if self.set.cancel:
                self.acts.extend(api.Cancel(part.id, n) for n in part.out)
