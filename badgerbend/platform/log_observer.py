"""Counts what the broker does and logs it: JSON lines on standard error, a bounded number per second.

Counts are kept per server, so that what the broker reports can be compared with what was sent over the sockets.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.runtime.ports import Attempt, CompletedQuery

MAX_NAMES = 8  # servers named in one line
UNANSWERED_RESULTS = ("refused", "failed", "failed by the watch")
CLIENT_DISCONNECTED = "gone"
MAX_LINES_PER_SECOND = 20  # of faults, lists and unanswered queries; those beyond are only counted


@dataclass(slots=True)
class ServerCounts:
    """A server's attempts since the last summary, by outcome, and the total time of those served, in milliseconds."""

    outcomes: Counter[str] = field(default_factory=Counter)
    served_ms: float = 0.0


class LogObserver:
    """The runtime's `Observer`. name_of: returns the name of a server by its node number."""

    def __init__(self, classes: Sequence[str], name_of: Callable[[int], str]) -> None:
        self.classes, self.name_of = classes, name_of
        self.servers: dict[int, ServerCounts] = {}
        self.queries: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.steps, self.events, self.step_s = 0, 0, 0.0
        self._second, self._lines = 0, 0
        self._departing: list[str] = []  # drained or removed servers of the list that is being published

    # -- runtime.ports.Observer
    def attempt_ended(self, attempt: Attempt, outcome: Outcome, took_ms: float) -> None:
        server = self.servers.get(attempt.node)
        if server is None:
            server = self.servers[attempt.node] = ServerCounts()
        server.outcomes[outcome.label] += 1
        if outcome is Outcome.OK:
            server.served_ms += took_ms

    def query_ended(self, query: CompletedQuery) -> None:
        result = f"{query.result}: {query.reason}" if query.reason else query.result
        self.queries[f"{self.classes[query.cls]} {result}"] += 1
        had_attempts = query.extra_attempts or query.failed_attempts
        if (
            query.result in UNANSWERED_RESULTS or (query.result == CLIENT_DISCONNECTED and had_attempts)
        ) and self._may_log():
            failed_attempts = [
                (a.plan.shard, a.number, self.name_of(a.node), outcome.label, round(took_ms, 1))
                for a, outcome, took_ms in query.failed_attempts
            ]
            self.write_line(
                "ended",
                id=query.name,
                cls=self.classes[query.cls],
                how=result,
                took_ms=round(query.took_ms, 1),
                parts=query.parts,
                extra=query.extra_attempts,
                lost=failed_attempts,
            )

    def stepped(self, events: int, seconds: float) -> None:
        self.steps, self.events, self.step_s = self.steps + 1, self.events + events, self.step_s + seconds

    def report_fault(self, kind: str, detail: str) -> None:
        self.faults[kind] += 1
        if self._may_log():
            self.write_line("trouble", kind=kind, detail=detail[:300])

    # -- the list of servers
    def endpoints_updated(self, endpoints: Sequence[api.Endpoint]) -> None:
        """Notes the servers that the aggregator was told to drain or remove, for the line about the list."""
        self._departing += [self.name_of(one.node) for one in endpoints if one.state is not api.EndpointState.READY]

    def list_applied(self, version: int | None, polled_s: float, answered_s: float) -> None:
        """Logs a list that was applied. polled_s, answered_s: how long ago the poll was sent and was answered."""
        departing, self._departing = self._departing, []
        if self._may_log():
            self.write_line(
                "list",
                version=version,
                asked_ms=round(polled_s * 1000.0, 1),
                answered_ms=round(answered_s * 1000.0, 1),
                leaving=len(departing),
                names=departing[:MAX_NAMES],
            )

    def _may_log(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_SECOND

    # -- lines
    def write_line(self, what: str, **values: object) -> None:
        """Writes one line with the time of the monotonic clock in seconds; errors while writing are ignored."""
        entry = {"what": what, "at": round(time.monotonic(), 3), **values}
        try:
            sys.stderr.write(msgspec.json.encode(entry).decode() + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    def summary(self, **values: object) -> None:
        """Logs the counts since the last summary and resets them.

        A server appears under its name in the list, or under its node number once it has left the list. Its `served_ms`
        is the mean of its served attempts.
        """
        self.write_line(
            "summary",
            queries=self.queries,
            troubles=self.faults,
            steps=self.steps,
            events=self.events,
            step_ms=round(self.step_s * 1000.0, 1),
            servers={
                self.name_of(node): {**s.outcomes, "served_ms": round(s.served_ms / max(s.outcomes["OK"], 1), 1)}
                for node, s in self.servers.items()
            },
            **values,
        )
        self.servers, self.queries, self.faults = {}, Counter(), Counter()
        self.steps, self.events, self.step_s = 0, 0, 0.0
