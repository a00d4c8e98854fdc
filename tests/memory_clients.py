"""Bad clients that make a broker hold memory, in a process of their own: `python -m tests.memory_clients FORM PORT N`.

Each of the N clients of a form repeats it, on a new connection whenever its connection ends, until the process is
ended. The forms are kept apart from the clients whose answers a test checks, since they send at full speed.
"""

import asyncio
import contextlib
import itertools
import os
import socket
import struct
import sys

from tests.broker_process import ACCOUNT, HOST, read_answer
from tests.platform_stage import SHARDS, query

BODY_BYTES = 60_000  # a body may hold 65,536 bytes
HEAD_BYTES = 15_000  # a head may hold 16,384 bytes
AT_ONCE = 100  # requests that are sent without waiting for an answer
RECONNECT_S = 0.01
SLOW_SEND_S = 1.8  # less than the time that a request may take to arrive
FIELDS = 92  # of a head, beside the usual ones; it may hold 100
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection
_numbers = itertools.count()


def new_id():
    return f"{os.getpid()}-{next(_numbers)}"


def head(framing, extra=b""):
    return (
        b"POST /quote/abc HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Service-Class: quote\r\nX-Account: %s\r\n"
        b"X-Time-Left-Ms: 3000\r\nIdempotency-Key: k\r\n%s%s\r\n\r\n"
    ) % (new_id().encode(), ACCOUNT.encode(), extra, framing)


def with_length(body, **also):
    return head(b"Content-Length: %d" % len(body), **also) + body


def chunks_of(body, size):
    """The chunks of a body, without the last one."""
    chunks = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)


def chunked(body, size):
    return head(b"Transfer-Encoding: chunked") + chunks_of(body, size) + b"0\r\n\r\n"


def large_body(parts=(1, 2)):
    return query(list(parts), "c41e77d0" * (BODY_BYTES // 8))


def small_headers(count):
    """Headers with short names, all different."""
    return b"".join(b"%x:\r\n" % number for number in range(0x100, 0x100 + count))


class Client:
    """One connection of a bad client."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def read_to_end(self):
        while await self.reader.read(65_536):
            pass

    async def send_many(self, make):
        """Sends many requests at once, and reads what comes meanwhile."""
        reading = asyncio.ensure_future(self.read_to_end())
        try:
            for _ in range(AT_ONCE):
                await self.send(make())
                await asyncio.sleep(0)
            await reading
        finally:
            reading.cancel()


async def pipelined_large(client):
    body = large_body()
    await client.send_many(lambda: with_length(body))


async def pipelined_chunks(client):
    body = large_body()
    await client.send_many(lambda: chunked(body, 1000))


async def pipelined_tiny_chunks(client):
    body = large_body()
    await client.send_many(lambda: chunked(body, 2))


async def pipelined_small_headers(client):
    body, extra = query([1, 2]), small_headers(HEAD_BYTES // 6)
    await client.send_many(lambda: with_length(body, extra=extra))


async def pipelined_long_headers(client):
    body, extra = query([1, 2]), b"X-Long: " + b"y" * HEAD_BYTES + b"\r\n"
    await client.send_many(lambda: with_length(body, extra=extra))


async def pipelined_small(client):
    body = query([1, 2])
    await client.send_many(lambda: b"".join(with_length(body) for _ in range(20)))


async def half_body(client):
    """Stops shortly before the end of a body, and stays."""
    await client.send(with_length(large_body())[:-10])
    await client.read_to_end()


async def half_tiny_chunks(client):
    await client.send(chunked(large_body(), 2)[:-20])
    await client.read_to_end()


async def half_small_headers(client):
    await client.send(head(b"A: b", small_headers(HEAD_BYTES // 6))[:-4])
    await client.read_to_end()


async def half_body_behind_requests(client):
    """Stops in the body of a second request, whose first part is read while the first one is open."""
    await client.send(with_length(query([1, 2])) + with_length(large_body())[:-10])
    await client.read_to_end()


async def endless_trailers(client):
    """Sends trailers behind a chunked body without end."""
    await client.send(head(b"Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n")
    await _trailers(client)


async def endless_trailers_behind_request(client):
    """The same behind an open request, while which no time limit on reading holds."""
    await client.send(with_length(query([1, 2])) + head(b"Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n")
    await _trailers(client)


async def _trailers(client):
    reading = asyncio.ensure_future(client.read_to_end())
    for number in itertools.count():
        await client.send(b"".join(b"t%x:\r\n" % (number * 1000 + i) for i in range(1000)))
        if reading.done():
            return


async def endless_chunk_extension(client):
    await client.send(with_length(query([1, 2])) + head(b"Transfer-Encoding: chunked") + b"1;")
    reading = asyncio.ensure_future(client.read_to_end())
    while not reading.done():
        await client.send(b"x" * 10_000)


async def sequential_large(client):
    body = large_body()
    while True:
        await client.send(with_length(body))
        await read_answer(client.reader)


async def sequential_large_many_parts(client):
    body = large_body(range(SHARDS))
    while True:
        await client.send(with_length(body))
        await read_answer(client.reader)


async def large_and_gone(client):
    """Sends a large request and resets the connection at once."""
    await client.send(with_length(large_body()))
    await asyncio.sleep(0.05)
    client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.writer.transport.abort()


async def many_large_and_gone(client):
    body = large_body()
    for _ in range(4):
        await client.send(with_length(body))
    await asyncio.sleep(0.05)
    client.writer.transport.abort()


async def reads_nothing(client):
    """Sends requests and never reads an answer."""
    client.writer.transport.pause_reading()
    while True:
        await client.send(b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n" * 200)


async def reads_no_values(client):
    client.writer.transport.pause_reading()
    body = query(list(range(SHARDS)))
    while True:
        await client.send(with_length(body))


async def huge_body(client):
    reading = asyncio.ensure_future(client.read_to_end())
    await client.send(head(b"Content-Length: 60000000"))
    while not reading.done():
        await client.send(b"z" * 65_536)


async def huge_chunked_body(client):
    reading = asyncio.ensure_future(client.read_to_end())
    await client.send(with_length(query([1, 2])) + head(b"Transfer-Encoding: chunked"))
    while not reading.done():
        await client.send(b"8000\r\n" + b"z" * 0x8000 + b"\r\n")


async def _in_pieces(client, data, size):
    """Sends data in small pieces with pauses; it takes about `SLOW_SEND_S`, and the last byte is never sent."""
    reading = asyncio.ensure_future(client.read_to_end())
    pause_s = SLOW_SEND_S * size / len(data)
    for at in range(0, len(data) - 1, size):
        if reading.done():
            break
        await client.send(data[at : min(at + size, len(data) - 1)])
        await asyncio.sleep(pause_s)
    await reading


async def slow_body(client):
    await _in_pieces(client, with_length(large_body()), 1000)


async def slow_tiny_chunks(client):
    await _in_pieces(client, chunked(large_body()[:10_000], 2), 1000)


async def slow_body_behind_requests(client):
    await client.send(with_length(query([1, 2])))
    await _in_pieces(client, with_length(large_body()), 1000)


async def slow_short_fields(client):
    """Sends a head of as many short fields as are accepted, in small pieces."""
    await _in_pieces(client, head(b"A: b", small_headers(FIELDS)), 20)


async def slow_and_whole(client):
    """Sends valid large requests slowly, and waits for each answer."""
    body = large_body()
    while True:
        data = with_length(body)
        for at in range(0, len(data), 4000):
            await client.send(data[at : at + 4000])
            await asyncio.sleep(0.05)
        await read_answer(client.reader)


async def half_short_fields(client):
    await client.send(head(b"A: b", small_headers(FIELDS))[:-4])
    await client.read_to_end()


async def half_repeated_fields(client):
    """Stops within a head of fields that all have the same name."""
    await client.send(head(b"A: b", b"a:" + b"y" * 100 + b"\r\n" + b"a:\r\n" * (FIELDS - 1))[:-4])
    await client.read_to_end()


async def pipelined_short_fields(client):
    """Sends many requests of as many short fields as are accepted."""
    body, extra = query([1, 2]), small_headers(FIELDS)
    await client.send_many(lambda: with_length(body, extra=extra))


async def short_fields_behind_request(client):
    body, extra = query([1, 2]), small_headers(FIELDS)
    await client.send(with_length(body) + with_length(body, extra=extra) * 6 + head(b"A: b", extra)[:-4])
    await client.read_to_end()


async def half_body_behind_short_fields(client):
    await client.send(head(b"Content-Length: 60000", small_headers(FIELDS)) + b"z" * 59_000)
    await client.read_to_end()


async def growing_halves(client):
    """Stops within a body whose size differs from connection to connection, so that memory is reused badly."""
    await client.send(with_length(large_body())[: 200 + next(_numbers) * 977 % 59_000])
    await client.read_to_end()


async def silent(client):
    await client.read_to_end()


FORMS = {
    function.__name__: function
    for function in (
        pipelined_large,
        pipelined_chunks,
        pipelined_tiny_chunks,
        pipelined_small_headers,
        pipelined_long_headers,
        pipelined_small,
        half_body,
        half_tiny_chunks,
        half_small_headers,
        half_body_behind_requests,
        endless_trailers,
        endless_trailers_behind_request,
        endless_chunk_extension,
        sequential_large,
        sequential_large_many_parts,
        large_and_gone,
        many_large_and_gone,
        reads_nothing,
        reads_no_values,
        huge_body,
        huge_chunked_body,
        slow_body,
        slow_tiny_chunks,
        slow_body_behind_requests,
        slow_short_fields,
        slow_and_whole,
        half_short_fields,
        half_repeated_fields,
        pipelined_short_fields,
        short_fields_behind_request,
        half_body_behind_short_fields,
        growing_halves,
        silent,
    )
}


async def repeat(form, port):
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                await FORMS[form](Client(reader, writer))
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_S)


async def play(form, port, count):
    await asyncio.gather(*(repeat(form, port) for _ in range(count)))


if __name__ == "__main__":
    asyncio.run(play(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
