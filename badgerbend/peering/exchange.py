"""Transfers knowledge records, which state what a broker has observed, over HTTP with mutual authentication.

The client signs a fresh nonce, and the server signs that nonce together with its record. Each side thereby proves that
it has a key, and a recorded answer cannot be replayed.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from badgerbend.knowledge.record import MAX_RECORD_BYTES, KnowledgeRecord, RecordError, aged, decode, encode
from badgerbend.net.calls import Call, CallResult, Reply
from badgerbend.net.client import Pool
from badgerbend.net.exchange import Exchange
from badgerbend.net.pool_limits import PoolLimits
from badgerbend.net.seal import sign, verify
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits

NONCE = b"badgerbend-nonce"  # request header: a new nonce for each request
MAC = b"badgerbend-mac"  # request and answer header: the signature in hexadecimal
PATH = b"/knowledge"
NONCE_BYTES = 16
NONCE_DIGITS = 2 * NONCE_BYTES  # hexadecimal
REQUEST_PREFIX = b"ask"  # signed data begins with one of these prefixes, so that no signature is valid for both
ANSWER_PREFIX = b"tell"
# HTTP/1.1 requires the host header; the server ignores its value.
REQUEST = b"GET %s HTTP/1.1\r\nhost: x\r\n%s: %s\r\n%s: %s\r\nconnection: close\r\n\r\n"
SERVER_LIMITS = ServerLimits(max_connections=1024, max_body_bytes=1024, read_timeout_s=2.0, idle_timeout_s=5.0)
CLIENT_LIMITS = PoolLimits(connect_timeout_s=0.5, idle_s=1.0, max_answer_bytes=MAX_RECORD_BYTES)


class FetchError(Exception):
    """A record could not be fetched from a peer.

    reason: what failed: the connection, the HTTP status, the signature or the record itself.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class KnowledgeServer:
    """Serves this broker's record to clients that have one of the keys.

    served: the number of requests answered with a record; rejected: the number of requests answered with 403.
    """

    def __init__(self, keys: tuple[bytes, ...], record: Callable[[], KnowledgeRecord]) -> None:
        self.keys = keys
        self.record = record
        self.http = HttpServer(self._handle, SERVER_LIMITS)
        self.served = 0
        self.rejected = 0

    def _handle(self, exchange: Exchange) -> None:
        nonce = exchange.headers.get(NONCE, b"")
        key = self._signing_key(nonce, _decode_hex(exchange.headers.get(MAC, b"")))
        if exchange.target != PATH or key is None:
            self.rejected += 1
            exchange.respond(403, b"", b"")
            return
        body = encode(self.record())
        self.served += 1
        mac = sign(key, ANSWER_PREFIX + nonce + body).hex().encode()
        exchange.respond(200, body, b"application/msgpack", ((MAC, mac),))

    def _signing_key(self, nonce: bytes, mac: bytes) -> bytes | None:
        """The key with which a request is signed, or None if it is not signed with any of this broker's keys."""
        if len(nonce) != NONCE_DIGITS:
            return None
        return next((key for key in self.keys if verify(key, REQUEST_PREFIX + nonce, mac)), None)


def fetch_record(key: bytes, host: str, port: int, on_result: Callable[[KnowledgeRecord | FetchError], None]) -> Call:
    """Fetch a peer's record.

    on_result: called with the record, whose ages include the time that the transfer took, or with an error.
    """
    nonce = os.urandom(NONCE_BYTES).hex().encode()
    pool = Pool(host, port, CLIENT_LIMITS)
    began = time.monotonic()

    def on_reply(reply: Reply) -> None:
        pool.close()
        try:
            record = _verified_record(reply, key, nonce)
        except FetchError as error:
            on_result(error)
            return
        on_result(aged(record, (time.monotonic() - began) * 1000.0))

    mac = sign(key, REQUEST_PREFIX + nonce).hex().encode()
    return pool.request(REQUEST % (PATH, NONCE, nonce, MAC, mac), on_reply)


def _verified_record(reply: Reply, key: bytes, nonce: bytes) -> KnowledgeRecord:
    """Verify and decode an answer. Raises FetchError."""
    if reply.result is not CallResult.ANSWER or reply.status != 200:
        raise FetchError(f"{reply.result.name.lower()} {reply.status}")
    if not verify(key, ANSWER_PREFIX + nonce + reply.body, _decode_hex(reply.headers.get(MAC, b""))):
        raise FetchError("not signed by our key")
    try:
        return decode(reply.body)
    except RecordError as err:
        raise FetchError(str(err)) from err


def _decode_hex(text: bytes) -> bytes:
    """Decode hexadecimal digits; empty if the text is malformed."""
    try:
        return bytes.fromhex(text.decode("ascii"))
    except ValueError:
        return b""
