"""Every decision of badgerbend. Its settings, events and actions are the types of `badgerbend/api.py`."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import Counter, deque
from itertools import accumulate
from math import inf, isfinite

from badgerbend import api
from badgerbend.api import Outcome

# -- Constants. On call: times are milliseconds; nothing here knows a deployment.
TICK_MS = 20.0  # how often waiting work is looked at; small beside any aim, large beside a batch
END_EARLY_MS = 30.0  # last answers and keyed repeats leave this long before their limit: a tick and a batch
WINDOW_MS = 10_000.0  # the record's age limit, so that the mix before a shift is gone soon after it
WINDOW_COUNT = 400  # and its size limit: enough for a 95th percentile, cheap to sort each second
FEW = 20  # below so many answers the record says nothing: a 95th percentile needs twenty
PERIOD_MS = 1_000.0  # the design's period for choosing r; suspects are probed as often
DRAWS = 100  # resamples for the order statistics: error of a mean near a tenth of the spread
PARALLEL = 2  # guessed parts that a server serves at once: small servers have two cores
LATE_QUANTILE = 0.95  # a part slower than this share is late: one in twenty is helped for nothing
SILENT_LATES = 3.0  # no word for this many times the late mark: silence, not a pause or bad luck
LATE_MIDDLES = 3.0  # so many times the middle answer is late whatever the record's end says
AVOID_LATES = 5  # a server that turns parts away is let be for so many late marks at most
BLIND_MS = 5_000.0  # a suspect of this age may have restarted; so often it gets a part on trial unprobed
MOST_EJECTED = 0.5  # more suspects than this share: the cause is load or ourselves, so none is ejected
HEDGE_SHARE = 0.7  # share of the budget open to hedges; the rest is kept for proven failures
OWN_FREE, OWN_SHARE, OWN_WINDOW_MS = 5.0, 0.1, 5_000.0  # our own attempt budget where none is stated
JAM_MS = 2_000.0  # how far back the answers count that foretell a query's time
SPREAD = 1.3  # Little's law gives the mean part's time, and a query waits for its slowest
REFUSE_AT = 0.7  # turn away what is foreseen to take more than this share of the time to its aim
REFUSE_OVER_QUOTA_AT = 0.5  # sooner for a tenant beyond its quota: what it adds is worth little
ROUNDING = 5e-5  # sums of weights may come up short by this


# -- Knowledge. On call: what this broker has seen; none of it outlives a restart.
class _Node:
    def __init__(self, line: api.NodeLine) -> None:
        self.id, self.cell, self.ready = line.node, line.cell, False
        self.started, self.cold_since, self.tokens, self.tokens_at = -1.0, -inf, 0.0, 0.0
        self.out: dict[tuple[int, int], float] = {}  # our attempts out: when sent
        self.waiting_since = inf  # when we began to wait for the next word from it
        self.suspect_since, self.refused = inf, False  # refused: for refused or broken connections
        self.turned_away, self.avoid_until = 0, 0.0  # refusals and errors since its last answer
        self.left: list[float] = []  # send times of parts given up on there late: it may work on them yet
        self.proved, self.blind_at = False, 0.0  # a probe came back; when a trial needs none

    def renew(self, now: float, cold_since: float) -> None:  # what was held against it is void
        self.suspect_since, self.refused, self.cold_since = inf, False, cold_since
        self.tokens, self.tokens_at, self.left = 0.0, now, []


class _Part:
    def __init__(self, part: api.Part, query: _Query) -> None:
        self.id, self.shard, self.weight, self.cost = part.id, part.shard, part.weight, part.cost_ms
        self.query, self.tries, self.done = query, 0, False
        self.out: dict[int, _Node] = {}  # attempts out
        self.used: list[_Node] = []
        self.maybe_ran_since = inf  # send of the first attempt that may have run


class _Query:
    def __init__(self, event: api.Query, cls: api.QueryClass, now: float) -> None:
        self.id, self.number, self.cls, self.aim_at = event.id, event.number, cls, now + cls.aim_ms
        self.end_at = now + (event.time_left_ms if isfinite(event.time_left_ms) else 0.0) - END_EARLY_MS
        if cls.late_worth <= 0:  # worthless after its aim: ended there, which frees its servers
            self.end_at = min(self.end_at, self.aim_at)
        self.parts, self.held = list[_Part](), list[_Part]()  # held: not sent, spares of an any-m query
        self.step, self.got, self.landed = 1, 0.0, 0


def _quantile(values: list[float], sums: list[float], q: float) -> float:
    return values[min(bisect_left(sums, q * sums[-1]), len(values) - 1)]


class Aggregator:
    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.rng = settings, random.Random(seed)
        self.now, self.began, self.acts = 0.0, -1.0, list[api.Action]()
        self.nodes, self.parts = dict[int, _Node](), dict[int, _Part]()
        self.queries, self.by_number = dict[int, _Query](), dict[int, _Query]()
        self.attempts: dict[tuple[int, int], tuple[_Node, float]] = {}  # node, when sent
        self.record: deque[tuple[float, float, bool]] = deque(maxlen=WINDOW_COUNT)  # when, latency, censored
        self.latencies, self.weights = list[float](), list[float]()  # its distribution; weights are sums
        self.late = self.cost = 0.0  # late mark (0: not known yet); usual cost hint
        self.refreshed, self.chosen = -inf, dict[tuple[int, int], int]()
        self.seen: dict[str, deque[float]] = {}  # times of queries, taken, sends, extra, answers, tenants

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        self.now, self.acts = now_ms, []
        if self.began < 0:
            self.began = now_ms
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
                case api.Gone(rid) if rid in self.queries:
                    self._end(self.queries[rid], None)
                case api.Probed(node, Outcome.OK) if node in self.nodes:
                    self.nodes[node].proved = True  # a process runs there; only answers show that it works
                case api.Alarm():
                    self._tick()
        return self.acts

    def _view(self, view: api.View) -> None:
        if view.kind == api.ViewKind.FAILED:
            self.acts.append(api.Follow(True))
        elif view.kind != api.ViewKind.DELTA:  # a server missing from a whole list has left
            for node in self.nodes.values():
                node.ready = False
        for line in view.lines:
            node = self.nodes.setdefault(line.node, _Node(line))
            if line.started_ms > node.started:
                node.started, node.waiting_since = line.started_ms, inf
                node.renew(self.now, line.started_ms or -inf)
            node.cell, node.ready = line.cell, line.state == api.NodeState.READY

    def _suspect(self, node: _Node, why: str, refused: bool = False) -> None:
        """Ejects a server that refuses connections or is silent; `_heard` takes it back. A slow one keeps its
        part: fewest-out gives it what it can do, and in a jam an ejection loses work that it still did.
        Harm: a broker that is itself cut off suspects all; MOST_EJECTED bounds that."""
        node.refused = node.refused or refused
        if node.suspect_since == inf:
            node.suspect_since, node.proved, node.blind_at = self.now, False, self.now + BLIND_MS
            self.acts.append(api.Log(f"node {node.id} ejected: {why}"))

    def _heard(self, node: _Node) -> None:
        """An answer takes a suspect back, as cold if its silence may have been a restart."""
        if node.suspect_since < inf:
            restarted = node.refused or self.now - node.suspect_since > BLIND_MS
            node.renew(self.now, max(node.cold_since, node.suspect_since) if restarted else node.cold_since)
            self.acts.append(api.Log(f"node {node.id} back"))

    def _distribution(self, window: float) -> tuple[list[float], list[float]]:
        """Recent part latencies and their summed weights. Cancelled parts and those still out are censored:
        their weight goes to the longer samples (product-limit estimate), so the record does not skew fast."""
        while self.record and self.record[0][0] < self.now - WINDOW_MS:
            self.record.popleft()
        rows = [(ms, censored) for at, ms, censored in self.record if at >= self.now - window]
        out = [sent for n, sent in self.attempts.values() if n.suspect_since == inf]
        rows = sorted(rows + [(self.now - sent, True) for sent in out])
        left, values, weights = 1.0, [], []
        for i, (ms, censored) in enumerate(rows):
            if not censored:
                values.append(ms)
                weights.append(left / (len(rows) - i))
                left -= weights[-1]
        if values and left > ROUNDING:  # nothing longer was answered: the longest age stands for the rest
            values.append(rows[-1][0])
            weights.append(left)
        return values, list(accumulate(weights))

    def _note(self, *names: str) -> None:
        for what in names:
            self._count(what, max(WINDOW_MS, self.set.extra_window_ms or 0.0) + TICK_MS)  # older: of no use
            self.seen[what].append(self.now)

    def _count(self, what: str, window: float) -> int:
        times = self.seen.setdefault(what, deque())
        while times and times[0] < self.now - window:
            times.popleft()
        return len(times)

    def _rate(self, what: str) -> float:  # how many a millisecond, over the record's window
        return self._count(what, WINDOW_MS) / max(min(WINDOW_MS, self.now - self.began), PERIOD_MS)

    # -- The mechanism. On call: how many parts of an any-m query are sent (Joshi et al., Definition 8).
    def _refresh(self) -> None:
        self.refreshed, self.chosen = self.now, {}
        self.latencies, self.weights = self._distribution(WINDOW_MS)
        if len(self.latencies) >= FEW:
            # Lost parts weigh on the record's end, not on its middle: they must not put off their own rescue.
            middle, late = (_quantile(self.latencies, self.weights, q) for q in (0.5, LATE_QUANTILE))
            self.late = min(late, LATE_MIDDLES * middle)
        suspects = [n for n in self.nodes.values() if n.ready and n.suspect_since < inf and not n.proved]
        self.acts.extend(api.Probe(n.id) for n in suspects if self.set.probing)

    def _redundancy(self, m: int, k: int) -> int:
        """The r in m..k with the least T(r) among those with C(r) <= C(k); k without samples. Exception: m
        where even m leaves no spare, for spares feed that jam; held parts make good what fails or is late."""
        if m >= k or not self.latencies:
            return k
        if (m, k) not in self.chosen:
            draws = [self.rng.choices(self.latencies, cum_weights=self.weights, k=k) for _ in range(DRAWS)]
            # Our share of the servers: the other brokers are taken to send as much as we do.
            rate, room = self._rate("queries"), len(self._sound()) * PARALLEL / self.set.brokers
            best, least, most = m, inf, 0.0
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

    def _calls(self, node: _Node) -> int:
        """Calls out to a server after one more part, which may ride on a call of this turn. Parts given up on
        late count until answers make up for them: else a bad server looks idle and draws all to it."""
        left = [sent for sent in node.left if sent > self.now - BLIND_MS]
        calls = Counter([*node.out.values(), *left, self.now])
        return sum(-(-n // self.set.parts_per_call) for n in calls.values())

    def _warmth(self, node: _Node) -> float:
        if node.refused:  # it may be starting now, and the list not know yet
            return self.set.cold_from
        share = max(self.now - node.cold_since, 0.0) / max(self.set.cold_ms, 1.0)
        return min(1.0, self.set.cold_from + (1 - self.set.cold_from) * share)

    def _admits(self, node: _Node) -> bool:
        """Slow start: a cold server gets tokens at our pace to a warm one, times the warmth it has
        at least, times half the multiple that fells it; so all brokers together stay under that multiple.
        Harm: the shards of a cold set wait while it warms."""
        warmth = self._warmth(node)
        if warmth >= 1.0:
            return True
        warm = max(1, sum(1 for n in self._sound() if self._warmth(n) >= 1.0))
        pace = self._rate("sends") / warm * self.set.overload_factor / 2
        node.tokens = min(1.0, node.tokens + pace * warmth * (self.now - node.tokens_at))
        node.tokens_at = self.now
        return node.tokens >= 1.0

    def _pick(self, part: _Part) -> _Node | None:
        cells, reach = self.set.cells, self.set.reach
        pool = [n for n in self.nodes.values() if n.ready and (n.cell - part.shard) % cells < reach]
        pool = [n for n in pool if n not in part.out.values() and self.now >= n.avoid_until]
        pool = [n for n in pool if self._admits(n)]
        pool = [n for n in pool if n not in part.used] or pool
        if part.query.aim_at - self.now > SILENT_LATES * self.late:  # time enough to mend a trial that fails
            for n in pool:
                if n.suspect_since < inf and not n.out and (n.proved or self.now >= n.blind_at):
                    n.proved, n.blind_at = False, self.now + BLIND_MS
                    return n
        bad = [n.suspect_since < inf and not n.refused for n in self.nodes.values() if n.ready]
        lenient = sum(bad) > MOST_EJECTED * len(bad)
        # All that look bad are used before none at all; cold ones without tokens are not.
        pool = [n for n in pool if n.suspect_since == inf or (lenient and not n.refused)] or pool
        calls = [self._calls(n) for n in pool]
        ties = [n for n, load in zip(pool, calls, strict=True) if load == min(calls)]
        riding = [n for n in ties if self.set.parts_per_call > 1 and self.now in n.out.values()]
        return self.rng.choice(riding or ties) if ties else None

    # -- Admission. On call: what is turned away, and only while our parts wait for servers.
    def _arrived(self, e: api.Query) -> None:
        cls = self.set.classes[e.cls]
        query = _Query(e, cls, self.now)
        self._note("queries", "taken")
        self.queries[query.id] = self.by_number[query.number] = query
        self._take_parts(query, e.parts)
        most = REFUSE_AT * cls.aim_ms
        if e.tenant < len(self.set.tenants):
            self._note(f"tenant {e.tenant}")
            quota = self.set.tenants[e.tenant].quota_per_s / self.set.brokers / 1000
            if self._rate(f"tenant {e.tenant}") > quota:
                most = REFUSE_OVER_QUOTA_AT * cls.aim_ms
        if not query.parts or self._foreseen(query) > most:
            self._end(query, self._give_up(query))
            return
        sums = accumulate(sorted(p.weight for p in query.parts))
        m = 1 + sum(1 for s in sums if cls.need >= 1 or s < cls.need - ROUNDING)
        r = self._redundancy(m, len(query.parts))
        order = self.rng.sample(query.parts, len(query.parts))
        query.held = order[r:]
        for part in order[:r]:
            self._try(part)

    def _foreseen(self, query: _Query) -> float:
        """How long a query taken now would take: parts out over the rate at which they are answered (Little's
        law), lost ones left out. Guards against jams of any cause. Harm: none while few parts are out."""
        sound, gone = self._sound(), self.now - SILENT_LATES * self.late
        out = sum(1 for n in sound for sent in n.out.values() if sent > gone) + len(query.parts)
        if not self.late or out <= 2 * PARALLEL * len(sound) / self.set.brokers:
            return 0.0
        wait = out * JAM_MS / max(1, self._count("answers", JAM_MS))
        values, weights = self._distribution(JAM_MS)
        if values:  # many queries at once are no jam while the answers are quick
            k = len(query.parts)  # by the order statistic of its parts
            wait = min(SPREAD * wait, _quantile(values, weights, query.cls.need * k / (k + 1)))
        return wait * (1.5 if query.cls.second_step else 1.0)

    def _second_step(self, e: api.MoreParts) -> None:
        query = self.by_number.get(e.number)
        if query is None:
            return
        query.step, query.got, query.landed, query.held, query.parts = 2, 0.0, 0, [], []
        self._take_parts(query, e.parts)
        for part in query.parts:
            self._try(part)

    def _take_parts(self, query: _Query, parts: tuple[api.Part, ...]) -> None:
        for p in parts:
            self.parts[p.id] = part = _Part(p, query)
            query.parts.append(part)
            self._note("taken")
            if p.cost_ms is not None and isfinite(p.cost_ms) and p.cost_ms > 0:
                self.cost += (p.cost_ms - self.cost) * (0.05 if self.cost else 1.0)

    # -- Sending and further attempts. On call: who gets a second try, and what it may cost.
    def _scale(self, cost: float | None) -> float:
        """How costly a part says it is, over the usual: a costly part is late only so much later."""
        return max(1.0, cost / self.cost) if cost is not None and self.cost > 0 and isfinite(cost) else 1.0

    def _may_retry(self, part: _Part, share: float) -> bool:
        """What the class and the attempt budget allow; the budget is counted a tick to the safe side."""
        s, cls = self.set, part.query.cls
        if part.tries >= s.max_attempts or (part.out and not s.second_copies):
            return False
        until = inf if cls.effect == "safe" else part.maybe_ran_since + cls.repeat_window_ms - END_EARLY_MS
        if part.maybe_ran_since < inf and (cls.effect == "unsafe" or self.now > until):
            return False
        window, free, each = s.extra_window_ms, s.extra_free or 0.0, s.extra_share or 0.0
        if window is None:
            window, free, each = OWN_WINDOW_MS, OWN_FREE, OWN_SHARE
        made, taken = self._count("extra", window + TICK_MS), self._count("taken", window - TICK_MS)
        return made + 1 <= share * (free + each * taken)

    def _try(self, part: _Part, share: float = 1.0) -> bool:
        if part.tries and part.query.held and self._try(part.query.held.pop()):
            return True  # a held part makes good the failed or late one: a first attempt, outside the budget
        node = self._pick(part) if not part.tries or self._may_retry(part, share) else None
        if node is None:
            return False
        self._note("sends", *(["extra"] if part.tries else []))
        node.tokens -= self._warmth(node) < 1.0
        key = (part.id, part.tries)
        self.attempts[key] = (node, self.now)
        node.out[key] = self.now
        node.waiting_since = min(node.waiting_since, self.now)
        part.out[part.tries] = node
        part.maybe_ran_since = min(part.maybe_ran_since, self.now)
        part.used.append(node)
        part.tries += 1
        cap = part.query.end_at - self.now
        if not self.set.second_copies and self.late:  # a late attempt must end before another may follow
            cap = min(cap, SILENT_LATES * self.late * self._scale(part.cost))
        self.acts.append(api.Send(part.id, node.id, max(cap, 1.0)))
        return True

    def _completed(self, e: api.Completed) -> None:
        attempt = self.attempts.pop((e.part, e.attempt), None)
        if attempt is None:
            return
        node, sent = attempt
        node.out.pop((e.part, e.attempt))
        took, ok = self.now - sent, e.outcome == Outcome.OK
        if ok or node.suspect_since == inf:  # a suspect's silence says nothing of the servers in use
            self.record.append((self.now, took, not ok))
        word = e.outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL)
        if word or (not node.out and self.now - node.waiting_since < self.late):
            node.waiting_since = self.now if node.out else inf
        # A server that turns parts away at once has none out and would draw all to it: it is let be for a
        # while, longer each time. Harm: where all holders are full a part waits for the first to be due.
        quick = (Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET)
        node.turned_away = 0 if ok else node.turned_away + (e.outcome in quick)
        node.avoid_until = self.now + self.late * min(node.turned_away, AVOID_LATES)
        if ok:
            self._note("answers")
            del node.left[:1]
            self._heard(node)
        elif e.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            self._suspect(node, e.outcome.name.lower(), refused=True)
        elif not e.outcome.never_ran and took > self.late > 0:
            node.left.append(sent)
        part = self.parts.get(e.part)
        if part is None or part.out.pop(e.attempt, None) is None or part.done:
            return
        if e.outcome.never_ran and part.tries == 1:
            part.maybe_ran_since = inf
        if ok:
            part.done = True
            part.query.got, part.query.landed = part.query.got + part.weight, part.query.landed + 1
            self._settle(part.query)
        elif not part.out:
            self._try(part)

    def _tick(self) -> None:
        self.acts.append(api.SetAlarm(TICK_MS, 0))
        if self.now - self.refreshed >= PERIOD_MS:
            self._refresh()
        for node in self.nodes.values():
            if node.ready and self.late and self.now - node.waiting_since > SILENT_LATES * self.late:
                self._suspect(node, "silent")
        for query in list(self.queries.values()):
            if self.now >= query.end_at:
                self._end(query, self._give_up(query))
                continue
            for part in [p for p in query.parts if not p.done and p not in query.held]:
                if not part.out:
                    self._try(part)
                    continue
                last, node = list(part.out.items())[-1]
                lost = node.suspect_since < inf
                if lost or 0 < self.late * self._scale(part.cost) < self.now - node.out[part.id, last]:
                    self._try(part, 1.0 if lost else HEDGE_SHARE)

    # -- Ending queries. On call: one final answer each, in time, and honest.
    def _settle(self, query: _Query) -> None:
        cls, first = query.cls, query.step == 1
        enough = first and cls.need < 1 and query.got >= cls.need - ROUNDING
        if not enough and query.landed < len(query.parts):
            return
        if first and cls.second_step:
            self.acts.append(api.Answer(query.id, True))
            self._drop_parts(query)
            query.parts, query.held = [], []
        else:
            self._end(query, api.Answer(query.id, True))

    def _give_up(self, query: _Query) -> api.Action:
        """Answers from what is in where the floor allows, refuses if a repeat is harmless, else fails."""
        cls, last_step = query.cls, query.step == 2 or not query.cls.second_step
        if last_step and query.parts and cls.floor < cls.need and query.got >= cls.floor:
            return api.Answer(query.id, False)
        if cls.effect == "safe" or all(p.maybe_ran_since == inf and not p.out for p in query.parts):
            return api.Refuse(query.id, self.set.max_retry_after_ms if self.set.retry_after else 0.0)
        return api.Fail(query.id)

    def _end(self, query: _Query, last: api.Action | None) -> None:
        self.acts.extend([last] if last else [])
        self._drop_parts(query)
        del self.queries[query.id], self.by_number[query.number]

    def _drop_parts(self, query: _Query) -> None:
        for part in query.parts:
            self.parts.pop(part.id, None)
            if self.set.cancel:
                self.acts.extend(api.Cancel(part.id, n) for n in part.out)
