"""Every decision of badgerbend. Its settings, events and actions are the types of `badgerbend/api.py`."""

from __future__ import annotations

import random
from collections import Counter, deque
from itertools import accumulate, pairwise
from math import comb, inf, isfinite, prod
from statistics import fmean, median

from badgerbend import api
from badgerbend.api import Outcome

# -- Constants. On call: times are milliseconds; nothing here knows a deployment.
TICK_MS = 20.0  # how often waiting work is looked at; small beside any aim, large beside a batch
AGAIN_MS = 100.0  # what could not be sent is tried again so often
END_EARLY_MS = 30.0  # partial answers and keyed repeats leave this long before their limit: a tick, a batch
LAST_MS = 10.0  # last answers so long: a batch, the way to the client, and an alarm at its very end
WINDOW_MS = 10_000.0  # the record's age limit, so that the mix before a shift is gone soon after it
WINDOW_COUNT = 400  # and its size limit: enough for the tail that spares answer, cheap to sort each second
FEW = 20  # below so many answers the record says nothing: the middle of twenty is steady
PERIOD_MS = 1_000.0  # the design's period for choosing r
DRAWS = 100  # resamples for the order statistics: error of a mean near a tenth of the spread
PARALLEL = 2  # guessed parts that a server serves at once: small servers have two cores
LATE_MIDDLES = 3.0  # so many times the middle answer is late: parts of one kind differ by less
FADE_MS = 10_000.0  # what a server's answers took counts half after this
LAST_WEIGHT = 0.4  # and the last of them so much: three tell a slow server from a slow part
MEET = 0.03  # of choices among equals: one not proven, or a newcomer would stay idle beside those that are
COLD_PACE = 0.75  # of the multiple that fells a cold server: the rest is for chance and for others' guesses
BEGUN_MS = 5.0  # a connection that breaks sooner, a round trip, did so before the part can have begun
SLOW_CALLS = 4.0  # a slow server counts as so many more calls out at most
DEATHS_MS = 30_000.0  # so long after a query killed new ones send a scout; idle times are trusted less
RISK_SHARE = 0.05  # second copies as a share of the parts taken, where none is first to answer
RISK_MOST = 5.0  # what can be saved up of it
COPY_PAYS = 1.5  # a copy first to answer pays for more than itself: two of three must win to go on
REFUSE_AT = 0.7  # turn away what is foreseen to take more than this share of the time to its aim
EVEN = 0.5  # odds below which a query is let in the more seldom the worse they are
REFUSE_OVER_QUOTA_AT = 0.5  # sooner for a tenant beyond its quota: what it adds is worth little
ASK_FIRST = 8.0  # a failed call to the list is repeated in an eighth of the time for asking, then twice that
TOLD_SHARE = 1 / 3  # of the time to be told in; as much is for the call before and the answer after
LOST_SHARE = 0.2  # of parts sent on idle connections: more lost than this is no chance nor a few deaths
LOST_FEW = 4.0  # and so many beyond it: six in a row
SECOND_STEP = 1.5  # a second step has fewer and lighter parts than the first
CUT_OFF = 0.5  # a zone loses so much more of its parts than another: most of it is out of reach
MEAN_WEIGHT = 0.05  # of the last in a running mean (hints, connections, zones): the last twenty count
ROUNDING = 5e-5  # sums of weights may come up short by this


# -- Knowledge. On call: what this broker has seen; none of it outlives a restart.
class _Node:
    def __init__(self, line: api.Endpoint) -> None:
        self.id, self.cell, self.zone, self.ready, self.started = line.node, line.cell, line.zone, False, -1.0
        self.cold_since, self.tokens, self.tokens_at = -inf, 0.0, 0.0
        self.out: dict[tuple[int, int], float] = {}  # our attempts out: when sent
        self.died_at = inf  # when it first refused or broke connections since it was heard
        self.refused, self.scouted = False, False  # then: it refused one; a scout was under way there
        self.time, self.time_at = 0.0, -inf  # what a usual part took there lately, and when that was seen
        self.told = False  # others told of its time
        self.link_at = -inf  # last use of our connection; -inf: none, or none to be trusted


class _Attempt:
    def __init__(self, node: _Node, sent: float, idle: float) -> None:
        self.node, self.sent, self.idle = node, sent, idle  # idle: of its connection; inf: a new one
        self.lost: bool | None = None


class _Part:
    def __init__(self, part: api.Part, query: _Query) -> None:
        self.id, self.shard, self.weight = part.id, part.shard, part.weight
        self.cost = part.cost_ms if part.cost_ms and isfinite(part.cost_ms) else 0.0
        self.query, self.tries, self.done = query, 0, False
        self.once = query.cls.effect == "unsafe"  # it must not run twice
        self.out: dict[int, _Attempt] = {}  # attempts out
        self.used: list[_Node] = []
        self.maybe_ran: dict[int, float] = {}  # attempts not proven never to have run: when sent


class _Query:
    def __init__(self, event: api.Query, cls: api.QueryClass, now: float) -> None:
        self.id, self.number, self.cls, self.aim_at = event.id, event.number, cls, now + cls.latency_objective_ms
        self.end_at = now + (event.time_left_ms if isfinite(event.time_left_ms) else 0.0) - LAST_MS
        if cls.late_value_share <= 0:  # worthless after its aim: ended there, which frees its servers
            self.end_at = min(self.end_at, self.aim_at)
        self.parts, self.held = list[_Part](), list[_Part]()  # held: not sent, spares of an any-m query
        self.step, self.got, self.landed, self.look_at = 1, 0.0, 0, 0.0
        self.deaths, self.clean = set[int](), False  # servers that died under it; a part was answered
        self.wanted, self.scout, self.whole = 0, False, True  # parts to send; scout: the first goes alone

    def fewest(self, share: float) -> int:
        """So many parts surely weigh that share, whichever they are."""
        sums = accumulate(sorted(p.weight for p in self.parts))
        return min(1 + sum(1 for s in sums if share >= 1 or s < share - ROUNDING), len(self.parts))


class Aggregator:
    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        sites: api.SitePreference | None = None,
        allowance: api.SlowStartBudget | None = None,
    ) -> None:
        self.set, self.rng, self.sites, self.allowance = settings, random.Random(seed), sites, allowance
        self.now, self.began, self.acts = 0.0, inf, list[api.Action]()
        self.nodes, self.parts = dict[int, _Node](), dict[int, _Part]()
        self.holders: dict[int, list[_Node]] = {}  # ready servers by shard, found when first asked for
        self.by_cell: dict[int, list[tuple[int, _Node]]] = {}  # and by cell, with their place on the list
        self.queries, self.by_number = dict[int, _Query](), dict[int, _Query]()
        self.attempts: dict[tuple[int, int], _Attempt] = {}  # all that are out, called off or not
        self.judged: deque[_Attempt] = deque(maxlen=2 * FEW)  # those answered, lost or late
        self.idle_most, self.idle_until, self.stuck = inf, -inf, 0.0  # idle trusted, until; new ones stuck
        self.fared: dict[int, tuple[float, float]] = {}  # by cell: share of queries it served whole, and when
        self.lost: dict[int, float] = {}  # by zone: share of parts lost or late, a running mean
        self.record: deque[tuple[float, float, bool]] = deque(maxlen=WINDOW_COUNT)  # when, latency, censored
        self.latencies, self.weights = list[float](), list[float]()  # its distribution; weights are sums
        self.usual = self.late = self.cost = 0.0  # usual time of a part, late mark (0: not known); cost hint
        self.refreshed, self.chosen = -inf, dict[tuple[int, int], int]()
        self.answered, self.spread = list[float](), dict[tuple[int, int], float]()  # of answers alone
        self.seen: dict[str, deque[float]] = {}  # times of queries, taken, sends, extra, tenants
        self.credit, self.alarm_at, self.killing_at = 1.0, -inf, -inf  # copies left; next look; last killing
        self.learned_at = -inf  # when others' answers last went into the record
        self.ask_at, self.unheard, self.sound = -inf, 0, 0  # next call to the list, failed in a row; servers

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        self.now, self.acts, self.began = now_ms, [], min(self.began, now_ms)
        if self.sites:
            self.sites.observe(now_ms, events)
        for e in sorted(events, key=lambda e: not isinstance(e, api.EndpointUpdate)):  # a drain counts at once
            match e:
                case api.AttemptCompleted() if (e.part, e.attempt) in self.attempts:
                    self._completed(e)
                case api.Query():
                    self._arrived(e)
                case api.FollowUpParts(number) if number in self.by_number:
                    self._second_step(self.by_number[number], e.parts)
                case api.EndpointUpdate():
                    self._view(e)
                case api.ClientDisconnected(rid) if rid in self.queries:
                    self._end(self.queries[rid], None)
                case api.Observations():
                    self._learn(e)
        if self.set.polls_endpoint_list and now_ms >= self.ask_at:
            self.acts.append(api.FollowEndpointList(True))
            self.ask_at = now_ms + self.set.max_poll_interval_ms / 2  # an answer that never comes is a failure too
        if now_ms >= self.alarm_at:
            self._look()
        next_look = now_ms + (TICK_MS if self.queries else PERIOD_MS)
        next_look = min([next_look, *(q.end_at for q in self.queries.values() if q.end_at > now_ms)])
        if not now_ms < self.alarm_at <= next_look:
            self.alarm_at = next_look
            self.acts.append(api.SetTimer(next_look - now_ms, 0))
        return self.acts

    # -- Following the list. On call: where it tells only on asking, calls that fail are spaced out.
    def _view(self, view: api.EndpointUpdate) -> None:
        """A failed call is repeated after a random wait that doubles up to the time in which we must have
        asked: all brokers calling back at once kept it out of reach for most. Harm: later news afterwards."""
        if view.kind == api.UpdateKind.FAILED:
            wait = self.set.max_poll_interval_ms * min(1.0, 2.0**self.unheard / ASK_FIRST)
            wait = min(wait, self.set.max_notification_delay_ms * TOLD_SHARE)
            self.ask_at, self.unheard = self.now + wait * self.rng.uniform(0.5, 1.0), self.unheard + 1
            return
        self.ask_at, self.unheard = (self.ask_at if view.kind == api.UpdateKind.CACHED else inf), 0
        moved = view.kind != api.UpdateKind.DELTA
        for node in self.nodes.values() if moved else ():
            node.ready = False  # a server missing from a whole list has left
        for line in view.endpoints:
            node = self.nodes.setdefault(line.node, _Node(line))
            before = node.cell, node.ready
            if line.started_ms > node.started:
                self.killing_at = self.now if node.ready else self.killing_at  # nobody missed it
                node.started = line.started_ms
                self._renew(node, line.started_ms or -inf)
            node.cell, node.ready = line.cell, line.state == api.EndpointState.READY
            moved = moved or before != (node.cell, node.ready)
        if moved:
            self.holders, self.nodes = {}, {i: n for i, n in self.nodes.items() if n.ready or n.out}

    def _renew(self, node: _Node, cold_since: float, died_at: float = inf) -> None:  # its past is void
        node.died_at, node.cold_since = died_at, cold_since
        if died_at == inf:
            node.refused = node.scouted = False
        node.tokens, node.tokens_at, node.time_at = self.rng.random(), self.now, -inf  # not due all at once

    # -- Learning from others. On call: only of servers that this broker has seen nothing of itself.
    def observations(self) -> api.Observations:
        """What this broker has seen itself; never what it was told. Changes nothing."""
        own = [n for n in self.nodes.values() if n.ready and not n.told and n.time_at > -inf]
        seen = [api.EndpointObservation(n.id, n.time, self.now - n.time_at, n.died_at < inf) for n in own]
        rows = [(self.now - at, ms, gone) for at, ms, gone in self.record if at > self.learned_at]
        return api.Observations(tuple(seen), tuple(rows))

    def _learn(self, news: api.Observations) -> None:
        """Times keep their ages and so fade as own ones do; none is taken of before a server's start.
        Harm: what was true elsewhere need not be here, until the first own answer."""
        for line in news.nodes:
            node, at = self.nodes.get(line.node), self.now - line.age_ms
            if node and (node.told or node.time_at == -inf) and at > max(node.time_at, node.cold_since):
                node.time, node.time_at, node.told = line.time_ms, at, True
        rows = [(self.now - age, ms, gone) for age, ms, gone in news.answers if 0 <= age < WINDOW_MS]
        own = [row for row in self.record if row[0] > self.learned_at]
        if rows and sum(1 for _, _, gone in own if not gone) < FEW:  # own answers take its place
            self.record, self.learned_at = deque(rows + own, maxlen=WINDOW_COUNT), self.now
            self._refresh()

    def _distribution(self) -> tuple[list[float], list[float]]:
        """Recent part latencies and their summed weights. Cancelled parts and those still out are censored:
        their weight goes to the longer samples (product-limit estimate), so the record does not skew fast."""
        while self.record and self.record[0][0] < self.now - WINDOW_MS:
            self.record.popleft()
        rows = [(ms, censored) for _, ms, censored in self.record]
        rows = sorted(rows + [(self.now - a.sent, True) for a in self.attempts.values()])
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
            self._count(what, max(WINDOW_MS, self.set.retry_budget_window_ms or 0.0) + TICK_MS)  # older: of no use
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
        self.refreshed, self.chosen, self.spread = self.now, {}, {}
        self.latencies, self.weights = self._distribution()
        answered = [ms for _, ms, gone in self.record if not gone]
        if len(answered) >= FEW:  # lost parts are left out: they must not put off their own rescue
            self.answered, self.usual = answered, median(answered[-2 * FEW :])
            self.late = LATE_MIDDLES * self.usual
        self.sound = sum(1 for n in self.nodes.values() if n.ready and n.died_at == inf)

    def _redundancy(self, m: int, k: int) -> int:
        """The r in m..k with the least T(r) among those with C(r) <= C(k); k without samples. Exception: m
        where even m leaves no spare, for spares feed that jam; held parts make good what fails or is late."""
        if m >= k or not self.latencies:
            return k
        if (m, k) not in self.chosen:
            draws = [self.rng.choices(self.latencies, cum_weights=self.weights, k=k) for _ in range(DRAWS)]
            rate, room = self._rate("queries"), self.sound * PARALLEL / self.set.broker_count  # others send alike
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
    def _holders(self, shard: int) -> list[_Node]:
        cell = shard % self.set.cell_count
        if not self.holders:  # the list has changed: one walk over it serves all shards
            self.by_cell = {}
            for place, node in enumerate(n for n in self.nodes.values() if n.ready):
                self.by_cell.setdefault(node.cell, []).append((place, node))
        if cell not in self.holders:
            cells = [(cell + i) % self.set.cell_count for i in range(self.set.cells_per_shard)]
            near = sorted((row for c in cells for row in self.by_cell.get(c, [])), key=lambda row: row[0])
            self.holders[cell] = [node for _, node in near]
        return self.holders[cell]

    def _calls(self, node: _Node) -> int:
        """Calls out after one more part, which may ride on one of this turn. Exception: a server slow by its
        last answers or their absence, or in a zone out of reach, counts as more; else it looks idle."""
        turns = Counter([*node.out.values(), self.now])
        slow = min(self._time(node) / self.usual - 1.0 if self.usual else 0.0, SLOW_CALLS)
        slow += self.stuck * SLOW_CALLS if self._idle(node) == inf else 0.0  # it needs a new connection
        slow += SLOW_CALLS * self._cut(node)
        return sum(-(-n // self.set.parts_per_call) for n in turns.values()) + round(slow)

    def _cut(self, node: _Node) -> bool:  # its zone loses far more than another
        return self.lost.get(node.zone, 0.0) - min(self.lost.values(), default=0.0) > CUT_OFF

    def _warmth(self, node: _Node) -> float:
        age = 0.0 if node.died_at < inf else max(self.now - node.cold_since, 0.0)  # dead: it may start unseen
        return min(
            1.0, self.set.slow_start_from + (1 - self.set.slow_start_from) * age / max(self.set.slow_start_ms, 1.0)
        )

    def _admits(self, node: _Node, part: _Part) -> bool:
        """Slow start: a cold server gets tokens at our own pace to a warm one, times its least warmth and
        most of the multiple that fells it: all brokers' sum is bound. Harm: a cold set's shards wait. Where
        brokers deal that pace among them it is the dealt one, but not for one that died in our sight."""
        warmth = self._warmth(node)
        if warmth >= 1.0:
            return True
        usual = self._rate("sends") / max(1, self.sound)
        if self.sites:  # after an outage in which little was sent, what is let back is the measure
            usual = max(usual, self.sites.site_rate(node.id))
        times = warmth * self.set.overload_factor * COLD_PACE
        if self.allowance and node.died_at == inf:
            among = len(self._holders(part.shard))
            usual = self.allowance.server_rate(self.now, node.id, usual, times, part.id, among)
        pace = times * usual
        node.tokens, node.tokens_at = min(1.0, node.tokens + pace * (self.now - node.tokens_at)), self.now
        return node.tokens >= 1.0

    def _pick(self, part: _Part) -> _Node | None:
        busy = [a.node for a in part.out.values()]
        pool = [n for n in self._holders(part.shard) if n not in busy and self._admits(n, part)]
        fresh = [n for n in pool if n not in part.used] or pool
        pool = self._nearest(part, fresh) or self._nearest(part, pool)
        calls = [self._calls(n) for n in pool]
        ties = [n for n, load in zip(pool, calls, strict=True) if load == min(calls)]
        riding = [n for n in ties if self.set.parts_per_call > 1 and self.now in n.out.values()]
        meets = self.rng.random() < MEET
        chosen = [n for n in ties if self._proven(n) != meets]
        return self.rng.choice(riding or chosen or ties) if ties else None

    def _proven(self, node: _Node) -> bool:
        """Answered this broker lately, on a connection still up: of equals the better bet, and no handshake.
        A broker that sees little would else meet each bad server in its turn. Its own concurrency widens the
        choice, slowness ends it. As good: one that slow start lets in, known to be new. Harm: one that came
        warm waits longer for its share; `MEET` gives it one."""
        if node.died_at == inf and self._warmth(node) < 1.0:
            return True
        return node.time_at > self.now - FADE_MS / 2 and not node.told and self._idle(node) < inf

    def _nearest(self, part: _Part, pool: list[_Node]) -> list[_Node]:
        """Those at the site that a part goes to; which of them is decided here. The sound if any is."""
        if not self.sites:
            return pool
        ids = [n.id for n in pool if n.died_at == inf] or [n.id for n in pool]
        chosen = set(self.sites.eligible(part.shard, ids, part.query.cls.effect == "safe")) if ids else ()
        return [n for n in pool if n.id in chosen]

    # -- Admission. On call: what is turned away, and only while our parts wait for servers.
    def _arrived(self, e: api.Query) -> None:
        cls = self.set.classes[e.class_index]
        query = _Query(e, cls, self.now)
        self._note("queries", "taken")
        self.queries[query.id] = self.by_number[query.number] = query
        self._take_parts(query, e.parts)
        most, over = REFUSE_AT * cls.latency_objective_ms, False
        if e.tenant < len(self.set.tenants):
            self._note(f"tenant {e.tenant}")
            quota = self.set.tenants[e.tenant].quota_per_s / self.set.broker_count / 1000
            over = self._rate(f"tenant {e.tenant}") > quota
            most = REFUSE_OVER_QUOTA_AT * cls.latency_objective_ms if over else most
        fewest = query.fewest(cls.complete_weight)
        barred = self.sites and not self.sites.admits(e, over, fewest)
        if not query.parts or barred or self._foreseen(query) >= min(most, query.end_at - self.now):
            why = "no site takes it" if barred else "foreseen to be late"
            self._end(query, self._give_up(query, why))
            return
        query.scout = e.is_retry or self.now - self.killing_at < DEATHS_MS
        odds = self._in_time(query) * (self._odds(query) if fewest == len(query.parts) else 1.0)
        if odds < EVEN and self.rng.random() > odds / EVEN:
            self._end(query, self._give_up(query, "more likely lost than answered"))
            return
        query.wanted = self._redundancy(fewest, len(query.parts))
        query.held = self.rng.sample(query.parts, len(query.parts))
        if sites := self.sites:  # the nearest first; and spares only where they go to nobody's cost
            query.held.sort(key=lambda part: sites.rank(part.shard))
            query.wanted = query.wanted if sites.allows_surplus() else fewest
        for _ in range(1 if query.scout else query.wanted):
            self._try(query.held.pop())

    def _odds(self, query: _Query) -> float:
        """That a query which needs all its parts gets them, by how others fared with its cells lately; what
        was not seen speaks neither way. Guards against work on queries that lose one part of ten. Harm: after
        a trouble it takes some answers, or seconds, until all are let in again."""
        return prod(self._fared(cell) for cell in {p.shard % self.set.cell_count for p in query.parts})

    def _in_time(self, query: _Query) -> float:
        """The chance that the least it may be answered with comes while its client waits, by recent answers;
        a scout goes before the rest. Guards against work that nobody waits for, also where no parts are out
        to foresee it by. Harm: that answers came to be quicker is noticed in seconds only."""
        left, k = (query.end_at - self.now) / (1 + query.scout), len(query.parts)
        p = sum(ms <= left for ms in self.answered) / len(self.answered) if self.answered else 1.0
        least = query.fewest(min(query.cls.complete_weight, query.cls.minimum_weight))
        return sum(comb(k, n) * p**n * (1 - p) ** (k - n) for n in range(least, k + 1))

    def _fared(self, cell: int) -> float:
        """The share of queries that got all their parts of a cell: the last weighs most, and fades to all."""
        share, at = self.fared.get(cell, (1.0, self.now))
        return 1.0 - (1.0 - share) * 2 ** -((self.now - at) / (FADE_MS / 2))

    def _tell_cells(self, query: _Query, last: api.Action) -> None:
        """One lost query is one loss, shared by the cells that lost it. A client with less time than its
        class should have tells nothing of cells without an answer."""
        whole = isinstance(last, api.Answer) and query.whole
        lost = {p.shard % self.set.cell_count for p in query.parts if not (whole or p.done)}
        for cell in {p.shard % self.set.cell_count for p in query.parts if p.tries}:
            if cell not in lost or query.end_at >= query.aim_at:
                share, weight = self._fared(cell), LAST_WEIGHT / (len(lost) if cell in lost else 1)
                self.fared[cell] = share + ((cell not in lost) - share) * weight, self.now

    def _foreseen(self, query: _Query) -> float:
        """How long a query taken now would take to the least it may be answered with: what its shards'
        servers took lately, by order statistic of recent answers over their mean; its slowest at least."""
        if not self.late or not self.attempts:
            return 0.0
        k, m = len(query.parts), query.fewest(min(query.cls.complete_weight, query.cls.minimum_weight))
        holders = [self._holders(p.shard) for p in query.parts]
        known = [[n for n in held if n.time_at > self.now - FADE_MS / 2] or held for held in holders]
        times = sorted(min((self._time(n, FADE_MS / 2) for n in held), default=0.0) for held in known)[:m]
        if (m, k) not in self.spread:
            drawn = [self.rng.choices(self.answered, k=k) for _ in range(DRAWS)]
            self.spread[m, k] = sum(sorted(d)[m - 1] for d in drawn) / DRAWS / fmean(self.answered)
        wait = max(times[-1], sum(times) / m * self.spread[m, k])
        return wait * (SECOND_STEP if query.cls.follow_up_parts else 1.0)

    def _time(self, node: _Node, fade_ms: float = FADE_MS) -> float:
        """What a usual part takes there: its last answers, fading to what all take, or its oldest age."""
        lately = (node.time - self.usual) * 2 ** -((self.now - node.time_at) / fade_ms)
        return max(self.usual + lately, self.now - min(node.out.values(), default=self.now))

    def _second_step(self, query: _Query, parts: tuple[api.Part, ...]) -> None:
        query.step, query.got, query.landed, query.held, query.parts = 2, 0.0, 0, [], []
        self._take_parts(query, parts)
        for part in query.parts:
            self._try(part)

    def _take_parts(self, query: _Query, parts: tuple[api.Part, ...]) -> None:
        for p in parts:
            self.parts[p.id] = part = _Part(p, query)
            query.parts.append(part)
            self._note("taken")
            self.credit = min(self.credit + RISK_SHARE, RISK_MOST)
            if part.cost > 0:
                self.cost += (part.cost - self.cost) * (MEAN_WEIGHT if self.cost else 1.0)

    # -- Sending and further attempts. On call: who gets a second try, and what it may cost.
    def _late_after(self, part: _Part) -> float:
        """The age at which an attempt is late; a part with a costly hint, so much later."""
        return (self.late or inf) * max(1.0, part.cost / (self.cost or inf))

    def _spent(self, part: _Part) -> bool:  # no further attempt will ever be allowed
        over = part.tries >= self.set.max_attempts or self.now >= self._begin_by(part)
        return over or (part.once and bool(part.maybe_ran))

    def _begin_by(self, part: _Part) -> float:  # what may have run is sent again only within the window
        first = min(part.maybe_ran.values(), default=inf) if part.query.cls.effect == "keyed" else inf
        return first + part.query.cls.idempotency_window_ms - END_EARLY_MS

    def _may_retry(self, part: _Part) -> bool:
        """What the class and the attempt budget allow; the budget is counted a tick to the safe side."""
        s = self.set
        if self._spent(part) or (part.out and not s.hedging):
            return False
        window, free, each = s.retry_budget_window_ms, s.retry_budget_min or 0.0, s.retry_budget_share or 0.0
        return window is None or self._count("extra", window + TICK_MS) + 1 <= (
            free + each * self._count("taken", window - TICK_MS)
        )

    def _kills(self, query: _Query) -> bool:
        """What began it died: a query may kill its servers. Until a part of it is answered it is not sent on
        while its other parts may tell, and no more after two servers, or one that its scout went to."""
        most = 1 if query.scout or any(p.out for p in query.parts) else 2
        return not query.clean and len(query.deaths) >= most

    def _unsure(self, number: int) -> bool:  # whether it died, or only a connection to it
        node = self.nodes.get(number)
        return node is not None and not node.refused and self.now - node.died_at < 2 * AGAIN_MS

    def _hopeless(self, query: _Query) -> bool:
        """No attempt out or allowed can bring it to the least it may be answered with: it ends at once."""
        cls, undone = query.cls, [p for p in query.parts if not p.done]
        spent = sum(p.weight for p in undone if not p.out and self._spent(p))
        stuck = self._kills(query) and not any(p.out for p in undone)
        stuck = stuck and not any(self._unsure(n) for n in query.deaths)  # its server may answer yet
        return (
            stuck or spent > 1.0 - min(cls.minimum_weight, cls.complete_weight if query.step == 1 else 1.0) + ROUNDING
        )

    def _try(self, part: _Part) -> bool:
        """Sends a part, once more if need be. A second copy costs `credit`, paid back if first to answer: few
        where all are slow from load. What can't be repeated goes on no link that idled for a second."""
        if self._kills(part.query) or self.now >= part.query.end_at:
            return False
        if part.tries and part.query.held and self._try(part.query.held.pop()):
            return True  # a held part makes good the failed or late one: a first attempt, outside the budget
        if part.tries and ((part.out and self.credit < 1) or not self._may_retry(part)):
            return False
        node = self._pick(part)
        if node is None:
            return False
        self.credit -= bool(part.out)
        self._note("sends", *(["extra"] if part.tries else []))
        node.tokens -= self._warmth(node) < 1.0
        idle, begin_ms = self._idle(node), self._begin_by(part) - self.now
        if self._distrusts(idle, part):
            self.acts.append(api.CloseIdleConnections(node.id))
            idle = inf
        self.attempts[part.id, part.tries] = part.out[part.tries] = _Attempt(node, self.now, idle)
        node.link_at = self.now
        node.out[part.id, part.tries] = part.maybe_ran[part.tries] = self.now
        part.used.append(node)
        if self.sites:
            self.sites.attempt_sent(part.id, part.tries, node.id)
        part.tries += 1
        self.acts.append(api.Send(part.id, node.id, max(part.query.end_at - self.now, 1.0), begin_ms))
        return True

    def _completed(self, e: api.AttemptCompleted) -> None:
        attempt = self.attempts.pop((e.part, e.attempt))
        node, took, ok = attempt.node, self.now - attempt.sent, e.outcome == Outcome.OK
        del node.out[e.part, e.attempt]
        failed = e.outcome == Outcome.CONNECT_FAILED
        slow_link = failed and e.elapsed_ms > self.set.connect_timeout_ms - BEGUN_MS  # no proof of a death
        self.stuck += (slow_link - self.stuck) * MEAN_WEIGHT * (attempt.idle == inf and not self._cut(node))
        if ok or e.outcome == Outcome.ERROR:
            node.link_at = self.now
            self._judge(attempt, lost=False)
        elif e.outcome == Outcome.RESET or took > (self.late or inf) or failed:
            node.link_at = -inf
            self.acts.extend([] if node.out else [api.CloseIdleConnections(node.id)])
            self._judge(attempt, lost=True)
        self.record.append((self.now, took, not ok))
        died = e.outcome == Outcome.RESET and e.elapsed_ms > BEGUN_MS  # sooner is as good as refused
        if ok and node.died_at < inf:
            self._heard_again(node, attempt)
        elif died or (failed and not slow_link):
            tells = died and node.died_at == inf  # one part tells whether it or its connection died
            self._renew(node, node.cold_since, min(node.died_at, self.now))
            node.tokens = 1.0 if tells else node.tokens
            node.refused = node.refused or failed
            self.killing_at = self.now if failed and node.scouted else self.killing_at
        part = self.parts.get(e.part)
        usual = took / (self._late_after(part) / self.late if part and self.late else 1.0)
        if e.outcome in (Outcome.REJECTED, Outcome.ERROR, Outcome.RESET) or slow_link:  # quick, but not idle
            usual = max(self._time(node) + self.usual, self.late)
        if ok or (self.late and usual > self._time(node)):
            old = self._time(node) if self.usual else usual
            node.time, node.time_at = old + (usual - old) * (LAST_WEIGHT if ok else 1.0), self.now
            node.told = False
        if part is None or part.out.pop(e.attempt, None) is None or part.done:
            return
        if e.outcome.never_ran:
            del part.maybe_ran[e.attempt]
        query = part.query
        if ok:
            part.done = query.clean = True
            query.got, query.landed = query.got + part.weight, query.landed + 1
            self.credit += COPY_PAYS * any(n < e.attempt for n in part.out)  # a copy that was first to answer
            while query.scout and query.held and query.wanted > len(query.parts) - len(query.held):
                self._try(query.held.pop())
            self._settle(query)
            return
        if died:
            node.scouted = node.scouted or (query.scout and not query.clean)
            query.deaths.add(node.id)
        if e.outcome == Outcome.REJECTED and part.tries > 1 and not self._spent(part):
            query.look_at = min(query.look_at, self.now + TICK_MS)  # at once it finds the same queues full
        elif (part.out or not self._try(part)) and self._hopeless(query):
            self._end(query, self._give_up(query, "no attempt is left"))

    def _heard_again(self, node: _Node, attempt: _Attempt) -> None:
        """An answer from a server that broke connections. Sent so soon after the break that nothing can have
        started again, to one that refused none, it shows that only the connection broke: the server is warm
        as before, and no query killed it. Harm: one that starts faster is fed as warm until listed."""
        if node.refused or attempt.sent > node.died_at + AGAIN_MS:  # back before the list says so, and cold
            self.killing_at = self.now if node.scouted else self.killing_at
            self._renew(node, node.died_at)
            return
        self._renew(node, node.cold_since)
        for query in self.queries.values():
            query.deaths.discard(node.id)

    # -- Connections. On call: one idle for longer than lately was safe is shut; the part opens another.
    def _idle(self, node: _Node) -> float:
        idle = 0.0 if node.out else self.now - node.link_at
        return idle if idle < self.set.connection_idle_ms else inf

    def _distrusts(self, idle: float, part: _Part) -> bool:
        stale = (self.idle_most <= idle and self.now < self.idle_until) or (part.once and idle > PERIOD_MS)
        return stale and idle < inf and self.stuck < LOST_SHARE

    def _judge(self, attempt: _Attempt, lost: bool) -> None:
        """Guards against connections dropped unseen while idle (reset, or no answer). Acts for half a minute
        when most parts beyond some idle time are lost. Harm: new connections, where handshakes are slow."""
        mistaken = attempt.lost and not lost and self.idle_most <= attempt.idle < inf  # late, but answered
        self.judged.extend([attempt] if attempt.lost is None and attempt.idle < inf else [])
        attempt.lost, zone = lost, attempt.node.zone
        self.lost[zone] = self.lost.get(zone, 0.0) * (1 - MEAN_WEIGHT) + lost * MEAN_WEIGHT
        if lost or mistaken:
            rows = sorted(((a.idle, bool(a.lost)) for a in self.judged), reverse=True)
            self.idle_until, excess, best = -inf if mistaken else self.idle_until, 0.0, LOST_FEW
            for (idle, bad), (below, _) in pairwise([*rows, (0.0, False)]):
                excess += bad - LOST_SHARE
                if bad and idle > 0 and excess > best:
                    best, self.idle_most, self.idle_until = excess, (idle + below) / 2, self.now + DEATHS_MS

    def _look(self) -> None:
        if self.now - self.refreshed >= PERIOD_MS:
            self._refresh()
        for query in [q for q in self.queries.values() if q.parts and q.cls.minimum_weight < q.cls.complete_weight]:
            self._settle(query)
        for query in list(self.queries.values()):
            if self.now >= query.end_at:
                self._end(query, self._give_up(query, "its time is over"))
            elif self.now >= query.look_at:
                query.look_at = self.now + AGAIN_MS
                for part in [p for p in query.parts if not p.done and p not in query.held]:
                    since = max((a.sent for a in part.out.values()), default=-inf)
                    if self.now < since + self._late_after(part):
                        query.look_at = min(query.look_at, since + self._late_after(part))
                    else:
                        for n, attempt in list(part.out.items()):
                            self._judge(attempt, lost=True)  # for now
                            if self._may_retry(part) and self._distrusts(attempt.idle, part):
                                self.acts.extend([api.Cancel(part.id, n), api.CloseIdleConnections(attempt.node.id)])
                                del part.out[n]
                        self._try(part)
                if self._hopeless(query):
                    self._end(query, self._give_up(query, "servers died under it"))

    # -- Ending queries. On call: one final answer each, in time, and honest.
    def _settle(self, query: _Query) -> None:
        """Answers when a whole answer is in. Exception: a class that may be answered in part is at its aim,
        or a late mark before it ahead of a second step, if what is in is worth more than a late whole one."""
        cls, first = query.cls, query.step == 1
        need = (
            cls.complete_weight - ROUNDING if first and cls.complete_weight < 1 else inf
        )  # without an any-m step all must be in
        whole = query.landed == len(query.parts) or query.got >= need
        if not whole:
            early = END_EARLY_MS + (
                min(self.late, cls.latency_objective_ms / 2) if first and cls.follow_up_parts else 0.0
            )
            pays = cls.partial_value * query.got / cls.complete_weight > cls.late_value_share
            if self.now < query.aim_at - early or not pays or not cls.minimum_weight <= query.got < cls.complete_weight:
                return
        query.whole = query.whole and whole
        if first and cls.follow_up_parts:
            self.acts.append(api.Answer(query.id, query.whole))
            self._drop_parts(query)
            query.parts, query.held = [], []
        else:
            self._end(query, api.Answer(query.id, query.whole))

    def _give_up(self, query: _Query, why: str) -> api.Action:
        """Answers from what is in where the floor allows, refuses if a repeat is harmless, else fails."""
        cls, last_step = query.cls, query.step == 2 or not query.cls.follow_up_parts
        if last_step and query.parts and cls.minimum_weight < cls.complete_weight and query.got >= cls.minimum_weight:
            return api.Answer(query.id, False)
        if cls.effect == "safe" or not any(p.maybe_ran for p in query.parts):
            return api.Reject(query.id, self.set.max_retry_after_ms if self.set.retry_after else 0.0, why)
        return api.Fail(query.id, why)

    def _end(self, query: _Query, last: api.Action | None) -> None:
        self.acts.extend([last] if last else [])
        if last and query.step == 1:  # a client that left tells nothing
            self._tell_cells(query, last)
        self._drop_parts(query)
        del self.queries[query.id], self.by_number[query.number]
        query.parts, query.held = [], []  # they point back: else each query waits for the garbage collector

    def _drop_parts(self, query: _Query) -> None:
        for part in query.parts:
            self.parts.pop(part.id, None)
            if self.set.cancel:
                self.acts.extend(api.Cancel(part.id, n) for n in part.out)
