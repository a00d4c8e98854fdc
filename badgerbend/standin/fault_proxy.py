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
PORTS = (12_000, 32_000)  # below the ephemeral ports that operating systems assign
PORT_ATTEMPTS = 100
_reserved = set[int]()
_random = random.SystemRandom()  # with a test's seed several processes at once would try the same ports


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a loopback port that is unused now and outside the range of ephemeral ports.

    When hundreds of processes start, an ephemeral port could be taken by an outgoing connection of another process
    before its owner binds it.
    """
    for _ in range(PORT_ATTEMPTS):
        port = _random.randrange(*PORTS)
        with socket.socket(socket.AF_INET, kind) as unused, contextlib.suppress(OSError):
            unused.bind(("127.0.0.1", port))
            if port not in _reserved:  # returned before, but its owner may not have bound it yet
                _reserved.add(port)
                return port
    raise OSError(f"no free port found among {PORTS[0]} to {PORTS[1]}")


@dataclass(slots=True)
class Link:
    """The current faults of one direction between two processes."""

    cut: bool = False
    delay_s: float = 0.0
    loss: float = 0.0


class ProxyEndpoint(asyncio.DatagramProtocol):
    """The address under which the other processes reach one process."""

    def __init__(self, proxy: FaultProxy, name: str, real: Address) -> None:
        self.proxy, self.name, self.real = proxy, name, real
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.proxy.forward(self, data, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignored: the process is down, or has not started yet."""


class FaultProxy:
    """Forwards datagrams between processes and records them. Created on a running loop; `add` each process first."""

    def __init__(self, seed: int, record: Callable[[Line], None]) -> None:
        self.rng, self.record = random.Random(seed), record
        self.loop = asyncio.get_running_loop()
        self.endpoints: dict[str, ProxyEndpoint] = {}
        self.by_port: dict[int, ProxyEndpoint] = {}  # by the real port of each process
        self.links: dict[tuple[str, str], Link] = {}

    async def add(self, name: str, real_port: int) -> str:
        """Opens an endpoint for a process and returns the address that the process has to advertise."""
        endpoint = ProxyEndpoint(self, name, ("127.0.0.1", real_port))
        await self.loop.create_datagram_endpoint(lambda: endpoint, ("127.0.0.1", 0))
        assert endpoint.transport is not None
        self.endpoints[name] = self.by_port[real_port] = endpoint
        return f"127.0.0.1:{endpoint.transport.get_extra_info('sockname')[1]}"

    def link(self, source: str, to: str) -> Link:
        return self.links.setdefault((source, to), Link())

    def between(self, some: list[str], others: list[str], both: bool = True, **state: Any) -> None:
        """Sets attributes of the links from `some` to `others`, and of those back if `both`."""
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
            return  # not a process of the scene
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
