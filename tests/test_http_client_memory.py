"""Guards against answers of a peer, complete or not, that take more of a client's memory than its limits state."""

import asyncio

import pytest

from badgerbend.net.calls import CallResult
from badgerbend.net.client import MAX_INCOMPLETE_ANSWERS, Pool
from badgerbend.net.pool_limits import PoolLimits
from tests.memory_clients import chunks_of, small_headers
from tests.platform_stage import run
from tests.sockets import until
from tests.test_http import start_scripted_server

GET = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
MAX_ANSWER = 1_000_000


class Peer:
    """Answers the n-th request with n parts of an answer that never ends, so that later ones come further."""

    def __init__(self, part):
        self.part, self.count = part, 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.count += 1
        writer.write(HEAD + b"content-length: 999999\r\n\r\n" + self.part * self.count)
        await reader.read()
        writer.close()


async def ask(pool, count):
    results = []
    for number in range(count):
        pool.request(GET, lambda reply, number=number: results.append((number, reply.result)))
        await asyncio.sleep(0.05)
    return results


def test_incomplete_answers_are_bounded_together_and_the_ones_that_came_least_far_fail():
    # Overdue polls of a slow agent held up to 16 incomplete lists of 4 MB.
    async def main():
        peer = Peer(b"x" * 150_000)
        pool = Pool("127.0.0.1", await peer.start(), PoolLimits(max_answer_bytes=MAX_ANSWER))
        results = await ask(pool, 5)  # 150 to 750 KB, 2.25 MB together
        await until(lambda: results)
        assert 0 < pool.reserved_bytes <= MAX_INCOMPLETE_ANSWERS * MAX_ANSWER
        assert results[0] == (0, CallResult.MALFORMED)
        assert 4 not in [number for number, _ in results]
        assert pool.reserved_bytes == sum(connection.size for connection in pool.open)
        pool.close()
        await until(lambda: not pool.open)
        assert pool.reserved_bytes == 0
        peer.server.close()

    run(main)


def test_an_aborted_call_keeps_no_part_of_its_answer():
    # Aborted polls kept what they had received until a collection of garbage: 366 MB in 6 s.
    async def main():
        peer = Peer(b"x" * 500_000)
        pool = Pool("127.0.0.1", await peer.start(), PoolLimits(max_answer_bytes=MAX_ANSWER))
        call = pool.request(GET, lambda reply: None)
        await until(lambda: call.connection is not None and len(call.connection.body) == 500_000)
        call.abort()
        await until(lambda: not pool.open)
        assert call.connection.body == b""
        assert pool.reserved_bytes == 0
        pool.close()
        peer.server.close()

    run(main)


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + small_headers(512) + b"content-length: 0\r\n\r\n",
        HEAD + b"x: " + b"y" * 900_000,
        HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\nx: " + b"y" * 900_000,
    ],
    ids=["many headers", "a header without an end", "a trailer without an end"],
)
def test_a_head_or_trailer_that_is_too_large_is_malformed(answer):
    async def main():
        server = await start_scripted_server(answer)
        pool = Pool("127.0.0.1", server.sockets[0].getsockname()[1], PoolLimits(max_answer_bytes=MAX_ANSWER))
        results = await ask(pool, 1)
        await until(lambda: results)
        assert results == [(0, CallResult.MALFORMED)]
        pool.close()
        server.close()

    run(main)


def test_an_answer_in_tiny_chunks_takes_what_it_holds():
    async def main():
        body = b"z" * 100_000
        server = await start_scripted_server(
            HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunks_of(body, 2) + b"0\r\n\r\n"
        )
        pool, replies = Pool("127.0.0.1", server.sockets[0].getsockname()[1], PoolLimits()), []
        pool.request(GET, replies.append)
        await until(lambda: replies)
        assert replies[0].body == body
        assert pool.reserved_bytes == 0
        pool.close()
        server.close()

    run(main)
