"""The platform's list of members: the whole of it first, then a watch for what is newer than the last version.

The watch goes on as long as the next call follows the last answer at once; an agent on the broker's own machine
answers, so a call that fails is repeated soon.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from badgerbend import api
from badgerbend.discovery.directory import DepartureParser, Directory, Entry, ListError, ListReader, RowParser
from badgerbend.discovery.watch import Pace
from badgerbend.net.client import Reply

MAX_BYTES = 4_194_304
CHANGED_S = 0.02  # well within the time in which the next call goes on with the watch
# Where the list is pushed, what the agent has counts as told, whether or not this broker has a call open. A call that
# waited when discovery went down may never be answered: what came at the return is heard when its wait is over, it is
# given up and put again. These shares of a drain's grace add up to that; the rest is for reading and parts under way.
WAIT, AT_ONCE, AGAIN = 0.35, 0.15, 0.1
IN_DROPS = 0.7  # an answer that comes in drops is given up so long after its wait: with a pause and the next, a grace
LONGEST_S = 5.0  # no call waits longer, whatever the grace
SHORTEST_S = 0.1  # of a grace: below it there is no time left to ask in
# A list that is asked for may be far away. Whatever became of a call, a change counts as told so long after discovery
# had it and could be reached: a third for a call that gets no answer, a third for the module's pause
# (`Settings.told_ms`), a third for the answer. A call that waits, and falls silent, takes the first two and is put
# again at once.
TOLD_S = 6.0
ASKED_WAIT_S = ASKED_PATIENCE_S = TOLD_S / 3
ASKED_IN_DROPS_S = 1.25 * ASKED_PATIENCE_S  # the rest of the bound is the drain's grace


@dataclass(frozen=True, slots=True)
class Names:
    """The list's path, the names of its fields, and its words for a state."""

    path: str
    since: str
    timeout: str
    version: str
    whole: str
    rows: str
    id: str
    address: str
    zone: str
    kind: str
    cell: str
    state: str
    size: str
    started: str
    states: Mapping[str, api.EndpointState]


def parse_address(text: object) -> tuple[str, int]:
    """`host:port`. Raises ValueError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no address, HOST:PORT is wanted: {text!r}")
    return host, int(port)


def row_parser(names: Names, zones: Sequence[str], kinds: Sequence[str]) -> RowParser:
    """Rows of the list as entries; zones and kinds become their places among those named, or the place after them."""

    def entry(row: Any) -> Entry:
        uid, cell, started = row[names.id], row[names.cell], row.get(names.started, 0)
        if not isinstance(uid, str) or not isinstance(cell, int) or isinstance(cell, bool):
            raise ValueError("no id or no cell")
        return Entry(
            uid,
            parse_address(row[names.address]),
            cell,
            names.states[row[names.state]],
            float(started) / 1000.0,
            _place(zones, row.get(names.zone)),
            _place(kinds, row.get(names.kind)),
            float(row.get(names.size, 1.0)),
        )

    return entry


def departure_parser(names: Names) -> DepartureParser:
    """A row without all its fields; a state not known here is none to send anything new in."""

    def read(row: Any) -> tuple[str, api.EndpointState] | None:
        state = names.states.get(row.get(names.state), api.EndpointState.DRAINING)
        return None if state == api.EndpointState.READY else (row[names.id], state)

    return read


def _place(known: Sequence[str], name: object) -> int:
    return known.index(name) if isinstance(name, str) and name in known else len(known)


class MembersTarget:
    """`Target` of a watch on the agent at `address`. Versions it gives are handed back as they came."""

    max_bytes = MAX_BYTES

    def __init__(self, names: Names, address: tuple[str, int], asks: bool, drain_grace_s: float) -> None:
        self.names, self.asks = names, asks
        self.host, self.port = address
        grace = max(drain_grace_s, SHORTEST_S)
        self.wait_s = ASKED_WAIT_S if asks else min(WAIT * grace, LONGEST_S)
        self.patience_s = ASKED_PATIENCE_S if asks else AT_ONCE * grace
        self.most_s = ASKED_IN_DROPS_S if asks else IN_DROPS * grace
        self.pace = Pace(first_wait=AGAIN * grace / 2, most_wait=AGAIN * grace, changed=CHANGED_S)

    def path(self, version: int | None) -> str:
        names = self.names
        if version is None:
            return names.path
        return f"{names.path}?{names.since}={version}&{names.timeout}={round(self.wait_s * 1000.0)}"

    def read(
        self, reply: Reply, version: int | None, heard: bool, directory: Directory, now_ms: float, unix_s: float
    ) -> tuple[int | None, ListReader | None]:
        try:
            answer = msgspec.json.decode(reply.body, type=dict[str, msgspec.Raw])
            rev = msgspec.json.decode(answer[self.names.version], type=int)
            whole = msgspec.json.decode(answer[self.names.whole], type=bool)
            rows = msgspec.json.decode(answer[self.names.rows], type=list[msgspec.Raw])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, KeyError) as err:
            raise ListError(f"no list: {err}") from err
        if not whole and version is None:
            raise ListError("changes only, where the whole list was asked for")
        if not whole and version is not None and rev < version:
            return None, None  # it knows less than this broker: the whole list is asked for
        if not whole and not rows and heard:
            return rev, None
        return rev, ListReader(directory, rows, now_ms, unix_s, whole)
