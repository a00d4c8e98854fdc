"""A broker's directory and decision logic, which apply lists in the product's own steps, with their processor time."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count

from badgerbend import api
from badgerbend.decisions import Aggregator
from badgerbend.discovery.directory import ListReader
from badgerbend.net.calls import Reply
from scale.list_rows import ListForm
from scale.processor import cpu_ms
from scale.target import configuration

QUERY_PARTS = 8
STEP_MS = 0.1  # simulated time between lists, so short that the work of each second does not add to a list's cost
UNIX_S = 1_800_000_000.0
NOW_MS = 1e6


@dataclass(frozen=True, slots=True)
class ApplyCost:
    """The cost of one answer. read_ms: until it is applied. publish_ms: until the aggregator has its updates."""

    body_bytes: int
    read_ms: float
    publish_ms: float
    rows_published: int

    @property
    def total_ms(self) -> float:
        return self.read_ms + self.publish_ms


class BrokerList:
    """One broker's list of nodes: its directory, and the aggregator that receives its updates."""

    def __init__(self, form: ListForm, cells: int) -> None:
        self.cells = cells
        self.target, self.directory = form.target(), form.directory(cells)
        self.module = Aggregator(configuration(cells).settings, 1)
        self.version: int | None = None
        self.now_ms = NOW_MS
        self._ids = count(1)

    def apply(self, reply: Reply) -> ApplyCost:
        """Applies one answer, as `Watch` does. Raises ListError."""
        self.now_ms += STEP_MS
        readers: list[ListReader] = []
        read_ms = cpu_ms(lambda: readers.append(self._read(reply)))
        updates: list[api.EndpointUpdate] = []
        publish_ms = cpu_ms(lambda: self._publish(readers[0], updates))
        return ApplyCost(len(reply.body), read_ms, publish_ms, sum(len(update.endpoints) for update in updates))

    def _read(self, reply: Reply) -> ListReader:
        knows_list = self.version is not None
        self.version, reader = self.target.read(reply, self.version, knows_list, self.directory, self.now_ms, UNIX_S)
        if reader is None:
            raise ValueError("an answer without news")
        for _ in reader.read_slices():
            pass
        reader.apply()
        if reader.errors:
            raise ValueError(reader.errors[0])
        return reader

    def _publish(self, reader: ListReader, updates: list[api.EndpointUpdate]) -> None:
        for update in reader.updates():
            updates.append(update)
            self.module.step(self.now_ms, [update])

    def query_ms(self) -> float:
        """Returns the processor time of the step on one query, without that of the answers to its parts."""
        number = next(self._ids)
        parts = tuple(self._part(number, index) for index in range(QUERY_PARTS))
        query = api.Query(number, number, 0, 0, 0, 1e4, False, None, parts)
        actions: list[api.Action] = []
        self.now_ms += STEP_MS
        step_ms = cpu_ms(lambda: actions.extend(self.module.step(self.now_ms, [query])))
        sends = [action for action in actions if isinstance(action, api.Send)]
        if len(sends) != QUERY_PARTS:
            raise ValueError(f"{len(sends)} parts sent of {QUERY_PARTS}")
        completions: list[api.Event] = [
            api.AttemptCompleted(s.part, 0, s.node, api.Outcome.OK, STEP_MS, ()) for s in sends
        ]
        self.now_ms += STEP_MS
        self.module.step(self.now_ms, completions)
        return step_ms

    def _part(self, number: int, index: int) -> api.Part:
        shard = (number * QUERY_PARTS + index) % self.cells
        return api.Part(number * QUERY_PARTS + index, shard, 1 / QUERY_PARTS, None)
