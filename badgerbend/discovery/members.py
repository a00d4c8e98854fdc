"""The platform's member list as the target of a watch: the complete list first, then changes since the last version.

The discovery agent keeps a watch alive only while each poll follows the previous answer at once. In push mode the agent
runs on the broker's own machine, so a failed poll is cheap to repeat and is retried soon.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from badgerbend import api
from badgerbend.discovery.directory import DepartureParser, Directory, Entry, ListError, ListReader, RowParser
from badgerbend.discovery.polls import Retention
from badgerbend.discovery.target import Pace
from badgerbend.net.calls import Reply

MAX_BYTES = 4_194_304  # of one answer
MIN_UPDATE_INTERVAL_S = 0.02  # well within the time in which the next poll has to follow to keep the watch alive
# In push mode, a broker counts as notified of everything that the agent has, whether or not it has a poll open. A poll
# that was waiting when discovery went down may never be answered. Changes that the agent receives when discovery
# returns then reach the broker only once that poll's wait is over, the poll is abandoned and a new one is sent. The
# following fractions of the drain grace period add up to that delay; the rest of the period is for reading the list
# and for parts that are already on their way.
WAIT_FRACTION, ANSWER_TIMEOUT_FRACTION, RETRY_FRACTION = 0.35, 0.15, 0.1
# An answer that trickles in is abandoned this long after its wait. Together with the pause before the retry and the
# next poll, that makes one grace period.
MAX_ANSWER_FRACTION = 0.7
# Overdue polls that are kept open, also as fractions of the grace period. An agent that answers polls while they are
# recent leaves the rest of the period for sending the poll and reading the answer. After the release fraction a poll
# may be aborted for one that was rejected.
RECENT_FRACTION, SPACING_FRACTION, RELEASE_FRACTION = 0.9, 0.8, 0.4
MAX_WAIT_S = 5.0  # no poll waits longer, however long the grace period is
MIN_GRACE_S = 0.1  # a shorter grace period would leave no time to poll in
# A list that is polled on request may be far away. Whatever happened to a poll, the broker counts as notified of a
# change this long after discovery had it and could be reached: a third for a poll without an answer, a third for the
# aggregator's pause (`Settings.max_notification_delay_ms`) and a third for the answer. A waiting poll that falls silent
# uses up the first two thirds and is sent again at once.
MAX_NOTIFICATION_DELAY_S = 6.0
REQUESTED_WAIT_S = REQUESTED_ANSWER_TIMEOUT_S = MAX_NOTIFICATION_DELAY_S / 3
REQUESTED_MAX_ANSWER_S = 1.25 * REQUESTED_ANSWER_TIMEOUT_S  # the drain grace period covers the rest of the bound


@dataclass(frozen=True, slots=True)
class MemberListNames:
    """The path of the list, the names of its parameters and fields, and its values for the states of a server."""

    path: str
    since: str
    timeout: str
    version: str
    is_complete: str
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
    """Parses `host:port`. Raises ValueError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"invalid address, expected HOST:PORT: {text!r}")
    return host, int(port)


def row_parser(names: MemberListNames, zones: Sequence[str], kinds: Sequence[str]) -> RowParser:
    """Returns a parser of the list's rows.

    Zones and kinds become their indices among the given names; an unknown one gets the index after the last.
    """

    def parse_row(row: Any) -> Entry:
        server_id, cell, started = row[names.id], row[names.cell], row.get(names.started, 0)
        if not isinstance(server_id, str) or not isinstance(cell, int) or isinstance(cell, bool):
            raise ValueError("the id is not a string or the cell is not an integer")
        return Entry(
            server_id,
            parse_address(row[names.address]),
            cell,
            names.states[row[names.state]],
            float(started) / 1000.0,
            _index_of(zones, row.get(names.zone)),
            _index_of(kinds, row.get(names.kind)),
            float(row.get(names.size, 1.0)),
        )

    return parse_row


def departure_parser(names: MemberListNames) -> DepartureParser:
    """Returns a parser of the state in rows that lack other fields; an unknown state counts as draining."""

    def read(row: Any) -> tuple[str, api.EndpointState] | None:
        state = names.states.get(row.get(names.state), api.EndpointState.DRAINING)
        return None if state == api.EndpointState.READY else (row[names.id], state)

    return read


def _index_of(choices: Sequence[str], name: object) -> int:
    return choices.index(name) if isinstance(name, str) and name in choices else len(choices)


class MembersTarget:
    """The `Target` of a watch on the agent at `address`. Versions are sent back as received."""

    max_bytes = MAX_BYTES

    def __init__(
        self, names: MemberListNames, address: tuple[str, int], polls_on_request: bool, drain_grace_s: float
    ) -> None:
        self.names, self.polls_on_request = names, polls_on_request
        self.host, self.port = address
        grace = max(drain_grace_s, MIN_GRACE_S)
        self.wait_s = REQUESTED_WAIT_S if polls_on_request else min(WAIT_FRACTION * grace, MAX_WAIT_S)
        self.answer_timeout_s = REQUESTED_ANSWER_TIMEOUT_S if polls_on_request else ANSWER_TIMEOUT_FRACTION * grace
        self.max_answer_s = REQUESTED_MAX_ANSWER_S if polls_on_request else MAX_ANSWER_FRACTION * grace
        self.pace = Pace(
            first_retry_s=RETRY_FRACTION * grace / 2,
            max_retry_s=RETRY_FRACTION * grace,
            min_update_interval_s=MIN_UPDATE_INTERVAL_S,
        )
        self.retention = Retention(RECENT_FRACTION * grace, SPACING_FRACTION * grace, RELEASE_FRACTION * grace)

    def path(self, version: int | None) -> str:
        names = self.names
        if version is None:
            return names.path
        return f"{names.path}?{names.since}={version}&{names.timeout}={round(self.wait_s * 1000.0)}"

    def read(
        self, reply: Reply, version: int | None, has_list: bool, directory: Directory, now_ms: float, unix_s: float
    ) -> tuple[int | None, ListReader | None]:
        try:
            answer = msgspec.json.decode(reply.body, type=dict[str, msgspec.Raw])
            new_version = msgspec.json.decode(answer[self.names.version], type=int)
            is_complete = msgspec.json.decode(answer[self.names.is_complete], type=bool)
            rows = msgspec.json.decode(answer[self.names.rows], type=list[msgspec.Raw])
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError, KeyError) as err:
            raise ListError(f"the answer is not a list: {err}") from err
        if not is_complete and version is None:
            raise ListError("the answer contains changes only, but the complete list was requested")
        if not is_complete and version is not None and new_version < version:
            return None, None  # the agent's version is older than this broker's: request the complete list
        if not is_complete and not rows and has_list:
            return new_version, None
        return new_version, ListReader(directory, rows, now_ms, unix_s, is_complete)
