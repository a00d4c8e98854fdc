"""Consul's answers as lines for the module. Pure: bytes, and the time they were read at, in; a view out.

A server is an instance of the service. Its `Meta` states `cell` and may state `zone`, `kind`, `size` and
`started` (seconds of Unix time, a token that changes with each start). Its checks state whether it is ready
(all passing), draining (a warning, or maintenance) or gone (critical).

Clocks of other machines are believed once only: for a server's age when this broker first hears of it, and never
as less than nothing. A change of `started` seen later counts as a start at the moment it was seen.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import islice
from typing import Any

import msgspec

from badgerbend import api

SLICE = 100  # lines read, or told, in one turn of the loop: about a millisecond
MAINTENANCE = ("_service_maintenance", "_node_maintenance")


class ListError(Exception):
    """The answer is no list of servers."""


@dataclass(slots=True)
class _Known:
    number: int
    started: float  # as the list states it
    started_ms: float  # on this broker's clock; 0: long ago
    line: api.NodeLine
    address: tuple[str, int]


class Directory:
    """Numbers and addresses of servers, and what the last list said of each."""

    def __init__(self, cells: int) -> None:
        self.cells = cells
        self.known: dict[str, _Known] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.names: dict[int, str] = {}
        self.next = 1
        self.told = False  # the module knows all that stands here

    def read(self, body: bytes, now_ms: float, unix_s: float) -> tuple[api.View, list[str]]:
        """A whole list at once, and what was wrong with lines that were left out. Raises ListError.

        An empty list, or one without a single usable line, is an error and not news: a directory that has lost
        its content says the same, and taking it at its word would stop all service.
        """
        reading = Reading(self, body, now_ms, unix_s)
        for _ in reading.slices():
            pass
        reading.take()
        self.told = True
        return api.View(api.ViewKind.FULL, tuple(k.line for k in self.known.values())), reading.wrong

    def _line(self, row: Any, now_ms: float, unix_s: float) -> tuple[str, _Known]:
        service = row["Service"]
        meta = service.get("Meta") or {}
        name, host, port = service["ID"], service.get("Address") or row["Node"]["Address"], service["Port"]
        if not isinstance(name, str) or not name or not isinstance(host, str) or not host:
            raise ValueError("no id or no address")
        if not isinstance(port, int) or isinstance(port, bool) or not 0 < port < 65536:
            raise ValueError(f"port {port!r}")
        cell, zone = int(meta["cell"]), int(meta.get("zone", 0))
        if not 0 <= cell < self.cells:
            raise ValueError(f"cell {cell} is not one of {self.cells}")
        started, size = float(meta.get("started", 0)), float(meta.get("size", 1))
        if not 0 <= started < 1e12 or not 0 < size < 1e9 or not 0 <= zone < 256:
            raise ValueError("started, size or zone out of range")
        old = self.known.get(name)
        if old is None:
            number, self.next = self.next, self.next + 1
            age_ms = max(unix_s - started, 0.0) * 1000.0
            started_ms = max(now_ms - age_ms, 0.0) if started else 0.0
        else:
            number = old.number
            started_ms = old.started_ms if started == old.started else now_ms
        line = api.NodeLine(number, cell, _state(row), started_ms, zone, int(meta.get("kind", 0)), size)
        return name, _Known(number, started, started_ms, line, (host, port))


class Reading:
    """A list taken in slices, so that one of thousands of servers stops nothing else for long.

    `slices` reads the lines; `take`, once they are through, puts them in force; `news` tells them to the module: the
    first list whole, since nothing is served before it, as is one after a list that was left half told; later ones as
    what has changed. Until `take` the directory is as it was: a list that turns out to be none changes nothing.
    """

    def __init__(self, directory: Directory, body: bytes, now_ms: float, unix_s: float) -> None:
        self.directory, self.now_ms, self.unix_s = directory, now_ms, unix_s
        try:
            self.rows = msgspec.json.decode(body, type=list[msgspec.Raw])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
            raise ListError(f"no list: {err}") from err
        self.lines: dict[str, _Known] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.names: dict[int, str] = {}
        self.changed: list[api.NodeLine] = []
        self.wrong: list[str] = []
        self.first = not directory.told

    def slices(self) -> Iterator[None]:
        """Reads SLICE lines a step."""
        rows = enumerate(self.rows)
        while some := list(islice(rows, SLICE)):
            for place, row in some:
                self._row(place, row)
            yield

    def _row(self, place: int, raw: msgspec.Raw) -> None:
        directory = self.directory
        try:
            name, known = directory._line(msgspec.json.decode(raw), self.now_ms, self.unix_s)
        except (msgspec.DecodeError, AttributeError, KeyError, TypeError, ValueError, RecursionError) as err:
            self.wrong.append(f"line {place}: {type(err).__name__}: {err}")
            return
        if name in self.lines:
            self.wrong.append(f"line {place}: {name} comes twice")
            return
        old = directory.known.get(name)
        if old is None or old.line != known.line:
            self.changed.append(known.line)
        self.lines[name] = known
        self.addresses[known.number], self.names[known.number] = known.address, name

    def take(self) -> None:
        """Puts the list in force. Raises ListError for one without a usable line."""
        if not self.lines:
            raise ListError(f"no usable line among {len(self.rows)}")
        directory = self.directory
        gone = (known.line for name, known in directory.known.items() if name not in self.lines)
        self.changed += [replace(line, state=api.NodeState.GONE) for line in gone]
        directory.known, directory.addresses, directory.names = self.lines, self.addresses, self.names
        directory.told = False

    def news(self) -> Iterator[api.View]:
        """What the module is told, a view a step; at least one, since a list was heard."""
        if self.first:
            yield api.View(api.ViewKind.FULL, tuple(k.line for k in self.lines.values()))
        else:
            for at in range(0, max(len(self.changed), 1), SLICE):
                yield api.View(api.ViewKind.DELTA, tuple(self.changed[at : at + SLICE]))
        self.directory.told = True


def _state(row: Any) -> api.NodeState:
    checks = row.get("Checks") or []
    if any(c.get("CheckID", "").startswith(MAINTENANCE) and c["Status"] != "passing" for c in checks):
        return api.NodeState.DRAINING
    states = {c["Status"] for c in checks}
    if not states <= {"passing", "warning", "critical"}:
        raise ValueError(f"unknown status among {sorted(states)}")
    if "critical" in states:
        return api.NodeState.GONE
    return api.NodeState.DRAINING if "warning" in states else api.NodeState.READY
