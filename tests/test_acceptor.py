"""Accepting continues after failures, and closing the listener resets no connection that is already established."""

import asyncio
import errno
import os
import socket

import pytest

from badgerbend.net import acceptor
from badgerbend.net.server import HttpServer, bound_socket
from badgerbend.net.server_limits import ServerLimits
from tests.platform_stage import run
from tests.sockets import until


class FailingListener:
    """A listening socket whose first calls of `accept` fail with the given errors."""

    def __init__(self, listener, errors):
        self.listener, self.errors = listener, list(errors)

    def accept(self):
        if self.errors:
            code = self.errors.pop(0)
            raise OSError(code, os.strerror(code))
        return self.listener.accept()

    def fileno(self):
        return self.listener.fileno()

    def close(self):
        self.listener.close()


async def create_acceptor(errors=()):
    loop, protocols = asyncio.get_running_loop(), []
    listener = await bound_socket(loop, "127.0.0.1", 0)
    listener.listen(16)

    def factory():
        protocol = asyncio.Protocol()
        protocols.append(protocol)
        return protocol

    return acceptor.Acceptor(loop, FailingListener(listener, errors), factory), protocols, listener.getsockname()


TRANSIENT_ERRORS = (
    "ECONNABORTED",
    "EINTR",
    "EMFILE",
    "ENFILE",
    "ENOBUFS",
    "ENOMEM",
    "EPROTO",
    "EPERM",
    "ENETDOWN",
    "ETIMEDOUT",
)


@pytest.mark.parametrize("name", TRANSIENT_ERRORS)
def test_a_connection_is_accepted_soon_after_transient_failures(name):
    async def main():
        subject, protocols, address = await create_acceptor([getattr(errno, name)] * 3)
        subject.start()
        with socket.create_connection(address):
            started_at = asyncio.get_running_loop().time()
            await until(lambda: protocols)
            assert asyncio.get_running_loop().time() - started_at < 0.5
        subject.close()

    run(main)


@pytest.mark.parametrize("errors", [[], [errno.ENFILE]])
def test_established_connections_are_accepted_when_the_listener_closes(errors):
    async def main():
        subject, protocols, address = await create_acceptor(errors)
        subject.start()
        clients = [socket.create_connection(address) for _ in range(10)]
        subject.close()
        await until(lambda: len(protocols) == 10)
        for client in clients:
            client.close()

    run(main)


def test_a_request_on_a_connection_that_is_not_yet_accepted_is_answered_when_the_server_closes():
    async def main():
        server = HttpServer(lambda exchange: exchange.respond(200, b"ok", b"text/plain"), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", port))
        client.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        assert await server.close(1.0) == 0
        client.settimeout(1.0)
        answer = client.recv(
            1000
        )  # blocks the loop, so only what was sent before arrives, as after the end of a process
        assert answer.startswith(b"HTTP/1.1 200")
        client.close()

    run(main)
