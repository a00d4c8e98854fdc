"""A broker's directory and module that take lists by the product's own steps, with their processor time."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

from badgerbend import api
from badgerbend.decisions import Aggregator
from badgerbend.discovery.directory import ListReader
from badgerbend.net.client import Reply
from scale.list_rows import ListForm
from scale.processor import spent_ms
from scale.target import configuration

QUERY_PARTS = 8
STEP_MS = 0.1  # between lists, on the module's clock: its look each second stays out of what a list costs
UNIX_S = 1_800_000_000.0
NOW_MS = 1e6


@dataclass(frozen=True, slots=True)
class ApplyCost:
    """What one answer cost. read_ms: until it is in force; tell_ms: to tell it to the module; rows_told: by it."""

    body_bytes: int
    read_ms: float
    tell_ms: float
    rows_told: int

    @property
    def total_ms(self) -> float:
        return self.read_ms + self.tell_ms


class Reader:
    """One broker's directory and module."""

    def __init__(self, form: ListForm, cells: int) -> None:
        self.cells = cells
        self.target, self.directory = form.target(), form.directory(cells)
        self.module = Aggregator(configuration(cells).settings, 1)
        self.version: int | None = None
        self.now_ms = NOW_MS
        self._ids = count(1)

    def apply(self, reply: Reply) -> ApplyCost:
        """Takes one answer, as `Watch` does. Raises ListError."""
        self.now_ms += STEP_MS
        held: list[ListReader] = []
        read_ms = spent_ms(lambda: held.append(self._read(reply)))
        views: list[api.EndpointUpdate] = []
        tell_ms = spent_ms(lambda: self._tell(held[0], views))
        return ApplyCost(len(reply.body), read_ms, tell_ms, sum(len(view.endpoints) for view in views))

    def _read(self, reply: Reply) -> ListReader:
        heard = self.version is not None
        self.version, reading = self.target.read(reply, self.version, heard, self.directory, self.now_ms, UNIX_S)
        if reading is None:
            raise ValueError("an answer without news")
        for _ in reading.read_slices():
            pass
        reading.apply()
        if reading.errors:
            raise ValueError(reading.errors[0])
        return reading

    def _tell(self, reading: ListReader, views: list[api.EndpointUpdate]) -> None:
        for view in reading.updates():
            views.append(view)
            self.module.step(self.now_ms, [view])

    def query_ms(self) -> float:
        """Processor time of the step on one query; it is answered afterwards, at no cost counted."""
        number = next(self._ids)
        parts = tuple(self._part(number, place) for place in range(QUERY_PARTS))
        query = api.Query(number, number, 0, 0, 0, 1e4, False, None, parts)
        actions: list[api.Action] = []
        self.now_ms += STEP_MS
        took = spent_ms(lambda: actions.extend(self.module.step(self.now_ms, [query])))
        sends = [action for action in actions if isinstance(action, api.Send)]
        if len(sends) != QUERY_PARTS:
            raise ValueError(f"{len(sends)} parts sent of {QUERY_PARTS}")
        ends: list[api.Event] = [api.AttemptCompleted(s.part, 0, s.node, api.Outcome.OK, STEP_MS, ()) for s in sends]
        self.now_ms += STEP_MS
        self.module.step(self.now_ms, ends)
        return took

    def _part(self, number: int, place: int) -> api.Part:
        shard = (number * QUERY_PARTS + place) % self.cells
        return api.Part(number * QUERY_PARTS + place, shard, 1 / QUERY_PARTS, None)
