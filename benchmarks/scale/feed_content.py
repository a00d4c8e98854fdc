"""Content of the feed for the planned fleet, and how often it changes on an ordinary day.

A node's row has the fields that `badgerbend/discovery/members.py` reads, under the platform's names, and is about 150
bytes long.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

import msgspec

from badgerbend.feed.messages import Change
from badgerbend.platform.names import MEMBERS
from scale.planned_fleet import CONFIGURATIONS_PER_DAY, DAY_S, FAILURES_PER_DAY, RESTARTS_PER_DAY, ZONES

CONFIGURATION_KEYS, CONFIGURATION_BYTES = 50, 2048
CELLS = 100

ROW_CHANGES_PER_REPLACEMENT = 4  # draining, gone, back with a new start time, up
ROW_CHANGES_PER_FAILURE = 4  # draining, gone, replacement present, up
ROW_CHANGES_PER_DAY = RESTARTS_PER_DAY * ROW_CHANGES_PER_REPLACEMENT + FAILURES_PER_DAY * ROW_CHANGES_PER_FAILURE
CHANGES_PER_DAY = ROW_CHANGES_PER_DAY + CONFIGURATIONS_PER_DAY
CHANGES_PER_SECOND = CHANGES_PER_DAY / DAY_S  # 0.274
ROWS_PER_CONFIGURATION_CHANGE = round(ROW_CHANGES_PER_DAY / CONFIGURATIONS_PER_DAY)  # 6

STATES = tuple(MEMBERS.states)
FIRST_BOOT_MS = 1_700_000_000_000


def node_key(number: int) -> str:
    return f"node/{number:05d}"


def node_row(number: int, state: str, boots: int) -> bytes:
    """Returns the row of one node. boots: how often the node has been restarted."""
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
    """Generates changes of the content for a number of nodes, reproducibly for a seed."""

    def __init__(self, nodes: int, seed: int) -> None:
        self.nodes = nodes
        self._random = random.Random(seed)
        self._generated = 0  # by `next`
        self._rows = 0

    def initial(self) -> Iterator[Change]:
        """Yields the initial content: all rows and all configuration."""
        for number in range(self.nodes):
            yield Change(node_key(number), node_row(number, STATES[0], 0))
        for index in range(CONFIGURATION_KEYS):
            yield self.configuration(index)

    def next(self) -> Change:
        """Returns one change; rows and configuration change in the proportion of an ordinary day."""
        self._generated += 1
        if self._generated % (ROWS_PER_CONFIGURATION_CHANGE + 1) == 0:
            return self.configuration(self._generated % CONFIGURATION_KEYS)
        return self.row(self._random.randrange(self.nodes))

    def row(self, number: int) -> Change:
        """Returns a change of a node that has been restarted, or is about to be."""
        self._rows += 1
        return Change(node_key(number), node_row(number, STATES[self._rows % 2], self._rows))

    def configuration(self, index: int) -> Change:
        """Returns a change of one configuration key, with text that compresses about as well as real configuration."""
        lines = bytearray()
        while len(lines) < CONFIGURATION_BYTES:
            lines += b"limit-%d = %d\n" % (len(lines), self._random.randrange(1_000_000))
        return Change(f"configuration/{index:02d}", bytes(lines[:CONFIGURATION_BYTES]))

    def zone_lost(self) -> list[Change]:
        """Returns a change of the rows of all nodes of one zone."""
        return [self.row(number) for number in range(0, self.nodes, ZONES)]
