"""The feed's content at size, and how often it changes on an ordinary day.

A node's row has the fields that `badgerbend/discovery/members.py` reads, by the platform's names; about 150 bytes.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from badgerbend.feed.messages import Change
from badgerbend.platform.names import MEMBERS
from scale.planned_fleet import CONFIGURATIONS_A_DAY, DAY_S, FAILURES_A_DAY, RESTARTS_A_DAY, ZONES

CONFIGURATION_KEYS, CONFIGURATION_BYTES = 50, 2048
CELLS = 100

ROW_CHANGES_A_REPLACEMENT = 4  # draining, gone, back with a new start, up
ROW_CHANGES_A_FAILURE = 4  # draining, gone, its replacement there, up
ROW_CHANGES_A_DAY = RESTARTS_A_DAY * ROW_CHANGES_A_REPLACEMENT + FAILURES_A_DAY * ROW_CHANGES_A_FAILURE
CHANGES_A_DAY = ROW_CHANGES_A_DAY + CONFIGURATIONS_A_DAY
CHANGES_A_SECOND = CHANGES_A_DAY / DAY_S  # 0.274
ROWS_TO_ONE_CONFIGURATION = round(ROW_CHANGES_A_DAY / CONFIGURATIONS_A_DAY)  # 6

STATES = tuple(MEMBERS.states)
FIRST_BOOT_MS = 1_700_000_000_000


def node_key(number: int) -> str:
    return f"node/{number:05d}"


def node_row(number: int, state: str, boots: int) -> bytes:
    """One node's row. boots: how often it has been started anew."""
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return msgspec.json.encode(
        {
            MEMBERS.id: f"rates-{number:05d}",
            MEMBERS.address: f"{address}:{20_000 + number % 8}",
            MEMBERS.zone: f"region-{number % ZONES // 3}-zone-{number % ZONES}",
            MEMBERS.kind: f"standard-{number % 3}",
            MEMBERS.cell: number % CELLS,
            MEMBERS.state: state,
            MEMBERS.size: 1.0,
            MEMBERS.started: FIRST_BOOT_MS + number + 1000 * boots,
        }
    )


class ContentChanges:
    """Makes changes of content with so many nodes; the same ones for the same seed."""

    def __init__(self, nodes: int, seed: int) -> None:
        self.nodes = nodes
        self._random = random.Random(seed)
        self._asked = 0  # by `next`
        self._rows = 0

    def first(self) -> Iterator[Change]:
        """All rows and all configuration."""
        for number in range(self.nodes):
            yield Change(node_key(number), node_row(number, STATES[0], 0))
        for place in range(CONFIGURATION_KEYS):
            yield self.configuration(place)

    def next(self) -> Change:
        """One change in the day's proportion of rows to configuration."""
        self._asked += 1
        if self._asked % (ROWS_TO_ONE_CONFIGURATION + 1) == 0:
            return self.configuration(self._asked % CONFIGURATION_KEYS)
        return self.row(self._random.randrange(self.nodes))

    def row(self, number: int) -> Change:
        """A node that was started anew, or is about to be."""
        self._rows += 1
        return Change(node_key(number), node_row(number, STATES[self._rows % 2], self._rows))

    def configuration(self, place: int) -> Change:
        """Text that packs about as configuration does."""
        lines = bytearray()
        while len(lines) < CONFIGURATION_BYTES:
            lines += b"limit-%d = %d\n" % (len(lines), self._random.randrange(1_000_000))
        return Change(f"configuration/{place:02d}", bytes(lines[:CONFIGURATION_BYTES]))

    def zone_lost(self) -> list[Change]:
        """The rows of all nodes of one zone."""
        return [self.row(number) for number in range(0, self.nodes, ZONES)]
