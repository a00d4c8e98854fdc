"""Records read from peers over HTTP. Both sides show that they hold a key: the client signs a fresh nonce, the server
signs that nonce with its record, so that neither can be played back.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from badgerbend.knowledge.record import MAX_RECORD_BYTES, KnowledgeRecord, RecordError, aged, decode, encode
from badgerbend.net.client import Call, End, Pool, PoolLimits, Reply
from badgerbend.net.seal import sign, verify
from badgerbend.net.server import Exchange, HttpServer, ServerLimits

NONCE, MAC = b"badgerbend-nonce", b"badgerbend-mac"
PATH = b"/knowledge"
SERVER = ServerLimits(max_connections=1024, max_body_bytes=1024, read_timeout_s=2.0, idle_timeout_s=5.0)
CLIENT = PoolLimits(connect_timeout_s=0.5, idle_s=1.0, max_answer_bytes=MAX_RECORD_BYTES)


class FetchError(Exception):
    """A record could not be fetched from a peer; the text says why."""


class KnowledgeServer:
    """Serves this broker's record to those who hold a key."""

    def __init__(self, keys: tuple[bytes, ...], record: Callable[[], KnowledgeRecord]) -> None:
        self.keys, self.record = keys, record
        self.http = HttpServer(self._handle, SERVER)
        self.served = self.rejected = 0

    def _handle(self, exchange: Exchange) -> None:
        nonce, mac = exchange.headers.get(NONCE, b""), _unhex(exchange.headers.get(MAC, b""))
        key = next((k for k in self.keys if len(nonce) == 32 and verify(k, b"ask" + nonce, mac)), None)
        if exchange.target != PATH or key is None:
            self.rejected += 1
            exchange.respond(403, b"", b"")
            return
        body = encode(self.record())
        self.served += 1
        signed = sign(key, b"tell" + nonce + body).hex().encode()
        exchange.respond(200, body, b"application/msgpack", ((MAC, signed),))


def fetch_record(key: bytes, host: str, port: int, on_record: Callable[[KnowledgeRecord | FetchError], None]) -> Call:
    """Reads a peer's record; the callback gets it, or what went wrong. Its ages include the way here."""
    nonce = os.urandom(16).hex().encode()
    pool = Pool(host, port, CLIENT)
    began = time.monotonic()

    def replied(reply: Reply) -> None:
        pool.close()
        if reply.end is not End.ANSWER or reply.status != 200:
            on_record(FetchError(f"{reply.end.name.lower()} {reply.status}"))
        elif not verify(key, b"tell" + nonce + reply.body, _unhex(reply.headers.get(MAC, b""))):
            on_record(FetchError("not signed by our key"))
        else:
            try:
                on_record(aged(decode(reply.body), (time.monotonic() - began) * 1000.0))
            except RecordError as err:
                on_record(FetchError(str(err)))

    head = b"GET %s HTTP/1.1\r\nhost: x\r\n%s: %s\r\n%s: %s\r\nconnection: close\r\n\r\n"
    mac = sign(key, b"ask" + nonce).hex().encode()
    return pool.request(head % (PATH, NONCE, nonce, MAC, mac), replied)


def _unhex(text: bytes) -> bytes:
    try:
        return bytes.fromhex(text.decode("ascii"))
    except ValueError:
        return b""
