"""Guards against memory that stays in use after the end of a connection.

A transport of asyncio refers to itself. With a crowd of clients that connect again and again, thousands of ended
connections waited for the garbage collector, which this process makes rare, and a broker of 32 MB went over its limit.
"""

import asyncio
import contextlib
import gc
import socket

import pytest

from badgerbend.net.client import Pool
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits
from badgerbend.standin.client import LIMITS
from tests.memory_clients import RESET
from tests.memory_faults import CASES, play
from tests.platform_stage import run
from tests.sockets import until

CONNECTIONS = 20
SECONDS = 4.0
REQUEST = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"
SENT = {"nothing": b"", "half a request": REQUEST[:-2], "a request": REQUEST, "noise": b"\0\1\r\n\r\n"}


@contextlib.contextmanager
def no_garbage():
    """Fails if anything that is created in the context has to be freed by the garbage collector."""
    gc.collect()
    gc.disable()
    try:
        yield
        assert gc.collect() == 0
    finally:
        gc.enable()


async def connected(loop, port):
    client = socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, ("127.0.0.1", port))
    return client


async def crowd_comes_and_goes(server, port, sent, end):
    loop = asyncio.get_running_loop()
    clients = [await connected(loop, port) for _ in range(CONNECTIONS)]
    await until(lambda: len(server.connections) == CONNECTIONS)
    for client in clients:
        client.send(sent)
        if end == "reset by the client":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    await asyncio.sleep(0.05)
    for connection in list(server.connections) if end == "aborted by the server" else ():
        connection.abort()
    for client in clients:
        client.close()
    await until(lambda: not server.connections)
    await asyncio.sleep(0.05)


@pytest.mark.parametrize("sent", SENT)
@pytest.mark.parametrize("end", ["closed by the client", "reset by the client", "aborted by the server"])
def test_an_ended_connection_leaves_no_garbage(sent, end):
    async def main():
        server = HttpServer(lambda exchange: exchange.respond(200, b"ok", b"text/plain"), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        with no_garbage():
            await crowd_comes_and_goes(server, port, SENT[sent], end)
        await server.close(0.0)

    run(main)


async def ask_once(server, port):
    pool, results = Pool("127.0.0.1", port, LIMITS), []
    pool.request(REQUEST, results.append)
    await until(lambda: results)
    pool.close()
    await until(lambda: not server.connections)
    await asyncio.sleep(0.05)


def test_an_ended_connection_of_the_http_client_leaves_no_garbage():
    async def main():
        server = HttpServer(lambda exchange: exchange.respond(200, b"ok", b"text/plain"), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        with no_garbage():
            await ask_once(server, port)
        await server.close(0.0)

    run(main)


CROWDS = [
    "crowd of 600, slow_body_behind_requests, 32 MB, 1024",
    "crowd of 600, half_body_behind_requests, 32 MB, 1024",
    "crowd of 600, silent, 32 MB, 1024",
    "crowd of 300, half_short_fields, 32 MB, 256",
]


@pytest.mark.parametrize("name", CROWDS)
def test_hundreds_of_clients_do_not_bring_a_broker_over_its_memory(name):
    async def main():
        result = await play(CASES[name], SECONDS)
        assert result.peak_kb <= result.limit_kb
        assert result.statuses[200] > 50

    run(main)
