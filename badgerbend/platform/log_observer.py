"""What `run` counts and writes of itself: one line of JSON at a time, on standard error, a bounded number a second.

Counts are kept by server, so that what the broker believes can be held against what passed on the sockets.
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

MOST_NAMES = 8  # of servers in one line
NOT_ANSWERED = ("refused", "failed", "failed by the watch")
CLIENT_LEFT = "gone"
MOST_LINES = 20  # of troubles and bad ends a second; those beyond are counted


@dataclass(slots=True)
class Server:
    """Attempts ended there since the last summary, and the time that those served took, in milliseconds."""

    ends: Counter[str] = field(default_factory=Counter)
    served_ms: float = 0.0


class LogObserver:
    """The runtime's `Observer`."""

    def __init__(self, classes: Sequence[str], name_of: Callable[[int], str]) -> None:
        self.classes, self.name_of = classes, name_of  # of a server, by its number
        self.servers: dict[int, Server] = {}
        self.queries: Counter[str] = Counter()
        self.troubles: Counter[str] = Counter()
        self.steps, self.events, self.step_s = 0, 0, 0.0
        self._second, self._lines = 0, 0
        self._leaving: list[str] = []  # told by the list that is being taken

    # -- runtime.ports.Observer
    def attempt_ended(self, attempt: Attempt, outcome: Outcome, took_ms: float) -> None:
        server = self.servers.get(attempt.node)
        if server is None:
            server = self.servers[attempt.node] = Server()
        server.ends[outcome.label] += 1
        if outcome is Outcome.OK:
            server.served_ms += took_ms

    def query_ended(self, query: CompletedQuery) -> None:
        how = f"{query.result}: {query.reason}" if query.reason else query.result
        self.queries[f"{self.classes[query.cls]} {how}"] += 1
        sent = query.extra_attempts or query.failed_attempts
        if (query.result in NOT_ANSWERED or (query.result == CLIENT_LEFT and sent)) and self._may_write():
            lost = [
                (a.plan.shard, a.number, self.name_of(a.node), outcome.label, round(took, 1))
                for a, outcome, took in query.failed_attempts
            ]
            self.line(
                "ended",
                id=query.name,
                cls=self.classes[query.cls],
                how=how,
                took_ms=round(query.took_ms, 1),
                parts=query.parts,
                extra=query.extra_attempts,
                lost=lost,
            )

    def stepped(self, events: int, seconds: float) -> None:
        self.steps, self.events, self.step_s = self.steps + 1, self.events + events, self.step_s + seconds

    def report_fault(self, what: str, detail: str) -> None:
        self.troubles[what] += 1
        if self._may_write():
            self.line("trouble", kind=what, detail=detail[:300])

    # -- the list
    def leaving(self, lines: Sequence[api.Endpoint]) -> None:
        """Servers that the module is told of: those that take nothing new are named once the list is through."""
        self._leaving += [self.name_of(line.node) for line in lines if line.state is not api.EndpointState.READY]

    def list_taken(self, version: int | None, asked_s: float, answered_s: float) -> None:
        """News of the list are in force. asked_s, answered_s: how long ago it was asked for, and came whole."""
        leaving, self._leaving = self._leaving, []
        if self._may_write():
            self.line(
                "list",
                version=version,
                asked_ms=round(asked_s * 1000.0, 1),
                answered_ms=round(answered_s * 1000.0, 1),
                leaving=len(leaving),
                names=leaving[:MOST_NAMES],
            )

    def _may_write(self) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MOST_LINES

    # -- lines
    def line(self, what: str, **values: object) -> None:
        """Writes one line, with seconds of the monotonic clock; a log that cannot be written to stops nothing."""
        entry = {"what": what, "at": round(time.monotonic(), 3), **values}
        try:
            sys.stderr.write(msgspec.json.encode(entry).decode() + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    def summary(self, **also: object) -> None:
        """What happened since the last one; servers by their names on the list, or number once they have left it."""
        self.line(
            "summary",
            queries=self.queries,
            troubles=self.troubles,
            steps=self.steps,
            events=self.events,
            step_ms=round(self.step_s * 1000.0, 1),
            servers={
                self.name_of(node): {**s.ends, "served_ms": round(s.served_ms / max(s.ends["OK"], 1), 1)}
                for node, s in self.servers.items()
            },
            **also,
        )
        self.servers, self.queries, self.troubles = {}, Counter(), Counter()
        self.steps, self.events, self.step_s = 0, 0, 0.0
