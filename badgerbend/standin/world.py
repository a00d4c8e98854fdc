"""A fleet of stand-in servers and their server list on loopback, all on one event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from badgerbend.standin.registry import Entry, Registry
from badgerbend.standin.server import RateServer
from badgerbend.standin.work import Model


def blocks_of(cell: int, shards: int, cells: int, reach: int) -> list[int]:
    """The blocks that the servers of a cell serve."""
    return [s for s in range(shards) if (cell - s) % cells < reach]


@dataclass(frozen=True, slots=True)
class ServerPlace:
    """The name of a server, its cell, its zone and its blocks."""

    name: str
    cell: int
    zone: int
    blocks: list[int]


def place_server(number: int, shards: int, cells: int, reach: int, zones: int) -> ServerPlace:
    """Places a server by its number.

    Servers are assigned to cells in turn. The servers of a cell, and those of neighbouring cells, are spread over the
    zones.
    """
    cell = number % cells
    return ServerPlace(f"rates-{number}", cell, (number // cells + cell) % zones, blocks_of(cell, shards, cells, reach))


class World:
    """The fleet and its list. Each record gets the time `t` in milliseconds and is passed to `write`."""

    def __init__(
        self, shards: int, cells: int, reach: int, seed: int, record: Callable[[dict[str, Any]], None]
    ) -> None:
        self.shards, self.cells, self.reach, self.seed = shards, cells, reach, seed
        self.write = record
        self.registry = Registry(self.record)
        self.servers: dict[str, RateServer] = {}
        self.loop = asyncio.get_running_loop()

    def record(self, line: dict[str, Any]) -> None:
        line.setdefault("t", time.monotonic() * 1000.0)
        self.write(line)

    async def start(self, count: int, zones: int, model: Model, registry_port: int = 0) -> None:
        await self.registry.start(registry_port)
        for i in range(count):
            place = place_server(i, self.shards, self.cells, self.reach, zones)
            server = RateServer(
                place.name, place.cell, place.zone, place.blocks, model, self.seed * 1000 + i, self.record
            )
            self.servers[place.name] = server
            await server.start(cold=False)
            self.registry.entries[place.name] = Entry(place.name, server.port, place.cell, place.zone, 0.0)
        self.registry.changed()

    async def restart(self, name: str) -> None:
        """Restarts a server cold, whether it is up or has crashed, and lists it as just started."""
        self.servers[name].crash()
        await self.servers[name].start(cold=True)
        entry = self.registry.entries[name]
        entry.state, entry.started = "ready", time.time()
        self.registry.changed()

    def crash(self, name: str, update_list: bool = True) -> None:
        """Crashes a server; the list shows it as gone if `update_list`, else as before."""
        self.servers[name].crash()
        if update_list:
            self.registry.entries[name].state = "gone"
            self.registry.changed()

    def drain(self, name: str) -> None:
        self.registry.entries[name].state = "draining"
        self.registry.changed()

    async def close(self) -> None:
        for server in self.servers.values():
            if server.http is not None:
                await server.http.close(0.0)
        await self.registry.http.close(0.0)
