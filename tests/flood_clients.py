"""Clients that send at full speed, in a process of their own: `python -m tests.flood_clients FORM PORT CONNECTIONS`.

Each connection sends without waiting for responses and discards what it reads. When it ends, another one is opened at
once. The process goes on until it is ended.
"""

import asyncio
import itertools
import sys

from tests.broker_process import ACCOUNT, HOST
from tests.memory_clients import chunks_of, large_body, new_id, small_headers
from tests.platform_stage import query

KNOWN_ACCOUNT = ACCOUNT.encode()
BATCH = 100  # requests that are written together
_numbers = itertools.count()


def post(body, path=b"/quote/abc", account=KNOWN_ACCOUNT, extra=b"", name=None, time_left=b"3000", framing=None):
    name = name or new_id().encode()
    return (
        b"POST %s HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nX-Account: %s\r\nX-Time-Left-Ms: %s\r\n%s%s\r\n\r\n%s"
    ) % (path, name, account, time_left, extra, framing or b"Content-Length: %d" % len(body), body)


BODY, LARGE_BODY = query([1, 2]), large_body()
CHUNKS, LARGE_CHUNKS = chunks_of(BODY, 1), chunks_of(LARGE_BODY, 1)


def chunked(chunks):
    return post(chunks + b"0\r\n\r\n", framing=b"Transfer-Encoding: chunked")


def new_name():
    return b"n%d" % next(_numbers)


MANY_SHORT_FIELDS = small_headers(90)

FORMS = {
    "unknown path": lambda: b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
    "health": lambda: b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n",
    "valid": lambda: post(BODY),
    "new class": lambda: post(BODY, path=b"/%s/abc" % new_name()),
    "new account": lambda: post(BODY, account=new_name()),
    "new object": lambda: post(BODY, path=b"/quote/" + new_name()),
    "new fields": lambda: post(BODY, extra=b"X-%s: 1\r\n" % new_name()),
    "new key": lambda: post(BODY, path=b"/accept/abc", extra=b"Idempotency-Key: %s\r\n" % new_name()),
    "no time left": lambda: post(BODY, time_left=b"soon"),
    "1 ms left": lambda: post(BODY, time_left=b"1"),
    "no JSON": lambda: post(b"{"),
    "same id": lambda: post(BODY, name=b"same"),
    "tiny chunks": lambda: chunked(CHUNKS),
    "60 KB in tiny chunks": lambda: chunked(LARGE_CHUNKS),
    "shortest requests": lambda: b"GET / HTTP/1.1\r\n\r\n",
    "many fields": lambda: post(BODY, extra=MANY_SHORT_FIELDS),
    "60 KB of text": lambda: post(LARGE_BODY),
    "60 KB that is no query": lambda: post(b"[" + b"1," * 30_000 + b"1]"),
    "expects 100": lambda: post(BODY, extra=b"Expect: 100-continue\r\n"),
    "invalid HTTP": lambda: b"\x00\x01 what\r\n\r\n",
    "last request": lambda: post(b"{", extra=b"Connection: close\r\n"),
}


class Flood(asyncio.Protocol):
    """One connection. make: returns the bytes of a request. sequential: waits for data before the next request."""

    def __init__(self, make, how):
        self.make, self.how = make, how
        self.lost = asyncio.get_running_loop().create_future()
        self.can_write = True

    def connection_made(self, transport):
        self.transport = transport
        self._send()

    def data_received(self, data):
        if self.how == "sequential":
            self.transport.write(self.make())

    def pause_writing(self):
        self.can_write = False

    def resume_writing(self):
        self.can_write = True
        self._send()

    def connection_lost(self, exc):
        if not self.lost.done():
            self.lost.set_result(None)

    def _send(self):
        if self.transport.is_closing() or not self.can_write:
            return
        if self.how == "sequential":
            self.transport.write(self.make())
            return
        loop = asyncio.get_running_loop()
        if self.how == "bytes":  # one byte in each write
            data = self.make()
            for at in range(len(data)):
                self.transport.write(data[at : at + 1])
        else:
            self.transport.write(b"".join(self.make() for _ in range(BATCH)))
        if self.how == "silent":
            self.transport.pause_reading()
        loop.call_soon(self._send)


async def repeat(form, how, port):
    loop = asyncio.get_running_loop()
    while True:
        try:
            _, flood = await loop.create_connection(lambda: Flood(FORMS[form], how), HOST, port)
            await flood.lost
        except OSError:
            await asyncio.sleep(0.001)


async def play(form, how, port, count):
    await asyncio.gather(*(repeat(form, how, port) for _ in range(count)))


if __name__ == "__main__":
    asyncio.run(play(sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4])))
