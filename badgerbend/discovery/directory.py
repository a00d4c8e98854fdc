"""Numbers and addresses of servers, whatever lists them, and lists taken in slices. Pure: rows and times in, views out.

A list's own form (`RowParser`) makes an `Entry` of a row; everything else is the same for all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any

import msgspec

from badgerbend import api

SLICE = 100  # lines read, or told, in one turn of the loop: about a millisecond


class ListError(Exception):
    """The answer is no list of servers."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One row of a list. started: seconds of Unix time, 0 for long ago; a token that changes with each start."""

    name: str
    address: tuple[str, int]
    cell: int
    state: api.EndpointState
    started: float
    zone: int
    kind: int
    size: float


RowParser = Callable[[Any], Entry]  # raises AttributeError, KeyError, TypeError or ValueError for what is no row
DepartureParser = Callable[
    [Any], tuple[str, api.EndpointState] | None
]  # name and state of a row that says READY not; the same
ROW_ERRORS = (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError, RecursionError)


@dataclass(slots=True)
class ServerRecord:
    number: int
    started: float  # as the list states it
    started_ms: float  # on this broker's clock; 0: long ago
    endpoint: api.Endpoint
    address: tuple[str, int]


class Directory:
    """Numbers and addresses of servers, and what the last list said of each.

    shared_clock: all machines read the same clock, so that a start is when the list says it was. Else clocks of others
    are believed once only: for a server's age when it is first heard of, and never as less than nothing; a start
    seen later counts from the moment it was seen. parse_departure: what else a list
    that tells changes says of a row without all its fields.
    """

    def __init__(
        self,
        cells: int,
        parse_row: RowParser,
        shared_clock: bool = False,
        parse_departure: DepartureParser = lambda row: None,
    ) -> None:
        self.cells, self.parse_row, self.shared_clock, self.parse_departure = (
            cells,
            parse_row,
            shared_clock,
            parse_departure,
        )
        self.servers: dict[str, ServerRecord] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.names: dict[int, str] = {}
        self.next = 1
        self.told = False  # the module knows all that stands here

    def read(self, rows: Sequence[msgspec.Raw], now_ms: float, unix_s: float) -> tuple[api.EndpointUpdate, list[str]]:
        """A whole list at once, and what was wrong with lines that were left out. Raises ListError.

        An empty list, or one without a single usable line, is an error and not news: a directory that has lost
        its content says the same, and taking it at its word would stop all service.
        """
        reading = ListReader(self, rows, now_ms, unix_s)
        for _ in reading.read_slices():
            pass
        reading.apply()
        self.told = True
        return api.EndpointUpdate(api.UpdateKind.FULL, tuple(k.endpoint for k in self.servers.values())), reading.errors

    def record_of(self, entry: Entry, now_ms: float, unix_s: float) -> ServerRecord:
        if not entry.name or not entry.address[0] or not 0 < entry.address[1] < 65536:
            raise ValueError("no id or no address")
        if not 0 <= entry.cell < self.cells:
            raise ValueError(f"cell {entry.cell} is not one of {self.cells}")
        started = entry.started
        if not 0 <= started < 1e12 or not 0 < entry.size < 1e9 or not 0 <= entry.zone < 256:
            raise ValueError("started, size or zone out of range")
        old = self.servers.get(entry.name)
        if old is None:
            number, self.next = self.next, self.next + 1
        else:
            number = old.number
        if old is None or (self.shared_clock and started != old.started):
            age_ms = max(unix_s - started, 0.0) * 1000.0
            started_ms = max(now_ms - age_ms, 0.0) if started else 0.0
        else:
            started_ms = old.started_ms if started == old.started else now_ms
        line = api.Endpoint(number, entry.cell, entry.state, started_ms, entry.zone, entry.kind, entry.size)
        return ServerRecord(number, started, started_ms, line, entry.address)


def decode_rows(body: bytes) -> list[msgspec.Raw]:
    """A JSON list's rows, unread. Raises ListError."""
    try:
        return msgspec.json.decode(body, type=list[msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise ListError(f"no list: {err}") from err


class ListReader:
    """A list taken in slices, so that one of thousands of servers stops nothing else for long.

    `read_slices` reads the rows; `apply`, once they are through, puts them in force; `updates` tells them to the
    module:     the first list whole, since nothing is served before it, as is one after a list that was left half
    told; later ones as     what has changed. Until `apply` the directory is as it was: a list that turns out to be
    none changes nothing.
    whole: a server that does not stand in the rows has left; else the rows are those that changed, and `left` names
    those that have left.
    """

    def __init__(
        self,
        directory: Directory,
        rows: Sequence[msgspec.Raw],
        now_ms: float,
        unix_s: float,
        whole: bool = True,
        left: Sequence[str] = (),
    ) -> None:
        self.directory, self.rows, self.now_ms, self.unix_s = directory, rows, now_ms, unix_s
        self.whole, self.left = whole, left
        self.lines: dict[str, ServerRecord] = {}
        self.changed: dict[str, api.Endpoint] = {}
        self.errors: list[str] = []
        self.first = not directory.told

    def read_slices(self) -> Iterator[None]:
        """Reads SLICE rows a step."""
        rows = enumerate(self.rows)
        while some := list(islice(rows, SLICE)):
            for place, row in some:
                self._row(place, row)
            yield

    def _row(self, place: int, raw: msgspec.Raw) -> None:
        directory = self.directory
        try:
            entry = directory.parse_row(msgspec.json.decode(raw))
            known = directory.record_of(entry, self.now_ms, self.unix_s)
            name = entry.name
        except ROW_ERRORS as err:
            self.errors.append(f"line {place}: {type(err).__name__}: {err}")
            found = None if self.whole else self._leaving(raw)  # of a whole list it has left with its line
            if found is None:
                return
            name, known = found
        if name in self.lines:
            self.errors.append(f"line {place}: {name} comes twice")
            if known.endpoint.state == api.EndpointState.READY:
                return  # of two, the one that wants nothing new
        old = directory.servers.get(name)
        if old is None or old.endpoint != known.endpoint:
            self.changed[name] = known.endpoint
        else:
            self.changed.pop(name, None)  # of two rows the first had changed it
        self.lines[name] = known

    def _leaving(self, raw: msgspec.Raw) -> tuple[str, ServerRecord] | None:
        """What a row that cannot be read says of a server in force that wants nothing new. Guards against one that
        stays in service because the word of its leaving came with fewer fields, or with a state not known here."""
        try:
            found = self.directory.parse_departure(msgspec.json.decode(raw))
            old = self.directory.servers.get(found[0]) if found else None
        except ROW_ERRORS:  # a name that is no text among them
            return None
        if found is None or old is None:
            return None
        return found[0], replace(old, endpoint=replace(old.endpoint, state=found[1]))

    def apply(self) -> None:
        """Puts the list in force. Raises ListError for a whole one without a usable line."""
        if self.whole:
            self._apply_complete()
        else:
            self._apply_changes()
        self.directory.told = False

    def _apply_complete(self) -> None:
        directory = self.directory
        if not self.lines:
            raise ListError(f"no usable line among {len(self.rows)}")
        left = {name: known.endpoint for name, known in directory.servers.items() if name not in self.lines}
        self.changed |= {name: replace(line, state=api.EndpointState.REMOVED) for name, line in left.items()}
        directory.servers = self.lines
        directory.addresses = {known.number: known.address for known in directory.servers.values()}
        directory.names = {known.number: name for name, known in directory.servers.items()}

    def _apply_changes(self) -> None:
        """Costs what the changes cost, however long the list is."""
        directory = self.directory
        for name in self.left:
            if (old := directory.servers.get(name)) is not None:
                self._remove(name, old)
                self.changed[name] = replace(old.endpoint, state=api.EndpointState.REMOVED)
        for name, known in self.lines.items():
            if known.endpoint.state == api.EndpointState.REMOVED:
                self._remove(name, known)
            else:
                directory.servers[name] = known
                directory.addresses[known.endpoint.node] = known.address
                directory.names[known.endpoint.node] = name

    def _remove(self, name: str, known: ServerRecord) -> None:
        directory = self.directory
        directory.servers.pop(name, None)
        directory.addresses.pop(known.endpoint.node, None)
        directory.names.pop(known.endpoint.node, None)

    def updates(self) -> Iterator[api.EndpointUpdate]:
        """What the module is told, a view a step; at least one, since a list was heard."""
        if self.first:
            yield api.EndpointUpdate(api.UpdateKind.FULL, tuple(k.endpoint for k in self.directory.servers.values()))
        else:
            changed = tuple(self.changed.values())
            for at in range(0, max(len(changed), 1), SLICE):
                yield api.EndpointUpdate(api.UpdateKind.DELTA, changed[at : at + SLICE])
        self.directory.told = True
