"""Two events that cross between a broker and its clients, each forced over loopback: which first, what holds then."""

import asyncio
import contextlib
import os
import re
import socket
import struct

import pytest

from badgerbend.net import acceptor
from badgerbend.net import server as http
from badgerbend.net.server import HttpServer, ServerLimits
from badgerbend.platform import service as services
from tests.platform_stage import Stage, query, run
from tests.sockets import until

GET = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"
LAST = b"GET /last HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"


class Peer:
    """A server whose requests wait to be answered, and clients whose sockets read and write when told."""

    def __init__(self, **limits):
        self.held, self.limits, self.clients = [], ServerLimits(**limits), []

    async def __aenter__(self):
        self.server = HttpServer(self.held.append, self.limits)
        self.port = await self.server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        for client in self.clients:
            client.close()
        await self.server.close(0.0)

    async def client(self, data=b""):
        """A connection of which the server knows, with its end here and there."""
        known = set(self.server.connections)
        sock = socket.create_connection(("127.0.0.1", self.port))
        sock.setblocking(False)
        self.clients.append(sock)
        await until(lambda: len(self.server.connections - known) == 1)
        if data:
            sock.send(data)
        return sock, (self.server.connections - known).pop()

    def answer(self, body=b"ok"):
        return self.held.pop(0).respond(200, body, b"text/plain")


async def to_the_end(sock):
    """What comes until the other side ends it; raises ConnectionResetError where it is reset."""
    got = b""
    while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
        got += data
    return got


# -- the last answer, and what comes behind it


BEHIND = {"half": b"POST / HTTP/1.1\r\nhost", "whole": GET % 2, "noise": b"\0" * 20_000}


@pytest.mark.parametrize("behind", BEHIND.values(), ids=BEHIND)
def test_bytes_behind_the_last_answer_do_not_reset_it(behind):
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client(LAST)
            await until(lambda: peer.held)
            sock.send(behind)
            peer.answer()  # in the turn in which they arrive
            got = await to_the_end(sock)
            assert got.startswith(b"HTTP/1.1 200")
            assert got.endswith(b"ok")
            assert not peer.held
            sock.close()
            await until(lambda: not peer.server.connections)
            assert not peer.server.lingering

    run(main)


@pytest.mark.parametrize(
    ("head", "status"),
    [
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 999999999\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\n" + b"x: " + b"y" * 20_000, 431),
        (b"\x93\x01noise\r\n\r\n", 400),
    ],
)
def test_a_refusal_with_its_body_still_coming_can_be_read(head, status):
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client(head)
            await until(lambda: connection.lingering)
            for _ in range(10):
                sock.send(b"z" * 10_000)
            got = await to_the_end(sock)
            assert got.startswith(b"HTTP/1.1 %d" % status)
            assert got.count(b"HTTP/1.1") == 1
            assert not peer.held

    run(main)


def test_a_request_behind_the_end_is_thrown_away_and_never_served():
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client(LAST)
            await until(lambda: peer.held)
            peer.answer()
            await to_the_end(sock)
            sock.send(GET % 2)
            await until(lambda: connection.thrown)
            sock.shutdown(socket.SHUT_WR)
            await until(lambda: not peer.server.connections)
            assert not peer.held

    run(main)


def test_a_lingering_close_ends_by_time_and_by_bytes(monkeypatch):
    async def main():
        async with Peer() as peer:
            resting, _ = await peer.client(LAST)
            await until(lambda: peer.held)
            peer.answer()
            await until(lambda: not peer.server.connections)  # it never closes
            monkeypatch.setattr(http, "LINGER_S", 60.0)
            flooding, connection = await peer.client(LAST)
            await until(lambda: peer.held)
            peer.answer()
            while peer.server.connections:
                with contextlib.suppress(BlockingIOError, ConnectionError):
                    flooding.send(b"z" * 65_536)
                await asyncio.sleep(0)
            assert connection.thrown <= http.LINGER_BYTES + 262_144

    run(main)


def test_an_answer_that_crosses_a_reset_harms_nobody():
    # Found by tests/crossing_days.py: shutting the write side of a connection that its peer has reset raises.
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client(LAST)
            await until(lambda: peer.held)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()  # reset, and not read yet
            peer.answer()
            await until(lambda: not peer.server.connections)
            assert not peer.server.lingering

    run(main)


def test_a_client_that_reads_slowly_gets_the_whole_of_its_last_answer(monkeypatch):
    monkeypatch.setattr(http, "LINGER_S", 0.02)

    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client(LAST)
            await until(lambda: peer.held)
            peer.answer(b"z" * 8_000_000)
            now = asyncio.get_running_loop().time
            began = now()
            await until(lambda: now() > began + 0.1)  # five times the bound
            assert len(await to_the_end(sock)) > 8_000_000

    run(main)


def test_a_request_in_one_piece_with_the_last_that_is_answered_is_not_served():
    async def main():
        served = []

        def handle(exchange):
            served.append(exchange.target)
            exchange.respond(200, b"ok", b"text/plain")

        async with Peer() as peer:
            peer.server.handler, peer.server.closing = handle, True
            sock, _ = await peer.client((GET % 1) + (GET % 2) + b"POST /3 HTTP/1.1\r\nexpect: 100-continue\r\n\r\n")
            got = await to_the_end(sock)
            assert got.count(b"HTTP/1.1") == 1
            assert served == [b"/1"]

    run(main)


def test_a_refusal_after_much_that_was_thrown_away_can_be_read():
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client((GET % 0) + b"noise\r\n\r\n")
            loop = asyncio.get_running_loop()
            sending = loop.create_task(loop.sock_sendall(sock, b"z" * (http.LINGER_BYTES + 300_000)))
            await until(lambda: connection.paused)
            peer.answer()
            got = await to_the_end(sock)
            assert re.findall(rb"HTTP/1.1 (\d+)", got) == [b"200", b"400"]
            await sending

    run(main)


# -- a client that leaves while its answers are waited for


@pytest.mark.parametrize("behind", [GET % 1 * 4000, b"noise\r\n\r\n" + b"z" * 900_000], ids=["requests", "noise"])
def test_a_client_that_sent_much_and_left_is_noticed_while_reading_stands_still(behind):
    # Nobody saw it leave: its requests were served one after the other.
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client(GET % 0)
            await until(lambda: peer.held)
            loop = asyncio.get_running_loop()
            sending = loop.create_task(loop.sock_sendall(sock, behind))
            await until(lambda: connection.paused)
            first = peer.held[0]
            sending.cancel()
            sock.close()
            left = loop.time()
            await until(lambda: first.disconnected)
            assert loop.time() - left < 1.0
            assert len(peer.held) == 1

    run(main)


def test_what_cannot_be_read_behind_a_request_is_told_after_its_answer():
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client((GET % 0) + (GET % 1) + b"noise\r\n\r\n")
            await until(lambda: connection.refusal)
            peer.answer()
            await until(lambda: peer.held)
            peer.answer()
            got = await to_the_end(sock)
            assert re.findall(rb"HTTP/1.1 (\d+)", got) == [b"200", b"200", b"400"]

    run(main)


def test_hundreds_of_requests_ahead_are_answered_in_order_and_none_is_lost():
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client()
            loop = asyncio.get_running_loop()
            sending = loop.create_task(loop.sock_sendall(sock, b"".join(GET % n for n in range(900)) + LAST))
            got = loop.create_task(to_the_end(sock))
            for n in range(901):
                await until(lambda: peer.held)
                assert len(peer.held) == 1
                assert len(connection.waiting) < 200
                assert peer.held[0].target == (b"/%d" % n if n < 900 else b"/last")
                peer.answer()
            assert (await got).count(b"HTTP/1.1 200") == 901
            await sending

    run(main)


# -- closing what rests, in the turn in which its next request arrives


def test_an_idle_connection_whose_request_arrives_as_it_would_be_closed_is_served():
    async def main():
        async with Peer() as peer:
            sock, connection = await peer.client(GET % 0)
            await until(lambda: peer.held)
            peer.answer()
            sock.send(GET % 1)
            connection.close_if_idle()  # the bytes are here, and not read yet
            await until(lambda: peer.held)
            peer.answer()
            connection.close_if_idle()
            assert (await to_the_end(sock)).count(b"HTTP/1.1 200") == 2

    run(main)


def test_room_is_not_made_by_a_connection_whose_request_has_just_arrived_nor_by_a_half_written_answer():
    async def main():
        async with Peer(max_connections=3) as peer:
            slow, _ = await peer.client(GET % 0)
            await until(lambda: peer.held)
            peer.answer(b"z" * 8_000_000)  # its client has read nothing yet
            asking, oldest = await peer.client()
            _, resting = await peer.client()
            asking.send(GET % 1)
            assert peer.server.make_room()
            assert resting.transport.is_closing()
            await until(lambda: peer.held)
            peer.answer()
            assert peer.server.make_room()
            assert oldest.transport.is_closing()
            assert not peer.server.make_room()  # the answer that is half written
            loop = asyncio.get_running_loop()
            size = 0
            while size < 8_000_000:
                size += len(await loop.sock_recv(slow, 1 << 20))

    run(main)


def test_a_flood_of_connections_is_accepted_a_few_a_turn_and_the_limit_holds_between():
    # asyncio accepted as many in one turn as the backlog holds: 1,024, whatever the descriptors.
    async def main():
        async with Peer(max_connections=10) as peer:

            def held():
                return len(os.listdir("/proc/self/fd"))

            flood = []
            for _ in range(100):
                flood.append(socket.create_connection(("127.0.0.1", peer.port)))
            before, most = held(), 0
            for _ in range(200):
                await asyncio.sleep(0)
                most = max(most, held() - before)
            assert 0 < most <= 10 + 4 * acceptor.ACCEPTS_A_TURN
            for sock in flood:
                sock.close()

    run(main)


# -- the end of a process


def test_a_request_that_becomes_whole_after_the_listener_closed_is_answered_before_the_process_is_killed(monkeypatch):
    monkeypatch.setattr(services, "GRACE_S", 0.05)

    async def main():
        async with Stage(behave=lambda part: part.shard == 1 and part.served()) as stage:
            quick, slow = [await asyncio.open_connection("127.0.0.1", stage.port) for _ in range(2)]
            data = [stage.head(query((1,))), stage.head(query((2,)), X_Correlation_Id="late")]
            for (_, writer), half in zip((quick, slow), data, strict=True):
                writer.write(half[:-5])
            await until(lambda: sum(c.reading for c in stage.service.server.connections) == 2)
            ending = asyncio.create_task(stage.service.end())
            await until(lambda: stage.service.server.closing)
            stage.service.front.over_at = asyncio.get_running_loop().time() + 0.3
            for (_, writer), half in zip((quick, slow), data, strict=True):
                writer.write(half[-5:])
            for (reader, _), status in ((quick, b"200"), (slow, b"503")):
                got = await reader.read()
                assert got.startswith(b"HTTP/1.1 " + status)
                assert b"connection: close" in got
            assert await ending == 0
            assert asyncio.get_running_loop().time() < stage.service.front.over_at + 1.0
            quick[1].close()
            slow[1].close()

    run(main)


def test_a_request_too_late_to_be_answered_before_the_process_is_killed_is_refused(monkeypatch):
    async def main():
        async with Stage() as stage:
            stage.service.front.over_at = asyncio.get_running_loop().time() - 0.001
            assert (await stage.ask())[0] == 503
            assert not stage.sent()

    run(main)
