"""The driver passes events to the aggregator and carries out its actions. It reads no clock and no socket.

All events of one turn of the event loop are processed in one `step`. Attempts of one step to the same server share a
call. Time comes from `Schedule`, so that tests can control it.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from itertools import count
from typing import cast

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

# Kinds of the driver's timers. TIMER: set by the aggregator. BEGIN_DEADLINE: when an unsent attempt is taken back.
QUERY_DEADLINE, TIMEOUT, TIMER, BEGIN_DEADLINE = 0, 1, 2, 3


class _Query:
    __slots__ = (
        "cls",
        "complete",
        "extra_attempts",
        "failed_attempts",
        "id",
        "name",
        "number",
        "parts",
        "results",
        "sink",
        "started",
        "step",
    )

    def __init__(self, qid: int, number: int, cls: int, name: str, sink: Sink, started: float) -> None:
        self.id, self.number, self.cls, self.name, self.sink, self.started = qid, number, cls, name, sink, started
        self.failed_attempts: list[tuple[Attempt, Outcome, float]] = []  # bounded by the parts and the attempts of each
        self.parts: dict[int, PartPlan] = {}
        self.results: dict[int, object] = {}
        self.step, self.complete, self.extra_attempts = 1, True, 0


class Driver:
    """Drives one aggregator created for `settings`. All methods are called on the thread of the event loop.

    ids: assigns the ids of queries and parts; drivers that share anything keyed by them share this counter too.
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
        self._ids, self._query_numbers, self._sequence = ids or count(1), count(1), count()
        self._query_of_part: dict[int, int] = {}  # query id by part id, for parts of open queries
        self._attempt_counts: dict[int, int] = {}  # attempts made so far by part id, for parts of open queries
        self._in_flight: dict[tuple[int, int], Attempt] = {}
        # Time, sequence number, kind and subject. The timers of an attempt outlive it, so they refer to it by its part
        # and number: the attempt itself would keep the query's payload in memory.
        self._timers: list[tuple[float, int, int, object]] = []
        self._calls: dict[int, list[Attempt]] = {}  # attempts to send in this step, by server
        self._clients_checked: set[int] = set()  # queries whose clients were checked for disconnection in this turn
        self._wake_requested = False

    # -- Events. Each method only records the event; the step follows in the next turn.
    def submit(self, plan: QueryPlan, sink: Sink) -> int | None:
        """Accepts a query and returns its id.

        Returns None if the query was rejected at once for lack of capacity; the sink has then been notified.
        """
        open_count = len(self.queries) + self.open_parts
        if open_count + 1 + len(plan.parts) > self.settings.max_open:
            self.observer.report_fault("no room", f"{open_count} queries and parts are open")
            retry_after_ms = self.settings.max_retry_after_ms if self.settings.retry_after else 0.0
            sink.rejected(retry_after_ms)
            return None
        now = self.schedule.now_ms()
        query = _Query(next(self._ids), next(self._query_numbers), plan.cls, plan.name, sink, now)
        self.queries[query.id] = query
        parts = self._add_parts(query, plan.parts)
        time_left_ms = max(plan.time_left_ms, 0.0)
        self._set_timer(now + time_left_ms, QUERY_DEADLINE, query.id)
        self._add_event(
            api.Query(
                query.id,
                query.number,
                plan.cls,
                plan.tenant,
                plan.key,
                time_left_ms,
                plan.is_retry,
                plan.cost_ms,
                parts,
            )
        )
        return query.id

    def client_disconnected(self, query_id: int) -> None:
        """Ends the query of a client that disconnected, without an answer; its attempts in flight are cancelled."""
        query = self.queries.get(query_id)
        if query is not None:
            self._report_query_end(query_id)
            self._close(query, "gone")

    def has_attempts(self, query_id: int) -> bool:
        """Whether an attempt was made for an open query, so that a part of it may run."""
        query = self.queries.get(query_id)
        return query is not None and any(part in self._attempt_counts for part in query.parts)

    def is_wanted(self, attempt: Attempt) -> bool:
        """Whether a client still waits for an attempt's result; checked before a delayed attempt is written."""
        query = self.queries.get(attempt.query_id)
        return query is not None and not query.sink.client_has_left()

    def attempt_completed(
        self, attempt: Attempt, outcome: Outcome, result: object, report: tuple[float, ...] = ()
    ) -> None:
        """Handles the end of an attempt; further reports on the same attempt are ignored."""
        if self._in_flight.pop((attempt.part_id, attempt.number), None) is not attempt:
            return
        took = self.schedule.now_ms() - attempt.sent_ms
        query = self.queries.get(attempt.query_id)
        if outcome == Outcome.OK and query is not None and attempt.part_id in query.parts:
            query.results.setdefault(attempt.part_id, result)
        elif query is not None and outcome != Outcome.OK:
            query.failed_attempts.append((attempt, outcome, took))
        self.observer.attempt_ended(attempt, outcome, took)
        self._add_event(
            api.AttemptCompleted(attempt.part_id, attempt.number, attempt.node, outcome, max(took, 0.0), report)
        )

    def update_endpoints(self, update: api.EndpointUpdate) -> None:
        """Passes an update of the list of servers to the aggregator."""
        self._add_event(update)

    def add_observations(self, observations: api.Observations) -> None:
        """Passes observations of servers by other brokers, already weighted, to the aggregator."""
        self._add_event(observations)

    def observations(self) -> api.Observations:
        """Returns this broker's own observations as of the last step."""
        return self.module.observations()

    @property
    def idle(self) -> bool:
        """Whether no query is open, no attempt is in flight and the aggregator has processed all events."""
        return not (self.queries or self._in_flight or self._events)

    # -- Turns of the event loop.
    def turn(self) -> None:
        """Makes one step for all recorded events and carries out its actions in order."""
        self._wake_requested = False
        self._clients_checked.clear()
        now = self.schedule.now_ms()
        expired = self._reject_expired(self._run_due_timers(now))
        events, self._events = [self._with_current_time_left(event, now) for event in self._events], []
        if events:
            began = time.perf_counter()  # measures the cost; it is never an input of a decision
            try:
                actions = self.module.step(now, events)
            except Exception as err:
                # A defect must not affect other queries; the queries of this step end by their deadlines.
                self.observer.report_fault("step failed", f"{type(err).__name__}: {err}")
                actions = []
            self.observer.stepped(len(events), time.perf_counter() - began)
            for action in actions:
                self._run_safely("action failed", f"{type(action).__name__}: ", self._carry_out, action, now)
            for node in list(self._calls):
                self._run_safely("send failed", f"server {node}: ", self._flush, node)
        for query_id in expired:
            self._fail_expired(query_id)
        self._schedule_next_turn()

    def _run_safely(self, fault: str, subject: str, callback: Callable[..., None], *arguments: object) -> None:
        """Calls a function. An exception in it is reported, and stops neither other actions nor the next turns."""
        try:
            callback(*arguments)
        except Exception as err:
            self.observer.report_fault(fault, f"{subject}{type(err).__name__}: {err}")

    def _carry_out(self, action: api.Action, now: float) -> None:
        match action:
            case api.Send(part, node, timeout_ms, begin_within_ms):
                self._send(part, node, timeout_ms, begin_within_ms, now)
            case api.SetTimer(after_ms, token):
                self._set_timer(now + after_ms, TIMER, token)
            case api.Cancel(part, number):
                self._cancel(part, number)
            case api.Answer(query_id, complete):
                self._answer(query_id, complete)
            case api.Reject(query_id, after_ms, reason):
                if query_id in self.queries:
                    self._notify_sink(self._close(self.queries[query_id], "refused", reason).rejected, after_ms)
            case api.Fail(query_id, reason):
                if query_id in self.queries:
                    self._notify_sink(self._close(self.queries[query_id], "failed", reason).failed)
            case api.CloseIdleConnections(node):
                self._flush(node)  # attempts that were decided on earlier are sent first
                self.transport.close_idle(node)
            case api.FollowEndpointList(on):
                self.servers.follow(on)
            case api.FetchEndpointList():
                self.servers.read_list()
            case api.Log(text):
                self.observer.report_fault("module", text)
            case _:
                self.observer.report_fault("no such means", type(action).__name__)

    def _send(self, part: int, node: int, timeout_ms: float, begin_within_ms: float, now: float) -> None:
        number = self._attempt_counts.get(part, 0)
        query = self._query_with_part(part)
        if query is None:  # the query has just ended, so nothing is sent
            self.observer.report_fault("send after the end", f"part {part}")
            return
        self._attempt_counts[part] = number + 1
        query.extra_attempts += number > 0
        attempt = Attempt(part, number, node, query.parts[part], query.id, now, timeout_ms, now + begin_within_ms)
        self._in_flight[part, number] = attempt
        self._set_timer(now + timeout_ms, TIMEOUT, (part, number))
        if begin_within_ms < timeout_ms:
            self._set_timer(now + begin_within_ms, BEGIN_DEADLINE, (part, number))
        self._calls.setdefault(node, []).append(attempt)

    def _query_with_part(self, part: int) -> _Query | None:
        owner = self._query_of_part.get(part)
        return self.queries.get(owner) if owner is not None else None

    def _flush(self, node: int) -> None:
        """Sends this turn's attempts to a server, except those for queries whose client has disconnected.

        A process that was delayed finds a request and the end of its connection at the same time, but reads the end one
        turn later than the request.
        """
        for query_id in {attempt.query_id for attempt in self._calls.get(node, ())} - self._clients_checked:
            self._clients_checked.add(query_id)
            query = self.queries.get(query_id)
            if query is not None and query.sink.client_has_left():
                self.client_disconnected(query_id)
        attempts, limit = self._calls.pop(node, []), self.settings.parts_per_call
        for at in range(0, len(attempts), limit):
            self.transport.send(node, attempts[at : at + limit])

    def _cancel(self, part: int, number: int) -> None:
        attempt = self._in_flight.get((part, number))
        if attempt is not None and not self._take_back(attempt):
            self.transport.cancel(attempt)
            self.attempt_completed(attempt, Outcome.CANCELLED, None)

    def _take_back(self, attempt: Attempt) -> bool:
        """Ends an attempt as not sent if no byte of it was sent; returns whether it did."""
        waiting = self._calls.get(attempt.node, [])
        if attempt in waiting:
            waiting.remove(attempt)
        elif self.transport.begun(attempt):
            return False
        else:
            self.transport.cancel(attempt)
        self.attempt_completed(attempt, Outcome.NOT_SENT, None)
        return True

    def _answer(self, query_id: int, complete: bool) -> None:
        query = self.queries.get(query_id)
        if query is None:
            return
        results = [(query.parts[part], result) for part, result in query.results.items()]
        query.complete = query.complete and complete
        if self.settings.classes[query.cls].follow_up_parts and query.step == 1:
            plans = self._follow_up_parts(query, results)
            if plans:
                query.step = 2
                self._forget_parts(query)
                self._add_event(api.FollowUpParts(query.number, self._add_parts(query, plans)))
                return
            # There is no second step, so the aggregator must not wait for one.
            self._add_event(api.ClientDisconnected(query_id))
        sink = self._close(query, "answered" if query.complete else "answered in part")
        self._notify_sink(sink.answered, results, query.complete)

    def _follow_up_parts(self, query: _Query, results: list[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        try:
            return query.sink.follow_up_parts(results)
        except Exception as err:
            self.observer.report_fault("a sink broke", f"{type(err).__name__}: {err}")
            return ()

    def _notify_sink(self, callback: Callable[..., None], *subject: object) -> None:
        self._run_safely("a sink broke", "", callback, *subject)

    def _with_current_time_left(self, event: api.Event, now: float) -> api.Event:
        """Returns the event, with the time that is left now if it is a query.

        In a process that was delayed, the turn may come late, and the aggregator counts from the turn. Without this, it
        would send too long a deadline to servers and end the query after the client's deadline.
        """
        if not isinstance(event, api.Query):
            return event
        waited_ms = now - self.queries[event.id].started
        return replace(event, time_left_ms=max(event.time_left_ms - waited_ms, 0.0))

    def _reject_expired(self, expired: list[int]) -> list[int]:
        """Rejects queries whose time ran out before the aggregator received them, as happens in a delayed process.

        Nothing is sent for these queries. Returns the other expired queries.
        """
        if not expired:
            return expired
        not_submitted = {event.id for event in self._events if isinstance(event, api.Query)}
        for query_id in not_submitted.intersection(expired):
            self._report_query_end(query_id)
            self._notify_sink(self._close(self.queries[query_id], "refused", "no time was left").rejected, 0.0)
        return [query_id for query_id in expired if query_id not in not_submitted]

    def _fail_expired(self, query_id: int) -> None:
        """Fails a query that is still open at its deadline, in case the aggregator has not ended it."""
        query = self.queries.get(query_id)
        if query is not None:
            self.observer.report_fault("ended by the watch", f"query {query_id}")
            self._report_query_end(query_id)
            self._notify_sink(self._close(query, "failed by the watch").failed)

    # -- Bookkeeping.
    def _add_parts(self, query: _Query, plans: Sequence[PartPlan]) -> tuple[api.Part, ...]:
        parts = []
        for plan in plans:
            part = api.Part(next(self._ids), plan.shard, plan.weight, plan.cost_ms)
            query.parts[part.id] = plan
            self._query_of_part[part.id] = query.id
            parts.append(part)
        self.open_parts += len(parts)
        return tuple(parts)

    def _forget_parts(self, query: _Query) -> None:
        for part in query.parts:
            self._query_of_part.pop(part, None)
            self._attempt_counts.pop(part, None)
        self.open_parts -= len(query.parts)
        query.parts, query.results = {}, {}

    def _close(self, query: _Query, result: str, reason: str = "") -> Sink:
        took = self.schedule.now_ms() - query.started
        parts, extra_attempts, failed_attempts = len(query.parts), query.extra_attempts, query.failed_attempts
        self.observer.query_ended(
            CompletedQuery(
                query.id, query.name, query.cls, result, reason, took, parts, extra_attempts, failed_attempts
            )
        )
        del self.queries[query.id]
        # No attempt may start for a query that has ended, even if the settings disable cancellation.
        for part in query.parts:
            for number in range(self._attempt_counts.get(part, 0)):
                if attempt := self._in_flight.get((part, number)):
                    self._take_back(attempt)
        self._forget_parts(query)
        return query.sink

    def _report_query_end(self, query_id: int) -> None:
        """Reports the end of a query to the aggregator before all other events of this turn.

        If the aggregator has not received the query yet, the query's event is dropped instead. Guards against a part
        that ends in the turn in which its client disconnects: it would be retried for nobody, and the aggregator would
        count forever an attempt that was never made.
        """
        events = [e for e in self._events if not (isinstance(e, api.Query) and e.id == query_id)]
        if len(events) == len(self._events):
            events.insert(0, api.ClientDisconnected(query_id))
        self._events = events
        self._wake()

    def _add_event(self, event: api.Event) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        if not self._wake_requested:
            self._wake_requested = True
            self.schedule.wake(None)

    def _set_timer(self, when: float, kind: int, subject: object) -> None:
        heapq.heappush(self._timers, (when, next(self._sequence), kind, subject))

    def _run_due_timers(self, now: float) -> list[int]:
        expired = []
        while self._timers and self._timers[0][0] <= now:
            _, _, kind, subject = heapq.heappop(self._timers)
            if kind == TIMER:
                assert isinstance(subject, int)
                self._events.append(api.TimerFired(subject))
            elif kind == QUERY_DEADLINE:
                assert isinstance(subject, int)
                expired.append(subject)
            else:
                attempt = self._in_flight.get(cast(tuple[int, int], subject))
                if attempt is None or self._take_back(attempt):
                    continue
                if kind == TIMEOUT:
                    self.transport.cancel(attempt)
                    self.attempt_completed(attempt, Outcome.TIMEOUT, None)
        return expired

    def _schedule_next_turn(self) -> None:
        while self._timers and self._is_obsolete(self._timers[0]):
            heapq.heappop(self._timers)
        if self._timers and not self._wake_requested:
            self.schedule.wake(self._timers[0][0])

    def _is_obsolete(self, due: tuple[float, int, int, object]) -> bool:
        _, _, kind, subject = due
        if kind in (TIMEOUT, BEGIN_DEADLINE):
            return subject not in self._in_flight
        return kind == QUERY_DEADLINE and subject not in self.queries
