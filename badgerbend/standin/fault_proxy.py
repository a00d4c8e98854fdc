"""A datagram proxy between processes that cuts, delays and loses what it forwards.

Each process is reached at an endpoint of the proxy, and advertises that endpoint as its address. A datagram that A
sends from its real port to the endpoint of B is forwarded to B from the endpoint of A, so both see each other at the
advertised addresses. A link may be cut (in both directions or in one), delayed or lossy; every datagram is recorded
together with whether it passed. Random draws come from the seed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

Line = dict[str, Any]
Address = tuple[str, int]
PORTS = (12_000, 32_000)  # below those that systems give out by themselves
TRIES = 100
_given = set[int]()
_chance = random.SystemRandom()  # not the seed of a test: several at once would all try the same ports


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port of loopback that nobody has at this moment, and that the system gives to no connection of its own: of
    hundreds of processes one would else find its port taken by another's call before it has started."""
    for _ in range(TRIES):
        port = _chance.randrange(*PORTS)
        with socket.socket(socket.AF_INET, kind) as free, contextlib.suppress(OSError):
            free.bind(("127.0.0.1", port))
            if port not in _given:  # to one that has not bound it yet
                _given.add(port)
                return port
    raise OSError(f"no free port found among {PORTS[0]} to {PORTS[1]}")


@dataclass(slots=True)
class Link:
    """One way from one to another, as it is now."""

    cut: bool = False
    delay_s: float = 0.0
    loss: float = 0.0


class ProxyEndpoint(asyncio.DatagramProtocol):
    """Where one process is reached."""

    def __init__(self, proxy: FaultProxy, name: str, real: Address) -> None:
        self.proxy, self.name, self.real = proxy, name, real
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.proxy.forward(self, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """The process is down, or not up yet."""


class FaultProxy:
    """Made on a running loop. `add` each process before it starts."""

    def __init__(self, seed: int, record: Callable[[Line], None]) -> None:
        self.rng, self.record = random.Random(seed), record
        self.loop = asyncio.get_running_loop()
        self.endpoints: dict[str, ProxyEndpoint] = {}
        self.by_port: dict[int, ProxyEndpoint] = {}  # of the real processes
        self.links: dict[tuple[str, str], Link] = {}

    async def add(self, name: str, real_port: int) -> str:
        """The address to advertise."""
        endpoint = ProxyEndpoint(self, name, ("127.0.0.1", real_port))
        await self.loop.create_datagram_endpoint(lambda: endpoint, ("127.0.0.1", 0))
        assert endpoint.transport is not None
        self.endpoints[name] = self.by_port[real_port] = endpoint
        return f"127.0.0.1:{endpoint.transport.get_extra_info('sockname')[1]}"

    def link(self, source: str, to: str) -> Link:
        return self.links.setdefault((source, to), Link())

    def between(self, some: list[str], others: list[str], both: bool = True, **state: Any) -> None:
        """Sets the links from `some` to `others`, and back."""
        pairs = [(a, b) for a in some for b in others if a != b]
        for a, b in pairs + ([(b, a) for a, b in pairs] if both else []):
            link = self.link(a, b)
            for name, value in state.items():
                setattr(link, name, value)

    def heal(self) -> None:
        self.links.clear()

    def forward(self, to: ProxyEndpoint, data: bytes, source: Address) -> None:
        sender = self.by_port.get(source[1])
        if sender is None:
            return  # not of the scene
        link = self.link(sender.name, to.name)
        lost = link.cut or (link.loss > 0 and self.rng.random() < link.loss)
        now = time.monotonic() * 1000.0
        self.record({"k": "lost" if lost else "passed", "t": now, "from": sender.name, "to": to.name, "data": data})
        if lost or sender.transport is None:
            return
        if link.delay_s:
            self.loop.call_later(link.delay_s, sender.transport.sendto, data, to.real)
        else:
            sender.transport.sendto(data, to.real)

    def close(self) -> None:
        for endpoint in self.endpoints.values():
            if endpoint.transport is not None:
                endpoint.transport.close()
