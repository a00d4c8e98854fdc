"""Parses HTTP/1.1 requests without I/O: bytes go in, complete requests or one error come out.

httptools parses the bytes. What is kept of a request is bounded in size while it arrives, however it is framed.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NoReturn

import httptools

MAX_HEADERS = 100  # of one request
HEADER_OVERHEAD_BYTES = 200  # that a header takes in memory beside its name and value
REQUEST_OVERHEAD_BYTES = 1_000  # that a request takes in memory beside its headers and body
REQUEST_WORK = 16  # what a complete request costs, in units of the cost of a header or of a piece of a body
SINGLE_HEADERS = frozenset({b"host", b"content-length", b"transfer-encoding"})


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request is rejected while it is parsed: the status and text of the response."""

    status: int
    text: bytes


class _ParserStopped(Exception):  # noqa: N818 - it carries no error, which is in `RequestParser.error`
    """Raised by a callback to stop the parser."""


@dataclass(slots=True)
class Request:
    """A complete request.

    size: an estimate of the bytes that it takes in memory. received_at: when its last byte was received, on the clock
    of the connection. answer_by: when its client stops waiting, if that is known. refusal: set if it won't be served.
    """

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool
    size: int
    received_at: float = 0.0
    answer_by: float = math.inf
    refusal: Rejection | None = None

    def refuse(self, refusal: Rejection) -> None:
        """Drops what the request holds; it will be refused in its turn."""
        self.refusal = self.refusal or refusal
        self.headers, self.body, self.size = {}, b"", 0


class RequestParser:
    """Parses the requests of one connection. After an error, which is kept in `error`, it accepts no more input.

    in_request: a request has begun and is not complete. expects_continue: its client waits for a 100 response.
    work: an estimate of the processor time that was used, in units of the cost of a header or of a piece of a body;
    headers count once their request is complete. The same number of bytes may cost little or, in tiny chunks, a hundred
    times as much.
    """

    __slots__ = (
        "_body",
        "_bytes_without_content",
        "_completed",
        "_head_done",
        "_header_bytes",
        "_header_count",
        "_headers",
        "_max_body_bytes",
        "_max_head_bytes",
        "_parser",
        "_target",
        "error",
        "expects_continue",
        "in_request",
        "work",
    )

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self.error: Rejection | None = None
        self.in_request = self.expects_continue = False
        self.work = 0
        self._max_head_bytes, self._max_body_bytes = max_head_bytes, max_body_bytes
        self._parser = httptools.HttpRequestParser(self)
        self._completed: list[Request] = []
        self._reset_request()

    def _reset_request(self) -> None:
        self._target, self._headers, self._body = b"", dict[bytes, bytes](), bytearray()
        self._header_count = self._header_bytes = 0
        self._head_done = False
        self._bytes_without_content = 0

    @property
    def partial_size(self) -> int:
        """An estimate of the bytes that the incomplete request takes in memory."""
        return self._bytes_without_content + self._head_size() + len(self._body)

    def _head_size(self) -> int:
        return self._header_count * HEADER_OVERHEAD_BYTES + self._header_bytes + len(self._target)

    def close(self) -> None:
        """Breaks the reference cycle with httptools; else the parser stays until the garbage collector runs."""
        del self._parser

    def feed(self, data: bytes) -> list[Request]:
        """Returns the requests that are now complete; sets `error` if what follows them is rejected."""
        if self.error is not None:
            return []
        self._bytes_without_content += len(data)
        self.work += 1
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            if self.error is None and isinstance(err, httptools.HttpParserCallbackError):
                raise
            self.error = self.error or Rejection(400, b"malformed HTTP")
        if self.error is None and self._bytes_without_content > self._max_head_bytes:
            self.error = Rejection(431, b"header section too large")  # a head, a chunk extension or a trailer
        completed, self._completed = self._completed, []
        return completed

    def abandon(self) -> None:
        """Discards the incomplete request. No more input is accepted."""
        self.error = self.error or Rejection(400, b"abandoned")
        self._reset_request()

    def _reject(self, status: int, text: bytes) -> NoReturn:
        """Stops the parser. The error is kept apart from the exception, whose traceback refers to the input."""
        self.error = Rejection(status, text)
        raise _ParserStopped

    # -- callbacks of httptools
    def on_message_begin(self) -> None:
        self.in_request = True

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            self._reject(431, b"header section too large: too many headers")
        key = name.lower()
        is_repeated = key in self._headers
        if is_repeated and key in SINGLE_HEADERS:
            self._reject(400, b"a header that may come once came twice")
        if self._head_done:  # a trailer, which is discarded
            return
        self._header_bytes += len(name) + len(value)
        self._headers[key] = self._headers[key] + b", " + value if is_repeated else value

    def on_headers_complete(self) -> None:
        self._head_done = True
        self._bytes_without_content = 0
        headers = self._headers
        if self._header_bytes > self._max_head_bytes:
            self._reject(431, b"header section too large")
        if b"content-length" in headers and b"transfer-encoding" in headers:
            self._reject(400, b"both a length and a transfer encoding")
        length = headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._reject(413, b"body too large")
        self.expects_continue = headers.get(b"expect", b"").lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        self._bytes_without_content = 0
        self.work += 1
        if len(self._body) + len(body) > self._max_body_bytes:
            self._reject(413, b"body too large")
        self._body += body

    def on_message_complete(self) -> None:
        self.work += REQUEST_WORK + self._header_count
        size = REQUEST_OVERHEAD_BYTES + self._head_size() + len(self._body)
        keep_alive = self._parser.should_keep_alive()
        request = Request(self._parser.get_method(), self._target, self._headers, bytes(self._body), keep_alive, size)
        self._completed.append(request)
        self._reset_request()
        self.in_request = self.expects_continue = False
