"""The request parser: what a request holds while it arrives is bounded, and what is rejected leaves nothing behind."""

import gc
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.net.request_parser import MAX_HEADERS, RequestParser
from tests.memory_clients import chunks_of, small_headers

MAX_HEAD, MAX_BODY = 16_384, 65_536
CHUNKED = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"


def parser():
    return RequestParser(MAX_HEAD, MAX_BODY)


def feed(*pieces):
    """Returns the requests and the error."""
    subject = parser()
    return [request for piece in pieces for request in subject.feed(piece)], subject.error


def pieces_of(data, size=4096):
    return [data[at : at + size] for at in range(0, len(data), size)]


@given(st.lists(st.integers(1, 40), max_size=40))
def test_requests_do_not_depend_on_how_bytes_are_split(sizes):
    stream = CHUNKED + b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nx-trailer: z\r\n\r\nGET /2 HTTP/1.1\r\nA: 1\r\na: 2\r\n\r\n"
    pieces, at = [], 0
    for size in sizes:
        pieces.append(stream[at : at + size])
        at += size
    requests, error = feed(*pieces, stream[at:])
    assert error is None
    assert [(r.method, r.target, r.body) for r in requests] == [(b"POST", b"/", b"abcde"), (b"GET", b"/2", b"")]
    assert requests[0].headers == {b"host": b"x", b"transfer-encoding": b"chunked"}
    assert requests[1].headers == {b"a": b"1, 2"}


def test_a_trailer_changes_no_header():
    requests, error = feed(CHUNKED + b"1\r\nx\r\n0\r\nx-correlation-id: other\r\nhost2: y\r\n\r\n")
    assert error is None
    assert set(requests[0].headers) == {b"host", b"transfer-encoding"}


# A head of 15 KB in short headers took half a megabyte in memory, and a trailer had no limit.
REJECTED = {
    "many short headers": b"GET / HTTP/1.1\r\n" + small_headers(MAX_HEADERS + 1) + b"\r\n",
    "many headers of one name": b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * (MAX_HEADERS + 1) + b"\r\n",
    "many trailers": CHUNKED + b"0\r\n" + small_headers(MAX_HEADERS + 1) + b"\r\n",
    "a trailer without an end": CHUNKED + b"0\r\nx: " + b"y" * 40_000,
    "a chunk extension without an end": CHUNKED + b"1;" + b"y" * 40_000,
    "a target without an end": b"GET /" + b"y" * 40_000,
}


@pytest.mark.parametrize("data", REJECTED.values(), ids=REJECTED)
def test_what_has_no_end_is_rejected(data):
    requests, error = feed(*pieces_of(data))
    assert not requests
    assert error.status == 431


BODY = b"v" * 60_000
INCOMPLETE = {
    # Each chunk was kept as an object of its own, so that 60 KB took 1.7 MB.
    "a body in chunks of two bytes": CHUNKED + chunks_of(BODY, 2),
    "a body with a length": b"POST / HTTP/1.1\r\ncontent-length: 65000\r\n\r\n" + BODY,
    "headers": b"GET / HTTP/1.1\r\n" + small_headers(MAX_HEADERS),
    "a long header": b"GET / HTTP/1.1\r\na: " + b"y" * 15_000,
}


@pytest.mark.parametrize("data", INCOMPLETE.values(), ids=INCOMPLETE)
def test_an_incomplete_request_takes_no_more_memory_than_it_states(data):
    pieces = pieces_of(data)
    subject = parser()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for piece in pieces:
            subject.feed(piece)
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert subject.error is None
    assert held <= 1.3 * subject.partial_size + 2_000
    subject.abandon()
    assert subject.partial_size == 0


def test_a_rejected_request_leaves_no_garbage():
    # The exception that stopped the parser referred to the frames of its callers, and so to up to 256 KB of input.
    gc.collect()
    gc.disable()
    try:
        for _ in range(100):
            subject = parser()
            subject.feed(b"POST / HTTP/1.1\r\ncontent-length: 99999999\r\n\r\n")
            assert subject.error.status == 413
            subject.close()
        assert gc.collect() == 0
    finally:
        gc.enable()
