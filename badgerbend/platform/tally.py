"""What `run` counts and writes of itself: one line of JSON at a time, on standard error, a bounded number a second.

Counts are kept by server, so that what the broker believes can be held against what passed on the sockets.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from badgerbend.api import Outcome
from badgerbend.runtime.ports import Attempt

MOST_LINES = 20  # of troubles a second; those beyond are counted


@dataclass(slots=True)
class Server:
    """Attempts ended there since the last summary, and the time that those served took, in milliseconds."""

    ends: Counter[str] = field(default_factory=Counter)
    served_ms: float = 0.0


class Tally:
    """The runtime's `Observer`."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self.queries: Counter[str] = Counter()
        self.troubles: Counter[str] = Counter()
        self.steps, self.events, self.step_s = 0, 0, 0.0
        self._second, self._lines = 0, 0

    # -- runtime.ports.Observer
    def attempt_ended(self, attempt: Attempt, outcome: Outcome, took_ms: float) -> None:
        server = self.servers.get(attempt.node)
        if server is None:
            server = self.servers[attempt.node] = Server()
        server.ends[outcome.name] += 1
        if outcome is Outcome.OK:
            server.served_ms += took_ms

    def query_ended(self, query_id: int, cls: int, how: str, took_ms: float, parts: int, extra: int) -> None:
        self.queries[how] += 1

    def stepped(self, events: int, seconds: float) -> None:
        self.steps, self.events, self.step_s = self.steps + 1, self.events + events, self.step_s + seconds

    def trouble(self, what: str, detail: str) -> None:
        self.troubles[what] += 1
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines <= MOST_LINES:
            self.line("trouble", kind=what, detail=detail[:300])

    # -- lines
    def line(self, what: str, **values: object) -> None:
        """Writes one line; a log that cannot be written to stops nothing."""
        try:
            sys.stderr.write(msgspec.json.encode({"what": what, **values}).decode() + "\n")
            sys.stderr.flush()
        except (OSError, ValueError):
            pass

    def summary(self, names: Mapping[int, str], **also: object) -> None:
        """What happened since the last one; servers by their names on the list, or number once they have left it."""
        self.line(
            "summary", queries=self.queries, troubles=self.troubles, steps=self.steps, events=self.events,
            step_ms=round(self.step_s * 1000.0, 1),
            servers={
                names.get(node, str(node)): {**s.ends, "served_ms": round(s.served_ms / max(s.ends["OK"], 1), 1)}
                for node, s in self.servers.items()
            },
            **also,
        )  # fmt: skip
        self.servers, self.queries, self.troubles = {}, Counter(), Counter()
        self.steps, self.events, self.step_s = 0, 0, 0.0
