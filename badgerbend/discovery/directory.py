"""The directory of servers: assigns node numbers, keeps addresses and applies lists of servers in slices.

The code is pure: rows and times go in, endpoint updates come out. Each list format brings a `RowParser` that turns one
of its rows into an `Entry`; everything else is shared by all formats.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any

import msgspec

from badgerbend import api

SLICE_SIZE = 100  # rows parsed, or endpoints published, in one turn of the event loop: about a millisecond of work


class ListError(Exception):
    """The answer is not a usable list of servers."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One parsed row of a list.

    started: start time in seconds of Unix time, 0 if the server started long ago. It also serves as an incarnation
    token, because it changes with each start.
    """

    name: str
    address: tuple[str, int]
    cell: int
    state: api.EndpointState
    started: float
    zone: int
    kind: int
    size: float


# Raises AttributeError, KeyError, TypeError or ValueError for an invalid row.
RowParser = Callable[[Any], Entry]
# Returns the name and the state of a server whose row states anything but READY. Raises the same errors.
DepartureParser = Callable[[Any], tuple[str, api.EndpointState] | None]
ROW_ERRORS = (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError, RecursionError)


@dataclass(slots=True)
class ServerRecord:
    """What the directory stores of one server. number: its node number."""

    number: int
    started: float  # as the list states it
    started_ms: float  # on this broker's clock; 0 if the server started long ago
    endpoint: api.Endpoint
    address: tuple[str, int]


class Directory:
    """Node numbers and addresses of servers, and the latest state that the list reported for each.

    shared_clock: whether all machines read the same clock. If so, the start time in the list is used as it stands.
    Otherwise a remote clock is trusted only once, for the age of a server on its first appearance, and a negative age
    counts as zero; a later restart counts from the moment at which this broker learned of it.
    parse_departure: reads the state from a row that lacks other fields, for lists that are sent as changes.
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
        self.next_number = 1
        self.published = False  # whether the aggregator has received everything in this directory

    def read(self, rows: Sequence[msgspec.Raw], now_ms: float, unix_s: float) -> tuple[api.EndpointUpdate, list[str]]:
        """Applies a complete list at once; returns the update and an error for each rejected row. Raises ListError.

        An empty list, or one without a usable row, is an error rather than an update: a registry that has lost its
        content answers the same way, and removing every server on its word would stop all service.
        """
        reader = ListReader(self, rows, now_ms, unix_s)
        for _ in reader.read_slices():
            pass
        reader.apply()
        self.published = True
        return api.EndpointUpdate(api.UpdateKind.FULL, tuple(r.endpoint for r in self.servers.values())), reader.errors

    def make_record(self, entry: Entry, now_ms: float, unix_s: float) -> ServerRecord:
        """Validates an entry and gives a new server its number. Raises ValueError."""
        if not entry.name or not entry.address[0] or not 0 < entry.address[1] < 65536:
            raise ValueError("missing id or invalid address")
        if not 0 <= entry.cell < self.cells:
            raise ValueError(f"cell {entry.cell} is out of range; number of cells: {self.cells}")
        started = entry.started
        if not 0 <= started < 1e12 or not 0 < entry.size < 1e9 or not 0 <= entry.zone < 256:
            raise ValueError("started, size or zone is out of range")
        old = self.servers.get(entry.name)
        if old is None:
            number, self.next_number = self.next_number, self.next_number + 1
        else:
            number = old.number
        if old is None or (self.shared_clock and started != old.started):
            age_ms = max(unix_s - started, 0.0) * 1000.0
            started_ms = max(now_ms - age_ms, 0.0) if started else 0.0
        else:
            started_ms = old.started_ms if started == old.started else now_ms
        endpoint = api.Endpoint(number, entry.cell, entry.state, started_ms, entry.zone, entry.kind, entry.size)
        return ServerRecord(number, started, started_ms, endpoint, entry.address)


def decode_rows(body: bytes) -> list[msgspec.Raw]:
    """Splits a JSON array into its undecoded rows. Raises ListError."""
    try:
        return msgspec.json.decode(body, type=list[msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise ListError(f"the answer is not a JSON array: {err}") from err


class ListReader:
    """Reads and applies a list in slices, so that a list of thousands of servers never blocks the event loop for long.

    `read_slices` parses the rows. `apply`, called after the last slice, puts the list into effect. `updates` yields
    what the aggregator has to be told. The first list is published as one full update, since nothing is served before
    it, and so is a list that follows one whose publication was cut short; later lists are published as changes. The
    directory does not change before `apply`, so a list that proves unusable has no effect.

    is_complete: whether the rows are the complete list, so that a server without a row has been removed. Otherwise
    the rows are those that changed, and `removed` names the servers that left the list.
    """

    def __init__(
        self,
        directory: Directory,
        rows: Sequence[msgspec.Raw],
        now_ms: float,
        unix_s: float,
        is_complete: bool = True,
        removed: Sequence[str] = (),
    ) -> None:
        self.directory, self.rows, self.now_ms, self.unix_s = directory, rows, now_ms, unix_s
        self.is_complete, self.removed = is_complete, removed
        self.records: dict[str, ServerRecord] = {}
        self.changed: dict[str, api.Endpoint] = {}
        self.errors: list[str] = []
        self.needs_full_update = not directory.published

    def read_slices(self) -> Iterator[None]:
        """Parses SLICE_SIZE rows per step."""
        rows = enumerate(self.rows)
        while batch := list(islice(rows, SLICE_SIZE)):
            for index, row in batch:
                self._read_row(index, row)
            yield

    def _read_row(self, index: int, raw: msgspec.Raw) -> None:
        directory = self.directory
        try:
            entry = directory.parse_row(msgspec.json.decode(raw))
            record = directory.make_record(entry, self.now_ms, self.unix_s)
            name = entry.name
        except ROW_ERRORS as err:
            self.errors.append(f"line {index}: {type(err).__name__}: {err}")
            # In a complete list, a server whose row is unusable counts as removed.
            departing = None if self.is_complete else self._read_departure(raw)
            if departing is None:
                return
            name, record = departing
        if name in self.records:
            self.errors.append(f"line {index}: {name} is listed twice")
            if record.endpoint.state == api.EndpointState.READY:
                return  # of two rows, the one that takes the server out of service prevails
        old = directory.servers.get(name)
        if old is None or old.endpoint != record.endpoint:
            self.changed[name] = record.endpoint
        else:
            self.changed.pop(name, None)  # an earlier row for the same server had changed it
        self.records[name] = record

    def _read_departure(self, raw: msgspec.Raw) -> tuple[str, ServerRecord] | None:
        """Reads the state of a known server from a row that cannot be parsed in full.

        Guards against a server that stays in service because the row that announced its drain or removal lacked
        fields, or stated an unknown state.
        """
        try:
            departing = self.directory.parse_departure(msgspec.json.decode(raw))
            old = self.directory.servers.get(departing[0]) if departing else None
        except ROW_ERRORS:  # this includes a name that is not a string
            return None
        if departing is None or old is None:
            return None
        return departing[0], replace(old, endpoint=replace(old.endpoint, state=departing[1]))

    def apply(self) -> None:
        """Puts the list into effect. Raises ListError for a complete list without a usable row."""
        if self.is_complete:
            self._apply_complete_list()
        else:
            self._apply_changes()
        self.directory.published = False

    def _apply_complete_list(self) -> None:
        directory = self.directory
        if not self.records:
            raise ListError(f"the list contains no usable row; rows received: {len(self.rows)}")
        removed = {name: record.endpoint for name, record in directory.servers.items() if name not in self.records}
        self.changed |= {name: replace(one, state=api.EndpointState.REMOVED) for name, one in removed.items()}
        directory.servers = self.records
        directory.addresses = {record.number: record.address for record in directory.servers.values()}
        directory.names = {record.number: name for name, record in directory.servers.items()}

    def _apply_changes(self) -> None:
        """Its cost grows with the number of changes, not with the length of the list."""
        directory = self.directory
        for name in self.removed:
            if (old := directory.servers.get(name)) is not None:
                self._remove(name, old)
                self.changed[name] = replace(old.endpoint, state=api.EndpointState.REMOVED)
        for name, record in self.records.items():
            if record.endpoint.state == api.EndpointState.REMOVED:
                self._remove(name, record)
            else:
                directory.servers[name] = record
                directory.addresses[record.endpoint.node] = record.address
                directory.names[record.endpoint.node] = name

    def _remove(self, name: str, record: ServerRecord) -> None:
        directory = self.directory
        directory.servers.pop(name, None)
        directory.addresses.pop(record.endpoint.node, None)
        directory.names.pop(record.endpoint.node, None)

    def updates(self) -> Iterator[api.EndpointUpdate]:
        """Yields the updates for the aggregator; at least one, which confirms that the list was received."""
        if self.needs_full_update:
            yield api.EndpointUpdate(api.UpdateKind.FULL, tuple(r.endpoint for r in self.directory.servers.values()))
        else:
            changed = tuple(self.changed.values())
            for start in range(0, max(len(changed), 1), SLICE_SIZE):
                yield api.EndpointUpdate(api.UpdateKind.DELTA, changed[start : start + SLICE_SIZE])
        self.directory.published = True
