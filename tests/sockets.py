"""Shared by socket tests: a broker with servers on loopback, run on uvloop within a generous time limit."""

import asyncio
from pathlib import Path

import msgspec
import uvloop

from badgerbend import log, standin
from badgerbend.broker import Broker, read_subgraph
from badgerbend.config import settings as cfg
from badgerbend.config.reading import load
from badgerbend.standin.client import Client
from badgerbend.standin.work import Model
from badgerbend.standin.world import World

EXAMPLE = Path(standin.__file__).parent / "rates" / "broker.conf"
LIMIT_S = 90.0  # fails a test that hangs; no other check depends on it
QUICK = Model(part_ms=2.0, call_ms=0.2)


def run(main):
    async def limited():
        async with asyncio.timeout(LIMIT_S):
            return await main()

    return uvloop.run(limited())


class BrokerFixture:
    """Servers with their registry, a broker and a client; an async context manager.

    changes: fields of the broker's settings; for its sections, dictionaries of fields.
    """

    def __init__(self, count=12, model=QUICK, broker=Broker, **changes):
        self.count, self.model, self.broker_type, self.changes = count, model, broker, changes
        log.configure(cfg.Log(level="warning"))
        self.records = []

    async def __aenter__(self):
        base = load(EXAMPLE)
        layout = base.layout
        self.world = World(layout.shards, layout.cells, layout.reach, 1, self.records.append)
        await self.world.start(self.count, 2, msgspec.structs.replace(self.model))  # a copy, as tests change it
        registry_port = self.world.registry.http.address[1]
        discovery = msgspec.structs.replace(base.discovery, port=registry_port, **self.changes.pop("discovery", {}))
        listen = msgspec.structs.replace(base.listen, port=0, **self.changes.pop("listen", {}))
        for name in ("servers", "attempts", "documents", "advice"):
            if name in self.changes:
                self.changes[name] = msgspec.structs.replace(getattr(base, name), **self.changes[name])
        self.settings = msgspec.structs.replace(base, listen=listen, discovery=discovery, **self.changes)
        self.broker = self.broker_type(self.settings, read_subgraph(self.settings, EXAMPLE))
        self.port = await self.broker.start()
        self.client = Client(self.port)
        await until(lambda: self.broker.watch.refreshed_at is not None)
        return self

    async def __aexit__(self, *_):
        self.client.close()
        await self.broker.stop()
        await self.world.close()

    def seen(self, kind):
        """The records of a kind that servers and registry have written."""
        return [r for r in self.records if r["k"] == kind]


async def until(condition):
    """Waits until the condition holds."""
    while not condition():
        await asyncio.sleep(0.002)
