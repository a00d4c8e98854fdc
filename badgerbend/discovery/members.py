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
from badgerbend.discovery.directory import Directory, Entry, Form, ListError, Reading
from badgerbend.discovery.watch import Pace
from badgerbend.net.client import Reply

WAIT_MS = 5_000  # a call waits so long for news: a connection that fell silent is found out soon after
MAX_BYTES = 4_194_304
# changed: well within the time in which the next call goes on with the watch
# most_wait: an agent that comes back is heard within this and AT_ONCE_S, well within the grace of a drain (500 ms)
PACE = Pace(first_wait=0.05, most_wait=0.1, changed=0.02)
AT_ONCE_S = 0.2  # an agent on the own machine answers in moments, when it was asked or when the wait is over
GRACE_S = 2.0  # a list that is asked for and not pushed may be far away


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
    states: Mapping[str, api.NodeState]


def parse_address(text: object) -> tuple[str, int]:
    """`host:port`. Raises ValueError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"no address, HOST:PORT is wanted: {text!r}")
    return host, int(port)


def form(names: Names, zones: Sequence[str], kinds: Sequence[str]) -> Form:
    """Rows of the list as entries; zones and kinds become their places among those named, or the place after them."""

    def entry(row: Any) -> Entry:
        uid, cell, started = row[names.id], row[names.cell], row.get(names.started, 0)
        if not isinstance(uid, str) or not isinstance(cell, int) or isinstance(cell, bool):
            raise ValueError("no id or no cell")
        return Entry(
            uid, parse_address(row[names.address]), cell, names.states[row[names.state]], float(started) / 1000.0,
            _place(zones, row.get(names.zone)), _place(kinds, row.get(names.kind)), float(row.get(names.size, 1.0)),
        )  # fmt: skip

    return entry


def _place(known: Sequence[str], name: object) -> int:
    return known.index(name) if isinstance(name, str) and name in known else len(known)


class MembersTarget:
    """`Target` of a watch on the agent at `address`. Versions it gives are handed back as they came."""

    max_bytes = MAX_BYTES
    pace = PACE

    def __init__(self, names: Names, address: tuple[str, int], asks: bool = False) -> None:
        self.names, self.asks = names, asks
        self.host, self.port = address

    def longest_s(self, version: int | None) -> float:
        """What an agent was asked while it was silent it never answers: the question is put again soon."""
        if self.asks:
            return WAIT_MS / 1000.0 + GRACE_S
        return AT_ONCE_S + (0.0 if version is None else WAIT_MS / 1000.0)

    def path(self, version: int | None) -> str:
        names = self.names
        if version is None:
            return names.path
        return f"{names.path}?{names.since}={version}&{names.timeout}={WAIT_MS}"

    def read(
        self, reply: Reply, version: int | None, heard: bool, directory: Directory, now_ms: float, unix_s: float
    ) -> tuple[int | None, Reading | None]:
        try:
            answer = msgspec.json.decode(reply.body, type=dict[str, msgspec.Raw])
            rev = msgspec.json.decode(answer[self.names.version], type=int)
            whole = msgspec.json.decode(answer[self.names.whole], type=bool)
            rows = msgspec.json.decode(answer[self.names.rows], type=list[msgspec.Raw])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, KeyError) as err:
            raise ListError(f"no list: {err}") from err
        if not whole and version is None:
            raise ListError("changes only, where the whole list was asked for")
        if not whole and not rows and heard:
            return rev, None
        return rev, Reading(directory, rows, now_ms, unix_s, whole)
