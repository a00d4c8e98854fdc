"""A list of servers that is told as changes of rows, each under its server's name, as a feed brings it.

A row is a JSON object, see `NodeRow`. The later row of a name takes the place of an earlier one that has not been read
yet, and rows that came last are read first: a drain that comes while a long list is being read wins over that list.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Annotated, Any, Literal

import msgspec

from badgerbend import api
from badgerbend.discovery.directory import SLICE, Directory, Entry, ListReader
from badgerbend.discovery.members import parse_address
from badgerbend.discovery.polls import Timer
from badgerbend.discovery.watch import Clock

STATES = {"ready": api.EndpointState.READY, "draining": api.EndpointState.DRAINING, "gone": api.EndpointState.REMOVED}
MOST_TOLD = 5  # rows left out that are named at once


class NodeRow(msgspec.Struct, frozen=True):
    """What is listed of a server. started: seconds of Unix time, 0 for long ago; changes with each start."""

    address: str
    cell: Annotated[int, msgspec.Meta(ge=0)]
    state: Literal["ready", "draining", "gone"] = "ready"
    started: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    zone: Annotated[int, msgspec.Meta(ge=0, lt=256)] = 0
    kind: Annotated[int, msgspec.Meta(ge=0)] = 0
    size: Annotated[float, msgspec.Meta(gt=0)] = 1.0


def parse_row(row: Any) -> Entry:
    """A pair of name and row. Raises what `directory.Form` says."""
    name, fields = row
    read = msgspec.convert(fields, NodeRow)
    return Entry(
        name, parse_address(read.address), read.cell, STATES[read.state], read.started, read.zone, read.kind, read.size
    )


def parse_departure(row: Any) -> tuple[str, api.EndpointState] | None:
    """A row without all its fields; a state not known here is none to send anything new in."""
    name, fields = row
    state = STATES.get(fields.get("state", "ready"), api.EndpointState.DRAINING)
    return None if state == api.EndpointState.READY else (name, state)


def keyed_directory(cells: int) -> Directory:
    """A directory that a `KeyedList` feeds."""
    return Directory(cells, parse_row, parse_departure=parse_departure)


class KeyedList:
    """Puts changes of rows in force, some in each turn of the loop. `ServerList` of the runtime: it is never asked.

    The first list is told whole, once all of it has been read. A list without any server is taken for a loss of content
    and not for news: removals that would leave none wait until there are other servers.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        now_ms: Callable[[], float],
        unix_s: Callable[[], float],
        on_view: Callable[[api.EndpointUpdate], None],
        on_trouble: Callable[[str, str], None],
    ) -> None:
        self.directory, self.clock, self.now_ms, self.unix_s = directory, clock, now_ms, unix_s
        self.on_view, self.on_trouble = on_view, on_trouble
        self.on_applied: Callable[[], None] = lambda: None  # all that came is in force, and told
        self.refreshed_at: float | None = None  # when that was last so
        self._rows = dict[str, bytes]()  # not read yet, the latest last
        self._left = dict[str, None]()  # names that left and have not been taken out yet
        self._first: ListReader | None = None  # the first list, while it is being read
        self._slices: Iterator[None] = iter(())
        self._timer: Timer | None = None

    def start(self) -> None:
        """Nothing is asked for: changes come."""

    def close(self) -> None:
        """Takes no more."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self._rows.clear()
        self._left.clear()

    def follow(self, on: bool) -> None:
        """Changes come without being asked for."""

    def read_list(self) -> None:
        """Changes come without being asked for."""

    def change(self, rows: Mapping[str, bytes | None]) -> None:
        """Rows that are new or other than before, by name; None: the server left the list."""
        for name, row in rows.items():
            self._rows.pop(name, None)
            self._left.pop(name, None)
            if row is None:
                self._left[name] = None
            else:
                self._rows[name] = row
        if rows and self._timer is None:
            self._timer = self.clock.call_later(0.0, self._turn)

    # -- inside
    def _turn(self) -> None:
        """One slice; the next in another turn of the loop."""
        self._timer = None
        more = self._read_later() if self.refreshed_at is not None else self._read_first()
        if more:
            self._timer = self.clock.call_later(0.0, self._turn)

    def _read_first(self) -> bool:
        """One slice of the first list; whether there is more to do."""
        if self._first is None:
            self._first = self._reading(len(self._rows))
            self._slices = self._first.read_slices()
        done = next(self._slices, True)
        if not done:
            return True
        first, self._first = self._first, None
        self._take(first)
        while self._rows:  # came meanwhile: what is told is the latest
            self._take_at_once(self._reading(SLICE))
        self._take_at_once(self._removal(len(self._left)))
        if not self.directory.servers:
            return False
        self.on_view(
            api.EndpointUpdate(api.UpdateKind.FULL, tuple(known.endpoint for known in self.directory.servers.values()))
        )
        self.directory.told = True
        self._heard()
        return False

    def _read_later(self) -> bool:
        """One slice of changes; whether there is more to do."""
        reading = self._reading(SLICE) if self._rows else self._removal(SLICE)
        self._take_at_once(reading)
        for view in reading.updates():
            self.on_view(view)
        if self._rows or self._can_remove():
            return True
        self._heard()
        return False

    def _heard(self) -> None:
        """All that came is in force, but for removals that wait."""
        if self._left:
            self.on_trouble("list not read", f"removals of {len(self._left)} servers would leave none")
        self.refreshed_at = self.clock.time()
        self.on_applied()

    def _reading(self, most: int) -> ListReader:
        """Of the rows that came last."""
        rows = list[msgspec.Raw]()
        while self._rows and len(rows) < most:
            name, row = self._rows.popitem()
            rows.append(msgspec.Raw(b"[" + msgspec.json.encode(name) + b"," + row + b"]"))
        return ListReader(self.directory, rows, self.now_ms(), self.unix_s(), whole=False)

    def _removal(self, most: int) -> ListReader:
        """Of names that left; none where no server would be left."""
        names = list(self._left)[:most] if self._can_remove() else []
        for name in names:
            del self._left[name]
        return ListReader(self.directory, (), self.now_ms(), self.unix_s(), whole=False, left=names)

    def _can_remove(self) -> bool:
        """Whether there are removals that leave a server."""
        return bool(self._left) and any(name not in self._left for name in self.directory.servers)

    def _take_at_once(self, reading: ListReader) -> None:
        for _ in reading.read_slices():
            pass
        self._take(reading)

    def _take(self, reading: ListReader) -> None:
        reading.apply()
        for problem in reading.errors[:MOST_TOLD]:
            self.on_trouble("list line left out", problem)
