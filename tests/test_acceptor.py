"""Connections are accepted through failures, and none that came in is reset as the listener closes."""

import asyncio
import errno
import os
import socket

import pytest

from badgerbend.net import acceptor
from badgerbend.net.server import HttpServer, ServerLimits, bound_socket
from tests.platform_stage import run
from tests.sockets import until


class FailingListener:
    """A listening socket whose first calls of `accept` fail."""

    def __init__(self, listener, errors):
        self.listener, self.errors = listener, list(errors)

    def accept(self):
        if self.errors:
            number = self.errors.pop(0)
            raise OSError(number, os.strerror(number))
        return self.listener.accept()

    def fileno(self):
        return self.listener.fileno()

    def close(self):
        self.listener.close()


async def listening(errors=()):
    loop, made = asyncio.get_running_loop(), []
    listener = await bound_socket(loop, "127.0.0.1", 0)
    listener.listen(16)

    def factory():
        protocol = asyncio.Protocol()
        made.append(protocol)
        return protocol

    return acceptor.Acceptor(loop, FailingListener(listener, errors), factory), made, listener.getsockname()


MOMENTARY = (
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


@pytest.mark.parametrize("name", MOMENTARY)
def test_a_connection_is_accepted_soon_after_a_failure(name):
    async def main():
        accepting, made, address = await listening([getattr(errno, name)] * 3)
        accepting.start()
        with socket.create_connection(address):
            began = asyncio.get_running_loop().time()
            await until(lambda: made)
            assert asyncio.get_running_loop().time() - began < 0.5
        accepting.close()

    run(main)


@pytest.mark.parametrize("errors", [[], [errno.ENFILE]])
def test_what_has_connected_is_taken_as_the_listener_closes(errors):
    async def main():
        accepting, made, address = await listening(errors)
        accepting.start()
        clients = [socket.create_connection(address) for _ in range(10)]
        accepting.close()
        await until(lambda: len(made) == 10)
        for client in clients:
            client.close()

    run(main)


def test_a_request_on_a_connection_that_was_not_accepted_yet_is_answered_as_the_server_closes():
    async def main():
        server = HttpServer(lambda exchange: exchange.respond(200, b"ok", b"text/plain"), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        client = socket.create_connection(("127.0.0.1", port))
        client.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        assert await server.close(1.0) == 0
        client.settimeout(1.0)
        answer = client.recv(1000)  # with the loop at rest, as in a process that has ended
        assert answer.startswith(b"HTTP/1.1 200")
        client.close()

    run(main)
