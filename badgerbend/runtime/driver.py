"""The driver: tells the module what happens and carries out what it decides. It reads no clock and no socket.

All that happens in one turn of the loop becomes one `step`. Sends of one step to one server share a call. Time
comes from `Schedule`, so that a test drives it as a broker does.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from itertools import count

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.decisions import Aggregator
from badgerbend.runtime.ports import (
    Attempt,
    CompletedQuery,
    Observer,
    PartPlan,
    QueryPlan,
    Schedule,
    ServerList,
    Sink,
    Transport,
)

WATCH, TIMEOUT, ALARM, BEGIN = 0, 1, 2, 3


class _Query:
    __slots__ = ("cls", "extra", "id", "lost", "name", "number", "parts", "results", "sink", "started", "step", "whole")

    def __init__(self, qid: int, number: int, cls: int, name: str, sink: Sink, started: float) -> None:
        self.id, self.number, self.cls, self.name, self.sink, self.started = qid, number, cls, name, sink, started
        self.lost: list[tuple[Attempt, Outcome, float]] = []  # bounded by the parts and the tries of each
        self.parts: dict[int, PartPlan] = {}
        self.results: dict[int, object] = {}
        self.step, self.whole, self.extra = 1, True, 0


class Driver:
    """Drives one module made for `settings`. All methods are called from one thread, the loop's.

    ids: of queries and parts; drivers that share anything keyed by these share the counter too.
    """

    def __init__(
        self,
        settings: api.Settings,
        module: Aggregator,
        transport: Transport,
        servers: ServerList,
        schedule: Schedule,
        observer: Observer,
        ids: Iterator[int] | None = None,
    ) -> None:
        self.settings, self.module = settings, module
        self.transport, self.servers, self.schedule, self.observer = transport, servers, schedule, observer
        self.queries: dict[int, _Query] = {}
        self.open_parts = 0
        self._events: list[api.Event] = []
        self._ids, self._numbers, self._order = ids or count(1), count(1), count()
        self._owners: dict[int, int] = {}  # the query of each part that is not over
        self._tries: dict[int, int] = {}  # attempts made, by part that is not over
        self._out: dict[tuple[int, int], Attempt] = {}
        self._due: list[tuple[float, int, int, object]] = []  # when, order, kind, what
        self._calls: dict[int, list[Attempt]] = {}  # sends of this step, by server
        self._clients_asked: set[int] = set()  # queries whose clients were asked in this turn whether they have left
        self._woken = False

    # -- What happens. Each of these only notes it; the step comes with the next turn.
    def submit(self, plan: QueryPlan, sink: Sink) -> int | None:
        """Takes a query; its id, or None if it was refused at once for lack of room, with the sink told."""
        held = len(self.queries) + self.open_parts
        if held + 1 + len(plan.parts) > self.settings.max_open:
            self.observer.report_fault("no room", f"{held} queries and parts held")
            advice = self.settings.max_retry_after_ms if self.settings.retry_after else 0.0
            sink.rejected(advice)
            return None
        now = self.schedule.now_ms()
        query = _Query(next(self._ids), next(self._numbers), plan.cls, plan.name, sink, now)
        self.queries[query.id] = query
        parts = self._take(query, plan.parts)
        left = max(plan.time_left_ms, 0.0)
        self._at(now + left, WATCH, query.id)
        self._note(
            api.Query(query.id, query.number, plan.cls, plan.tenant, plan.key, left, plan.is_retry, plan.cost_ms, parts)
        )
        return query.id

    def client_disconnected(self, query_id: int) -> None:
        """The client has left: its query ends without an answer, what is out for it is called off."""
        query = self.queries.get(query_id)
        if query is not None:
            self._forget(query_id)
            self._close(query, "gone")

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether a client still waits for what an attempt is about. Asked before one that was delayed is written."""
        query = self.queries.get(attempt.query_id)
        return query is not None and not query.sink.client_has_left()

    def attempt_completed(
        self, attempt: Attempt, outcome: Outcome, result: object, report: tuple[float, ...] = ()
    ) -> None:
        """An attempt's end. A second word on the same attempt is ignored."""
        if self._out.pop((attempt.part_id, attempt.number), None) is not attempt:
            return
        took = self.schedule.now_ms() - attempt.sent_ms
        query = self.queries.get(attempt.query_id)
        if outcome == Outcome.OK and query is not None and attempt.part_id in query.parts:
            query.results.setdefault(attempt.part_id, result)
        elif query is not None and outcome != Outcome.OK:
            query.lost.append((attempt, outcome, took))
        self.observer.attempt_ended(attempt, outcome, took)
        self._note(api.AttemptCompleted(attempt.part_id, attempt.number, attempt.node, outcome, max(took, 0.0), report))

    def update_endpoints(self, update: api.EndpointUpdate) -> None:
        """News of the list of servers."""
        self._note(update)

    def add_observations(self, observations: api.Observations) -> None:
        """What others have seen of servers, already weighed."""
        self._note(observations)

    def observations(self) -> api.Observations:
        """What this broker has seen itself, as of the last step."""
        return self.module.observations()

    @property
    def idle(self) -> bool:
        """Whether no query is held, no attempt is out and the module has been told of all that happened."""
        return not (self.queries or self._out or self._events)

    # -- One turn.
    def turn(self) -> None:
        """One step for all that has happened, then its actions in their order."""
        self._woken = False
        self._clients_asked.clear()
        now = self.schedule.now_ms()
        overdue = self._refuse_unheard(self._pop_due(now))
        events, self._events = [self._aged(event, now) for event in self._events], []
        if events:
            began = time.perf_counter()  # a measure of cost, never an input of a decision
            try:
                actions = self.module.step(now, events)
            except Exception as err:  # a defect must not take the other queries with it: the watch ends these
                self.observer.report_fault("step failed", f"{type(err).__name__}: {err}")
                actions = []
            self.observer.stepped(len(events), time.perf_counter() - began)
            for action in actions:
                self._carry_out(action, now)
            for node in list(self._calls):
                self._flush(node)
        for query_id in overdue:
            self._watch(query_id)
        self._sleep()

    def _carry_out(self, action: api.Action, now: float) -> None:
        match action:
            case api.Send(part, node, timeout, begin):
                self._send(part, node, timeout, begin, now)
            case api.SetTimer(after, token):
                self._at(now + after, ALARM, token)
            case api.Cancel(part, number):
                self._cancel(part, number)
            case api.Answer(query_id, whole):
                self._answer(query_id, whole)
            case api.Reject(query_id, after, why):
                if query_id in self.queries:
                    self._tell(self._close(self.queries[query_id], "refused", why).rejected, after)
            case api.Fail(query_id, why):
                if query_id in self.queries:
                    self._tell(self._close(self.queries[query_id], "failed", why).failed)
            case api.CloseIdleConnections(node):
                self._flush(node)  # a send that was decided before goes before
                self.transport.close_idle(node)
            case api.FollowEndpointList(on):
                self.servers.follow(on)
            case api.FetchEndpointList():
                self.servers.read_list()
            case api.Log(text):
                self.observer.report_fault("module", text)
            case _:
                self.observer.report_fault("no such means", type(action).__name__)

    def _send(self, part: int, node: int, timeout: float, begin: float, now: float) -> None:
        number = self._tries.get(part, 0)
        query = self._owner(part)
        if query is None:  # its query has just ended: never leaves the broker
            self.observer.report_fault("send after the end", f"part {part}")
            return
        self._tries[part] = number + 1
        query.extra += number > 0
        attempt = Attempt(part, number, node, query.parts[part], query.id, now, timeout, now + begin)
        self._out[part, number] = attempt
        self._at(now + timeout, TIMEOUT, attempt)
        if begin < timeout:
            self._at(now + begin, BEGIN, attempt)
        self._calls.setdefault(node, []).append(attempt)

    def _owner(self, part: int) -> _Query | None:
        owner = self._owners.get(part)
        return self.queries.get(owner) if owner is not None else None

    def _flush(self, node: int) -> None:
        """Sends what this turn decided for a server, but for queries whose client has left. A process that was held up
        finds a request and the end of its connection together: the end is read a turn later than the request."""
        for query_id in {attempt.query_id for attempt in self._calls.get(node, ())} - self._clients_asked:
            self._clients_asked.add(query_id)
            query = self.queries.get(query_id)
            if query is not None and query.sink.client_has_left():
                self.client_disconnected(query_id)
        attempts, most = self._calls.pop(node, []), self.settings.parts_per_call
        for at in range(0, len(attempts), most):
            self.transport.send(node, attempts[at : at + most])

    def _cancel(self, part: int, number: int) -> None:
        attempt = self._out.get((part, number))
        if attempt is not None and not self._take_back(attempt):
            self.transport.cancel(attempt)
            self.attempt_completed(attempt, Outcome.CANCELLED, None)

    def _take_back(self, attempt: Attempt) -> bool:
        """Whether it had not begun; then it goes no further and never ran."""
        waiting = self._calls.get(attempt.node, [])
        if attempt in waiting:
            waiting.remove(attempt)
        elif self.transport.begun(attempt):
            return False
        else:
            self.transport.cancel(attempt)
        self.attempt_completed(attempt, Outcome.NOT_SENT, None)
        return True

    def _answer(self, query_id: int, whole: bool) -> None:
        query = self.queries.get(query_id)
        if query is None:
            return
        results = [(query.parts[p], r) for p, r in query.results.items()]
        query.whole = query.whole and whole
        if self.settings.classes[query.cls].follow_up_parts and query.step == 1:
            plans = self._more(query, results)
            if plans:
                query.step = 2
                self._forget_parts(query)
                self._note(api.FollowUpParts(query.number, self._take(query, plans)))
                return
            self._note(api.ClientDisconnected(query_id))  # the first answer is the last: the module waits for no more
        sink = self._close(query, "answered" if query.whole else "answered in part")
        self._tell(sink.answered, results, query.whole)

    def _more(self, query: _Query, results: list[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        try:
            return query.sink.follow_up_parts(results)
        except Exception as err:
            self.observer.report_fault("a sink broke", f"{type(err).__name__}: {err}")
            return ()

    def _tell(self, word: Callable[..., None], *what: object) -> None:
        """A front that breaks over an answer must not stop the other actions of the step."""
        try:
            word(*what)
        except Exception as err:
            self.observer.report_fault("a sink broke", f"{type(err).__name__}: {err}")

    def _aged(self, event: api.Event, now: float) -> api.Event:
        """A query with the time that is left now. The turn may come late, in a process that is held up, and the module
        counts from the turn: it would tell servers too long a deadline, and end the query after its client's."""
        if not isinstance(event, api.Query):
            return event
        waited_ms = now - self.queries[event.id].started
        return replace(event, time_left_ms=max(event.time_left_ms - waited_ms, 0.0))

    def _refuse_unheard(self, overdue: list[int]) -> list[int]:
        """Refuses queries whose time was over before the module heard of them, as at a process that was held up; gives
        the others. Nothing is sent for these."""
        if not overdue:
            return overdue
        unheard = {event.id for event in self._events if isinstance(event, api.Query)}
        for query_id in unheard.intersection(overdue):
            self._forget(query_id)
            self._tell(self._close(self.queries[query_id], "refused", "no time was left").rejected, 0.0)
        return [query_id for query_id in overdue if query_id not in unheard]

    def _watch(self, query_id: int) -> None:
        """The net under the decisions: a query still open at the end of its time fails now."""
        query = self.queries.get(query_id)
        if query is not None:
            self.observer.report_fault("ended by the watch", f"query {query_id}")
            self._forget(query_id)
            self._tell(self._close(query, "failed by the watch").failed)

    # -- Books.
    def _take(self, query: _Query, plans: Sequence[PartPlan]) -> tuple[api.Part, ...]:
        parts = []
        for plan in plans:
            part = api.Part(next(self._ids), plan.shard, plan.weight, plan.cost_ms)
            query.parts[part.id] = plan
            self._owners[part.id] = query.id
            parts.append(part)
        self.open_parts += len(parts)
        return tuple(parts)

    def _forget_parts(self, query: _Query) -> None:
        for part in query.parts:
            self._owners.pop(part, None)
            self._tries.pop(part, None)
        self.open_parts -= len(query.parts)
        query.parts, query.results = {}, {}

    def _close(self, query: _Query, how: str, why: str = "") -> Sink:
        took = self.schedule.now_ms() - query.started
        parts, extra, lost = len(query.parts), query.extra, query.lost
        self.observer.query_ended(CompletedQuery(query.id, query.name, query.cls, how, why, took, parts, extra, lost))
        del self.queries[query.id]
        # Nothing begins for a query that is over, also where the settings let nothing be called off.
        for part in query.parts:
            for number in range(self._tries.get(part, 0)):
                if attempt := self._out.get((part, number)):
                    self._take_back(attempt)
        self._forget_parts(query)
        return query.sink

    def _forget(self, query_id: int) -> None:
        """Tells the module that a query is over before all else of this turn, or nothing of one that it has not heard
        of. Guards against a part that ends in the turn in which its client leaves: it would be tried again for nobody,
        and the module would count for ever an attempt that was never made."""
        heard = [e for e in self._events if not (isinstance(e, api.Query) and e.id == query_id)]
        if len(heard) == len(self._events):
            heard.insert(0, api.ClientDisconnected(query_id))
        self._events = heard
        self._wake()

    def _note(self, event: api.Event) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        if not self._woken:
            self._woken = True
            self.schedule.wake(None)

    def _at(self, when: float, kind: int, what: object) -> None:
        heapq.heappush(self._due, (when, next(self._order), kind, what))

    def _pop_due(self, now: float) -> list[int]:
        overdue = []
        while self._due and self._due[0][0] <= now:
            _, _, kind, what = heapq.heappop(self._due)
            if kind == ALARM:
                assert isinstance(what, int)
                self._events.append(api.TimerFired(what))
            elif kind == WATCH:
                assert isinstance(what, int)
                overdue.append(what)
            else:
                assert isinstance(what, Attempt)
                if (what.part_id, what.number) not in self._out or self._take_back(what):
                    continue
                if kind == TIMEOUT:
                    self.transport.cancel(what)
                    self.attempt_completed(what, Outcome.TIMEOUT, None)
        return overdue

    def _sleep(self) -> None:
        while self._due and self._stale(self._due[0]):
            heapq.heappop(self._due)
        if self._due and not self._woken:
            self.schedule.wake(self._due[0][0])

    def _stale(self, due: tuple[float, int, int, object]) -> bool:
        _, _, kind, what = due
        if kind in (TIMEOUT, BEGIN):
            assert isinstance(what, Attempt)
            return (what.part_id, what.number) not in self._out
        return kind == WATCH and what not in self.queries
