"""A list of servers that arrives as changes of rows keyed by server name, as the feed (`badgerbend.feed`) delivers it.

A row is a JSON object, see `NodeRow`. A later row replaces an earlier row of the same name that has not been read yet,
and the latest rows are read first, so that a drain that arrives while a long list is being read overrides that list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Annotated, Any, Literal

import msgspec

from badgerbend import api
from badgerbend.discovery.directory import SLICE_SIZE, Directory, Entry, ListReader
from badgerbend.discovery.members import parse_address
from badgerbend.discovery.polls import Timer
from badgerbend.discovery.target import Clock

STATES = {"ready": api.EndpointState.READY, "draining": api.EndpointState.DRAINING, "gone": api.EndpointState.REMOVED}
MAX_REPORTED_ROWS = 5  # rejected rows reported per slice


class NodeRow(msgspec.Struct, frozen=True):
    """One server's row.

    started: start time in seconds of Unix time, 0 if the server started long ago; it changes with each start.
    """

    address: str
    cell: Annotated[int, msgspec.Meta(ge=0)]
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    zone: Annotated[int, msgspec.Meta(ge=0, lt=256)] = 0
    kind: Annotated[int, msgspec.Meta(ge=0)] = 0
    size: Annotated[float, msgspec.Meta(gt=0)] = 1.0


def parse_row(row: Any) -> Entry:
    """Parses a pair of name and row. Raises the errors listed at `directory.RowParser`."""
    name, fields = row
    node = msgspec.convert(fields, NodeRow)
    return Entry(
        name, parse_address(node.address), node.cell, STATES[node.state], node.started, node.zone, node.kind, node.size
    )


def parse_departure(row: Any) -> tuple[str, api.EndpointState] | None:
    """Reads the state from a row that lacks other fields; an unknown state counts as draining."""
    name, fields = row
    state = STATES.get(fields.get("state", "ready"), api.EndpointState.DRAINING)
    return None if state == api.EndpointState.READY else (name, state)


def keyed_directory(cells: int) -> Directory:
    """Returns a directory that is filled by a `KeyedList`."""
    return Directory(cells, parse_row, parse_departure=parse_departure)


class KeyedList:
    """Applies changes of rows, one slice per turn of the event loop.

    It implements the runtime's `ServerList`, but changes arrive without being requested. The first list is published
    as one full update after all of it has been read. An empty list is treated as a loss of content, not as a change:
    removals that would leave no server are deferred until there are other servers.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        now_ms: Callable[[], float],
        unix_s: Callable[[], float],
        on_update: Callable[[api.EndpointUpdate], None],
        on_fault: Callable[[str, str], None],
    ) -> None:
        self.directory, self.clock, self.now_ms, self.unix_s = directory, clock, now_ms, unix_s
        self.on_update, self.on_fault = on_update, on_fault
        self.on_applied: Callable[[], None] = lambda: None  # called when all changes are applied and published
        self.refreshed_at: float | None = None  # clock time in seconds at which on_applied was last called
        self._pending_rows = dict[str, bytes]()  # not read yet, in order of arrival
        self._pending_removals = dict[str, None]()  # names that left the list and have not been removed yet
        self._first_reader: ListReader | None = None  # the first list, while it is being read
        self._slices: Iterator[None] = iter(())
        self._timer: Timer | None = None

    def start(self) -> None:
        """Does nothing: changes arrive without being requested."""

    def close(self) -> None:
        """Drops pending changes and stops processing."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._pending_rows.clear()
        self._pending_removals.clear()

    def follow(self, on: bool) -> None:
        """Does nothing: changes arrive without being requested."""

    def read_list(self) -> None:
        """Does nothing: changes arrive without being requested."""

    def change(self, rows: Mapping[str, bytes | None]) -> None:
        """Takes in new and changed rows by name; None means that the server left the list."""
        for name, row in rows.items():
            self._pending_rows.pop(name, None)
            self._pending_removals.pop(name, None)
            if row is None:
                self._pending_removals[name] = None
            else:
                self._pending_rows[name] = row
        if rows and self._timer is None:
            self._timer = self.clock.call_later(0.0, self._process_slice)

    # -- internals
    def _process_slice(self) -> None:
        """Processes one slice; the next one follows in another turn of the event loop."""
        self._timer = None
        has_more = self._read_changes() if self.refreshed_at is not None else self._read_first_list()
        if has_more:
            self._timer = self.clock.call_later(0.0, self._process_slice)

    def _read_first_list(self) -> bool:
        """Reads one slice of the first list; returns whether there is more to do."""
        if self._first_reader is None:
            self._first_reader = self._rows_reader(len(self._pending_rows))
            self._slices = self._first_reader.read_slices()
        done = next(self._slices, True)
        if not done:
            return True
        first_reader, self._first_reader = self._first_reader, None
        self._apply(first_reader)
        while self._pending_rows:  # rows that arrived meanwhile, so that the first update is current
            self._read_and_apply(self._rows_reader(SLICE_SIZE))
        self._read_and_apply(self._removals_reader(len(self._pending_removals)))
        if not self.directory.servers:
            return False
        self.on_update(
            api.EndpointUpdate(
                api.UpdateKind.FULL, tuple(record.endpoint for record in self.directory.servers.values())
            )
        )
        self.directory.published = True
        self._mark_refreshed()
        return False

    def _read_changes(self) -> bool:
        """Reads one slice of changes; returns whether there is more to do."""
        reader = self._rows_reader(SLICE_SIZE) if self._pending_rows else self._removals_reader(SLICE_SIZE)
        self._read_and_apply(reader)
        for update in reader.updates():
            self.on_update(update)
        if self._pending_rows or self._can_remove():
            return True
        self._mark_refreshed()
        return False

    def _mark_refreshed(self) -> None:
        """Notes that all changes are applied, except for deferred removals."""
        if self._pending_removals:
            self.on_fault("list not read", f"removing {len(self._pending_removals)} servers would leave none")
        self.refreshed_at = self.clock.time()
        self.on_applied()

    def _rows_reader(self, limit: int) -> ListReader:
        """Returns a reader of the rows that arrived last, at most `limit` of them."""
        rows = list[msgspec.Raw]()
        while self._pending_rows and len(rows) < limit:
            name, row = self._pending_rows.popitem()
            rows.append(msgspec.Raw(b"[" + msgspec.json.encode(name) + b"," + row + b"]"))
        return ListReader(self.directory, rows, self.now_ms(), self.unix_s(), is_complete=False)

    def _removals_reader(self, limit: int) -> ListReader:
        """Returns a reader that removes at most `limit` names; none if no server would be left."""
        names = list(self._pending_removals)[:limit] if self._can_remove() else []
        for name in names:
            del self._pending_removals[name]
        return ListReader(self.directory, (), self.now_ms(), self.unix_s(), is_complete=False, removed=names)

    def _can_remove(self) -> bool:
        """Whether there are pending removals and at least one server would remain."""
        return bool(self._pending_removals) and any(
            name not in self._pending_removals for name in self.directory.servers
        )

    def _read_and_apply(self, reader: ListReader) -> None:
        for _ in reader.read_slices():
            pass
        self._apply(reader)

    def _apply(self, reader: ListReader) -> None:
        reader.apply()
        for problem in reader.errors[:MAX_REPORTED_ROWS]:
            self.on_fault("list line left out", problem)
