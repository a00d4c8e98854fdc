"""Pipelined requests of one connection in any interleaving of input, responses and iterations of the event loop."""

import asyncio
import itertools
import re
import time

from hypothesis import given, settings
from hypothesis import strategies as st

from badgerbend.net.server import HttpServer
from badgerbend.net.server_connection import ServerConnection
from badgerbend.net.server_limits import ServerLimits
from badgerbend.net.unparsed_input import TIME_RESOLUTION_S, UnparsedInput
from tests.client_transport import ClientTransport
from tests.platform_stage import run
from tests.sockets import until
from tests.test_crossings_clients import GET, ServerWithClients, read_to_end

REQUESTS = 60
POST = b"POST /%d HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
STREAM = b"".join((GET if number % 3 else POST) % number for number in range(REQUESTS))
ANSWERED = re.compile(rb"\r\n\r\n/(\d+)")

steps = st.lists(
    st.one_of(
        st.tuples(st.just("receive"), st.integers(1, 400)),
        st.tuples(st.just("respond"), st.just(0)),
        st.tuples(st.just("iterate"), st.integers(1, 3)),
        st.tuples(st.just("block"), st.just(0)),
        st.tuples(st.just("unblock"), st.just(0)),
    ),
    max_size=80,
)


class Subject:
    """A connection, the requests that it serves, and the bytes that it has not received yet.

    answers_at_once: whether the handler answers each third request before it returns.
    """

    def __init__(self, answers_at_once):
        self.answers_at_once, self.open, self.sent = answers_at_once, [], 0
        self.transport = ClientTransport()
        server = HttpServer(self.handle, ServerLimits())
        self.connection = ServerConnection(server, asyncio.get_running_loop())
        self.connection.connection_made(self.transport)

    def handle(self, exchange):
        assert not self.open  # one at a time
        assert self.connection.write_blocked_since is None
        self.open.append(exchange)
        if self.answers_at_once and exchange.target.endswith((b"1", b"2", b"3")):
            self.respond()

    def respond(self):
        if self.open:
            exchange = self.open.pop()
            assert exchange.respond(200, exchange.target, b"")

    def receive(self, count):
        data = STREAM[self.sent : self.sent + count]
        self.sent += len(data)
        if data:
            self.connection.data_received(data)

    def block(self):
        self.connection.pause_writing()

    def unblock(self):
        if self.connection.write_blocked_since is not None:
            self.connection.resume_writing()

    def answered(self):
        return [int(number) for number in ANSWERED.findall(self.transport.written)]


@settings(max_examples=300, deadline=None)
@given(steps, st.booleans())
def test_each_response_is_for_the_request_at_its_place(drawn, answers_at_once):
    async def main():
        subject = Subject(answers_at_once)
        for step, count in drawn:
            if step == "iterate":
                for _ in range(count):
                    await asyncio.sleep(0)
            elif step == "receive":
                subject.receive(count)
            else:
                getattr(subject, step)()
            assert subject.answered() == list(range(len(subject.answered())))
        subject.unblock()
        subject.receive(len(STREAM))
        for _ in range(3 * REQUESTS):
            subject.respond()
            await asyncio.sleep(0)
        assert subject.answered() == list(range(REQUESTS))
        subject.connection.connection_lost(None)

    asyncio.run(main())


arrivals = st.lists(st.tuples(st.binary(min_size=1, max_size=30), st.floats(0.0, 0.05)), max_size=30)


@given(arrivals, st.lists(st.integers(1, 50), min_size=1))
def test_no_byte_counts_as_received_later_than_it_was(drawn, sizes):
    waiting, received_at, stated, now = UnparsedInput(), [], [], 0.0
    for data, pause_s in drawn:
        now += pause_s
        waiting.append(data, now)
        received_at += [now] * len(data)
    taken = b""
    for size in itertools.cycle(sizes):
        if not waiting:
            break
        data, at = waiting.take(size)
        assert 1 <= len(data) <= size
        taken += data
        stated += [at] * len(data)
    assert taken == b"".join(data for data, _ in drawn)
    assert all(was - TIME_RESOLUTION_S <= at <= was for at, was in zip(stated, received_at, strict=True))


def test_a_request_that_waits_keeps_its_time_of_receipt_when_later_ones_arrive():
    # Each later byte of a client made all that waited unparsed look new: it was answered up to 6 s late (review/2).
    async def main():
        async with ServerWithClients() as subject:
            loop = asyncio.get_running_loop()
            sock, connection = await subject.client()
            early, late = [
                b"".join(GET % number for number in range(*numbers)) for numbers in ((0, 3000), (3000, 3100))
            ]
            sent_at = loop.time()
            sending = loop.create_task(loop.sock_sendall(sock, early + late))
            await until(lambda: len(connection.http.unparsed) > 16_384)
            await asyncio.sleep(0.4)
            reading = loop.create_task(read_to_end(sock))
            for number in range(3100):
                await until(lambda: subject.requests)
                exchange = subject.requests[0]
                assert exchange.target == b"/%d" % number
                assert exchange.received_at < sent_at + 0.3
                subject.answer()
                if number == 50:
                    await sending
                    await loop.sock_sendall(sock, GET % 9999)
            await until(lambda: subject.requests)
            subject.answer()
            reading.cancel()

    run(main)


def test_a_request_read_after_a_stall_together_with_a_later_one_keeps_its_time_of_receipt():
    # The kernel tells when the last bytes were received; it counted for all that were read with them.
    async def main():
        async with ServerWithClients() as subject:
            sock, _ = await subject.client()
            await asyncio.sleep(0.1)
            sent_at = asyncio.get_running_loop().time()
            sock.send(GET % 1)
            time.sleep(0.3)
            sock.send(GET % 2)
            await until(lambda: subject.requests)
            assert sent_at - 0.1 < subject.requests[0].received_at < sent_at + 0.05
            subject.answer()
            await until(lambda: subject.requests)
            assert subject.requests[0].received_at < sent_at + 0.3 + 0.05
            subject.answer()

    run(main)
