"""What a request costs on a connection of the HTTP server, side by side for two checkouts.

    python benchmarks/connection_cost.py --against ../earlier-checkout

Prints CPU time for a request without pipelining and with eight requests at once, and the memory of an idle connection.
The checkouts are measured in turns, each in processes of its own; the least of several runs counts.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import time
import tracemalloc
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
ROUNDS, REQUESTS = 5, 20_000
PIPELINED = 8
IDLE_CONNECTIONS = 2000
BODY = b'{"tablets":[{"tablet":1,"fraction":1.0}],"statement":"c41e77d0"}'
REQUEST = (
    b"POST /quote/abc HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: q1\r\nX-Service-Class: quote\r\nX-Account: acme\r\n"
    b"X-Time-Left-Ms: 3000\r\nIdempotency-Key: k1\r\nContent-Length: %d\r\n\r\n%s"
) % (len(BODY), BODY)


class Transport(asyncio.Transport):
    """Takes what is written at once."""

    def __init__(self) -> None:
        super().__init__()
        self.responses = 0

    def write(self, data: Any) -> None:
        self.responses += data.count(b"HTTP/1.1 200")

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def is_closing(self) -> bool:
        return False


def new_connection(loop: asyncio.AbstractEventLoop, server: Any) -> tuple[Any, Transport]:
    """A connection of the checkout that is imported, whose class has had two names."""
    try:
        from badgerbend.net.server_connection import ServerConnection
    except ImportError:  # an earlier checkout
        from badgerbend.net.server import _Connection as ServerConnection  # type: ignore[attr-defined,no-redef]
    connection, transport = ServerConnection(server, loop), Transport()
    connection.connection_made(transport)
    return connection, transport


async def cpu_us(server: Any, at_once: int) -> float:
    """CPU time of a request, when so many are sent at once."""
    connection, transport = new_connection(asyncio.get_running_loop(), server)
    data, sent = REQUEST * at_once, 0
    began = time.process_time()
    while sent < REQUESTS:
        sent += at_once
        connection.data_received(data)
        while transport.responses < sent:
            await asyncio.sleep(0)
    return (time.process_time() - began) / REQUESTS * 1e6


def idle_bytes(loop: asyncio.AbstractEventLoop, server: Any) -> float:
    """Memory of a connection that has served one request, as Python allocates it."""
    tracemalloc.start()
    before, kept = tracemalloc.get_traced_memory()[0], []
    for _ in range(IDLE_CONNECTIONS):
        kept.append(new_connection(loop, server))
        kept[-1][0].data_received(REQUEST)
    loop.run_until_complete(asyncio.sleep(0.01))
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / IDLE_CONNECTIONS


def measure() -> dict[str, float]:
    """Measures the checkout that is imported."""
    from badgerbend.net import server as module

    limits = getattr(module, "ServerLimits", None)
    if limits is None:
        from badgerbend.net.server_limits import ServerLimits as limits  # noqa: N813
    loop = asyncio.new_event_loop()
    server = module.HttpServer(lambda exchange: loop.call_soon(exchange.respond, 200, b"ok", b"text/plain"), limits())
    return {
        "cpu us, one at a time": loop.run_until_complete(cpu_us(server, 1)),
        "cpu us, eight at once": loop.run_until_complete(cpu_us(server, PIPELINED)),
        "idle bytes": idle_bytes(loop, server),
    }


def run_child(checkout: Path) -> dict[str, float]:
    command = [sys.executable, str(Path(__file__).resolve()), "--child"]
    done = subprocess.run(command, cwd=checkout, env={"PYTHONPATH": str(checkout)}, capture_output=True, check=True)
    return dict(json.loads(done.stdout))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--against", type=Path, default=ROOT)
    parser.add_argument("--child", action="store_true")
    options = parser.parse_args()
    if options.child:
        print(json.dumps(measure()))
        return
    results: dict[Path, list[dict[str, float]]] = {options.against.resolve(): [], ROOT.resolve(): []}
    for _ in range(ROUNDS):
        for checkout, measured in results.items():
            measured.append(run_child(checkout))
    earlier, now = results.values()
    for name in now[0]:
        before, after = min(run[name] for run in earlier), min(run[name] for run in now)
        print(f"{name}: {before:.1f} before, {after:.1f} now, {(after / before - 1) * 100:+.1f} %")


if __name__ == "__main__":
    main()
